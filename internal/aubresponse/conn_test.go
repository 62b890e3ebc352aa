package aubresponse_test

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubresponse"
)

// endedConn is a connection whose reads find its end. Its write returns the error once a deadline is set.
type endedConn struct {
	net.Conn
	writeErr    error
	isWriting   chan struct{}
	interrupted chan struct{}
}

func newEndedConn(writeErr error) *endedConn {
	return &endedConn{writeErr: writeErr, isWriting: make(chan struct{}), interrupted: make(chan struct{})}
}

func (*endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endedConn) Write([]byte) (int, error) {
	close(c.isWriting)
	<-c.interrupted
	return 0, c.writeErr
}

func (c *endedConn) SetWriteDeadline(time.Time) error {
	close(c.interrupted)
	return nil
}

// TestEndOfAConnection checks when the end of a connection counts as that of its last response, while a request is written.
func TestEndOfAConnection(t *testing.T) {
	inWrite := func(err error) error { return &net.OpError{Op: "write", Err: os.NewSyscallError("write", err)} }
	for name, test := range map[string]struct {
		writeErr error
		isLost   bool
	}{
		"written":               {},
		"waits for room":        {writeErr: &net.OpError{Op: "write", Err: os.ErrDeadlineExceeded}},
		"closed by this side":   {writeErr: &net.OpError{Op: "write", Err: net.ErrClosed}},
		"ended, then reset":     {writeErr: inWrite(syscall.EPIPE)},
		"reset":                 {writeErr: inWrite(syscall.ECONNRESET), isLost: true},
		"peer is silent":        {writeErr: inWrite(syscall.ETIMEDOUT), isLost: true},
		"peer is not reachable": {writeErr: inWrite(syscall.EHOSTUNREACH), isLost: true},
	} {
		t.Run(name, func(t *testing.T) {
			ended := newEndedConn(test.writeErr)
			conn := aubresponse.NewConn(ended)
			go func() { _, _ = conn.Write([]byte("x")) }()
			<-ended.isWriting
			_, err := conn.Read(make([]byte, 1))
			if !test.isLost {
				qt.Assert(t, err, qt.Equals, io.EOF)
				return
			}
			var broken *aubresponse.BrokenError
			qt.Assert(t, aubresponse.BodyError(err), qt.ErrorAs, &broken)
			qt.Assert(t, broken.Fault, qt.Equals, aubresponse.FaultReset)
		})
	}
}
