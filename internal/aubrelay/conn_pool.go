package aubrelay

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

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
)

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// connPool holds the idle connections to backend servers. A backend server may send a response
// a second time, in the place of a later one. Therefore a connection is reused only after
// a complete response that names its request, and never for a request that it has carried.
//
// Lock order: mu is a leaf lock.
type connPool struct {
	timer aubtimer.Service
	dial  dialFunc
	log   *unsolicitedLog

	mu sync.Mutex
	// idle holds the idle connections by address in the order of their last use.
	idle map[string][]*backendConn
	// isClosed is set once the pool keeps no more connections.
	isClosed bool
}

// newConnPool returns a pool that closes its idle connections when ctx ends.
func newConnPool(ctx context.Context, timer aubtimer.Service, dial dialFunc, log *unsolicitedLog) *connPool {
	p := &connPool{timer: timer, dial: dial, log: log, idle: make(map[string][]*backendConn)}
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

// take returns an idle or else a new connection to the address, but none of the excluded ones.
func (p *connPool) take(ctx context.Context, address string, excluded []*backendConn) (*backendConn, error) {
	for {
		conn := p.removeIdle(address, excluded)
		if conn == nil {
			break
		}
		if conn.stopWatch() {
			return conn, nil
		}
		conn.close()
	}
	conn, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newBackendConn(conn, address, p.log), nil
}

// removeIdle removes the last used idle connection from the pool and returns it; nil if there is none.
func (p *connPool) removeIdle(address string, excluded []*backendConn) *backendConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	for i := len(conns) - 1; i >= 0; i-- {
		if conn := conns[i]; !slices.Contains(excluded, conn) {
			p.idle[address] = slices.Delete(conns, i, i+1)
			return conn
		}
	}
	return nil
}

// give returns a connection whose response was read. It closes one whose response or request
// is not complete.
func (p *connPool) give(conn *backendConn) {
	isUsable := conn.finish()
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[conn.address]
	if p.isClosed || !isUsable || len(conns) >= maxIdlePerBackend {
		conn.close()
		return
	}
	conn.idleSince = p.timer.Now()
	conn.startWatch()
	p.idle[conn.address] = append(conns, conn)
}

// closeIdle closes the connections that were last used before the time given, and drops those
// that the backend servers have closed.
func (p *connPool) closeIdle(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		conns = slices.DeleteFunc(conns, func(conn *backendConn) bool {
			if conn.idleSince.Before(before) {
				conn.close()
			}
			return conn.isClosed()
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
