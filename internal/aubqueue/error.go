package aubqueue

import (
	"fmt"
	"time"
)

// Reason is the cause of a refusal.
type Reason string

// Values of Reason.
const (
	// ReasonDeadline means that the request can't start by its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonFull means that the workspace has the maximum number of waiting requests
	// in the group.
	ReasonFull Reason = "queue_full"
)

// RefusedError is returned for a request that was refused. The request was not run.
type RefusedError struct {
	// RetryAfter is the time after which a retry can succeed.
	RetryAfter time.Duration
	Reason     Reason
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("admission refused: %s, retry after %v", e.Reason, e.RetryAfter)
}

// CanceledError is returned when the context was canceled before the request was
// admitted. The request was not run.
type CanceledError struct {
	Err error
}

// Error implements error.
func (e *CanceledError) Error() string {
	return fmt.Sprintf("admission canceled: %v", e.Err)
}

// Unwrap returns the context's error.
func (e *CanceledError) Unwrap() error { return e.Err }
