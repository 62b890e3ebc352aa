package aubroute

import (
	"time"
)

const (
	// defaultPrefillRate is assumed until a member reports its rate, in tokens a second.
	defaultPrefillRate = 4000.0
	// perRequestDelay is the part of a batch step that each request in flight adds to
	// the time to first token.
	perRequestDelay = 500 * time.Microsecond
	// loadBoundFactor and loadSlack define the load bound: the mean of the candidates'
	// requests in flight times loadBoundFactor, plus loadSlack. A member above it gets
	// no more requests for its cached prefixes.
	loadBoundFactor = 1.25
	loadSlack       = 2
	// overLimitSeconds is the penalty on the expected time of a candidate above the load
	// bound.
	overLimitSeconds = 3600
)

// ExpectedFirstToken chooses the candidate with the minimum expected time to first
// token, which consists of the work queued before the prompt, the uncached part of the
// prompt and the round-trip time. Candidates of other zones must be faster by the request's
// tolerance, which saves traffic between zones. Candidates above the load bound come last.
type ExpectedFirstToken struct{}

// Choose implements Policy.
func (ExpectedFirstToken) Choose(q Query, candidates []Candidate) int {
	limit := loadLimit(candidates)
	return indexOfMin(q, candidates, func(c Candidate) float64 {
		seconds := EstimateFirstToken(q, c).Seconds()
		if c.ZoneRTT > 0 {
			seconds += q.ZoneTolerance.Seconds()
		}
		if c.loadInFlight() > limit {
			seconds += overLimitSeconds
		}
		return seconds
	})
}

// EstimateFirstToken returns the expected time to first token on a candidate: the
// round-trip time plus, multiplied by the slowness, the prefill of the pending and
// uncached tokens, the delay per request in flight and the wait for a batch slot.
func EstimateFirstToken(q Query, c Candidate) time.Duration {
	rate := c.PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	uncached := max(q.PromptTokens-c.CachedTokens, 0)
	seconds := float64(c.PendingTokens+uncached) / rate
	requestDelay := time.Duration(c.loadInFlight() * float64(perRequestDelay))
	wait := time.Duration(seconds*float64(time.Second)) + requestDelay + batchWait(c)
	return c.ZoneRTT + time.Duration(float64(wait)*max(c.Slowness, 1))
}

// batchWait estimates the wait for a free slot in a full batch, assuming that slots
// become free evenly over the service time.
func batchWait(c Candidate) time.Duration {
	if c.MaxBatch == 0 || c.InFlight < c.MaxBatch {
		return 0
	}
	ahead := c.InFlight - c.MaxBatch + 1
	return c.ServiceTime * time.Duration(ahead) / time.Duration(c.MaxBatch)
}

// loadLimit returns the load bound in requests in flight, see loadBoundFactor. A
// candidate above it is chosen only if all are.
func loadLimit(candidates []Candidate) float64 {
	var sum float64
	for _, c := range candidates {
		sum += c.loadInFlight()
	}
	return loadBoundFactor*sum/float64(len(candidates)) + loadSlack
}

// speed returns the relative speed of the candidate.
func (c Candidate) speed() float64 {
	if c.Speed <= 0 {
		return 1
	}
	return c.Speed
}

// loadInFlight returns the requests in flight, weighted by the time that the candidate needs
// for each.
func (c Candidate) loadInFlight() float64 { return float64(c.InFlight) / c.speed() }
