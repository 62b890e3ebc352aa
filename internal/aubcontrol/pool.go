package aubcontrol

import (
	"context"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// connPool keeps one connection for each replica. A connection on which a call
// timed out or found the replica unavailable is closed, because a silent connection
// may never recover.
//
// Lock order: mu is taken alone.
type connPool struct {
	dial Dial

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

func newConnPool(ctx context.Context, dial Dial) *connPool {
	p := &connPool{dial: dial, conns: make(map[string]*grpc.ClientConn)}
	context.AfterFunc(ctx, p.closeAll)
	return p
}

func (p *connPool) apply(ctx context.Context, address string, req *aubwire.ApplyRequest) (*aubwire.ApplyResponse, error) {
	conn, err := p.get(address)
	if err != nil {
		return nil, &NotCommittedError{Reason: "control replica can't be reached", Err: err}
	}
	tracker := &sendTracker{}
	resp, err := aubwire.NewControlClient(conn).Apply(ctx, req, grpc.PerRPCCredentials(tracker))
	if err != nil {
		p.dropIfUnresponsive(address, conn, err)
		return nil, fromStatus(err, tracker.sent.Load())
	}
	return resp, nil
}

func (p *connPool) readIndex(ctx context.Context, address string, forwarded bool) (*aubwire.ReadIndexResponse, error) {
	conn, err := p.get(address)
	if err != nil {
		return nil, err
	}
	resp, err := aubwire.NewControlClient(conn).ReadIndex(ctx, &aubwire.ReadIndexRequest{Forwarded: forwarded})
	if err != nil {
		p.dropIfUnresponsive(address, conn, err)
		return nil, err
	}
	return resp, nil
}

func (p *connPool) replaceMember(ctx context.Context, address string, req *aubwire.ReplaceMemberRequest) error {
	conn, err := p.get(address)
	if err != nil {
		return &MembershipError{Reason: "leader can't be reached", Err: err}
	}
	_, err = aubwire.NewConsensusClient(conn).ReplaceMember(ctx, req)
	if err == nil {
		return nil
	}
	return &MembershipError{Reason: status.Convert(err).Message(), Err: err}
}

func (p *connPool) get(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
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

func (p *connPool) dropIfUnresponsive(address string, conn *grpc.ClientConn, err error) {
	if code := status.Code(err); code != codes.DeadlineExceeded && code != codes.Unavailable {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == conn {
		delete(p.conns, address)
		_ = conn.Close()
	}
}

func (p *connPool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		delete(p.conns, address)
		_ = conn.Close()
	}
}

// sendTracker records whether a request reached a connection. gRPC requests
// credentials just before it writes a request, and only once it has a
// connection.
type sendTracker struct {
	sent atomic.Bool
}

var _ credentials.PerRPCCredentials = (*sendTracker)(nil)

// GetRequestMetadata implements credentials.PerRPCCredentials; it adds no
// metadata.
func (t *sendTracker) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	t.sent.Store(true)
	return nil, nil
}

// RequireTransportSecurity implements credentials.PerRPCCredentials.
func (*sendTracker) RequireTransportSecurity() bool { return false }
