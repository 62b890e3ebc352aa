package aubconsensus

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	linkQueueMessages = 1024
	// maxDeliverBytes limits the queued messages of one delivery unless a single one is
	// larger.
	maxDeliverBytes = 64 << 10
	// minDeliverRate is the bandwidth, in bytes per second, that a link is expected to
	// have; the timeout of a delivery grows by its size at this rate.
	minDeliverRate     = 512 << 10
	maxDeliverMessages = 64
	redialBackoff      = 50 * time.Millisecond
)

// RemoteTransport sends messages by gRPC, over one connection for each address.
// A call that fails or times out closes its connection and the next one opens a
// new one, because a silent connection may never recover.
//
// Lock order: mu is taken alone.
type RemoteTransport struct {
	common  aubcommon.Common
	ctx     context.Context
	dial    func(address string) (*grpc.ClientConn, error)
	timeout time.Duration

	mu    sync.Mutex
	links map[string]*link
}

var (
	_ Transport        = (*RemoteTransport)(nil)
	_ WitnessTransport = (*RemoteTransport)(nil)
)

// NewRemoteTransport returns a transport that runs until ctx ends. The timeout
// limits one delivery, beyond its transfer at minDeliverRate.
func NewRemoteTransport(ctx context.Context, common aubcommon.Common, dial func(address string) (*grpc.ClientConn, error), timeout time.Duration) *RemoteTransport {
	return &RemoteTransport{
		common:  common.WithPart("transport"),
		ctx:     ctx,
		dial:    dial,
		timeout: timeout,
		links:   make(map[string]*link),
	}
}

// Send implements Transport.
func (t *RemoteTransport) Send(address string, m *aubwire.ConsensusMessage) {
	t.link(address).enqueue(m)
}

// Hello implements Transport.
func (t *RemoteTransport) Hello(ctx context.Context, address string, req *aubwire.HelloRequest) (*aubwire.HelloResponse, error) {
	conn, err := t.dial(address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	return aubwire.NewConsensusClient(conn).Hello(ctx, req)
}

// PromiseCluster implements WitnessTransport.
func (t *RemoteTransport) PromiseCluster(
	ctx context.Context, address string, req *aubwire.PromiseClusterRequest,
) (*aubwire.PromiseClusterResponse, error) {
	conn, err := t.dial(address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	return aubwire.NewConsensusClient(conn).PromiseCluster(ctx, req)
}

func (t *RemoteTransport) link(address string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.links[address]
	if !ok {
		l = newLink(t, address)
		t.links[address] = l
	}
	return l
}

// link sends the messages for one address in order.
type link struct {
	transport *RemoteTransport
	address   string
	queue     chan *aubwire.ConsensusMessage
	conn      *grpc.ClientConn
}

func newLink(t *RemoteTransport, address string) *link {
	l := &link{transport: t, address: address, queue: make(chan *aubwire.ConsensusMessage, linkQueueMessages)}
	go func() {
		defer l.close()
		for {
			select {
			case <-t.ctx.Done():
				return
			case m := <-l.queue:
				l.deliver(l.collectBatch(m))
			}
		}
	}()
	return l
}

// enqueue drops the message when the queue is full; the protocol sends it again.
func (l *link) enqueue(m *aubwire.ConsensusMessage) {
	select {
	case l.queue <- m:
	default:
	}
}

// collectBatch adds the queued messages to the first one, up to the limits of
// one delivery.
func (l *link) collectBatch(first *aubwire.ConsensusMessage) *aubwire.DeliverRequest {
	batch := &aubwire.DeliverRequest{Messages: []*aubwire.ConsensusMessage{first}}
	size := proto.Size(first)
	for size < maxDeliverBytes && len(batch.GetMessages()) < maxDeliverMessages {
		select {
		case m := <-l.queue:
			batch.Messages = append(batch.Messages, m)
			size += proto.Size(m)
		default:
			return batch
		}
	}
	return batch
}

func (l *link) deliver(batch *aubwire.DeliverRequest) {
	transferTime := time.Duration(proto.Size(batch)) * time.Second / minDeliverRate
	ctx, cancel := context.WithTimeout(l.transport.ctx, l.transport.timeout+transferTime)
	defer cancel()
	err := l.connect()
	if err == nil {
		_, err = aubwire.NewConsensusClient(l.conn).Deliver(ctx, batch)
	}
	if err == nil {
		return
	}
	l.transport.common.Log.Debug("Delivery of messages failed.", zap.String("address", l.address), zap.Error(err))
	l.close()
	// The queued messages are outdated by now; the protocol sends new ones.
	l.discardQueue()
	select {
	case <-l.transport.ctx.Done():
	case <-l.transport.common.Timer.After(l.transport.ctx, redialBackoff):
	}
}

func (l *link) connect() error {
	if l.conn != nil {
		return nil
	}
	conn, err := l.transport.dial(l.address)
	if err != nil {
		return err
	}
	l.conn = conn
	return nil
}

func (l *link) close() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

func (l *link) discardQueue() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}
