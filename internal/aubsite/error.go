package aubsite

// InvalidError says why a configuration can't come into force.
type InvalidError struct {
	// Object names the part at fault; empty for the whole.
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

// SnapshotError says that the replicated table can't be restored.
type SnapshotError struct{ Err error }

// Error implements error.
func (e *SnapshotError) Error() string { return "site snapshot is not readable: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Err }
