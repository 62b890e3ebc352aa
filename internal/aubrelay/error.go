package aubrelay

import "fmt"

// statusError is an HTTP error status of a backend server.
type statusError struct{ status int }

// Error implements error.
func (e *statusError) Error() string { return fmt.Sprintf("backend server answered %d", e.status) }

// foreignResponseError is a response that names another request.
type foreignAnswerError struct{ callID string }

// Error implements error.
func (e *foreignAnswerError) Error() string {
	return fmt.Sprintf("answer belongs to request %q", e.callID)
}

// unsignedResponseError is a successful response without the backend server's signature.
type unsignedError struct{}

// Error implements error.
func (e *unsignedError) Error() string { return "answer is not signed" }

// eventOrderError is a missing or repeated event in a stream.
type eventOrderError struct{ last, next int64 }

// Error implements error.
func (e *eventOrderError) Error() string {
	return fmt.Sprintf("event %d follows event %d", e.next, e.last)
}

// eventSizeError is an event above the size limit.
type eventSizeError struct{ bytes int }

// Error implements error.
func (e *eventSizeError) Error() string { return fmt.Sprintf("event of more than %d bytes", e.bytes) }
