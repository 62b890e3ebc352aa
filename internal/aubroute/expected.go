package aubroute

import (
	"time"
)

const (
	// defaultPrefillRate stands in until a member reports one, tokens a second.
	defaultPrefillRate = 4000.0
	// perRequestDelay is the share of a batch step that each request in flight adds.
	perRequestDelay = 500 * time.Microsecond
	// boundedLoad and loadSlack are how far above the candidates' mean a member's
	// requests in flight may be; cached prefixes attract no more beyond.
	boundedLoad = 1.25
	loadSlack   = 2
	// overLimitSeconds is added to the time expected above the load bound.
	overLimitSeconds = 3600
)

// ExpectedFirstToken takes the candidate with the least expected first-token
// time: the work that waits before the prompt, the prompt's uncached part, and
// the distance. Candidates above the load bound come last.
type ExpectedFirstToken struct{}

// Choose implements Policy.
func (ExpectedFirstToken) Choose(q Query, candidates []Candidate) int {
	limit := loadLimit(candidates)
	return smallest(q, candidates, func(c Candidate) float64 {
		seconds := Expect(q, c).Seconds()
		if float64(c.InFlight) > limit {
			seconds += overLimitSeconds
		}
		return seconds
	})
}

// Expect returns the first-token time that a candidate is expected to reach.
func Expect(q Query, c Candidate) time.Duration {
	rate := c.PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	uncached := max(q.PromptTokens-c.CachedTokens, 0)
	seconds := float64(c.PendingTokens+uncached) / rate
	wait := time.Duration(seconds*float64(time.Second)) + time.Duration(c.InFlight)*perRequestDelay + batchWait(c)
	return c.Distance + time.Duration(float64(wait)*max(c.Slowness, 1))
}

// batchWait is the time until a place in a full batch is free: places free up
// evenly over the service time.
func batchWait(c Candidate) time.Duration {
	if c.Batch == 0 || c.InFlight < c.Batch {
		return 0
	}
	ahead := c.InFlight - c.Batch + 1
	return c.ServiceTime * time.Duration(ahead) / time.Duration(c.Batch)
}

// loadLimit is the number of requests in flight above which a candidate is
// taken only when all are.
func loadLimit(candidates []Candidate) float64 {
	var sum int
	for _, c := range candidates {
		sum += c.InFlight
	}
	return boundedLoad*float64(sum)/float64(len(candidates)) + loadSlack
}
