package aubroute

import (
	"fmt"
	"time"
)

// NoBackendError is returned when no backend server can take a request now. The request
// was not run.
type NoBackendError struct {
	// Name is the model, adapter or service.
	Name string
	// Known is true when the model, adapter or service exists, so that a load on demand
	// or a later retry can succeed.
	Known bool
	// RetryAfter is the time after which a retry can succeed; 0 if not Known.
	RetryAfter time.Duration
	// Limited is the member whose rate limit allows the next request first, empty if the
	// request was not turned away because of rate limits. LimitedIncarnation is its
	// incarnation.
	Limited            string
	LimitedIncarnation uint64
}

// withLimited returns the error with the member whose rate limit turned the request away.
func (e NoBackendError) withLimited(member limitedMember) *NoBackendError {
	if member.wait > 0 {
		e.Limited, e.LimitedIncarnation, e.RetryAfter = member.name, member.incarnation, member.wait
	}
	return &e
}

// Error implements error.
func (e *NoBackendError) Error() string {
	if !e.Known {
		return fmt.Sprintf("no backend server for %s: not known", e.Name)
	}
	if e.Limited != "" {
		return fmt.Sprintf("rate limit of %s is reached for %s: retry after %s", e.Limited, e.Name, e.RetryAfter)
	}
	return fmt.Sprintf("no backend server for %s: retry after %s", e.Name, e.RetryAfter)
}

// PolicyError is returned for an unknown policy name.
type PolicyError struct {
	Name string
}

// Error implements error.
func (e *PolicyError) Error() string {
	return fmt.Sprintf("unknown routing policy %q, allowed are %s, %s, %s",
		e.Name, PolicyExpectedFirstToken, PolicyRoundRobin, PolicyLeastInFlight)
}
