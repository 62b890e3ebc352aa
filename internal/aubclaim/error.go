package aubclaim

import (
	"fmt"
	"time"
)

// NotClaimedError reports that Begin got no confirmed claim. This attempt must not
// send the call.
type NotClaimedError struct {
	// RetryAfter is the time after which the caller should retry.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *NotClaimedError) Error() string {
	return fmt.Sprintf("call not claimed: %v", e.Err)
}

// Unwrap returns the cause.
func (e *NotClaimedError) Unwrap() error { return e.Err }

// UncertainTryError reports that the last try of a Begin was refused while an earlier one may
// still be committed and get the claim.
type UncertainTryError struct {
	// Result is the reply to the last try.
	Result string
}

// Error implements error.
func (e *UncertainTryError) Error() string {
	return fmt.Sprintf("refused with %s, but an earlier try may still be committed", e.Result)
}

// NotOwnerError reports that the attempt holds no claim, or one that can't be changed
// in this way.
type NotOwnerError struct {
	Attempt string
}

// Error implements error.
func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("attempt %q holds no claim", e.Attempt)
}

// NotRecordedError reports that a Finish, Release or Abandon is not known to be
// committed. It is retried in the background.
type NotRecordedError struct {
	Err error
}

// Error implements error.
func (e *NotRecordedError) Error() string {
	return fmt.Sprintf("claim not updated yet: %v", e.Err)
}

// Unwrap returns the cause.
func (e *NotRecordedError) Unwrap() error { return e.Err }

// ReplyError reports that a command to the table of claims can't be encoded, or that
// the table's reply can't be decoded or is not one that the command expects.
type ReplyError struct {
	Detail string
	Err    error
}

// Error implements error.
func (e *ReplyError) Error() string {
	text := "invalid exchange with the table of claims: " + e.Detail
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *ReplyError) Unwrap() error { return e.Err }
