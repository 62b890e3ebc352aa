package aubcontrol_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// responseDropper forwards Apply to a replica and drops the first successful
// responses.
type responseDropper struct {
	aubwire.UnimplementedControlServer

	client         aubwire.ControlClient
	mu             sync.Mutex
	remainingDrops int
}

func (d *responseDropper) Apply(ctx context.Context, req *aubwire.ApplyRequest) (*aubwire.ApplyResponse, error) {
	resp, err := d.client.Apply(ctx, req)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.remainingDrops > 0 && err == nil {
		d.remainingDrops--
		return nil, status.Error(codes.Unavailable, "response lost")
	}
	return resp, err
}

func (d *responseDropper) ReadIndex(ctx context.Context, req *aubwire.ReadIndexRequest) (*aubwire.ReadIndexResponse, error) {
	return d.client.ReadIndex(ctx, req)
}

func serve(t *testing.T, control aubwire.ControlServer) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := grpc.NewServer()
	aubwire.RegisterControlServer(server, control)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(l)
	}()
	t.Cleanup(func() {
		server.Stop()
		<-served
	})
	return l.Addr().String()
}

func newClient(t *testing.T, addresses ...string) *aubcontrol.Client {
	client := aubcontrol.NewClient(aubcommon.NewCommon(aubtimer.NewReal()), aubcontrol.ClientOpts{Addresses: addresses, Dial: dial})
	t.Cleanup(client.Close)
	return client
}

func TestRetryAfterLostResponseAppliesOnce(t *testing.T) {
	site := newSite(t, "a")
	ctx := newContext(t)
	conn, err := dial(site.address("a"))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	address := serve(t, &responseDropper{client: aubwire.NewControlClient(conn), remainingDrops: 3})

	result, err := newClient(t, address).Apply(ctx, "journal", []byte("x"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(result.Body), qt.Equals, "x")
}

// unresponsiveControl receives commands and never responds.
type unresponsiveControl struct {
	aubwire.UnimplementedControlServer
}

func (unresponsiveControl) Apply(ctx context.Context, _ *aubwire.ApplyRequest) (*aubwire.ApplyResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (unresponsiveControl) ReadIndex(context.Context, *aubwire.ReadIndexRequest) (*aubwire.ReadIndexResponse, error) {
	return &aubwire.ReadIndexResponse{Index: 1, ClockMs: 1}, nil
}

func TestErrorReportsWhetherCommandMayBeCommitted(t *testing.T) {
	site := newSite(t, "a")
	for name, tc := range map[string]struct {
		address        string
		table          string
		mayBeCommitted bool
	}{
		"nothing listens":           {address: freeAddress(t), table: "journal"},
		"unknown table":             {address: site.address("a"), table: "none"},
		"accepted without response": {address: serve(t, unresponsiveControl{}), table: "journal", mayBeCommitted: true},
		"every response lost":       {address: serve(t, &responseDropper{client: newControlClient(t, site.address("a")), remainingDrops: 1000}), table: "journal", mayBeCommitted: true},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err := newClient(t, tc.address).Apply(ctx, tc.table, []byte("x"))
			var refused *aubcontrol.NotCommittedError
			var uncertain *aubcontrol.UncertainError
			qt.Assert(t, errors.As(err, &refused), qt.Equals, !tc.mayBeCommitted, qt.Commentf("%v", err))
			qt.Assert(t, errors.As(err, &uncertain), qt.Equals, tc.mayBeCommitted, qt.Commentf("%v", err))
		})
	}
}

func newControlClient(t *testing.T, address string) aubwire.ControlClient {
	conn, err := dial(address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return aubwire.NewControlClient(conn)
}

// mutingDialer opens connections that can be made to carry no more data.
type mutingDialer struct {
	mu    sync.Mutex
	conns []*mutedConn
}

// mutedConn discards all data once muted, as if a device on the path had dropped
// the state of the connection.
type mutedConn struct {
	net.Conn

	muted  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (d *mutingDialer) dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			c := &mutedConn{Conn: conn, muted: make(chan struct{}), closed: make(chan struct{})}
			d.mu.Lock()
			defer d.mu.Unlock()
			d.conns = append(d.conns, c)
			return c, nil
		}))
}

func (d *mutingDialer) muteAll() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		close(c.muted)
	}
	n := len(d.conns)
	d.conns = nil
	return n
}

func (c *mutedConn) isMuted() bool {
	select {
	case <-c.muted:
		return true
	default:
		return false
	}
}

func (c *mutedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isMuted() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *mutedConn) Write(b []byte) (int, error) {
	if c.isMuted() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *mutedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func TestUnresponsiveConnectionsAreReplaced(t *testing.T) {
	dialer := &mutingDialer{}
	site := newSiteWith(t, dialer.dial, "a", "b", "c")
	ctx := newContext(t)
	client := aubcontrol.NewClient(aubcommon.NewCommon(aubtimer.NewReal()), aubcontrol.ClientOpts{Addresses: site.addresses(), Dial: dialer.dial})
	defer client.Close()
	_, err := client.Apply(ctx, "journal", []byte("x"))
	qt.Assert(t, err, qt.IsNil)

	qt.Assert(t, dialer.muteAll() > 3, qt.IsTrue)
	result, err := client.Apply(ctx, "journal", []byte("y"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(result.Body), qt.Equals, "xy")
}

func TestLargestCommandsPassEveryHop(t *testing.T) {
	const largeCommandBytes = 2<<20 - 1000
	site := newSite(t, "a", "b", "c")
	ctx := newContext(t)
	client := newClient(t, site.addresses()...)
	for range 3 {
		_, err := client.Apply(ctx, "counter", make([]byte, largeCommandBytes))
		qt.Assert(t, err, qt.IsNil)
	}
	_, err := client.Apply(ctx, "counter", make([]byte, 3<<20))
	var refused *aubcontrol.NotCommittedError
	qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
	for _, p := range site.peers {
		_, err := site.instances[p.Name].replica.Confirm(ctx)
		qt.Assert(t, err, qt.IsNil)
	}
}
