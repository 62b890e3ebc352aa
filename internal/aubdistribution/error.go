package aubdistribution

import "fmt"

// DigestError reports a configuration whose content does not match its digest.
type DigestError struct {
	// Version is the version of the configuration.
	Version uint64
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("configuration version %d does not match its digest", e.Version)
}

// ReceiveTimeoutError reports that no message was received from a server within
// receiveTimeout.
type ReceiveTimeoutError struct {
	Address string
}

// Error implements error.
func (e *ReceiveTimeoutError) Error() string { return "no message received in time from " + e.Address }

// UnconfirmedServerError reports that a server's last confirmation of its configuration is
// missing or older than maxConfirmationAge.
type UnconfirmedServerError struct {
	Address string
}

// Error implements error.
func (e *UnconfirmedServerError) Error() string {
	return e.Address + " has no recent confirmation of its configuration"
}
