package aubroute

import (
	"time"
)

const (
	// defaultPrefillRate stands in until a member reports one, tokens a second.
	defaultPrefillRate = 4000.0
	// perRequestDelay is the share of a batch step that each request in flight adds.
	perRequestDelay = 500 * time.Microsecond
	// boundedLoad is how far above the candidates' mean a member's load may be
	// before its cached prefixes stop counting.
	boundedLoad = 1.25
)

// ExpectedFirstToken takes the candidate with the least expected first-token
// time: the work that waits before the prompt, the prompt's uncached part, and
// the distance.
type ExpectedFirstToken struct{}

// Choose implements Policy.
func (ExpectedFirstToken) Choose(q Query, candidates []Candidate) int {
	limit := affinityLimit(candidates)
	return smallest(q, candidates, func(c Candidate) float64 {
		if float64(c.InFlight) > limit {
			c.CachedTokens = 0
		}
		return Expect(q, c).Seconds()
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
	wait := time.Duration(seconds*float64(time.Second)) + time.Duration(c.InFlight)*perRequestDelay
	return c.Distance + time.Duration(float64(wait)*max(c.Slowness, 1))
}

// affinityLimit is the load above which cached prefixes no longer attract.
func affinityLimit(candidates []Candidate) float64 {
	var sum int
	for _, c := range candidates {
		sum += c.InFlight
	}
	return boundedLoad*float64(sum)/float64(len(candidates)) + 1
}
