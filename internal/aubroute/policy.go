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

// Policy chooses one of the candidates, which are never empty, by index. A
// policy is a pure function of its arguments.
type Policy[R, C any] interface {
	Choose(request R, candidates []C) int
}

// Query is the part of a request that a policy sees.
type Query struct {
	PromptTokens int64
	// Tie is uniform in [0, 1); it chooses between equals.
	Tie float64
}

// Candidate is the snapshot of one member that could take the request.
type Candidate struct {
	// Distance is the round trip to the member's zone.
	Distance time.Duration
	// PendingTokens are the prompt tokens that wait for prefill: reported ones
	// corrected by this instance's own work.
	PendingTokens int64
	// InFlight counts requests: reported ones corrected by own work.
	InFlight int
	// OwnInFlight counts this instance's requests alone.
	OwnInFlight int
	// PrefillRate in tokens a second.
	PrefillRate float64
	// CachedTokens of the prompt that the member is believed to hold.
	CachedTokens int64
	// Batch is the number of requests that the member was seen to run at once
	// while others waited; 0 while it is not known.
	Batch int
	// ServiceTime is the mean time of one request on the member; 0 while unknown.
	ServiceTime time.Duration
	// Slowness is the ratio of measured to expected first-token time, at least 1.
	Slowness float64
}

// NewPolicy returns the policy of the name. Errors are *PolicyError.
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

// RoundRobin takes the first candidate: the router offers the members in turn.
type RoundRobin struct{}

// Choose implements Policy.
func (RoundRobin) Choose(Query, []Candidate) int { return 0 }

// LeastInFlight takes the candidate with the fewest requests of this instance.
type LeastInFlight struct{}

// Choose implements Policy.
func (LeastInFlight) Choose(q Query, candidates []Candidate) int {
	return smallest(q, candidates, func(c Candidate) float64 { return float64(c.OwnInFlight) })
}

// smallest returns the index of the least value; equals are chosen by the tie.
func smallest(q Query, candidates []Candidate, value func(Candidate) float64) int {
	least := math.Inf(1)
	equals := make([]int, 0, len(candidates))
	for i, c := range candidates {
		v := value(c)
		if v < least {
			least = v
			equals = equals[:0]
		}
		if v == least {
			equals = append(equals, i)
		}
	}
	return equals[min(int(q.Tie*float64(len(equals))), len(equals)-1)]
}
