package aubrelay

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubheader"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

const (
	// idleConnTimeout is shorter than that of backend servers, so that they don't close a
	// connection that is about to be reused.
	idleConnTimeout = 8 * time.Second
	// idleCheckInterval is the time between two searches for connections that were idle for
	// idleConnTimeout.
	idleCheckInterval = time.Second
	// maxIdlePerBackend limits the idle connections to one backend server.
	maxIdlePerBackend = 32
	// connBufferBytes is the size of a connection's read buffer and of its write buffer.
	connBufferBytes = 2 << 10
)

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// connPool holds the idle connections to backend servers. A backend server may send a response
// a second time, in the place of a later one. Therefore a connection is reused only after
// a complete response that names its request, and never for a request that it has carried.
//
// Lock order: mu is a leaf lock.
type connPool struct {
	timer     aubtimer.Service
	dial      dialFunc
	transport *http.Transport

	mu sync.Mutex
	// idle holds the idle connections by address in the order of their last use.
	idle map[string][]*backendConn
	// isClosed is set once the pool keeps no more connections.
	isClosed bool
}

// backendConn is a connection to a backend server. One request at a time uses it.
type backendConn struct {
	client  *http.ClientConn
	sent    *sentMarker
	address string
	// isReused is set if it has carried a request before the current one.
	isReused  bool
	idleSince time.Time
}

func (c *backendConn) close() { _ = c.client.Close() }

// newConnPool returns a pool that closes its idle connections when ctx ends. It requests no
// compression, follows no redirects and sends no request again by itself.
func newConnPool(ctx context.Context, timer aubtimer.Service, dial dialFunc) *connPool {
	p := &connPool{
		timer: timer, dial: dial, idle: make(map[string][]*backendConn),
		transport: &http.Transport{
			DialContext:        dialedConn,
			DisableCompression: true,
			ReadBufferSize:     connBufferBytes,
			WriteBufferSize:    connBufferBytes,

			MaxResponseHeaderBytes: aubheader.MaxResponseBytes,
		},
	}
	ticks := timer.Subscribe(ctx, idleCheckInterval)
	go func() {
		for {
			select {
			case <-ticks:
				p.closeIdle(timer.Now().Add(-idleConnTimeout))
			case <-ctx.Done():
				p.close()
				return
			}
		}
	}()
	return p
}

// dialedConnKey is the key of a context value that holds the connection of a new client.
type dialedConnKey struct{}

// dialedConn returns the connection in ctx.
func dialedConn(ctx context.Context, _, _ string) (net.Conn, error) {
	conn, ok := ctx.Value(dialedConnKey{}).(*sentMarker)
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// take returns an idle or else a new connection to the address, but none of the excluded ones.
func (p *connPool) take(ctx context.Context, address string, excluded []*backendConn) (*backendConn, error) {
	if conn := p.takeIdle(address, excluded); conn != nil {
		return conn, nil
	}
	netConn, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	sent := &sentMarker{Conn: netConn}
	client, err := p.transport.NewClientConn(context.WithValue(ctx, dialedConnKey{}, sent), "http", address)
	if err != nil {
		_ = netConn.Close()
		return nil, err
	}
	return &backendConn{client: client, sent: sent, address: address}, nil
}

// takeIdle returns the last used idle connection that is still open; nil if there is none.
func (p *connPool) takeIdle(address string, excluded []*backendConn) *backendConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	for i := len(conns) - 1; i >= 0; i-- {
		conn := conns[i]
		if slices.Contains(excluded, conn) {
			continue
		}
		conns = slices.Delete(conns, i, i+1)
		p.idle[address] = conns
		if conn.client.Reserve() == nil {
			conn.isReused = true
			conn.sent.begin()
			return conn
		}
	}
	return nil
}

// give returns a connection whose response was read. It closes one whose response or request
// is not complete.
func (p *connPool) give(conn *backendConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[conn.address]
	if p.isClosed || conn.client.Available() == 0 || len(conns) >= maxIdlePerBackend {
		conn.close()
		return
	}
	conn.idleSince = p.timer.Now()
	p.idle[conn.address] = append(conns, conn)
}

// closeIdle closes the connections that were last used before the time given, and drops those
// that the backend servers have closed.
func (p *connPool) closeIdle(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		conns = slices.DeleteFunc(conns, func(conn *backendConn) bool {
			isOld := conn.idleSince.Before(before)
			if isOld {
				conn.close()
			}
			return isOld || conn.client.Err() != nil
		})
		if len(conns) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = conns
	}
}

// close closes the idle connections, and each connection that is given back later.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	for _, conns := range p.idle {
		for _, conn := range conns {
			conn.close()
		}
	}
	clear(p.idle)
}

// sentMarker is a connection that notes whether a part of the current request may have been
// sent.
//
// Lock order: mu is a leaf lock.
type sentMarker struct {
	net.Conn

	mu sync.Mutex
	// hasSent is set once a write has begun, isEnded once nothing more may be written.
	hasSent, isEnded bool
}

// begin starts a request.
func (m *sentMarker) begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hasSent = false
}

// endUnsent reports whether nothing of the request was sent, and then makes sure that nothing
// will be.
func (m *sentMarker) endUnsent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isEnded = !m.hasSent
	return m.isEnded
}

// Write implements net.Conn.
func (m *sentMarker) Write(data []byte) (int, error) {
	m.mu.Lock()
	if m.isEnded {
		m.mu.Unlock()
		return 0, net.ErrClosed
	}
	isFirst := !m.hasSent
	m.hasSent = true
	m.mu.Unlock()
	n, err := m.Conn.Write(data)
	if n == 0 && err != nil && isFirst {
		m.begin()
	}
	return n, err
}
