package aubengine

import (
	"errors"
	"fmt"
)

// RefusedError says that the engine answered an order and did not execute it.
type RefusedError struct {
	Status int
	Code   string
	Detail string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine refused with status %d: %s: %s", e.Status, e.Code, e.Detail)
}

// NotSentError says that no byte of a request was handed over.
type NotSentError struct{ Err error }

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("request not sent: %v", e.Err) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// UncertainError says that a request may have been executed: it was handed
// over and no answer settles it. It does not unwrap, so that a cause that would
// be a clear outcome by itself is not taken for one.
type UncertainError struct{ Err error }

// Error implements error.
func (e *UncertainError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Err) }

// Errors of an answer's body.
var (
	// ErrIncomplete says that an answer ended before its end mark.
	ErrIncomplete = errors.New("answer ended before its end mark")
	// ErrEventTooLong says that one server-sent event passed the limit.
	ErrEventTooLong = errors.New("server-sent event too long")
	// ErrMixed says that an answer belongs to another request.
	ErrMixed = errors.New("answer belongs to another request")
)
