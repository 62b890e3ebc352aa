package aublimit

import (
	"fmt"
	"time"
)

// Reason says why a reservation was refused.
type Reason string

// Reasons of a refusal.
const (
	// ReasonRate means that the workspace is over its rate and burst.
	ReasonRate Reason = "rate"
	// ReasonBurst means that the request can never fit into the burst.
	ReasonBurst Reason = "exceeds_burst"
	// ReasonCutOff means that the leader cannot be reached and the floor is used up.
	ReasonCutOff Reason = "cut_off"
	// ReasonUnknown means that the workspace is not configured.
	ReasonUnknown Reason = "unknown_workspace"
	// ReasonEnded means that this instance takes no reservations any more.
	ReasonEnded Reason = "ended"
)

const (
	// minRetryAfter is the least time that a refused caller is told to wait.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter is the longest.
	maxRetryAfter = time.Hour
)

// RefusedError says that nothing was reserved.
type RefusedError struct {
	// RetryAfter is when coming back makes sense; 0 means never.
	RetryAfter time.Duration
	Reason     Reason
	// Available is the number of tokens that were left, where the policy knows it.
	Available int64
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("tokens refused: %s, retry after %v", e.Reason, e.RetryAfter)
}

// CanceledError says that the caller left before its tokens were reserved.
type CanceledError struct {
	Err error
}

// Error implements error.
func (e *CanceledError) Error() string { return fmt.Sprintf("reservation canceled: %v", e.Err) }

// Unwrap returns the context's error.
func (e *CanceledError) Unwrap() error { return e.Err }

// SyncError says that the exchange with the table of limits failed.
type SyncError struct {
	Detail string
	Err    error
}

// Error implements error.
func (e *SyncError) Error() string { return fmt.Sprintf("limits not synced: %s: %v", e.Detail, e.Err) }

// Unwrap returns the cause.
func (e *SyncError) Unwrap() error { return e.Err }

func refuse(reason Reason, after time.Duration) *RefusedError {
	return &RefusedError{Reason: reason, RetryAfter: min(max(after, minRetryAfter), maxRetryAfter)}
}
