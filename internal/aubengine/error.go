package aubengine

import (
	"errors"
	"fmt"
)

// RefusedError means that the engine responded with an error and did not execute the request.
type RefusedError struct {
	Status int
	Code   string
	Detail string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine refused with status %d: %s: %s", e.Status, e.Code, e.Detail)
}

// NotSentError means that no byte of a request was sent.
type NotSentError struct{ Err error }

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("request not sent: %v", e.Err) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// UncertainError means that a request may have been executed: it was sent, and no
// response says whether it was executed. It has no Unwrap method, because
// errors.As would find a cause such as *RefusedError and take it for a certain
// outcome.
type UncertainError struct{ Err error }

// Error implements error.
func (e *UncertainError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Err) }

// Errors in an answer.
var (
	// ErrIncomplete means that an answer was truncated: a stream ended without its
	// end mark, or a body before its end.
	ErrIncomplete = errors.New("answer ended before its end mark")
	// ErrNoEvent means that an answer holds text that is no server-sent event of it.
	ErrNoEvent = errors.New("text is no event")
	// ErrEventTooLong means that a server-sent event exceeded MaxEventBytes.
	ErrEventTooLong = errors.New("server-sent event too long")
	// ErrAnswerMismatch means that an answer belongs to another request.
	ErrAnswerMismatch = errors.New("answer belongs to another request")
)
