package aubregistry

import "fmt"

// SilentError means that a control process sent nothing for streamTimeout on an open
// connection.
type SilentError struct{ Address string }

// Error implements error.
func (e *SilentError) Error() string { return "control process " + e.Address + " sends no messages" }

// NoControlError means that no control process can handle a call: none is connected, or
// no leader is known.
type NoControlError struct{}

// Error implements error.
func (e *NoControlError) Error() string { return "no control process answers" }

// IncompleteRevisionError means that the transfer of a configuration ended early.
type IncompleteRevisionError struct {
	Number uint64
	// Received and Total are sizes in bytes.
	Received int64
	Total    int64
}

// Error implements error.
func (e *IncompleteRevisionError) Error() string {
	return fmt.Sprintf("received %d of %d bytes of configuration %d", e.Received, e.Total, e.Number)
}

// NoConnectionError means that no connection to a control process was established in time.
type NoConnectionError struct {
	Address string
	// State is the last state of the connection.
	State string
}

// Error implements error.
func (e *NoConnectionError) Error() string {
	return "no connection to control process " + e.Address + ": " + e.State
}

// SnapshotError means that a file holds no snapshot that this process can use.
type SnapshotError struct {
	Reason string
	// Err is the cause; it may be nil.
	Err error
}

// Error implements error.
func (e *SnapshotError) Error() string {
	if e.Err != nil {
		return "snapshot " + e.Reason + ": " + e.Err.Error()
	}
	return "snapshot " + e.Reason
}

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Err }

// DepartureError means that the departure of a backend server is not acknowledged. It takes effect as
// far as processes have learned of it.
type DepartureError struct {
	ID     string
	Reason string
	Err    error
}

// Error implements error.
func (e *DepartureError) Error() string {
	text := fmt.Sprintf("departure of backend server %q is not confirmed: %s", e.ID, e.Reason)
	if e.Err == nil {
		return text
	}
	return fmt.Sprintf("%s: %v", text, e.Err)
}

// Unwrap returns the cause.
func (e *DepartureError) Unwrap() error { return e.Err }
