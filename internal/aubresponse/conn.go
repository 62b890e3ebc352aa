package aubresponse

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// interruptTime is a deadline that has passed.
var interruptTime = time.Unix(1, 0)

// Conn is a connection to a backend server that checks the heads of responses while they are read, and tells the end of the
// connection from its loss. Errors of Read are *BrokenError or those of the connection.
//
// Lock order: mu and writing are leaf locks.
type Conn struct {
	net.Conn
	// readsOn is set if the rest of a request is dropped once the connection is lost, without an error, so that a response that
	// came before is read.
	readsOn bool

	mu   sync.Mutex
	head headScanner
	// hasReceived is set once a byte was received since the response was expected.
	hasReceived bool

	// writing is held during a write and guards the fields below.
	writing sync.Mutex
	// writeErr is the first error of a write that the peer or the network caused.
	writeErr error
	// hasWritten is set once a part of the request was written.
	hasWritten bool
}

// NewConn returns a connection on which a response is expected.
func NewConn(conn net.Conn) *Conn {
	c := &Conn{Conn: conn}
	c.head.expect()
	return c
}

// NetConn returns the connection that this one checks.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// ExpectResponse begins to check the head of the next response, of which the buffered bytes were read before. The error is
// *BrokenError.
func (c *Conn) ExpectResponse(buffered []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.err != nil {
		return c.head.err
	}
	c.head.expect()
	c.hasReceived = len(buffered) > 0
	_, err := c.head.scan(buffered)
	return err
}

// HeadError returns the error of a head that net/http could not read as a *BrokenError, unless this side ended the connection or
// nothing of the response was received.
func (c *Conn) HeadError(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.head.err != nil:
		return c.head.err
	case !c.hasReceived:
		return err
	}
	return classify(err, FaultHead)
}

// Read implements net.Conn.
func (c *Conn) Read(data []byte) (int, error) {
	if err := c.violation(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(data)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasReceived = c.hasReceived || n > 0
	n, headErr := c.head.scan(data[:n])
	if headErr != nil {
		return n, headErr
	}
	return n, err
}

// violation returns the *BrokenError of the first malformed head; nil for none.
func (c *Conn) violation() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.err
}

// beginRequest begins to write a request.
func (c *Conn) beginRequest() {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.hasWritten = false
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr == nil {
		n, err := c.Conn.Write(data)
		c.hasWritten = c.hasWritten || n > 0
		var errno syscall.Errno
		if !errors.As(err, &errno) {
			return n, err
		}
		c.writeErr = err
		if !c.readsOn {
			return n, err
		}
	}
	if c.readsOn && c.hasWritten {
		return len(data), nil
	}
	return 0, c.writeErr
}

// endError returns io.EOF if the peer has ended the connection, and the loss of the connection otherwise. The kernel reports a loss
// once: if a write was told of it, reads find the end of the connection. EPIPE means that the peer had ended the connection in
// order before. A write in progress is interrupted, since nothing can follow on the connection.
func (c *Conn) endError() error {
	_ = c.SetWriteDeadline(interruptTime)
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE) {
		return io.EOF
	}
	return c.writeErr
}
