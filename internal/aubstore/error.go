package aubstore

import "fmt"

// CorruptError says that the folder holds damaged data. The disk counts as lost.
type CorruptError struct {
	Detail string
	Err    error
}

// Error implements error.
func (e *CorruptError) Error() string {
	if e.Err == nil {
		return "store is damaged: " + e.Detail
	}
	return fmt.Sprintf("store is damaged: %s: %v", e.Detail, e.Err)
}

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Err }

// WriteError says that a write or sync failed and the store stopped.
type WriteError struct {
	Op  string
	Err error
}

// Error implements error.
func (e *WriteError) Error() string { return fmt.Sprintf("store: %s failed: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Err }

// IdentityError says that the folder belongs to another member.
type IdentityError struct {
	Want string
	Have string
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("data folder belongs to member %q, not to %q", e.Have, e.Want)
}

// InUseError says that another process has the folder open.
type InUseError struct {
	Dir string
}

// Error implements error.
func (e *InUseError) Error() string {
	return fmt.Sprintf("data folder %s is in use by another process", e.Dir)
}
