package aubstate

import "fmt"

// SnapshotError reports that a snapshot of the configuration can't be decoded.
type SnapshotError struct {
	Err error
}

// Error implements error.
func (e *SnapshotError) Error() string {
	return fmt.Sprintf("configuration snapshot not readable: %v", e.Err)
}

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Err }
