package aubsite

import "fmt"

// InvalidError is returned for a configuration that can't be activated.
type InvalidError struct {
	// Object names the invalid object, such as a route; it is empty when the whole
	// document is invalid.
	Object string
	Reason string
	Err    error
}

// Error implements error.
func (e *InvalidError) Error() string {
	text := "invalid configuration: "
	if e.Object != "" {
		text += e.Object + " "
	}
	text += e.Reason
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *InvalidError) Unwrap() error { return e.Err }

// SnapshotError is returned for a snapshot that the replicated table can't be restored
// from.
type SnapshotError struct{ Err error }

// Error implements error.
func (e *SnapshotError) Error() string { return "site snapshot is not readable: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Err }

// DocumentError is returned for a document that can't be compressed or decompressed.
type DocumentError struct {
	Number uint64
	Err    error
}

// Error implements error.
func (e *DocumentError) Error() string {
	return fmt.Sprintf("document of revision %d is not readable: %s", e.Number, e.Err.Error())
}

// Unwrap returns the cause.
func (e *DocumentError) Unwrap() error { return e.Err }
