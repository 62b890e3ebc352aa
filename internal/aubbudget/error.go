package aubbudget

import "fmt"

// ExhaustedError means that a request may not hold more bytes, or had to yield to another one.
type ExhaustedError struct {
	// Held and Wanted are in bytes.
	Held, Wanted int64
	// IsPermanent is set if the request is larger than all that requests may hold.
	IsPermanent bool
}

// Error implements error.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("budget for requests is exhausted: %d bytes held, %d more wanted", e.Held, e.Wanted)
}

// BodyTimeoutError means that the body of a request did not arrive in time.
type BodyTimeoutError struct{ err error }

// Error implements error.
func (e *BodyTimeoutError) Error() string { return "body did not arrive in time: " + e.err.Error() }

// Unwrap returns the cause.
func (e *BodyTimeoutError) Unwrap() error { return e.err }
