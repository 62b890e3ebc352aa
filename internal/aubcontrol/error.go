package aubcontrol

import (
	"fmt"
	"time"
)

// NotCommittedError says that a command was not and will never be committed.
type NotCommittedError struct {
	Reason string
	// RetryAfter is when trying again makes sense.
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

// UncertainError says that a command may or may not be committed.
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

// TableError says that a replicated table can't be used.
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

// NotConfirmedError says that a read could not be confirmed.
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

// MembershipError says that a change of members or leader is refused or not complete.
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

// StorageError says that the replica's data folder can't be used.
type StorageError struct {
	Err error
}

// Error implements error.
func (e *StorageError) Error() string { return fmt.Sprintf("control replica storage: %v", e.Err) }

// Unwrap returns the cause.
func (e *StorageError) Unwrap() error { return e.Err }

// RestoreError says why a restore is refused.
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
