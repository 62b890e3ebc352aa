package aubroute

import (
	"fmt"
	"time"
)

// NoBackendError says that no backend server can take a request now. The
// request was not run.
type NoBackendError struct {
	Name string
	// Known is true when the model, adapter or service exists, so that a load on
	// demand or a later try can succeed.
	Known bool
	// RetryAfter is when coming back makes sense.
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoBackendError) Error() string {
	if !e.Known {
		return fmt.Sprintf("no backend server for %s: not known", e.Name)
	}
	return fmt.Sprintf("no backend server for %s: retry after %s", e.Name, e.RetryAfter)
}

// PolicyError says that a policy name is not known.
type PolicyError struct {
	Name string
}

// Error implements error.
func (e *PolicyError) Error() string {
	return fmt.Sprintf("routing policy %q: allowed are %s, %s, %s",
		e.Name, PolicyExpectedFirstToken, PolicyRoundRobin, PolicyLeastInFlight)
}
