package aubdistribution

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// watcher serves one stream.
type watcher struct {
	server *Server
	stream grpc.BidiStreamingServer[aubwire.WatchRequest, aubwire.WatchResponse]
	// started is set by the first request.
	started bool
	// sent is the version that the follower holds once everything sent arrived.
	sent   uint64
	fullAt time.Time
}

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

// changed returns the wake-up of the next version, none before the first request.
func (w *watcher) changed() <-chan struct{} {
	if !w.started {
		return nil
	}
	return w.server.table.Changed(w.sent)
}

// answer brings the follower up to date before its heartbeat is answered, so
// that the answer can confirm what it holds.
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

// repair sends the full state to a follower that asks for it or holds other
// content under the current version.
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

func (w *watcher) update() error {
	message, version := w.server.updates.since(w.sent)
	if message == nil {
		return nil
	}
	w.sent = version
	return w.stream.Send(message)
}

func offer(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
