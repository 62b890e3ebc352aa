// Package aubresponse checks what backend servers send as HTTP/1 responses: their heads against the grammar of RFC 9112, and
// their ends. net/http tolerates heads that frame the body otherwise than their sender meant, and takes a connection for ended
// in order if its reset was reported to a write.
package aubresponse

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
)

// Fault is why a response is broken.
type Fault string

// Faults.
const (
	// FaultStatus is a status that no response to a request of ours can have.
	FaultStatus Fault = "invalid_status"
	// FaultHead is a head that the grammar does not allow.
	FaultHead Fault = "malformed_head"
	// FaultFraming is a head that contradicts itself about the end of the body.
	FaultFraming Fault = "faulty_framing"
	// FaultBody is a body, or a trailer, that the grammar does not allow.
	FaultBody Fault = "malformed_body"
	// FaultTruncated is a response that ended before its end.
	FaultTruncated Fault = "truncated"
	// FaultReset is a response whose connection was lost before its end.
	FaultReset Fault = "reset"
)

// Faults returns all faults.
func Faults() []Fault {
	return []Fault{FaultStatus, FaultHead, FaultFraming, FaultBody, FaultTruncated, FaultReset}
}

// BrokenError is a response that is not HTTP or whose end is not known. It says nothing about its request.
type BrokenError struct {
	Fault Fault
	Err   error
}

// Error implements error.
func (e *BrokenError) Error() string { return fmt.Sprintf("answer is broken (%s): %v", e.Fault, e.Err) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// errSecondHead means that a head broke off and went on with that of another response.
var errSecondHead = errors.New("head holds another status line")

func newBrokenError(fault Fault, format string, args ...any) *BrokenError {
	return &BrokenError{Fault: fault, Err: fmt.Errorf(format, args...)}
}

// BodyError returns the error of a body that could not be read as a *BrokenError, unless this side ended the connection.
func BodyError(err error) error { return classify(err, FaultBody) }

// classify returns the error as a *BrokenError; malformed is its fault if it is not that of a connection.
func classify(err error, malformed Fault) error {
	var broken *BrokenError
	var errno syscall.Errno
	switch {
	case err == nil, errors.As(err, &broken):
		return err
	case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded),
		errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return err
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return &BrokenError{Fault: FaultTruncated, Err: io.ErrUnexpectedEOF}
	case errors.As(err, &errno):
		return &BrokenError{Fault: FaultReset, Err: err}
	}
	return &BrokenError{Fault: malformed, Err: err}
}
