package aubcontrol_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

const testTimeout = 30 * time.Second

func dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
}

// instance is one replica with its listener; stop shuts down both.
type instance struct {
	replica *aubcontrol.Replica
	table   *journal
	stop    func()
	// isSilent is set while the instance receives nothing and answers no call.
	isSilent atomic.Bool
}

// interceptUnary lets a silent instance answer no call.
func (i *instance) interceptUnary(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	if i.isSilent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return handler(ctx, req)
}

// interceptStream lets a silent instance receive no message.
func (i *instance) interceptStream(srv any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	return handler(srv, &silencedStream{ServerStream: stream, instance: i})
}

// silencedStream is a stream to an instance that may be silent.
type silencedStream struct {
	grpc.ServerStream

	instance *instance
}

// RecvMsg implements grpc.ServerStream.
func (s *silencedStream) RecvMsg(m any) error {
	for {
		if err := s.ServerStream.RecvMsg(m); err != nil || !s.instance.isSilent.Load() {
			return err
		}
	}
}

// testSite is a set of replicas on loopback addresses.
type testSite struct {
	t     testing.TB
	dir   string
	dial  aubcontrol.Dial
	peers []aubcontrol.Peer
	// electionTimeout is 0 for the default.
	electionTimeout time.Duration
	instances       map[string]*instance
}

func newSite(t testing.TB, names ...string) *testSite { return newSiteWith(t, dial, names...) }

func newSiteWith(t testing.TB, dial aubcontrol.Dial, names ...string) *testSite {
	return startSite(&testSite{t: t, dir: t.TempDir(), dial: dial, instances: make(map[string]*instance)}, names...)
}

// startSite starts the replicas of a site.
func startSite(s *testSite, names ...string) *testSite {
	t := s.t
	for _, name := range names {
		s.peers = append(s.peers, aubcontrol.Peer{Name: name, Address: freeAddress(t)})
	}
	for _, name := range names {
		s.start(name)
	}
	t.Cleanup(func() {
		for _, i := range s.instances {
			i.stop()
		}
	})
	return s
}

// freeAddress returns an address on a random loopback IP, so that no outgoing
// connection of another process takes the port before the replica listens on it.
func freeAddress(t testing.TB) string {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250)))
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	return l.Addr().String()
}

func (s *testSite) address(name string) string {
	for _, p := range s.peers {
		if p.Name == name {
			return p.Address
		}
	}
	return ""
}

func (s *testSite) start(name string) *instance {
	ctx, cancel := context.WithCancel(context.Background())
	table := &journal{}
	address := s.address(name)
	r, err := aubcontrol.NewReplica(ctx, aubcommon.NewCommon(aubtimer.NewReal()), aubcontrol.ReplicaOpts{
		Member:  name,
		Address: address,
		Voters:  s.peers,
		DataDir: filepath.Join(s.dir, name),
		Tables:  []aubcontrol.Table{table, &counterTable{}},
		Dial:    s.dial,

		ElectionTimeout: s.electionTimeout,
		Heartbeat:       s.electionTimeout / 10,
	})
	qt.Assert(s.t, err, qt.IsNil)
	l, err := net.Listen("tcp", address)
	qt.Assert(s.t, err, qt.IsNil)
	i := &instance{replica: r, table: table}
	server := grpc.NewServer(grpc.UnaryInterceptor(i.interceptUnary), grpc.StreamInterceptor(i.interceptStream))
	r.Register(server)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(l)
	}()
	i.stop = func() {
		server.Stop()
		cancel()
		<-served
		<-r.Done()
		delete(s.instances, name)
	}
	s.instances[name] = i
	return i
}

func (s *testSite) addresses() []string {
	addresses := make([]string, 0, len(s.peers))
	for _, p := range s.peers {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

func newContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func TestApplyThroughEveryReplicaAndClient(t *testing.T) {
	for _, names := range [][]string{{"a"}, {"a", "b", "c"}} {
		t.Run(fmt.Sprint(len(names)), func(t *testing.T) {
			site := newSite(t, names...)
			ctx := newContext(t)
			client := aubcontrol.NewClient(aubcommon.NewCommon(aubtimer.NewReal()), aubcontrol.ClientOpts{Addresses: site.addresses(), Dial: dial})
			defer client.Close()

			var want strings.Builder
			proposers := make([]aubcontrol.Proposer, 0, 1+len(names))
			proposers = append(proposers, client)
			for _, name := range names {
				proposers = append(proposers, site.instances[name].replica)
			}
			for i, p := range proposers {
				fmt.Fprint(&want, i)
				result, err := p.Apply(ctx, "journal", fmt.Append(nil, i))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, string(result.Body), qt.Equals, want.String())
			}
			for _, name := range names {
				_, err := site.instances[name].replica.Confirm(ctx)
				qt.Assert(t, err, qt.IsNil)
			}
			_, err := client.Confirm(ctx)
			qt.Assert(t, err, qt.IsNil)
		})
	}
}

// TestCommandDoesNotWaitForAReplacedLeader guards against commands and reads that wait for a leader that was replaced.
func TestCommandDoesNotWaitForAReplacedLeader(t *testing.T) {
	site := startSite(&testSite{
		t: t, dir: t.TempDir(), dial: dial, electionTimeout: 150 * time.Millisecond, instances: make(map[string]*instance),
	}, "a", "b", "c")
	ctx := newContext(t)
	var leader *instance
	var followers []*instance
	for _, p := range site.peers {
		i := site.instances[p.Name]
		_, err := i.replica.Apply(ctx, "journal", []byte("x"))
		qt.Assert(t, err, qt.IsNil)
	}
	for _, p := range site.peers {
		i := site.instances[p.Name]
		if _, isLeading := i.replica.Leading(); isLeading {
			leader = i
		} else {
			followers = append(followers, i)
		}
	}
	qt.Assert(t, followers, qt.HasLen, 2)
	leader.isSilent.Store(true)
	// An operator's call is given less than the time of an attempt.
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	var group errgroup.Group
	for _, i := range followers {
		group.Go(func() error {
			_, err := i.replica.Apply(ctx, "journal", []byte("y"))
			return err
		})
		group.Go(func() error {
			_, err := i.replica.Confirm(ctx)
			return err
		})
	}
	qt.Assert(t, group.Wait(), qt.IsNil)
}
