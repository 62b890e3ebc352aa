package aubregistry

// SilentError means that a control process sent nothing for streamTimeout on an open
// connection.
type SilentError struct{ Address string }

// Error implements error.
func (e *SilentError) Error() string { return "control process " + e.Address + " sends no messages" }

// NoControlError means that no control process can handle a call: none is connected, or
// no leader is known.
type NoControlError struct{}

// Error implements error.
func (e *NoControlError) Error() string { return "no control process answers" }
