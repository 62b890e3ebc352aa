package aubcontrol

import (
	"fmt"
	"time"
)

// NotCommittedError reports that a command is not and will never be committed.
type NotCommittedError struct {
	Reason string
	// RetryAfter is the suggested wait before a retry; zero means that none is
	// suggested.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *NotCommittedError) Error() string {
	if e.Err == nil {
		return "command not committed: " + e.Reason
	}
	return fmt.Sprintf("command not committed: %s: %v", e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *NotCommittedError) Unwrap() error { return e.Err }

// UncertainError reports that a command may or may not be committed.
type UncertainError struct {
	Reason string
	Err    error
}

// Error implements error.
func (e *UncertainError) Error() string {
	if e.Err == nil {
		return "command may be committed: " + e.Reason
	}
	return fmt.Sprintf("command may be committed: %s: %v", e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Err }

// TableError reports that a replicated table can't be used.
type TableError struct {
	Table  string
	Reason string
	Err    error
}

// Error implements error.
func (e *TableError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("replicated table %q: %s", e.Table, e.Reason)
	}
	return fmt.Sprintf("replicated table %q: %s: %v", e.Table, e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *TableError) Unwrap() error { return e.Err }

// NotConfirmedError reports that a read could not be confirmed.
type NotConfirmedError struct {
	Reason string
	Err    error
}

// Error implements error.
func (e *NotConfirmedError) Error() string {
	return fmt.Sprintf("read not confirmed: %s: %v", e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *NotConfirmedError) Unwrap() error { return e.Err }

// MembershipError reports that a membership change or a leadership transfer is
// refused or did not complete.
type MembershipError struct {
	Reason string
	Err    error
}

// Error implements error.
func (e *MembershipError) Error() string {
	if e.Err == nil {
		return "membership change refused: " + e.Reason
	}
	return fmt.Sprintf("membership change failed: %s: %v", e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *MembershipError) Unwrap() error { return e.Err }

// StorageError reports that the replica's data folder can't be used.
type StorageError struct {
	Err error
}

// Error implements error.
func (e *StorageError) Error() string { return fmt.Sprintf("control replica storage: %v", e.Err) }

// Unwrap returns the cause.
func (e *StorageError) Unwrap() error { return e.Err }

// RestoreError reports why a restore or an export is refused.
type RestoreError struct {
	Reason string
	Err    error
}

// Error implements error.
func (e *RestoreError) Error() string {
	if e.Err == nil {
		return "restore refused: " + e.Reason
	}
	return fmt.Sprintf("restore refused: %s: %v", e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *RestoreError) Unwrap() error { return e.Err }
