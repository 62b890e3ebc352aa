package aubdistribution_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// TestServerEndsSilentStreams guards against streams that stay open on the server
// after their follower has stopped sending heartbeats.
func TestServerEndsSilentStreams(t *testing.T) {
	s := newTestSite(t)
	s.addReplica("a").applyUntil(t, 2)
	conn, err := s.dial("a")
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	stream, err := aubwire.NewDistributionClient(conn).Watch(s.ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, stream.Send(&aubwire.WatchRequest{Process: "agent", Sequence: 1}), qt.IsNil)

	first, err := stream.Recv()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, first.GetDelta().GetToVersion(), qt.Equals, uint64(2))
	second, err := stream.Recv()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, second.GetHeartbeat().GetSequence(), qt.Equals, uint64(1))

	ended := make(chan error, 1)
	go func() {
		_, err := stream.Recv()
		ended <- err
	}()
	s.advance(3 * time.Second)
	qt.Assert(t, ended, qt.HasLen, 0)
	s.waitUntil("the end of the stream", func() bool { return len(ended) == 1 })
	qt.Assert(t, status.Code(<-ended), qt.Equals, codes.DeadlineExceeded)
}
