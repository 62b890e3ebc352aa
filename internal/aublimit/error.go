package aublimit

import (
	"fmt"
	"time"
)

// Reason is the cause of a refused reservation.
type Reason string

// Reasons of a refusal.
const (
	// ReasonRate means that the workspace exceeds its rate and burst.
	ReasonRate Reason = "rate"
	// ReasonBurst means that the request is larger than the burst.
	ReasonBurst Reason = "exceeds_burst"
	// ReasonCutOff means that the leader can't be reached and the floor is used up.
	ReasonCutOff Reason = "cut_off"
	// ReasonNotGranted means that the leader granted no tokens in time, although the
	// workspace is not known to exceed its rate.
	ReasonNotGranted Reason = "not_granted"
	// ReasonUnknown means that the workspace is not configured.
	ReasonUnknown Reason = "unknown_workspace"
	// ReasonStopped means that this instance no longer accepts reservations: it is
	// shutting down, or a later incarnation has replaced it.
	ReasonStopped Reason = "ended"
)

const (
	// minRetryAfter is the minimum of RefusedError.RetryAfter.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter is the maximum of RefusedError.RetryAfter.
	maxRetryAfter = time.Hour
)

// RefusedError reports that a reservation was refused; no tokens were reserved.
type RefusedError struct {
	// RetryAfter is the time after which a retry can succeed; 0 means never.
	RetryAfter time.Duration
	Reason     Reason
	// Available is the bucket's level in tokens; only SharedCounters sets it.
	Available int64
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("tokens refused: %s, retry after %v", e.Reason, e.RetryAfter)
}

// CanceledError reports that the context ended before the tokens were reserved.
type CanceledError struct {
	Err error
}

// Error implements error.
func (e *CanceledError) Error() string { return fmt.Sprintf("reservation canceled: %v", e.Err) }

// Unwrap returns the context's error.
func (e *CanceledError) Unwrap() error { return e.Err }

// SyncError reports that a sync with the table of limits failed.
type SyncError struct {
	Detail string
	Err    error
}

// Error implements error.
func (e *SyncError) Error() string {
	text := "limits not synced: " + e.Detail
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *SyncError) Unwrap() error { return e.Err }

// refuse returns a refusal with the retry time limited to the allowed range.
func refuse(reason Reason, retryAfter time.Duration) *RefusedError {
	return &RefusedError{Reason: reason, RetryAfter: min(max(retryAfter, minRetryAfter), maxRetryAfter)}
}
