package aubregistry

// SilentError says that a control process sends nothing on an open connection.
type SilentError struct{ Address string }

// Error implements error.
func (e *SilentError) Error() string { return "control process " + e.Address + " fell silent" }

// NoControlError says that no control process answers.
type NoControlError struct{}

// Error implements error.
func (e *NoControlError) Error() string { return "no control process answers" }
