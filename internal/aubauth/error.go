package aubauth

import (
	"fmt"
	"time"
)

// Reason is why a key does not authenticate. It is for metrics and logs only.
type Reason string

// Reasons why a key does not authenticate.
const (
	ReasonMissing   Reason = "missing"
	ReasonUnknown   Reason = "unknown"
	ReasonWithdrawn Reason = "withdrawn"
)

// UnauthenticatedError says that a key does not authenticate. Its text is the
// same for every reason, so that a caller can't probe for keys.
type UnauthenticatedError struct {
	Reason Reason
}

// Error implements error.
func (*UnauthenticatedError) Error() string { return "no valid key" }

// StaleConfigError says that this process has been without the control leader
// for longer than the workspace allows.
type StaleConfigError struct {
	Workspace string
	// RetryAfter is when trying again makes sense.
	RetryAfter time.Duration
}

// Error implements error.
func (e *StaleConfigError) Error() string {
	if e.Workspace == "" {
		return "the configuration is not known yet"
	}
	return fmt.Sprintf("the keys of workspace %q can't be confirmed", e.Workspace)
}

// SecretError says that a secret can't be stored.
type SecretError struct {
	Reason string
}

// Error implements error.
func (e *SecretError) Error() string { return "the key " + e.Reason }

// RandomError says that the machine's source of randomness failed.
type RandomError struct {
	Err error
}

// Error implements error.
func (e *RandomError) Error() string { return fmt.Sprintf("no random bytes: %v", e.Err) }

// Unwrap returns the cause.
func (e *RandomError) Unwrap() error { return e.Err }
