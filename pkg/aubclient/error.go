package aubclient

import (
	"fmt"

	"github.com/auburndale/auburndale/pkg/aubapi"
)

// ProblemError is a refusal by the administration API.
type ProblemError struct {
	Problem aubapi.Problem
}

// Error implements error.
func (e *ProblemError) Error() string {
	text := e.Problem.Detail
	if e.Problem.RetryAfter > 0 {
		text += fmt.Sprintf(" (try again after %s)", e.Problem.RetryAfter)
	}
	return text
}

// UncertainError reports that no valid response was received, so a ticket may or may
// not be committed.
type UncertainError struct {
	Err error
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("no answer, so the outcome is unknown; sending the same request again is safe: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Err }
