package aubresponse

import (
	"net"
	"sync"
)

// Conn is a connection to a backend server that checks the heads of responses while they are read. Errors of Read are *BrokenError
// or those of the connection.
//
// Lock order: mu is a leaf lock.
type Conn struct {
	net.Conn

	mu   sync.Mutex
	head headScanner
	// hasReceived is set once a byte was received since the response was expected.
	hasReceived bool
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
