package aubexecution

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
)

var errClosed = errors.New("executor has ended")

// pool keeps one connection for each agent address.
type pool struct {
	dial func(address string) (*grpc.ClientConn, error)

	mu     sync.Mutex
	conns  map[string]*grpc.ClientConn
	closed bool
}

func newPool(dial func(address string) (*grpc.ClientConn, error)) *pool {
	return &pool{dial: dial, conns: make(map[string]*grpc.ClientConn)}
}

// readyConn returns an established connection to the address. When the connection
// can't be established, it is dropped, so that the next call dials again.
func (p *pool) readyConn(ctx context.Context, address string) (*grpc.ClientConn, error) {
	conn, err := p.get(address)
	if err != nil {
		return nil, err
	}
	for {
		state := conn.GetState()
		switch state {
		case connectivity.Ready:
			return conn, nil
		case connectivity.TransientFailure, connectivity.Shutdown:
			p.drop(address, conn)
			return nil, fmt.Errorf("connection to %s is in state %s", address, state)
		case connectivity.Idle:
			conn.Connect()
		case connectivity.Connecting:
		}
		if !conn.WaitForStateChange(ctx, state) {
			p.drop(address, conn)
			return nil, fmt.Errorf("no connection to %s: %w", address, context.Cause(ctx))
		}
	}
}

func (p *pool) get(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errClosed
	}
	if conn, ok := p.conns[address]; ok {
		return conn, nil
	}
	conn, err := p.dial(address)
	if err != nil {
		return nil, err
	}
	p.conns[address] = conn
	return conn, nil
}

// drop closes a connection and removes it from the pool.
func (p *pool) drop(address string, conn *grpc.ClientConn) {
	p.mu.Lock()
	if p.conns[address] == conn {
		delete(p.conns, address)
	}
	p.mu.Unlock()
	// A second Close returns an error and has no other effect.
	_ = conn.Close()
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, conn := range p.conns {
		_ = conn.Close()
		delete(p.conns, address)
	}
}
