package aubprocess

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburndale/auburndale/internal/aubbudget"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

const (
	// A server's callers count as gone once it received nothing between quietPolls checks, at
	// quietPollInterval. Checks rather than a time, because a process that gets no processor time
	// receives nothing either.
	quietPolls        = 8
	quietPollInterval = 20 * time.Millisecond
	// maxListenTime bounds the time in which a server that shuts down goes on to accept connections.
	maxListenTime = time.Second
	// lastAcceptTime is how long a listener waits for the last connection before it closes.
	lastAcceptTime = time.Millisecond
	// closeTime is how long HTTP/2 connections may take to tell their callers that they close.
	closeTime = 20 * time.Millisecond
)

// httpServer is an HTTP server that shuts down without closing a connection on which a request is on
// its way; http.Server.Shutdown drops the requests that it reads.
//
// Lock order: mu is a leaf lock.
type httpServer struct {
	server   *http.Server
	timer    aubtimer.Service
	listener *closingListener

	mu sync.Mutex
	// running holds the connections with a request whose response is not yet written.
	running map[net.Conn]bool
}

func newListeningServer(timer aubtimer.Service, server *http.Server, l *closingListener) *httpServer {
	s := &httpServer{server: server, timer: timer, listener: l, running: make(map[net.Conn]bool)}
	server.ConnState = s.observeState
	return s
}

func (s *httpServer) observeState(conn net.Conn, state http.ConnState) {
	aubbudget.ObserveState(conn, state)
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateActive {
		s.running[conn] = true
	} else {
		delete(s.running, conn)
	}
}

func (s *httpServer) isRunning() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running) > 0
}

// shutdown closes the listener once callers open no more connections, and the connections once their
// callers send no more requests. The handler must close the connections of its responses. The end
// of ctx closes all connections.
func (s *httpServer) shutdown(ctx context.Context) {
	listening, stop := aubtimer.WithTimeout(ctx, s.timer, maxListenTime)
	defer stop()
	s.awaitQuiet(listening, &s.listener.accepts, func() bool { return false })
	s.listener.drain(ctx)
	s.awaitQuiet(ctx, &s.listener.receipts, s.isRunning)
	closing, cancel := aubtimer.WithTimeout(ctx, s.timer, closeTime)
	defer cancel()
	if s.server.Shutdown(closing) != nil {
		_ = s.server.Close()
	}
}

// awaitQuiet waits until the count stays the same and the server is not busy for quietPolls checks, or ctx
// ends.
func (s *httpServer) awaitQuiet(ctx context.Context, count *atomic.Int64, isBusy func() bool) {
	last := count.Load()
	for quiet := 0; quiet < quietPolls; quiet++ {
		if aubtimer.Wait(ctx, s.timer, quietPollInterval) != nil {
			return
		}
		if n := count.Load(); n != last || isBusy() {
			last, quiet = n, -1
		}
	}
}

// closingListener is a TCP listener that closes without resetting connections that wait to be accepted.
type closingListener struct {
	*net.TCPListener
	gate *aubbudget.Gate
	// accepts counts the accepted connections, receipts these and the reads from them.
	accepts, receipts atomic.Int64
	isDraining        atomic.Bool
	// drained is closed once no more connections are accepted, closed when the listener is closed.
	drained, closed chan struct{}
	closeOnce       sync.Once
}

func newClosingListener(l *net.TCPListener, gate *aubbudget.Gate) *closingListener {
	return &closingListener{TCPListener: l, gate: gate, drained: make(chan struct{}), closed: make(chan struct{})}
}

// drain accepts the connections that wait and closes the socket. It returns when that is done or ctx ends.
func (l *closingListener) drain(ctx context.Context) {
	l.isDraining.Store(true)
	_ = l.SetDeadline(time.Now().Add(lastAcceptTime))
	select {
	case <-l.drained:
	case <-l.closed:
	case <-ctx.Done():
	}
}

func (l *closingListener) accept() (net.Conn, error) {
	for {
		tcp, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		l.accepts.Add(1)
		l.receipts.Add(1)
		if conn := l.gate.Admit(tcp); conn != nil {
			return &receivingConn{Conn: conn, receipts: &l.receipts}, nil
		}
	}
}

// Accept implements net.Listener. After a drain it returns only when the listener is closed.
func (l *closingListener) Accept() (net.Conn, error) {
	conn, err := l.accept()
	if !l.isDraining.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return conn, err
	}
	// Until the deadline has passed, connections that wait are accepted.
	_ = l.SetDeadline(time.Now().Add(lastAcceptTime))
	if conn, err = l.accept(); err == nil {
		return conn, nil
	}
	_ = l.TCPListener.Close()
	close(l.drained)
	<-l.closed
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *closingListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.TCPListener.Close()
}

// receivingConn counts what is read from it.
type receivingConn struct {
	*aubbudget.Conn

	receipts *atomic.Int64
}

// NetConn returns the connection within its limits.
func (c *receivingConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *receivingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.receipts.Add(1)
	}
	return n, err
}
