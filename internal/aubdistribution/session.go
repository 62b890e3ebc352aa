package aubdistribution

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// staleLimit is the age of a server's confirmation above which a follower switches
// to another server.
const staleLimit = 5 * time.Second

// session runs one stream of a follower. It is not safe for concurrent use.
type session struct {
	common  aubcommon.Common
	shown   *shown
	process string
	address string
	// rotating is true if the follower can switch to another server.
	rotating bool

	started time.Time
	// heard is the time of the last message received.
	heard time.Time
	// sequence is the sequence of the last heartbeat sent.
	sequence uint64
	// pings holds the heartbeats without a response, oldest first.
	pings []ping
	// asked is true after a resync or full state was requested, until a
	// configuration is accepted or the next heartbeat is due. It prevents further
	// requests meanwhile.
	asked bool
}

// ping is a heartbeat sent by the follower.
type ping struct {
	sequence uint64
	at       time.Time
}

// run follows the server until the stream fails, nothing is received within
// receiveTimeout or ctx is done. Another goroutine sends the requests, as a send may
// block on a connection that delivers no data.
func (s *session) run(ctx context.Context, conn grpc.ClientConnInterface) error {
	now := s.common.Timer.Now()
	s.heard, s.started = now, now
	requests := make(chan *aubwire.WatchRequest, 1)
	responses := make(chan received[*aubwire.WatchResponse])
	go pump(ctx, conn, requests, responses)
	ticks := s.common.Timer.Subscribe(ctx, heartbeatInterval)
	s.send(requests, &aubwire.WatchRequest{})
	for {
		select {
		case r := <-responses:
			if r.err != nil {
				return r.err
			}
			s.heard = s.common.Timer.Now()
			if err := s.take(requests, r.message); err != nil {
				return err
			}
		case <-ticks:
			if s.common.Timer.Now().Sub(s.heard) > silenceLimit {
				return &SilentError{Address: s.address}
			}
			s.asked = false
			s.send(requests, &aubwire.WatchRequest{})
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// take handles one message from the server.
func (s *session) take(requests chan<- *aubwire.WatchRequest, r *aubwire.WatchResponse) error {
	held := s.shown.heldConfig()
	switch m := r.GetMessage().(type) {
	case *aubwire.WatchResponse_Delta:
		next, step := mergeDelta(held, m.Delta)
		s.execute(requests, next, step)
	case *aubwire.WatchResponse_Full:
		next, step := mergeFull(held, m.Full)
		s.execute(requests, next, step)
	case *aubwire.WatchResponse_Heartbeat:
		if m.Heartbeat.GetVersion() > held.Version() {
			s.execute(requests, held, stepResync)
			return nil
		}
		return s.confirm(m.Heartbeat)
	}
	return nil
}

// execute performs the action that follows from a message.
func (s *session) execute(requests chan<- *aubwire.WatchRequest, next aubquery.Config, step step) {
	switch step {
	case stepHold:
		s.shown.hold(next)
		s.asked = false
	case stepResync:
		s.ask(requests, &aubwire.WatchRequest{Resync: true})
	case stepFull:
		s.common.Log.Warn("Received configuration does not match its digest.", zap.Uint64("version", next.Version()))
		s.ask(requests, &aubwire.WatchRequest{Full: true})
	case stepNone:
	}
}

// ask sends a request for a resync or the full state unless one is pending.
func (s *session) ask(requests chan<- *aubwire.WatchRequest, r *aubwire.WatchRequest) {
	if s.asked {
		return
	}
	s.asked = s.send(requests, r)
}

// send adds the sequence and the current version and digest to a request and sends
// it; every request is a heartbeat too. It drops the request and returns false if an
// earlier one is still waiting to be sent.
func (s *session) send(requests chan<- *aubwire.WatchRequest, r *aubwire.WatchRequest) bool {
	held := s.shown.heldConfig()
	r.Process = s.process
	r.Sequence = s.sequence + 1
	r.Version = held.Version()
	r.Digest = held.Digest().Bytes()
	now := s.common.Timer.Now()
	select {
	case requests <- r:
		s.sequence++
		s.pings = append(s.pings, ping{sequence: s.sequence, at: now})
		return true
	default:
		return false
	}
}

// confirm handles the server's confirmation. Its age counts from the time the
// follower sent the heartbeat, so that network delay can't make it appear newer. The
// result is a *StaleServerError if the follower should switch to another server.
func (s *session) confirm(h *aubwire.WatchHeartbeat) error {
	sent, ok := s.answered(h.GetSequence())
	if !ok {
		return nil
	}
	now := s.common.Timer.Now()
	at := sent.Add(-time.Duration(h.GetConfirmedAgeMs()) * time.Millisecond)
	if h.GetConfirmed() {
		s.shown.confirm(at)
	}
	stale := !h.GetConfirmed() || now.Sub(at) > staleLimit
	if s.rotating && stale && now.Sub(s.started) > staleLimit {
		return &StaleServerError{Address: s.address}
	}
	return nil
}

// answered returns the time the heartbeat with the given sequence was sent, or false
// if it is unknown, and removes this and all earlier heartbeats.
func (s *session) answered(sequence uint64) (time.Time, bool) {
	for i, p := range s.pings {
		if p.sequence == sequence {
			s.pings = s.pings[i+1:]
			return p.at, true
		}
	}
	return time.Time{}, false
}

// pump opens the stream and transfers its messages in both directions until it fails
// or ctx is done.
func pump(
	ctx context.Context, conn grpc.ClientConnInterface,
	requests <-chan *aubwire.WatchRequest, responses chan<- received[*aubwire.WatchResponse],
) {
	stream, err := aubwire.NewDistributionClient(conn).Watch(ctx)
	if err != nil {
		select {
		case responses <- received[*aubwire.WatchResponse]{err: err}:
		case <-ctx.Done():
		}
		return
	}
	go receive(ctx, stream.Recv, responses)
	for {
		select {
		case r := <-requests:
			if stream.Send(r) != nil {
				// The receiving goroutine reports the error.
				return
			}
		case <-ctx.Done():
			return
		}
	}
}
