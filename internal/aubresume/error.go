package aubresume

import (
	"fmt"
	"time"
)

// UnknownError means that nobody who was asked knows where a stream began.
type UnknownError struct {
	CallID string
	// RetryAfter is the time after which another process may be asked; 0 if all were.
	RetryAfter time.Duration
}

// Error implements error.
func (e *UnknownError) Error() string {
	return "software version of the stream that began with request " + e.CallID + " is not known"
}

// CommitError means that a software version is not in the replicated table. Backend servers
// with it must not be used.
type CommitError struct {
	Service  string
	Software string
	// Err is nil if the table is full.
	Err error
}

// Error implements error.
func (e *CommitError) Error() string {
	text := fmt.Sprintf("software version %q of service %s is not committed", e.Software, e.Service)
	if e.Err == nil {
		return text + ": the table is full"
	}
	return fmt.Sprintf("%s: %v", text, e.Err)
}

// Unwrap returns the cause.
func (e *CommitError) Unwrap() error { return e.Err }

// SnapshotError means that a snapshot of the table of software versions can't be encoded or
// decoded.
type SnapshotError struct{ Err error }

// Error implements error.
func (e *SnapshotError) Error() string {
	return fmt.Sprintf("snapshot of software versions: %v", e.Err)
}

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Err }
