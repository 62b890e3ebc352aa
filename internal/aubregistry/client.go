package aubregistry

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// reconnectPause is the time between two streams to one control process.
	reconnectPause = 300 * time.Millisecond
	// unlistedLimit is how long a control process that no other one lists is tried.
	unlistedLimit = 10 * time.Second
)

// ClientOpts are the parts of a client.
type ClientOpts struct {
	// Process is the name of this process; Relay marks those that send requests to
	// backend servers.
	Process string
	Relay   bool
	// LoadAddress is where a relay takes load datagrams.
	LoadAddress string
	// Self is the own control address, empty for processes that serve none.
	Self string
	// Seeds lists the control processes of the settings, as they stand now.
	Seeds    func() []string
	Dial     func(address string) (*grpc.ClientConn, error)
	Registry *Registry
	// Report returns the own load; nil reports none.
	Report func() *aubwire.LoadReport
	// OnRevision takes in the newest configuration.
	OnRevision func(number uint64, document []byte)
	// OnPeers takes in who the other relays are.
	OnPeers func(peers *aubwire.Peers)
}

// Client keeps a stream to every control process.
//
// Lock order: mu is taken alone.
type Client struct {
	common aubcommon.Common
	opts   ClientOpts
	ctx    context.Context

	mu    sync.Mutex
	links map[string]*link
	// primary is the address whose stream delivers the peers' load.
	primary string
}

// link is the stream to one control process. The client's mutex guards it.
type link struct {
	address string
	cancel  context.CancelFunc
	conn    *grpc.ClientConn
	// listedAt is when the address was last named by settings or a control process.
	listedAt  time.Time
	connected bool
}

// NewClient connects until ctx ends.
func NewClient(ctx context.Context, common aubcommon.Common, opts ClientOpts) *Client {
	c := &Client{common: common.WithPart("registry"), opts: opts, ctx: ctx, links: make(map[string]*link)}
	ticks := common.Timer.Subscribe(ctx, time.Second)
	c.meet(opts.Seeds())
	go func() {
		for {
			select {
			case <-ticks:
				c.meet(opts.Seeds())
				c.dropUnlisted()
			case <-ctx.Done():
				return
			}
		}
	}()
	return c
}

// Connected returns the number of control processes that answer.
func (c *Client) Connected() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, l := range c.links {
		if l.connected {
			n++
		}
	}
	return n
}

// Place asks a control process for a copy of a model or adapter.
func (c *Client) Place(ctx context.Context, req *aubwire.PlaceRequest) (*aubwire.PlaceResponse, error) {
	conn := c.connection()
	if conn == nil {
		return nil, &NoControlError{}
	}
	return aubwire.NewRegistryClient(conn).Place(ctx, req)
}

func (c *Client) connection() *grpc.ClientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.links[c.primary]; l != nil && l.connected {
		return l.conn
	}
	for _, l := range c.links {
		if l.connected {
			return l.conn
		}
	}
	return nil
}

// meet starts a stream to every address that has none.
func (c *Client) meet(addresses []string) {
	now := c.common.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range addresses {
		if address == c.opts.Self || address == "" {
			continue
		}
		l := c.links[address]
		if l == nil {
			ctx, cancel := context.WithCancel(c.ctx)
			l = &link{address: address, cancel: cancel}
			c.links[address] = l
			go c.run(ctx, l)
		}
		l.listedAt = now
	}
}

func (c *Client) dropUnlisted() {
	now := c.common.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, l := range c.links {
		if !l.connected && now.Sub(l.listedAt) > unlistedLimit {
			l.cancel()
			delete(c.links, address)
		}
	}
}

// run keeps a stream to one control process open.
func (c *Client) run(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		err := c.watch(ctx, l)
		if c.setConnected(l, nil) {
			c.common.Log.Warn("Control process lost.", zap.String("address", l.address), zap.Error(err))
		}
		if aubtimer.Wait(ctx, c.common.Timer, reconnectPause) != nil {
			return
		}
	}
}

// setConnected notes the connection of a link, nil for none, and reports
// whether that is a change.
func (c *Client) setConnected(l *link, conn *grpc.ClientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isChange := l.connected != (conn != nil)
	l.conn, l.connected = conn, conn != nil
	if !l.connected && c.primary == l.address {
		c.primary = ""
	}
	if l.connected && c.primary == "" {
		c.primary = l.address
	}
	return isChange
}

// watch runs one stream on a connection of its own until it fails or falls silent.
func (c *Client) watch(ctx context.Context, l *link) error {
	conn, err := c.opts.Dial(l.address)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	responses := make(chan *aubwire.RegistryResponse)
	requests := make(chan *aubwire.RegistryRequest, 1)
	failed := make(chan error, 2)
	go func() { failed <- c.pump(ctx, conn, requests, responses) }()
	return c.follow(ctx, l, conn, requests, responses, failed)
}

// follow handles the messages of one stream.
func (c *Client) follow(
	ctx context.Context, l *link, conn *grpc.ClientConn,
	requests chan *aubwire.RegistryRequest, responses <-chan *aubwire.RegistryResponse, failed <-chan error,
) error {
	ticks := c.common.Timer.Subscribe(ctx, reportInterval)
	heard := c.common.Timer.Now()
	acked := uint64(0)
	offer(requests, c.request(l, acked, true))
	for {
		select {
		case resp := <-responses:
			heard = c.common.Timer.Now()
			if c.setConnected(l, conn) {
				c.common.Log.Info("Control process reached.", zap.String("address", l.address))
			}
			c.take(resp)
			if resp.GetUpdate() > acked {
				acked = resp.GetUpdate()
				offer(requests, c.request(l, acked, false))
			}
		case <-ticks:
			if c.common.Timer.Now().Sub(heard) > silenceLimit {
				return &SilentError{Address: l.address}
			}
			offer(requests, c.request(l, acked, true))
		case err := <-failed:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (c *Client) take(resp *aubwire.RegistryResponse) {
	c.opts.Registry.Merge(resp.GetRecords())
	if revision := resp.GetRevision(); revision != nil && c.opts.OnRevision != nil {
		c.opts.OnRevision(revision.GetNumber(), revision.GetDocument())
	}
	if peers := resp.GetPeers(); peers != nil && c.opts.OnPeers != nil {
		c.opts.OnPeers(peers)
	}
	c.meet(resp.GetControlAddresses())
}

// request returns the next request; a report goes with those that are due.
func (c *Client) request(l *link, acked uint64, withReport bool) *aubwire.RegistryRequest {
	req := &aubwire.RegistryRequest{Process: c.opts.Process, Relay: c.opts.Relay, LoadAddress: c.opts.LoadAddress, Acked: acked}
	if withReport && c.opts.Report != nil {
		req.Report = c.opts.Report()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	req.WantsPeers = c.opts.OnPeers != nil && c.primary == l.address
	return req
}

// pump opens the stream and moves its messages both ways.
func (c *Client) pump(
	ctx context.Context, conn grpc.ClientConnInterface,
	requests <-chan *aubwire.RegistryRequest, responses chan<- *aubwire.RegistryResponse,
) error {
	stream, err := aubwire.NewRegistryClient(conn).Watch(ctx)
	if err != nil {
		return err
	}
	go func() {
		for {
			select {
			case req := <-requests:
				if stream.Send(req) != nil {
					// The receiving side reports why.
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	for {
		resp, err := stream.Recv()
		if err != nil {
			return err
		}
		select {
		case responses <- resp:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// offer replaces a request that could not leave yet.
func offer(requests chan *aubwire.RegistryRequest, req *aubwire.RegistryRequest) {
	for {
		select {
		case requests <- req:
			return
		default:
		}
		select {
		case old := <-requests:
			req.Acked = max(req.Acked, old.GetAcked())
			if req.Report == nil {
				req.Report = old.Report
			}
		default:
		}
	}
}

// Addresses returns the control processes that answer, the preferred one first.
func (c *Client) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var addresses []string
	for address, l := range c.links {
		if l.connected {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// PlaceAt asks the control process at the address for a copy.
func (c *Client) PlaceAt(ctx context.Context, address string, req *aubwire.PlaceRequest) (*aubwire.PlaceResponse, error) {
	c.mu.Lock()
	l := c.links[address]
	var conn *grpc.ClientConn
	if l != nil && l.connected {
		conn = l.conn
	}
	c.mu.Unlock()
	if conn == nil {
		return nil, &NoControlError{}
	}
	return aubwire.NewRegistryClient(conn).Place(ctx, req)
}
