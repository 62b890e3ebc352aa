package aubdrain

import "fmt"

// SnapshotError is returned for a snapshot that the table can't be restored from.
type SnapshotError struct {
	Err error
}

// Error implements error.
func (e *SnapshotError) Error() string { return fmt.Sprintf("snapshot of drained zones: %v", e.Err) }

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Err }

// UnknownZoneError is returned for an order about a zone that does not exist.
type UnknownZoneError struct {
	Zone string
}

// Error implements error.
func (e *UnknownZoneError) Error() string {
	return fmt.Sprintf("availability zone %q is unknown", e.Zone)
}

// NotDecidedError is returned for an order that was not committed, or whose outcome is not
// known. The caller may repeat it.
type NotDecidedError struct {
	Reason string
	Err    error
}

// Error implements error.
func (e *NotDecidedError) Error() string {
	if e.Err == nil {
		return "zone drain not decided: " + e.Reason
	}
	return fmt.Sprintf("zone drain not decided: %s: %v", e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *NotDecidedError) Unwrap() error { return e.Err }
