package aubdistribution

import "fmt"

// DigestError says that the content of a version is not what its digest names.
type DigestError struct {
	Version uint64
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("version %d does not match its digest", e.Version)
}

// SilentError says that the other end of a stream was not heard for too long.
type SilentError struct {
	Address string
}

// Error implements error.
func (e *SilentError) Error() string { return "no word from " + e.Address }

// StaleServerError says that a server can't confirm its own state.
type StaleServerError struct {
	Address string
}

// Error implements error.
func (e *StaleServerError) Error() string { return e.Address + " can't confirm its configuration" }
