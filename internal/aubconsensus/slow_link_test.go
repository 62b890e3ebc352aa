package aubconsensus_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubconsensus"
	"github.com/auburndale/auburndale/internal/aubstandin"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// maxSlowLinkMessage is the size of the messages that a slow link carries within the
// timeout of one delivery, beside other traffic.
const maxSlowLinkMessage = 128 << 10

// TestFollowerBehindASlowLinkCatchesUp guards against messages too large for the link that are sent again and again.
func TestFollowerBehindASlowLinkCatchesUp(t *testing.T) {
	for _, test := range []struct {
		name            string
		snapshotEntries uint64
	}{
		{"by entries", 1000},
		{"by a snapshot", 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 3, 11)
			c.changeOpts = func(opts *aubconsensus.Opts) {
				opts.SnapshotEntries = test.snapshotEntries
				opts.KeepEntries = 1
			}
			for _, name := range c.names() {
				c.restart(name)
			}
			follower := c.randomReplica(c.waitLeader())
			c.kill(follower)
			value := strings.Repeat("x", 20<<10)
			for range 40 {
				c.commitValue("k", value)
			}
			c.network.setDropFilter(func(m *aubwire.ConsensusMessage) bool { return proto.Size(m) > maxSlowLinkMessage })
			c.start(follower)
			c.waitValueOnAll("k", strings.Repeat(value+",", 40))
		})
	}
}

// receivedMessages counts the messages that a replica receives.
type receivedMessages struct {
	aubwire.UnimplementedConsensusServer

	received chan *aubwire.ConsensusMessage
}

func (r *receivedMessages) Deliver(_ context.Context, req *aubwire.DeliverRequest) (*aubwire.DeliverResponse, error) {
	for _, m := range req.GetMessages() {
		r.received <- m
	}
	return &aubwire.DeliverResponse{}, nil
}

// TestLargeMessageIsDeliveredOverASlowLink guards against a transfer that is longer than the timeout of a delivery.
func TestLargeMessageIsDeliveredOverASlowLink(t *testing.T) {
	const (
		bytesPerSecond  = 1_250_000
		entryBytes      = 1 << 20
		deliveryTimeout = 600 * time.Millisecond
	)
	listener := bufconn.Listen(1 << 16)
	server := grpc.NewServer()
	received := &receivedMessages{received: make(chan *aubwire.ConsensusMessage, 1)}
	aubwire.RegisterConsensusServer(server, received)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	defer func() {
		server.Stop()
		<-done
	}()
	link := aubstandin.NewLink(bytesPerSecond)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	transport := aubconsensus.NewRemoteTransport(ctx, aubcommon.NewCommon(aubtimer.NewReal()), func(address string) (*grpc.ClientConn, error) {
		return grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
				conn, err := listener.DialContext(ctx)
				return link.Wrap(conn), err
			}))
	}, deliveryTimeout)
	transport.Send("b", &aubwire.ConsensusMessage{Body: &aubwire.ConsensusMessage_Append{Append: &aubwire.AppendRequest{
		Entries: []*aubwire.LogEntry{{Data: make([]byte, entryBytes)}},
	}}})
	select {
	case m := <-received.received:
		qt.Assert(t, m.GetAppend().GetEntries()[0].GetData(), qt.HasLen, entryBytes)
	case <-time.After(testTimeout):
		t.Fatal("the entry did not arrive")
	}
}
