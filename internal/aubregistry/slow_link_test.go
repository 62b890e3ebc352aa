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
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubstandin"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// slowLinkBytesPerSecond is the bandwidth of a 10 Mbit/s link.
	slowLinkBytesPerSecond = 1_250_000
	largeDocumentBytes     = 400_000
	controlCount           = 8
	// activationTimeout is the platform's bound from the commit of a revision to its
	// activation.
	activationTimeout = 2500 * time.Millisecond
)

// dialOver returns a function that connects to a control process over the link.
func dialOver(link *aubstandin.Link, controls map[string]*controlProcess) func(address string) (*grpc.ClientConn, error) {
	return func(address string) (*grpc.ClientConn, error) {
		return grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
				conn, err := controls[address].listener.DialContext(ctx)
				return link.Wrap(conn), err
			}))
	}
}

// TestLargeRevisionsReachARelayBehindASlowLink guards against copies from all control processes that fill the link.
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
		Dial: dialOver(aubstandin.NewLink(slowLinkBytesPerSecond), controls), Registry: aubregistry.NewRegistry(common, time.Minute),
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
