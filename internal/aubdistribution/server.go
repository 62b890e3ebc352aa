package aubdistribution

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// heartbeatInterval is the time between two heartbeats of a follower.
	heartbeatInterval = time.Second
	// receiveTimeout is the time after which either end closes a stream on which it
	// receives nothing.
	receiveTimeout = 4 * time.Second
	// minFullStateInterval is the minimum time between two full states sent to a
	// follower that requests them or has wrong content.
	minFullStateInterval = time.Second
)

// Table is the replicated configuration that a server distributes.
type Table interface {
	// Config returns the current configuration.
	Config() aubquery.Config
	// Changed returns a channel that is closed once the current version is higher
	// than the given one.
	Changed(version uint64) <-chan struct{}
	// Since returns the current configuration and the changes from the given version
	// to it, or false if these changes are no longer stored.
	Since(version uint64) (aubquery.Config, []aubquery.Change, bool)
}

// Server sends configuration versions to processes without a replica.
type Server struct {
	aubwire.UnimplementedDistributionServer

	common  aubcommon.Common
	table   Table
	source  aubquery.ConfigSource
	updates *updateBuilder
}

var _ aubwire.DistributionServer = (*Server)(nil)

// NewServer returns a server for the table. Source provides the time at which the
// table was last confirmed.
func NewServer(common aubcommon.Common, table Table, source aubquery.ConfigSource) *Server {
	return &Server{
		common:  common.WithPart("distribution"),
		table:   table,
		source:  source,
		updates: &updateBuilder{table: table},
	}
}

// Watch implements aubwire.DistributionServer. It returns when the stream's context
// is done or when nothing is received from the follower within receiveTimeout.
func (s *Server) Watch(stream grpc.BidiStreamingServer[aubwire.WatchRequest, aubwire.WatchResponse]) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	requests := make(chan receiveResult[*aubwire.WatchRequest])
	go forwardMessages(ctx, stream.Recv, requests)
	activity := make(chan struct{}, 1)
	watcherDone := make(chan error, 1)
	w := &watcher{server: s, stream: stream, activity: activity}
	go func() { watcherDone <- w.run(ctx, requests) }()
	return s.enforceTimeout(ctx, activity, watcherDone)
}

// enforceTimeout returns when the watcher ends or receives nothing within
// receiveTimeout. It runs in another goroutine than the watcher, which may block in a
// send on a connection that delivers no data.
func (s *Server) enforceTimeout(ctx context.Context, activity <-chan struct{}, watcherDone <-chan error) error {
	ticks := s.common.Timer.Subscribe(ctx, heartbeatInterval)
	lastReceived := s.common.Timer.Now()
	for {
		select {
		case err := <-watcherDone:
			return err
		case <-activity:
			lastReceived = s.common.Timer.Now()
		case <-ticks:
			if s.common.Timer.Now().Sub(lastReceived) > receiveTimeout {
				return status.Error(codes.DeadlineExceeded, "the follower fell silent")
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// newHeartbeat returns the heartbeat that responds to the request with the given
// sequence. It reads the time of the confirmation before the version, so that the
// version is not older than the confirmed one.
func (s *Server) newHeartbeat(sequence uint64) *aubwire.WatchResponse {
	confirmed := s.source.ConfirmedAt()
	h := &aubwire.WatchHeartbeat{Sequence: sequence, Version: s.table.Config().Version()}
	if !confirmed.IsZero() {
		h.Confirmed = true
		h.ConfirmedAgeMs = s.common.Timer.Now().Sub(confirmed).Milliseconds() + 1
	}
	return &aubwire.WatchResponse{Message: &aubwire.WatchResponse_Heartbeat{Heartbeat: h}}
}

// receiveResult is a message received from a stream, or the error that ended the
// stream.
type receiveResult[T any] struct {
	message T
	err     error
}

// forwardMessages sends the messages of a stream to a channel until the first error,
// which it sends too, or until ctx is done.
func forwardMessages[T any](ctx context.Context, recv func() (T, error), out chan<- receiveResult[T]) {
	for {
		message, err := recv()
		select {
		case out <- receiveResult[T]{message: message, err: err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}
