package aubdistribution

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// maxPartBytes limits one message of a stream. Even on a slow link it takes far less than
// receiveTimeout, so that a slow transfer does not look silent.
const maxPartBytes = 32 << 10

// watcher sends updates and heartbeats to one follower.
type watcher struct {
	server *Server
	stream grpc.BidiStreamingServer[aubwire.WatchRequest, aubwire.WatchResponse]
	// activity is notified of each request and of each sent part.
	activity chan<- struct{}
	// started is true after the first request.
	started bool
	// sentVersion is the version that the follower has after it received all messages
	// sent so far.
	sentVersion uint64
	// fullSentAt is the time at which the last requested full state was sent.
	fullSentAt time.Time
}

// run serves the stream until it ends or ctx is done.
func (w *watcher) run(ctx context.Context, requests <-chan receiveResult[*aubwire.WatchRequest]) error {
	for {
		select {
		case r := <-requests:
			if errors.Is(r.err, io.EOF) {
				return nil
			}
			if r.err != nil {
				return r.err
			}
			notify(w.activity)
			if err := w.respond(r.message); err != nil {
				return err
			}
		case <-w.changed():
			if err := w.sendUpdate(); err != nil {
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
	return w.server.table.Changed(w.sentVersion)
}

// respond handles a request. It sends the missing versions before the heartbeat,
// so that the heartbeat can confirm the follower's configuration.
func (w *watcher) respond(r *aubwire.WatchRequest) error {
	if !w.started || r.GetResync() {
		w.started = true
		w.sentVersion = r.GetVersion()
	}
	if err := w.sendFullIfNeeded(r); err != nil {
		return err
	}
	if err := w.sendUpdate(); err != nil {
		return err
	}
	return w.stream.Send(w.server.newHeartbeat(r.GetSequence()))
}

// sendFullIfNeeded sends the full state to a follower that requests it or that has
// different content for the current version, at most once per minFullStateInterval.
func (w *watcher) sendFullIfNeeded(r *aubwire.WatchRequest) error {
	cfg := w.server.table.Config()
	differs := r.GetVersion() == cfg.Version() && !equalDigest(cfg, r.GetDigest())
	if !r.GetFull() && !differs {
		return nil
	}
	now := w.server.common.Timer.Now()
	if !w.fullSentAt.IsZero() && now.Sub(w.fullSentAt) < minFullStateInterval {
		return nil
	}
	w.fullSentAt = now
	message, version := w.server.updates.fullState()
	w.server.common.Metrics.Counter("full_states").Inc(1)
	w.sentVersion = max(w.sentVersion, version)
	return w.send(message)
}

// sendUpdate sends the versions that the follower lacks.
func (w *watcher) sendUpdate() error {
	message, version := w.server.updates.messageSince(w.sentVersion)
	if message == nil {
		return nil
	}
	w.sentVersion = version
	return w.send(message)
}

// send sends a message, in parts if it is larger than maxPartBytes. Flow control lets a part
// be sent only while the follower receives.
func (w *watcher) send(message *aubwire.WatchResponse) error {
	if proto.Size(message) <= maxPartBytes {
		return w.stream.Send(message)
	}
	data, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	offset := int64(0)
	for part := range slices.Chunk(data, maxPartBytes) {
		err := w.stream.Send(&aubwire.WatchResponse{Message: &aubwire.WatchResponse_Part{
			Part: &aubwire.WatchPart{Offset: offset, Total: int64(len(data)), Data: part},
		}})
		if err != nil {
			return err
		}
		offset += int64(len(part))
		notify(w.activity)
	}
	return nil
}

// notify sends to a channel unless its buffer is full.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
