package aubdistribution_test

import (
	"context"
	"errors"
	"math/rand/v2"
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
	"github.com/auburndale/auburndale/internal/aubdistribution"
	"github.com/auburndale/auburndale/internal/aubstate"
	"github.com/auburndale/auburndale/internal/aubstate/aubcodec"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var errNoLeader = errors.New("no leader")

// fakeReader confirms every read unless unconfirmed is set.
type fakeReader struct {
	unconfirmed atomic.Bool
}

func (r *fakeReader) Confirm(context.Context) (uint64, error) {
	if r.unconfirmed.Load() {
		return 0, errNoLeader
	}
	return 0, nil
}

// testSite is a set of replicas on in-memory listeners that share a manual clock.
type testSite struct {
	t        *testing.T
	ctx      context.Context
	timer    *aubtimer.Manual
	common   aubcommon.Common
	replicas map[string]*replica
	// dials counts the connections opened by followers.
	dials atomic.Int32
	// received counts the messages that followers have dealt with.
	received atomic.Int32
}

// replica is a configuration table with its server. Tests can inject faults into the
// messages that the server sends.
type replica struct {
	aubwire.UnimplementedDistributionServer

	table    *aubstate.ConfigTable
	reader   *fakeReader
	server   *aubdistribution.Server
	listener *bufconn.Listener

	mu sync.Mutex
	// sendFilter returns the messages to send instead of a given one. If it is nil,
	// messages are sent unchanged.
	sendFilter func(*aubwire.WatchResponse) []*aubwire.WatchResponse
	// linkBytesPerSecond is the bandwidth to each follower; 0 means unlimited.
	linkBytesPerSecond int
	// transferEndsAt is when the message on the link arrives; zero while there is none. sent
	// counts the messages that have arrived.
	transferEndsAt time.Time
	sent           int
	timer          aubtimer.Service
}

func newTestSite(t *testing.T) *testSite {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	timer := aubtimer.NewManual(time.Unix(1000, 0))
	s := &testSite{t: t, ctx: ctx, timer: timer, common: aubcommon.NewCommon(timer), replicas: make(map[string]*replica)}
	t.Cleanup(cancel)
	return s
}

func (s *testSite) addReplica(name string) *replica { return s.addReplicaWith(name, &fakeReader{}) }

// addUnconfirmedReplica adds a replica without contact to a leader, which never has a
// confirmation.
func (s *testSite) addUnconfirmedReplica(name string) *replica {
	reader := &fakeReader{}
	reader.unconfirmed.Store(true)
	return s.addReplicaWith(name, reader)
}

func (s *testSite) addReplicaWith(name string, reader *fakeReader) *replica {
	r := &replica{
		table:    aubstate.NewConfigTable(s.common),
		reader:   reader,
		listener: bufconn.Listen(1 << 16),
		timer:    s.timer,
	}
	source := aubdistribution.NewLocalSource(s.ctx, s.common, aubdistribution.LocalSourceOpts{Table: r.table, Reader: r.reader})
	r.server = aubdistribution.NewServer(s.common, r.table, source)
	server := grpc.NewServer()
	aubwire.RegisterDistributionServer(server, r)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(r.listener)
	}()
	s.t.Cleanup(func() {
		server.Stop()
		<-done
	})
	s.replicas[name] = r
	return r
}

// dial returns a connection to a replica. Connecting fails for unknown addresses.
func (s *testSite) dial(address string) (*grpc.ClientConn, error) {
	s.dials.Add(1)
	r := s.replicas[address]
	count := func(ctx context.Context, desc *grpc.StreamDesc, conn *grpc.ClientConn, method string, streamer grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
		stream, err := streamer(ctx, desc, conn, method, opts...)
		return &countingClientStream{ClientStream: stream, isFirst: true, received: &s.received}, err
	}
	return grpc.NewClient("passthrough:///"+address, grpc.WithStreamInterceptor(count),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
			if r == nil {
				return nil, errNoLeader
			}
			return r.listener.DialContext(ctx)
		}))
}

// follow starts a follower of the given replicas, in order of preference.
func (s *testSite) follow(ctx context.Context, dataDir string, addresses ...string) *aubdistribution.Follower {
	return aubdistribution.NewFollower(ctx, s.common, aubdistribution.FollowerOpts{
		Process: "agent", Addresses: addresses, Dial: s.dial, DataDir: dataDir,
	})
}

// countingClientStream counts the messages that its user has received and dealt with.
type countingClientStream struct {
	grpc.ClientStream

	isFirst  bool
	received *atomic.Int32
}

// RecvMsg implements grpc.ClientStream. The user asks for the next message once it has dealt
// with the one before.
func (s *countingClientStream) RecvMsg(m any) error {
	if !s.isFirst {
		s.received.Add(1)
	}
	s.isFirst = false
	return s.ClientStream.RecvMsg(m)
}

// waitForTransfer advances the clock until a condition is met, only while a message is on the
// slow link of the replica and the follower has dealt with all before it. How fast the
// goroutines of this test run makes no difference.
func (s *testSite) waitForTransfer(condition string, r *replica, isMet func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); {
		switch {
		case isMet():
			return
		case r.isTransferring(int(s.received.Load())):
			s.timer.Advance(50 * time.Millisecond)
		default:
			time.Sleep(time.Millisecond)
		}
	}
	s.t.Fatalf("condition not met: %s", condition)
}

// waitUntil advances the clock until a condition is met, for at most 200 seconds.
func (s *testSite) waitUntil(condition string, isMet func() bool) {
	s.t.Helper()
	for range 4000 {
		if isMet() {
			return
		}
		time.Sleep(2 * time.Millisecond)
		s.timer.Advance(50 * time.Millisecond)
	}
	s.t.Fatalf("condition not met: %s", condition)
}

// advance moves the clock forward by d in steps of 50 ms.
func (s *testSite) advance(d time.Duration) {
	for range d / (50 * time.Millisecond) {
		s.timer.Advance(50 * time.Millisecond)
		time.Sleep(2 * time.Millisecond)
	}
}

// apply applies a ticket, which must be accepted.
func (r *replica) apply(t testing.TB, ticket aubapi.Ticket) {
	t.Helper()
	body, err := aubcodec.EncodeTicket(ticket)
	qt.Assert(t, err, qt.IsNil)
	outcome, err := aubcodec.DecodeOutcome(r.table.Apply(aubcontrol.Command{Body: body}))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, outcome.Status, qt.Equals, aubapi.TicketAccepted, qt.Commentf("%v", outcome.Faults))
}

// applyUntil applies tickets up to the given version. The content of a version is the
// same on all replicas.
func (r *replica) applyUntil(t testing.TB, version uint64) {
	t.Helper()
	for n := r.table.Config().Version() + 1; n <= version; n++ {
		r.apply(t, historyTicket(n))
	}
}

// historyTicket returns the ticket of version n. It sets one of five workspaces in
// round-robin order; every seventh ticket removes the workspace set by the previous
// one.
func historyTicket(n uint64) aubapi.Ticket {
	name := string(rune('a' + n%5))
	if n%7 == 0 {
		return aubapi.Ticket{Number: n, Remove: []aubapi.ObjectID{{
			Kind: aubapi.KindWorkspace, Name: string(rune('a' + (n-1)%5)),
		}}}
	}
	return aubapi.Ticket{Number: n, Workspaces: []aubapi.Workspace{{Name: name, Rate: int64(n), Burst: 1}}}
}

// historyConfigs returns the configurations of the versions 0 to n.
func historyConfigs(t testing.TB, n uint64) []aubquery.Config {
	t.Helper()
	r := &replica{table: aubstate.NewConfigTable(aubcommon.NewCommon(aubtimer.NewReal()))}
	configs := []aubquery.Config{r.table.Config()}
	for v := uint64(1); v <= n; v++ {
		r.applyUntil(t, v)
		configs = append(configs, r.table.Config())
	}
	return configs
}

// setSendFilter replaces the filter of sent messages; nil removes it.
func (r *replica) setSendFilter(filter func(*aubwire.WatchResponse) []*aubwire.WatchResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sendFilter = filter
}

// Watch implements aubwire.DistributionServer on a stream with injected faults.
func (r *replica) Watch(stream grpc.BidiStreamingServer[aubwire.WatchRequest, aubwire.WatchResponse]) error {
	return r.server.Watch(&faultyStream{BidiStreamingServer: stream, replica: r})
}

// faultyStream applies the replica's message filter to sent messages.
type faultyStream struct {
	grpc.BidiStreamingServer[aubwire.WatchRequest, aubwire.WatchResponse]

	replica *replica
}

// setTransfer sets when the message on the link arrives and adds to the arrived ones.
func (r *replica) setTransfer(endsAt time.Time, arrived int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.transferEndsAt = endsAt
	r.sent += arrived
}

// isTransferring reports whether a message is on the link and all earlier ones were received.
func (r *replica) isTransferring(received int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.timer.Now().Before(r.transferEndsAt) && received >= r.sent
}

func (s *faultyStream) Send(m *aubwire.WatchResponse) error {
	s.replica.mu.Lock()
	messages := []*aubwire.WatchResponse{m}
	if s.replica.sendFilter != nil {
		messages = s.replica.sendFilter(m)
	}
	bandwidth := s.replica.linkBytesPerSecond
	s.replica.mu.Unlock()
	for _, m := range messages {
		if bandwidth > 0 {
			transferTime := time.Duration(proto.Size(m)) * time.Second / time.Duration(bandwidth)
			// The clock moves as soon as the transfer is set. A subscription after that may
			// be due later than the transfer, and then nothing advances the clock to it.
			arrived := s.replica.timer.After(s.Context(), transferTime)
			s.replica.setTransfer(s.replica.timer.Now().Add(transferTime), 0)
			select {
			case <-arrived:
			case <-s.Context().Done():
				return s.Context().Err()
			}
		}
		if err := s.BidiStreamingServer.Send(m); err != nil {
			return err
		}
		s.replica.setTransfer(time.Time{}, 1)
	}
	return nil
}

// randomFaults returns a filter that drops, duplicates and delays messages at random.
func randomFaults(random *rand.Rand) func(*aubwire.WatchResponse) []*aubwire.WatchResponse {
	var delayed []*aubwire.WatchResponse
	return func(m *aubwire.WatchResponse) []*aubwire.WatchResponse {
		switch random.IntN(5) {
		case 0:
			return nil
		case 1:
			return []*aubwire.WatchResponse{m, m}
		case 2:
			delayed = append(delayed, m)
			return nil
		default:
			messages := append([]*aubwire.WatchResponse{m}, delayed...)
			delayed = nil
			return messages
		}
	}
}
