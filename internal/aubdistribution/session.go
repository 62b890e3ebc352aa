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

// staleLimit is the age of a server's confirmation from which a follower looks
// for another server.
const staleLimit = 5 * time.Second

// session is one stream of a follower.
type session struct {
	common   aubcommon.Common
	shown    *shown
	process  string
	address  string
	rotating bool

	started time.Time
	heard   time.Time
	// sequence is that of the newest heartbeat sent.
	sequence uint64
	// pings holds the heartbeats that were not answered yet, oldest first.
	pings []ping
	// asked is set while a request to repair is under way; the next heartbeat
	// allows another.
	asked bool
}

// ping is one heartbeat of the follower.
type ping struct {
	sequence uint64
	at       time.Time
}

// run follows until the stream fails, falls silent or ctx ends. Sends run apart:
// they may block on a silent connection.
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

// take handles one message of the server.
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

func (s *session) execute(requests chan<- *aubwire.WatchRequest, next aubquery.Config, step step) {
	switch step {
	case stepHold:
		s.shown.hold(next)
		s.asked = false
	case stepResync:
		s.ask(requests, &aubwire.WatchRequest{Resync: true})
	case stepFull:
		s.common.Log.Warn("Configuration does not match its digest.", zap.Uint64("version", next.Version()))
		s.ask(requests, &aubwire.WatchRequest{Full: true})
	case stepNone:
	}
}

func (s *session) ask(requests chan<- *aubwire.WatchRequest, r *aubwire.WatchRequest) {
	if s.asked {
		return
	}
	s.asked = s.send(requests, r)
}

// send fills in the state of this end and sends the request as a heartbeat. It
// drops the request while an earlier one can't leave.
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

// confirm takes a server's confirmation over. It counts from the time this end
// sent the heartbeat, so that no delay on the way makes it look younger.
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

// answered returns when the heartbeat of the sequence was sent and forgets it
// and all before it.
func (s *session) answered(sequence uint64) (time.Time, bool) {
	for i, p := range s.pings {
		if p.sequence == sequence {
			s.pings = s.pings[i+1:]
			return p.at, true
		}
	}
	return time.Time{}, false
}

// pump opens the stream and moves its messages both ways until it fails or ctx ends.
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
				// The receiving side reports why.
				return
			}
		case <-ctx.Done():
			return
		}
	}
}
