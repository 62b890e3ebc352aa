package aubregistry

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// TestDelayAfterFailures guards against relays that serve nothing for tenths of a second after
// the control processes are up, and against attempts without a pause.
func TestDelayAfterFailures(t *testing.T) {
	// A restarted relay should serve 0.4 s after its start, so that attempts within that time
	// are at most a quarter of it apart.
	for waited, failures := time.Duration(0), 1; waited < 400*time.Millisecond; failures++ {
		qt.Assert(t, delayAfter(failures) <= 100*time.Millisecond, qt.IsTrue, qt.Commentf("%d failures", failures))
		waited += delayAfter(failures)
	}
	qt.Assert(t, delayAfter(1), qt.Equals, quickReconnectDelay)
	qt.Assert(t, delayAfter(100), qt.Equals, reconnectDelay)
}

// TestUnansweredConnectionIsTriedAgain guards against a client that waits for the second that
// TCP takes to send the first packet of a connection again, after a control process's instance
// dropped it while it started.
func TestUnansweredConnectionIsTriedAgain(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	listener := bufconn.Listen(1 << 16)
	server := grpc.NewServer()
	common := aubcommon.NewCommon(aubtimer.NewReal())
	aubwire.RegisterRegistryServer(server, &firstResponder{})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	var dials atomic.Int64
	client := NewClient(ctx, common, ClientOpts{
		Process: "r1", Seeds: func() []string { return []string{"c1"} }, Registry: NewRegistry(common, time.Minute),
		Dial: func(string) (*grpc.ClientConn, error) {
			return grpc.NewClient("passthrough:///c1", grpc.WithTransportCredentials(insecure.NewCredentials()),
				grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
					if dials.Add(1) == 1 {
						<-ctx.Done()
						return nil, ctx.Err()
					}
					return listener.DialContext(ctx)
				}))
		},
	})
	startedAt := time.Now()
	for client.ConnectedCount() == 0 {
		qt.Assert(t, time.Since(startedAt) < time.Second, qt.IsTrue)
		time.Sleep(5 * time.Millisecond)
	}
}

// firstResponder sends one response on each stream.
type firstResponder struct {
	aubwire.UnimplementedRegistryServer
}

// Watch implements aubwire.RegistryServer.
func (*firstResponder) Watch(stream grpc.BidiStreamingServer[aubwire.RegistryRequest, aubwire.RegistryResponse]) error {
	if err := stream.Send(&aubwire.RegistryResponse{}); err != nil {
		return err
	}
	<-stream.Context().Done()
	return stream.Context().Err()
}
