package aubdistribution

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// watcher sends updates and heartbeats to one follower.
type watcher struct {
	server *Server
	stream grpc.BidiStreamingServer[aubwire.WatchRequest, aubwire.WatchResponse]
	// started is true after the first request.
	started bool
	// sent is the version that the follower has after it received all messages sent.
	sent uint64
	// fullAt is the time at which the last requested full state was sent.
	fullAt time.Time
}

// run serves the stream until it ends or ctx is done. It notifies heard of each
// request.
func (w *watcher) run(
	ctx context.Context, requests <-chan received[*aubwire.WatchRequest], heard chan<- struct{},
) error {
	for {
		select {
		case r := <-requests:
			if errors.Is(r.err, io.EOF) {
				return nil
			}
			if r.err != nil {
				return r.err
			}
			offer(heard)
			if err := w.answer(r.message); err != nil {
				return err
			}
		case <-w.changed():
			if err := w.update(); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// changed returns a channel that is closed when there is a newer version than the
// one sent. It is nil before the first request.
func (w *watcher) changed() <-chan struct{} {
	if !w.started {
		return nil
	}
	return w.server.table.Changed(w.sent)
}

// answer responds to a request. It sends the missing versions before the heartbeat,
// so that the heartbeat can confirm the follower's configuration.
func (w *watcher) answer(r *aubwire.WatchRequest) error {
	if !w.started || r.GetResync() {
		w.started = true
		w.sent = r.GetVersion()
	}
	if err := w.repair(r); err != nil {
		return err
	}
	if err := w.update(); err != nil {
		return err
	}
	return w.stream.Send(w.server.heartbeat(r.GetSequence()))
}

// repair sends the full state, at most once per minFullStateInterval, to a follower
// that requests it or has different content for the current version.
func (w *watcher) repair(r *aubwire.WatchRequest) error {
	cfg := w.server.table.Config()
	differs := r.GetVersion() == cfg.Version() && !equalDigest(cfg, r.GetDigest())
	if !r.GetFull() && !differs {
		return nil
	}
	now := w.server.common.Timer.Now()
	if !w.fullAt.IsZero() && now.Sub(w.fullAt) < fullInterval {
		return nil
	}
	w.fullAt = now
	message, version := w.server.updates.full()
	w.server.common.Metrics.Counter("full_states").Inc(1)
	w.sent = max(w.sent, version)
	return w.stream.Send(message)
}

// update sends the versions that the follower lacks.
func (w *watcher) update() error {
	message, version := w.server.updates.since(w.sent)
	if message == nil {
		return nil
	}
	w.sent = version
	return w.stream.Send(message)
}

// offer sends to a channel unless its buffer is full.
func offer(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
