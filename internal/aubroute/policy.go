package aubroute

import (
	"math"
	"time"
)

// Names of the routing policies.
const (
	PolicyExpectedFirstToken = "expected_first_token"
	PolicyRoundRobin         = "round_robin"
	PolicyLeastInFlight      = "least_in_flight"
)

// Policy chooses a candidate for a request. Implementations are pure functions of
// their arguments.
type Policy[R, C any] interface {
	// Choose returns the index of the chosen candidate. There is at least one.
	Choose(request R, candidates []C) int
}

// Query holds the attributes of a request that policies use.
type Query struct {
	PromptTokens int64
	// ZoneTolerance is the time by which the expected time to first token may be longer in the
	// own zone than in another one.
	ZoneTolerance time.Duration
	// TieBreak is uniformly distributed in [0, 1) and breaks ties between candidates.
	TieBreak float64
}

// Candidate is a snapshot of the load of one member that can take the request.
type Candidate struct {
	// ZoneRTT is the round-trip time to the member's zone; 0 for the local zone.
	ZoneRTT time.Duration
	// PendingTokens is the number of prompt tokens that wait for prefill: the reported
	// ones and those of requests that this instance started since.
	PendingTokens int64
	// InFlight is the number of requests on the member: the reported ones and those
	// that this instance started since.
	InFlight int
	// SelfInFlight is the number of this instance's requests in flight on the member.
	SelfInFlight int
	// PrefillRate is in tokens a second; IsRateMeasured is set if it was measured for the model
	// of the request.
	PrefillRate    float64
	IsRateMeasured bool
	// CachedTokens is the number of prompt tokens expected in the member's cache.
	CachedTokens int64
	// MaxBatch is the number of requests that the member last reported as running while
	// others were queued; 0 while unknown.
	MaxBatch int
	// ServiceTime is the mean duration of a request on the member; 0 while unknown.
	ServiceTime time.Duration
	// Speed is the speed of the member relative to the others; 0 counts as 1.
	Speed float64
	// Slowness is the ratio of measured to expected time to first token, at least 1.
	Slowness float64
}

// NewPolicy returns the policy with the name; empty means PolicyExpectedFirstToken.
// Errors are *PolicyError.
func NewPolicy(name string) (Policy[Query, Candidate], error) {
	switch name {
	case PolicyExpectedFirstToken, "":
		return ExpectedFirstToken{}, nil
	case PolicyRoundRobin:
		return RoundRobin{}, nil
	case PolicyLeastInFlight:
		return LeastInFlight{}, nil
	}
	return nil, &PolicyError{Name: name}
}

// RoundRobin chooses the first candidate: the router offers the members in round-robin
// order.
type RoundRobin struct{}

// Choose implements Policy.
func (RoundRobin) Choose(Query, []Candidate) int { return 0 }

// LeastInFlight chooses the candidate with the fewest requests of this instance in
// flight.
type LeastInFlight struct{}

// Choose implements Policy.
func (LeastInFlight) Choose(q Query, candidates []Candidate) int {
	return indexOfMin(q, candidates, func(c Candidate) float64 { return float64(c.SelfInFlight) })
}

// indexOfMin returns the index of the candidate with the minimum value. Query.TieBreak
// selects between equal ones.
func indexOfMin(q Query, candidates []Candidate, value func(Candidate) float64) int {
	minValue := math.Inf(1)
	ties := make([]int, 0, len(candidates))
	for i, c := range candidates {
		current := value(c)
		if current < minValue {
			minValue = current
			ties = ties[:0]
		}
		if current == minValue {
			ties = append(ties, i)
		}
	}
	return ties[min(int(q.TieBreak*float64(len(ties))), len(ties)-1)]
}
