package aubagent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// windowBytes bounds the frames of one execution that wait for acknowledgement.
const windowBytes = 1 << 20

// frameBytes is what a frame counts for besides its data.
const frameBytes = 64

// frames keeps the numbered frames of one answer until they are acknowledged.
type frames struct {
	key executionKey

	mu sync.Mutex
	// kept begins with the sequence first.
	kept  []*aubwire.ExecuteFrame
	first uint64
	bytes int
	ended bool
	acked bool
	// endedAt is when the last frame was added.
	endedAt time.Time
	// changed is closed when a frame is added, space when some are acknowledged.
	changed chan struct{}
	space   chan struct{}
}

func newFrames(key executionKey) *frames {
	return &frames{
		key:     key,
		first:   1,
		changed: make(chan struct{}),
		space:   make(chan struct{}),
	}
}

// add numbers a frame and keeps it. It waits while the window is full.
func (f *frames) add(ctx context.Context, frame *aubwire.ExecuteFrame, size int) error {
	for {
		f.mu.Lock()
		if f.bytes < windowBytes {
			f.append(frame, size)
			f.mu.Unlock()
			return nil
		}
		space := f.space
		f.mu.Unlock()
		select {
		case <-space:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// close adds the last frame at once, whatever the window.
func (f *frames) close(frame *aubwire.ExecuteFrame, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return
	}
	f.append(frame, 0)
	f.ended = true
	f.endedAt = now
}

// append is called with mu held.
func (f *frames) append(frame *aubwire.ExecuteFrame, size int) {
	if f.ended {
		return
	}
	frame.RequestId = f.key.requestID
	frame.Attempt = f.key.attempt
	frame.Sequence = f.first + uint64(len(f.kept))
	f.kept = append(f.kept, frame)
	f.bytes += size + frameBytes
	close(f.changed)
	f.changed = make(chan struct{})
}

// from returns the frames from a sequence on, whether the last one is among
// them, and a channel that is closed when there are more. It reports false when
// frames from the sequence on are no longer kept.
func (f *frames) from(sequence uint64) (kept []*aubwire.ExecuteFrame, ended bool, changed <-chan struct{}, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sequence < f.first || sequence > f.first+uint64(len(f.kept)) {
		return nil, false, nil, false
	}
	return slices.Clone(f.kept[sequence-f.first:]), f.ended, f.changed, true
}

// ack drops the frames up to a sequence.
func (f *frames) ack(sequence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sequence < f.first || sequence >= f.first+uint64(len(f.kept)) {
		return
	}
	n := int(sequence - f.first + 1)
	for i := range n {
		f.bytes -= sizeOf(f.kept[i]) + frameBytes
		f.kept[i] = nil
	}
	f.kept = f.kept[n:]
	f.first += uint64(n)
	f.acked = f.ended && len(f.kept) == 0
	close(f.space)
	f.space = make(chan struct{})
}

// state returns whether the answer has its last frame, since when, and whether
// that one was acknowledged.
func (f *frames) state() (ended bool, at time.Time, acked bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended, f.endedAt, f.acked
}

// acknowledged returns a channel that is closed at the next acknowledgement.
func (f *frames) acknowledged() (done bool, next <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.acked, f.space
}

func sizeOf(frame *aubwire.ExecuteFrame) int { return len(frame.GetData().GetData()) }
