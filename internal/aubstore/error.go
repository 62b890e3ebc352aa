package aubstore

import "fmt"

// CorruptError reports that the data folder holds damaged data. The disk then
// counts as lost.
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

// IOError reports a failed operation on the store's files, with the operation
// and its cause.
type IOError struct {
	Op  string
	Err error
}

// Error implements error.
func (e *IOError) Error() string { return fmt.Sprintf("store: %s failed: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *IOError) Unwrap() error { return e.Err }

// IdentityError reports that the data folder belongs to the member Have instead
// of the member Want.
type IdentityError struct {
	Want string
	Have string
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("data folder belongs to member %q, not to %q", e.Have, e.Want)
}

// InUseError reports that another process holds the lock of the data folder.
type InUseError struct {
	Dir string
}

// Error implements error.
func (e *InUseError) Error() string {
	return fmt.Sprintf("data folder %s is in use by another process", e.Dir)
}
