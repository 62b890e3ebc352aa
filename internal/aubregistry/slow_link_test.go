package aubregistry_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// slowLinkBytesPerSecond is the bandwidth of a 10 Mbit/s link.
	slowLinkBytesPerSecond = 1_250_000
	slowLinkBurstBytes     = 16 << 10
	largeDocumentBytes     = 400_000
	controlCount           = 8
	// activationTimeout is the platform's bound from the commit of a revision to its
	// activation.
	activationTimeout = 2500 * time.Millisecond
)

// slowLink is the incoming link of one process; all connections share its bandwidth.
type slowLink struct{ limiter *rate.Limiter }

func newSlowLink() *slowLink {
	return &slowLink{limiter: rate.NewLimiter(slowLinkBytesPerSecond, slowLinkBurstBytes)}
}

// dial returns a function that connects to a control process over the link.
func (l *slowLink) dial(controls map[string]*controlProcess) func(address string) (*grpc.ClientConn, error) {
	return func(address string) (*grpc.ClientConn, error) {
		return grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
				conn, err := controls[address].listener.DialContext(ctx)
				return &slowConn{Conn: conn, link: l}, err
			}))
	}
}

// slowConn delays received data to the bandwidth of its link.
type slowConn struct {
	net.Conn

	link *slowLink
}

// Read implements net.Conn.
func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), slowLinkBurstBytes)])
	if waitErr := c.link.limiter.WaitN(context.Background(), n); waitErr != nil {
		return n, waitErr
	}
	return n, err
}

// TestLargeRevisionsReachARelayBehindASlowLink guards against a relay that never receives
// the configuration because every control process sends it a copy.
func TestLargeRevisionsReachARelayBehindASlowLink(t *testing.T) {
	common := aubcommon.NewCommon(aubtimer.NewReal())
	controls := map[string]*controlProcess{}
	addresses := make([]string, 0, controlCount)
	for i := range controlCount {
		address := fmt.Sprintf("c%d", i+1)
		controls[address] = newControlProcess(t, common)
		addresses = append(addresses, address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var received atomic.Uint64
	client := aubregistry.NewClient(ctx, common, aubregistry.ClientOpts{
		Process: "r1", Relay: true, Seeds: func() []string { return addresses },
		Dial: newSlowLink().dial(controls), Registry: aubregistry.NewRegistry(common, time.Minute),
		OnRevision: func(revision *aubwire.SiteRevision) { received.Store(revision.GetNumber()) },
	})
	await(t, "the relay connects to all control processes", func() bool { return client.ConnectedCount() == len(addresses) })

	for number := uint64(1); number <= 3; number++ {
		document := bytes.Repeat([]byte{byte(number)}, largeDocumentBytes)
		for _, control := range controls {
			control.revisions.current.Store(&aubwire.SiteRevision{Number: number, Document: document})
		}
		committedAt := time.Now()
		for received.Load() < number && time.Since(committedAt) < activationTimeout {
			time.Sleep(pollInterval)
		}
		qt.Check(t, received.Load(), qt.Equals, number, qt.Commentf("after %v", time.Since(committedAt)))
	}
	qt.Assert(t, client.ConnectedCount(), qt.Equals, len(addresses), qt.Commentf("streams must survive the transfers"))
}
