package aubauth

import (
	"fmt"
	"time"
)

// Reason is the reason why a key does not authenticate. It is for metrics and logs;
// callers learn at most that the key is missing.
type Reason string

// Reasons why a key does not authenticate.
const (
	ReasonMissing   Reason = "missing"
	ReasonUnknown   Reason = "unknown"
	ReasonWithdrawn Reason = "withdrawn"
)

// UnauthenticatedError reports that a key does not authenticate. Its text is the same
// for every reason, to prevent callers from probing for keys.
type UnauthenticatedError struct {
	Reason Reason
}

// Error implements error.
func (*UnauthenticatedError) Error() string { return "no valid key" }

// StaleConfigError reports that this process has not confirmed its configuration with
// the control leader for longer than the workspace allows, or has none yet.
type StaleConfigError struct {
	// Workspace is empty when the process has no configuration yet.
	Workspace string
	// RetryAfter is the time after which the caller should retry.
	RetryAfter time.Duration
}

// Error implements error.
func (e *StaleConfigError) Error() string {
	if e.Workspace == "" {
		return "the configuration is not known yet"
	}
	return fmt.Sprintf("the keys of workspace %q can't be confirmed", e.Workspace)
}

// SecretError reports that the length or the characters of a secret are not allowed.
type SecretError struct {
	Reason string
}

// Error implements error.
func (e *SecretError) Error() string { return "the key " + e.Reason }

// RandomError reports that the operating system returned no random bytes.
type RandomError struct {
	Err error
}

// Error implements error.
func (e *RandomError) Error() string { return fmt.Sprintf("no random bytes: %v", e.Err) }

// Unwrap returns the cause.
func (e *RandomError) Unwrap() error { return e.Err }
