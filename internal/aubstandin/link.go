package aubstandin

import (
	"context"
	"net"

	"golang.org/x/time/rate"
)

// linkBurstBytes limits the data that passes a link at once.
const linkBurstBytes = 16 << 10

// Link is the network link of one machine. All wrapped connections share its bandwidth,
// which applies to each direction.
type Link struct {
	received *rate.Limiter
	sent     *rate.Limiter
}

// NewLink returns a link with the bandwidth in bytes per second.
func NewLink(bytesPerSecond int) *Link {
	return &Link{
		received: rate.NewLimiter(rate.Limit(bytesPerSecond), linkBurstBytes),
		sent:     rate.NewLimiter(rate.Limit(bytesPerSecond), linkBurstBytes),
	}
}

// Wrap returns a connection over the link; conn may be nil after a failed dial.
func (l *Link) Wrap(conn net.Conn) net.Conn {
	if conn == nil {
		return nil
	}
	return &linkedConn{Conn: conn, link: l}
}

// linkedConn delays data to the bandwidth of its link.
type linkedConn struct {
	net.Conn

	link *Link
}

// Read implements net.Conn.
func (c *linkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), linkBurstBytes)])
	if waitErr := c.link.received.WaitN(context.Background(), n); waitErr != nil {
		return n, waitErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *linkedConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		part := p[written:min(len(p), written+linkBurstBytes)]
		if err := c.link.sent.WaitN(context.Background(), len(part)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(part)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
