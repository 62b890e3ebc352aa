package aubincarnation

import "fmt"

// CommitError means that an incarnation is not, or not certainly, in the replicated table. What
// depends on it must not be acknowledged.
type CommitError struct {
	ID string
	// Err is nil if the table is full.
	Err error
}

// Error implements error.
func (e *CommitError) Error() string {
	text := fmt.Sprintf("incarnation of backend server %q is not committed", e.ID)
	if e.Err == nil {
		return text + ": the table is full"
	}
	return fmt.Sprintf("%s: %v", text, e.Err)
}

// Unwrap returns the cause.
func (e *CommitError) Unwrap() error { return e.Err }

// SnapshotError means that a snapshot of the table of incarnations can't be encoded or decoded.
type SnapshotError struct{ Err error }

// Error implements error.
func (e *SnapshotError) Error() string { return fmt.Sprintf("snapshot of incarnations: %v", e.Err) }

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Err }
