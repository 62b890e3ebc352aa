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
	// heartbeatInterval is how often a follower sends its heartbeat.
	heartbeatInterval = time.Second
	// silenceLimit is how long either end waits for a word of the other.
	silenceLimit = 4 * time.Second
	// fullInterval is the least time between two full states to one follower.
	fullInterval = time.Second
)

// Table is the replicated configuration that a server serves from.
type Table interface {
	Config() aubquery.Config
	Changed(version uint64) <-chan struct{}
	// Since returns the current configuration and the changes that lead to it,
	// false when they are no longer kept.
	Since(version uint64) (aubquery.Config, []aubquery.Change, bool)
}

// Server sends configuration versions to processes without a replica.
type Server struct {
	aubwire.UnimplementedDistributionServer

	common  aubcommon.Common
	table   Table
	source  aubquery.Source
	updates *updates
}

var _ aubwire.DistributionServer = (*Server)(nil)

// NewServer returns the server; source tells when the table was last confirmed.
func NewServer(common aubcommon.Common, table Table, source aubquery.Source) *Server {
	return &Server{
		common:  common.WithPart("distribution"),
		table:   table,
		source:  source,
		updates: &updates{table: table},
	}
}

// Watch implements aubwire.DistributionServer. It ends with the stream's context
// or when the follower falls silent.
func (s *Server) Watch(stream grpc.BidiStreamingServer[aubwire.WatchRequest, aubwire.WatchResponse]) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	requests := make(chan received[*aubwire.WatchRequest])
	go receive(ctx, stream.Recv, requests)
	heard := make(chan struct{}, 1)
	failed := make(chan error, 1)
	w := &watcher{server: s, stream: stream}
	go func() { failed <- w.run(ctx, requests, heard) }()
	return s.guard(ctx, heard, failed)
}

// guard ends the stream when its watcher fails or hears nothing for too long. It
// runs apart from the watcher, whose sends may block on a silent connection.
func (s *Server) guard(ctx context.Context, heard <-chan struct{}, failed <-chan error) error {
	ticks := s.common.Timer.Subscribe(ctx, heartbeatInterval)
	last := s.common.Timer.Now()
	for {
		select {
		case err := <-failed:
			return err
		case <-heard:
			last = s.common.Timer.Now()
		case <-ticks:
			if s.common.Timer.Now().Sub(last) > silenceLimit {
				return status.Error(codes.DeadlineExceeded, "the follower fell silent")
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// heartbeat reads the confirmation first, so that the version is at least the
// one confirmed.
func (s *Server) heartbeat(sequence uint64) *aubwire.WatchResponse {
	confirmed := s.source.ConfirmedAt()
	h := &aubwire.WatchHeartbeat{Sequence: sequence, Version: s.table.Config().Version()}
	if !confirmed.IsZero() {
		h.Confirmed = true
		h.ConfirmedAgeMs = s.common.Timer.Now().Sub(confirmed).Milliseconds() + 1
	}
	return &aubwire.WatchResponse{Message: &aubwire.WatchResponse_Heartbeat{Heartbeat: h}}
}

// received is one message of a stream or the error that ended it.
type received[T any] struct {
	message T
	err     error
}

// receive passes on the messages of a stream until its first error or the end of ctx.
func receive[T any](ctx context.Context, recv func() (T, error), out chan<- received[T]) {
	for {
		message, err := recv()
		select {
		case out <- received[T]{message: message, err: err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}
