package aubmembership

import "fmt"

// RejectReason is the reason for rejecting a datagram.
type RejectReason string

// Reasons for rejecting a datagram.
const (
	// RejectSize means that the datagram is too short for its header or exceeds
	// MaxDatagramBytes.
	RejectSize RejectReason = "size"
	// RejectVersion means that the format version is not supported.
	RejectVersion RejectReason = "version"
	// RejectTag means that the authentication tag does not match.
	RejectTag RejectReason = "tag"
	// RejectMalformed means that the payload can't be encoded or decoded.
	RejectMalformed RejectReason = "malformed"
)

// DatagramError reports a datagram that can't be encoded or that was rejected on
// receipt.
type DatagramError struct {
	Reason RejectReason
	// Err is the cause, or nil.
	Err error
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

// OptsError reports an invalid option of a Membership.
type OptsError struct {
	// Field is the name of the option in lower case.
	Field string
	Err   error
}

// Error implements error.
func (e *OptsError) Error() string {
	return fmt.Sprintf("membership option %s: %v", e.Field, e.Err)
}

// Unwrap returns the cause.
func (e *OptsError) Unwrap() error { return e.Err }
