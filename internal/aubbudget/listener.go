package aubbudget

import (
	"net"
	"sync"
	"time"
)

// refusalTime bounds the time to tell a client that its connection or head is refused.
const refusalTime = 10 * time.Millisecond

// Responses without a body that are sent before net/http has a request to answer.
const (
	refusedConnection = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	refusedHead       = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// Limits are what a client may send and how long it may take. Zero values mean no limit.
type Limits struct {
	// MaxHeadBytes limits the request line and, apart from it, the header fields with the ends of their lines.
	MaxHeadBytes int
	// HeadTimeout counts from the first byte of a head, IdleTimeout from the end of the response before or the
	// start of the connection.
	HeadTimeout, IdleTimeout time.Duration
	// BodyTimeout counts from the end of the head.
	BodyTimeout time.Duration
}

// ListenerOpts configures a listener's connections.
type ListenerOpts struct {
	// MaxConnections limits the connections of the listener. If there are as many, the one that has waited
	// longest for a request yields.
	MaxConnections int
	// Limits returns the limits in force. It is not called for internal connections.
	Limits func() Limits
	// IsEncrypted is set if the bytes of the connections are not those of HTTP.
	IsEncrypted bool
	// IsInternal is set if other processes of the site use the connections, which yield only until their first
	// byte.
	IsInternal bool
}

// Gate admits the connections of one listener.
//
// Lock order: mu, then a connection's, then the budget's.
type Gate struct {
	budget *Budget
	opts   ListenerOpts

	mu    sync.Mutex
	conns map[*Conn]bool
}

// NewGate returns a gate for the connections of a listener.
func NewGate(budget *Budget, opts ListenerOpts) *Gate {
	return &Gate{budget: budget, opts: opts, conns: make(map[*Conn]bool)}
}

// Admit returns the connection within the limits of the listener, or nil after it refused and closed it.
func (g *Gate) Admit(tcp *net.TCPConn) *Conn {
	if !g.opts.IsInternal {
		_ = tcp.SetReadBuffer(receiveBufferBytes)
	}
	now := g.budget.common.Timer.Now()
	c := &Conn{TCPConn: tcp, gate: g, phase: phaseIdle, since: now}
	evicted, isAdmitted := g.add(c, now)
	if evicted != nil {
		g.budget.count(func(e *events) { e.evictedConnections++ })
		g.budget.metrics.evictedConnections.Inc(1)
		_ = evicted.Close()
	}
	if !isAdmitted {
		g.budget.count(func(e *events) { e.refusedConnections++ })
		g.budget.metrics.refusedConnections.Inc(1)
		if !c.isOpaque() {
			c.refuse(refusedConnection)
		}
		_ = tcp.Close()
		return nil
	}
	if !c.isOpaque() {
		c.applyDeadline(g.limits().IdleTimeout)
	}
	return c
}

// Listener is a listener whose connections a gate admits.
type Listener struct {
	*net.TCPListener
	gate *Gate
}

// NewListener returns a listener whose connections the gate admits.
func NewListener(l *net.TCPListener, gate *Gate) *Listener {
	return &Listener{TCPListener: l, gate: gate}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		tcp, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if c := l.gate.Admit(tcp); c != nil {
			return c, nil
		}
	}
}

// add adds a connection, if there is room or another one yields, which it returns.
func (g *Gate) add(c *Conn, now time.Time) (evicted *Conn, isAdmitted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) >= g.opts.MaxConnections {
		if evicted = g.oldest(now); evicted == nil {
			return nil, false
		}
		delete(g.conns, evicted)
		g.budget.addConnections(-1)
	}
	g.conns[c] = true
	g.budget.addConnections(1)
	return evicted, true
}

func (g *Gate) limits() Limits { return g.opts.Limits() }

// oldest returns the connection that has waited longest for a request or for its client to read, nil without one;
// the caller holds mu.
func (g *Gate) oldest(now time.Time) *Conn {
	var oldest *Conn
	var oldestSince time.Time
	for c := range g.conns {
		since, isWaiting := c.waitingSince(now)
		if isWaiting && (oldest == nil || since.Before(oldestSince)) {
			oldest, oldestSince = c, since
		}
	}
	return oldest
}

func (g *Gate) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns[c] {
		delete(g.conns, c)
		g.budget.addConnections(-1)
	}
}
