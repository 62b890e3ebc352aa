package aubclaim

import (
	"fmt"
	"time"
)

// NotClaimedError says that Begin got no confirmed claim. The call must not be
// sent, so that it is not run by this attempt.
type NotClaimedError struct {
	// RetryAfter is when trying again makes sense.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *NotClaimedError) Error() string {
	return fmt.Sprintf("call not claimed: %v", e.Err)
}

// Unwrap returns the cause.
func (e *NotClaimedError) Unwrap() error { return e.Err }

// NotOwnerError says that the attempt holds no claim that could be changed.
type NotOwnerError struct {
	Attempt string
}

// Error implements error.
func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("attempt %s holds no claim", e.Attempt)
}

// NotRecordedError says that an outcome, release or abandonment may not be
// committed. It is tried again in the background.
type NotRecordedError struct {
	Err error
}

// Error implements error.
func (e *NotRecordedError) Error() string {
	return fmt.Sprintf("claim not updated yet: %v", e.Err)
}

// Unwrap returns the cause.
func (e *NotRecordedError) Unwrap() error { return e.Err }

// ReplyError says that the table answered with something this process does not
// understand.
type ReplyError struct {
	Detail string
	Err    error
}

// Error implements error.
func (e *ReplyError) Error() string {
	return fmt.Sprintf("answer of the table of claims not understood: %s: %v", e.Detail, e.Err)
}

// Unwrap returns the cause.
func (e *ReplyError) Unwrap() error { return e.Err }
