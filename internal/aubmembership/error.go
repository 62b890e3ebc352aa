package aubmembership

import "fmt"

// RejectReason says why a datagram was rejected.
type RejectReason string

// Reasons for which a datagram is rejected.
const (
	RejectSize      RejectReason = "size"
	RejectVersion   RejectReason = "version"
	RejectTag       RejectReason = "tag"
	RejectMalformed RejectReason = "malformed"
)

// DatagramError says that a received datagram was rejected whole.
type DatagramError struct {
	Reason RejectReason
	Err    error
}

// Error implements error.
func (e *DatagramError) Error() string {
	if e.Err == nil {
		return "datagram rejected: " + string(e.Reason)
	}
	return fmt.Sprintf("datagram rejected: %s: %v", e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *DatagramError) Unwrap() error { return e.Err }

// OptsError says that a membership can't start with its options.
type OptsError struct {
	Field string
	Err   error
}

// Error implements error.
func (e *OptsError) Error() string {
	return fmt.Sprintf("membership option %s: %v", e.Field, e.Err)
}

// Unwrap returns the cause.
func (e *OptsError) Unwrap() error { return e.Err }
