package aubdistribution_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubdistribution"
	"github.com/auburndale/auburndale/internal/aubstate"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// countingConn counts the bytes read and written on a connection.
type countingConn struct {
	net.Conn

	bytesRead, bytesWritten *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytesRead.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesWritten.Add(int64(n))
	return n, err
}

// benchSite is a server on loopback TCP with its followers.
type benchSite struct {
	replica   *replica
	followers []*aubdistribution.Follower
	// bytesRead and bytesWritten are the bytes read and written by all followers.
	bytesRead, bytesWritten atomic.Int64
	// ticketNumber is the number of the last ticket.
	ticketNumber uint64
}

// newBenchSite starts a server with the given number of objects, and followers, and
// waits until all followers have the first version.
func newBenchSite(b *testing.B, objects, followers int) *benchSite {
	b.Helper()
	ctx, cancel := context.WithCancel(b.Context())
	common := aubcommon.NewCommon(aubtimer.NewReal())
	s := &benchSite{replica: &replica{table: aubstate.NewConfigTable(common)}}
	s.replica.apply(b, manyModels(objects))
	s.ticketNumber = 1
	source := aubdistribution.NewLocalSource(ctx, common, aubdistribution.LocalSourceOpts{Table: s.replica.table, Reader: &fakeReader{}})
	server := grpc.NewServer()
	aubwire.RegisterDistributionServer(server, aubdistribution.NewServer(common, s.replica.table, source))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	b.Cleanup(func() {
		cancel()
		server.Stop()
		<-done
	})
	for i := range followers {
		s.followers = append(s.followers, aubdistribution.NewFollower(ctx, common, aubdistribution.FollowerOpts{
			Process: fmt.Sprint("agent-", i), Addresses: []string{listener.Addr().String()}, Dial: s.dial,
		}))
	}
	s.wait(1)
	return s
}

func (s *benchSite) dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			return countingConn{Conn: conn, bytesRead: &s.bytesRead, bytesWritten: &s.bytesWritten}, err
		}))
}

// wait blocks until all followers have published the version.
func (s *benchSite) wait(version uint64) {
	for _, f := range s.followers {
		for f.Config().Version() < version {
			<-f.Changed(version - 1)
		}
	}
}

// manyModels returns a ticket with a workspace and the given number of models.
func manyModels(n int) aubapi.Ticket {
	ticket := aubapi.Ticket{Number: 1, Workspaces: []aubapi.Workspace{{Name: "w", Rate: 1, Burst: 1}}}
	for i := range n {
		ticket.Models = append(ticket.Models, model(i, 1))
	}
	return ticket
}

// model returns the i-th model.
func model(i int, copies int) aubapi.Model {
	return aubapi.Model{
		Name: fmt.Sprintf("organisation/model-%06d", i), MemoryBytes: 1 << 34, Workspaces: []string{"w"},
		MaxOutputTokens: 2048, BytesPerToken: 2, Copies: copies,
	}
}

// cpuTime returns the processor time used by this process.
func cpuTime() time.Duration {
	var usage unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkChange measures a change of one object: the processor time of the server
// and all followers, and the bytes received by one follower, for different numbers of
// objects and followers.
func BenchmarkChange(b *testing.B) {
	for _, objects := range []int{100, 1_000, 9_999} {
		for _, followers := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("objects=%d/followers=%d", objects, followers), func(b *testing.B) {
				s := newBenchSite(b, objects, followers)
				s.bytesRead.Store(0)
				s.bytesWritten.Store(0)
				cpuBefore := cpuTime()
				for b.Loop() {
					s.ticketNumber++
					m := model(int(s.ticketNumber)%objects, int(s.ticketNumber))
					s.replica.apply(b, aubapi.Ticket{Number: s.ticketNumber, Models: []aubapi.Model{m}})
					s.wait(s.ticketNumber)
				}
				changes := float64(b.N)
				b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/changes, "cpu-us/change")
				b.ReportMetric(float64(s.bytesRead.Load())/changes/float64(followers), "bytes-in/change/follower")
			})
		}
	}
}

// BenchmarkIdle measures streams without changes: bytes and processor time per second
// and follower.
func BenchmarkIdle(b *testing.B) {
	for _, followers := range []int{1, 100, 400} {
		b.Run(fmt.Sprintf("followers=%d", followers), func(b *testing.B) {
			s := newBenchSite(b, 100, followers)
			time.Sleep(2 * time.Second)
			s.bytesRead.Store(0)
			s.bytesWritten.Store(0)
			cpuBefore, startedAt := cpuTime(), time.Now()
			for b.Loop() {
				time.Sleep(time.Second)
			}
			seconds := time.Since(startedAt).Seconds() * float64(followers)
			b.ReportMetric(float64(s.bytesRead.Load())/seconds, "bytes-in/s")
			b.ReportMetric(float64(s.bytesWritten.Load())/seconds, "bytes-out/s")
			b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/seconds, "cpu-us/s")
		})
	}
}
