package aubregistry_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubdrain"
	"github.com/auburndale/auburndale/internal/aubincarnation"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubresume"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m, goleak.IgnoreCurrent()) }

const (
	waitTimeout  = 5 * time.Second
	pollInterval = 20 * time.Millisecond
)

// revisions is an aubregistry.RevisionSource that the test sets.
type revisions struct {
	current atomic.Pointer[aubwire.SiteRevision]
}

func (r *revisions) Revision() (*aubwire.SiteRevision, <-chan struct{}) { return r.current.Load(), nil }

// placer is an aubregistry.Placer that returns i1 unless it is cut off from the leader.
type placer struct{ isCutOff *atomic.Bool }

func (p placer) Place(context.Context, *aubwire.PlaceRequest) (*aubwire.PlaceResponse, error) {
	if p.isCutOff.Load() {
		return nil, &aubregistry.NoControlError{}
	}
	return &aubwire.PlaceResponse{Backend: "i1"}, nil
}

// controlProcess is the registry of a control process with its server on an in-memory
// listener.
type controlProcess struct {
	registry  *aubregistry.Registry
	server    *aubregistry.Server
	loads     *aubregistry.LoadAggregator
	revisions *revisions
	drains    *aubdrain.Table
	listener  *bufconn.Listener
	grpc      *grpc.Server
	software  *aubresume.SoftwareTable
	// incarnations is sent to watchers once the state is confirmed.
	incarnations *aubincarnation.Table

	confirmed atomic.Bool
	isCutOff  atomic.Bool
	// sending is held for reading while a message is sent to a watcher.
	sending sync.RWMutex
	// barrier returns once the software table holds all that was committed.
	barrier func(ctx context.Context) error
}

// watchStream is the connection to a watcher.
type watchStream struct {
	grpc.ServerStream

	sending *sync.RWMutex
}

// SendMsg implements grpc.ServerStream.
func (s *watchStream) SendMsg(message any) error {
	s.sending.RLock()
	defer s.sending.RUnlock()
	return s.ServerStream.SendMsg(message)
}

func newControlProcess(t *testing.T, common aubcommon.Common) *controlProcess {
	c := &controlProcess{
		registry: aubregistry.NewRegistry(common, time.Minute), loads: aubregistry.NewLoadAggregator(common),
		revisions: &revisions{}, listener: bufconn.Listen(1 << 20), drains: aubdrain.NewTable(common.Timer), software: aubresume.NewSoftwareTable(),
		incarnations: aubincarnation.NewTable(),
	}
	c.grpc = grpc.NewServer(grpc.StreamInterceptor(func(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handle grpc.StreamHandler) error {
		return handle(server, &watchStream{ServerStream: stream, sending: &c.sending})
	}))
	c.confirmed.Store(true)
	c.revisions.current.Store(&aubwire.SiteRevision{})
	c.server = aubregistry.NewServer(common, aubregistry.ServerOpts{
		Streams:  aubresume.NewTable(common.Timer),
		Software: c.software,
		Registry: c.registry, Loads: c.loads, Revisions: c.revisions, Placer: placer{isCutOff: &c.isCutOff},
		ZoneDrains: c.drains, Incarnations: c.incarnations,
		Barrier: func(ctx context.Context) error {
			if c.barrier == nil {
				return nil
			}
			return c.barrier(ctx)
		},
		Confirmed: c.confirmed.Load, Addresses: func() []string { return []string{"c1"} },
	})
	aubwire.RegisterRegistryServer(c.grpc, c.server)
	go func() { _ = c.grpc.Serve(c.listener) }()
	t.Cleanup(c.grpc.Stop)
	return c
}

func (c *controlProcess) dial(string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///c1", grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return c.listener.DialContext(ctx) }))
}

// await fails the test unless the condition holds within waitTimeout.
func await(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(pollInterval) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s", description))
	}
}

func TestDepartureIsConfirmedAfterRelaysApplyIt(t *testing.T) {
	common := aubcommon.NewCommon(aubtimer.NewReal())
	control := newControlProcess(t, common)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	registry := aubregistry.NewRegistry(common, time.Minute)
	var revision, peers atomic.Uint64
	client := aubregistry.NewClient(ctx, common, aubregistry.ClientOpts{
		Process: "r1", Relay: true, LoadAddress: "10.0.0.1:1", Seeds: func() []string { return []string{"c1"} },
		Dial: control.dial, Registry: registry,
		Report:     func() *aubwire.LoadReport { return &aubwire.LoadReport{Instance: "r1", Incarnation: 1} },
		OnRevision: func(r *aubwire.SiteRevision) { revision.Store(r.GetNumber()) },
		OnPeers:    func(*aubwire.Peers) { peers.Add(1) },
	})
	control.registry.Register(record("i1", "a:1", 1, 1, ready))
	await(t, "the relay receives a registration", func() bool { return len(registry.Records()) == 1 })
	await(t, "the relay receives its peers", func() bool { return peers.Load() > 0 && client.ConnectedCount() == 1 })
	control.revisions.current.Store(&aubwire.SiteRevision{Number: 4, Document: []byte("x")})
	await(t, "the relay receives a configuration", func() bool { return revision.Load() == 4 })

	version := control.registry.Register(record("i1", "a:1", 1, 2, draining))
	waitCtx, cancelWait := context.WithTimeout(ctx, waitTimeout)
	defer cancelWait()
	qt.Assert(t, control.server.AwaitRelayAcks(waitCtx, version), qt.IsTrue)
	qt.Assert(t, usable(registry), qt.HasLen, 0)
	resp, err := client.Place(ctx, &aubwire.PlaceRequest{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.GetBackend(), qt.Equals, "i1")
}

func TestDepartureIsNotConfirmedWithoutRelayAck(t *testing.T) {
	common := aubcommon.NewCommon(aubtimer.NewReal())
	control := newControlProcess(t, common)
	conn, err := control.dial("")
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stream, err := aubwire.NewRegistryClient(conn).Watch(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, stream.Send(&aubwire.RegistryRequest{Process: "r1", Relay: true}), qt.IsNil)
	_, err = stream.Recv()
	qt.Assert(t, err, qt.IsNil)
	version := control.registry.Register(record("i1", "a:1", 1, 1, draining))
	waitCtx, cancelWait := context.WithTimeout(ctx, 10*pollInterval)
	defer cancelWait()
	qt.Assert(t, control.server.AwaitRelayAcks(waitCtx, version), qt.IsFalse)
	qt.Assert(t, stream.Send(&aubwire.RegistryRequest{Process: "r1", Relay: true, Acked: version}), qt.IsNil)
	ackedCtx, cancelAcked := context.WithTimeout(ctx, waitTimeout)
	defer cancelAcked()
	qt.Assert(t, control.server.AwaitRelayAcks(ackedCtx, version), qt.IsTrue)
}

// TestCopiesAreRequestedFromProcessesWithALeader guards against relays that ask a control process which is cut
// off from the leader again and again.
func TestCopiesAreRequestedFromProcessesWithALeader(t *testing.T) {
	common := aubcommon.NewCommon(aubtimer.NewReal())
	controls := map[string]*controlProcess{"c1": newControlProcess(t, common), "c2": newControlProcess(t, common)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := aubregistry.NewClient(ctx, common, aubregistry.ClientOpts{
		Process: "r1", Relay: true, Seeds: func() []string { return []string{"c1", "c2"} },
		Dial:     func(address string) (*grpc.ClientConn, error) { return controls[address].dial(address) },
		Registry: aubregistry.NewRegistry(common, time.Minute),
	})
	await(t, "the client connects", func() bool { return client.ConnectedCount() == 2 })
	for _, cutOff := range []string{"c1", "c2"} {
		controls[cutOff].isCutOff.Store(true)
		resp, err := client.Place(ctx, &aubwire.PlaceRequest{})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.GetBackend(), qt.Equals, "i1")
		controls[cutOff].isCutOff.Store(false)
	}
	controls["c1"].isCutOff.Store(true)
	controls["c2"].isCutOff.Store(true)
	_, err := client.Place(ctx, &aubwire.PlaceRequest{})
	qt.Assert(t, err, qt.IsNotNil)
}

func TestClientRetriesLostControlProcess(t *testing.T) {
	common := aubcommon.NewCommon(aubtimer.NewReal())
	control := newControlProcess(t, common)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var dials atomic.Int32
	client := aubregistry.NewClient(ctx, common, aubregistry.ClientOpts{
		Process: "r1", Relay: true, Seeds: func() []string { return []string{"c1"} },
		Dial: func(address string) (*grpc.ClientConn, error) {
			dials.Add(1)
			return control.dial(address)
		},
		Registry: aubregistry.NewRegistry(common, time.Minute),
	})
	await(t, "the client connects", func() bool { return client.ConnectedCount() == 1 })
	control.grpc.Stop()
	await(t, "the client disconnects and dials again", func() bool { return client.ConnectedCount() == 0 && dials.Load() > 1 })
	_, err := client.Place(ctx, &aubwire.PlaceRequest{})
	qt.Assert(t, err, qt.ErrorMatches, "no control process answers")
}

// TestOnlyNewsWakesWatchers applies registrations to a registry with two backend servers. One
// that repeats what is known must not wake the watchers; it has a version of its own, so that
// the next periodic response holds it.
func TestOnlyNewsWakesWatchers(t *testing.T) {
	withModel := record("i1", "a:1", 1, 2, ready)
	withModel.Models = []*aubwire.ModelCopy{{Name: "m"}}
	for _, test := range []struct {
		name      string
		prepare   func(r *aubregistry.Registry, timer *aubtimer.Manual)
		next      *aubwire.BackendRecord
		wantWaken bool
	}{
		{name: "renewed", next: record("i1", "a:1", 1, 2, ready)},
		{name: "another model", next: withModel, wantWaken: true},
		{name: "leaves", next: record("i1", "a:1", 1, 2, draining), wantWaken: true},
		{name: "restarted", next: record("i1", "a:1", 2, 1, ready), wantWaken: true},
		{name: "new", next: record("i3", "a:3", 1, 1, ready), wantWaken: true},
		{name: "leaves again", prepare: func(r *aubregistry.Registry, _ *aubtimer.Manual) {
			r.Register(record("i1", "a:1", 1, 2, draining))
		}, next: record("i1", "a:1", 1, 3, draining), wantWaken: true},
		{name: "back after refused connections", prepare: func(r *aubregistry.Registry, _ *aubtimer.Manual) {
			r.MarkSuspect("i1", 1)
		}, next: record("i1", "a:1", 1, 2, ready), wantWaken: true},
		{name: "back after silence", prepare: func(r *aubregistry.Registry, timer *aubtimer.Manual) {
			timer.Advance(time.Minute)
			r.Register(record("i2", "a:2", 1, 2, ready))
		}, next: record("i1", "a:1", 1, 2, ready), wantWaken: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, timer := newRegistry()
			r.Register(record("i1", "a:1", 1, 1, ready))
			r.Register(record("i2", "a:2", 1, 1, ready))
			if test.prepare != nil {
				test.prepare(r, timer)
			}
			_, version, changed := r.ChangedSince(1)
			r.Register(test.next)
			isWaken := false
			select {
			case <-changed:
				isWaken = true
			default:
			}
			qt.Assert(t, isWaken, qt.Equals, test.wantWaken)
			records, newVersion, _ := r.ChangedSince(version)
			qt.Assert(t, records, qt.HasLen, 1)
			qt.Assert(t, newVersion > version, qt.IsTrue)
		})
	}
}

// TestDrainedZonesAreStatedOnlyOnceConfirmed guards against a restarted control process whose
// empty table opens a drained zone, and against a change that waits for the next tick.
func TestDrainedZonesAreStatedOnlyOnceConfirmed(t *testing.T) {
	common := aubcommon.NewCommon(aubtimer.NewReal())
	c := newControlProcess(t, common)
	c.confirmed.Store(false)
	view := aubdrain.NewView(common, aubdrain.ViewOpts{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	registry := aubregistry.NewRegistry(common, time.Minute)
	client := aubregistry.NewClient(ctx, common, aubregistry.ClientOpts{
		Process: "relay", Relay: true, Seeds: func() []string { return []string{"c1"} }, Dial: c.dial, Registry: registry, OnZoneDrains: view.Merge,
	})
	await(t, "relay connects", func() bool { return client.ConnectedCount() == 1 })
	time.Sleep(2 * 250 * time.Millisecond)
	qt.Assert(t, view.HasStatement(), qt.IsFalse)
	c.confirmed.Store(true)
	await(t, "relay has a statement", view.HasStatement)
	qt.Assert(t, view.Eligibility("a", common.Timer.Now()), qt.Equals, aubdrain.EligibilityOpen)

	body, err := proto.Marshal(&aubwire.ZoneDrainCommand{Zone: "a", Drained: true})
	qt.Assert(t, err, qt.IsNil)
	_, changed := view.Drains()
	c.drains.Confirmed(common.Timer.Now(), 6)
	committedAt := common.Timer.Now()
	c.drains.Apply(aubcontrol.Command{Index: 7, Body: body})
	<-changed
	qt.Assert(t, view.Eligibility("a", common.Timer.Now()), qt.Equals, aubdrain.EligibilityLastResort)
	// The age is too high by at most one report interval of the relay.
	qt.Assert(t, view.Eligibility("a", committedAt.Add(aubdrain.DefaultTimeout/2-300*time.Millisecond)), qt.Equals, aubdrain.EligibilityLastResort)
	qt.Assert(t, view.Eligibility("a", committedAt.Add(aubdrain.DefaultTimeout/2)), qt.Equals, aubdrain.EligibilityClosed)
}
