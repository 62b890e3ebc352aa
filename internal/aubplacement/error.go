package aubplacement

import "fmt"

// OptsError reports an option with a value that is not allowed.
type OptsError struct {
	Field string
	Value string
}

// Error implements error.
func (e *OptsError) Error() string {
	return fmt.Sprintf("placement option %s: %q is not allowed", e.Field, e.Value)
}

// FenceError reports that no fencing number was obtained.
type FenceError struct {
	Reason string
	Err    error
}

// Error implements error.
func (e *FenceError) Error() string {
	if e.Err == nil {
		return "no fencing number: " + e.Reason
	}
	return fmt.Sprintf("no fencing number: %s: %v", e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *FenceError) Unwrap() error { return e.Err }
