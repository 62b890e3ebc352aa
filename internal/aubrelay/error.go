package aubrelay

import "fmt"

// statusError is an HTTP error status of a backend server.
type statusError struct{ status int }

// Error implements error.
func (e *statusError) Error() string { return fmt.Sprintf("backend server answered %d", e.status) }

// unsentError means that nothing of a request was sent.
type unsentError struct{ err error }

// Error implements error.
func (e *unsentError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *unsentError) Unwrap() error { return e.err }

// outdatedError means that this process may not know the newest incarnations of the backend servers.
type outdatedError struct{}

// Error implements error.
func (e *outdatedError) Error() string { return "registrations of backend servers may be outdated" }

// foreignResponseError is a response that names another request or none.
type foreignResponseError struct {
	callID string
	status int
}

// Error implements error.
func (e *foreignResponseError) Error() string {
	return fmt.Sprintf("answer with status %d belongs to request %q", e.status, e.callID)
}

// unstatedRefusalError is a response whose status promises callers that the request did not run, of a backend
// server that does not state it.
type unstatedRefusalError struct{ status int }

// Error implements error.
func (e *unstatedRefusalError) Error() string {
	return fmt.Sprintf("backend server answered %d without stating that the request did not run", e.status)
}

// unsignedResponseError is a successful response without the backend server's signature.
type unsignedResponseError struct{}

// Error implements error.
func (e *unsignedResponseError) Error() string { return "answer is not signed" }

// eventOrderError is a missing or repeated event in a stream.
type eventOrderError struct{ lastID, nextID int64 }

// Error implements error.
func (e *eventOrderError) Error() string {
	return fmt.Sprintf("event %d follows event %d", e.nextID, e.lastID)
}

// eventIDError is an event without an id in a stream whose events have ids.
type eventIDError struct{ lastID int64 }

// Error implements error.
func (e *eventIDError) Error() string {
	return fmt.Sprintf("event without an id follows event %d", e.lastID)
}

// eventFormatError is an event with a line that is no field of the event stream format.
type eventFormatError struct{ id int64 }

// Error implements error.
func (e *eventFormatError) Error() string { return fmt.Sprintf("event %d is malformed", e.id) }

// emptyStreamError is a stream that ended before its first event although one was due, or with its
// connection.
type emptyStreamError struct{}

// Error implements error.
func (e *emptyStreamError) Error() string { return "stream ended before the first event" }

// eventSizeError is an event that is too large, or for which no buffer was left.
type eventSizeError struct{ bytes int }

// Error implements error.
func (e *eventSizeError) Error() string {
	return fmt.Sprintf("event of %d bytes or more can't be held", e.bytes)
}

// headSizeError is a response whose headers are above the size limit.
type headSizeError struct{ bytes int }

// Error implements error.
func (e *headSizeError) Error() string {
	return fmt.Sprintf("header of the answer has more than %d bytes", e.bytes)
}

// refusalSizeError is a refusal whose end was not read because its body is above the size limit.
type refusalSizeError struct{ bytes int }

// Error implements error.
func (e *refusalSizeError) Error() string {
	return fmt.Sprintf("refusal has more than %d bytes", e.bytes)
}

// informationalError is a response that does not come after many informational ones.
type informationalError struct{ count int }

// Error implements error.
func (e *informationalError) Error() string {
	return fmt.Sprintf("%d informational answers without a final one", e.count)
}
