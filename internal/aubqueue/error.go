package aubqueue

import (
	"fmt"
	"time"
)

// Reason says why a request was refused.
type Reason string

// Reasons of a refusal.
const (
	// ReasonDeadline means that the request cannot start by its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonFull means that the workspace's part of the queue is full.
	ReasonFull Reason = "queue_full"
)

// RefusedError says that a request was refused and not run.
type RefusedError struct {
	// RetryAfter is when coming back makes sense.
	RetryAfter time.Duration
	Reason     Reason
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("admission refused: %s, retry after %v", e.Reason, e.RetryAfter)
}

// CanceledError says that the caller left before its request was admitted.
type CanceledError struct {
	Err error
}

// Error implements error.
func (e *CanceledError) Error() string {
	return fmt.Sprintf("admission canceled: %v", e.Err)
}

// Unwrap returns the context's error.
func (e *CanceledError) Unwrap() error { return e.Err }
