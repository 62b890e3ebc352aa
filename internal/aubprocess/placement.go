package aubprocess

import (
	"context"
	"sync"

	"google.golang.org/grpc"

	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubplacement"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// startPlacer starts the placer, which sends orders to agents while this process leads.
func (e *entry) startPlacer() error {
	_, err := aubplacement.NewPlacer(e.ctx, e.common, aubplacement.PlacerOpts{
		Policy:          string(e.cfg.Placement.Policy),
		Objective:       aubplacement.Objective(e.cfg.Placement.Objective),
		Leadership:      e.control.replica,
		Proposer:        e.control.replica,
		Config:          e.control.source,
		Members:         e.members,
		Orders:          newOrderClient(e.ctx, e.transport.Dial),
		Interval:        e.cfg.Placement.Interval.Value(),
		LoadRate:        e.cfg.Placement.StoreRate,
		LoadConcurrency: e.cfg.Placement.StoreConcurrency,
		AdapterLimit:    e.cfg.Placement.AdapterConcurrency,
		LostGracePeriod: e.cfg.Placement.LostBackendGracePeriod.Value(),
	})
	return err
}

// orderClient sends load and unload orders to agents over one connection per address.
type orderClient struct {
	dial func(address string) (*grpc.ClientConn, error)

	// mu guards conns; it is a leaf lock.
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

var _ aubplacement.OrderClient = (*orderClient)(nil)

// newOrderClient returns a client whose connections end with ctx.
func newOrderClient(ctx context.Context, dial func(string) (*grpc.ClientConn, error)) *orderClient {
	o := &orderClient{dial: dial, conns: make(map[string]*grpc.ClientConn)}
	context.AfterFunc(ctx, o.close)
	return o
}

// Order implements aubplacement.OrderClient. A failed call closes its connection,
// because the connection may have become unresponsive.
func (o *orderClient) Order(ctx context.Context, m aubmembership.Member, r *aubwire.OrderRequest) (*aubwire.OrderResponse, error) {
	address := m.Announcement.GetAddress()
	conn, err := o.conn(address)
	if err != nil {
		return nil, err
	}
	resp, err := aubwire.NewAgentClient(conn).Order(ctx, r)
	if err != nil {
		o.drop(address, conn)
		return nil, err
	}
	return resp, nil
}

func (o *orderClient) conn(address string) (*grpc.ClientConn, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if conn, ok := o.conns[address]; ok {
		return conn, nil
	}
	conn, err := o.dial(address)
	if err != nil {
		return nil, err
	}
	o.conns[address] = conn
	return conn, nil
}

// drop closes a connection and removes it unless a newer one has replaced it.
func (o *orderClient) drop(address string, conn *grpc.ClientConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.conns[address] == conn {
		delete(o.conns, address)
	}
	_ = conn.Close()
}

func (o *orderClient) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, conn := range o.conns {
		_ = conn.Close()
	}
	clear(o.conns)
}
