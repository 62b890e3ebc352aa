package aubagent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// maxUnackedBytes bounds the frames of one execution that wait for acknowledgement.
const maxUnackedBytes = 1 << 20

// frameOverheadBytes is what a frame counts for besides its data.
const frameOverheadBytes = 64

// frameBuffer keeps the numbered frameBuffer of one answer until they are acknowledged.
type frameBuffer struct {
	key executionKey

	mu sync.Mutex
	// unacked begins with the sequence first.
	unacked       []*aubwire.ExecuteFrame
	firstSequence uint64
	unackedBytes  int
	closed        bool
	allAcked      bool
	// closedAt is when the last frame was added.
	closedAt time.Time
	// frameAdded is closed when a frame is added, space when some are acknowledged.
	frameAdded chan struct{}
	spaceFreed chan struct{}
}

func newFrameBuffer(key executionKey) *frameBuffer {
	return &frameBuffer{
		key:           key,
		firstSequence: 1,
		frameAdded:    make(chan struct{}),
		spaceFreed:    make(chan struct{}),
	}
}

// add numbers a frame and keeps it. It waits while the window is full.
func (b *frameBuffer) add(ctx context.Context, frame *aubwire.ExecuteFrame, size int) error {
	for {
		b.mu.Lock()
		if b.unackedBytes < maxUnackedBytes {
			b.appendLocked(frame, size)
			b.mu.Unlock()
			return nil
		}
		spaceFreed := b.spaceFreed
		b.mu.Unlock()
		select {
		case <-spaceFreed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// close adds the last frame at once, whatever the window.
func (b *frameBuffer) close(frame *aubwire.ExecuteFrame, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.appendLocked(frame, 0)
	b.closed = true
	b.closedAt = now
}

// appendLocked is called with mu held.
func (b *frameBuffer) appendLocked(frame *aubwire.ExecuteFrame, size int) {
	if b.closed {
		return
	}
	frame.RequestId = b.key.requestID
	frame.Attempt = b.key.attempt
	frame.Sequence = b.firstSequence + uint64(len(b.unacked))
	b.unacked = append(b.unacked, frame)
	b.unackedBytes += size + frameOverheadBytes
	close(b.frameAdded)
	b.frameAdded = make(chan struct{})
}

// unackedFrom returns the frames unackedFrom a sequence on, whether the last one is among
// them, and a channel that is closed when there are more. It reports false when
// frames unackedFrom the sequence on are no longer kept.
func (b *frameBuffer) unackedFrom(sequence uint64) (frames []*aubwire.ExecuteFrame, closed bool, frameAdded <-chan struct{}, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if sequence < b.firstSequence || sequence > b.firstSequence+uint64(len(b.unacked)) {
		return nil, false, nil, false
	}
	return slices.Clone(b.unacked[sequence-b.firstSequence:]), b.closed, b.frameAdded, true
}

// ack drops the frames up to a sequence.
func (b *frameBuffer) ack(sequence uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if sequence < b.firstSequence || sequence >= b.firstSequence+uint64(len(b.unacked)) {
		return
	}
	acked := int(sequence - b.firstSequence + 1)
	for i := range acked {
		b.unackedBytes -= dataSize(b.unacked[i]) + frameOverheadBytes
		b.unacked[i] = nil
	}
	b.unacked = b.unacked[acked:]
	b.firstSequence += uint64(acked)
	b.allAcked = b.closed && len(b.unacked) == 0
	close(b.spaceFreed)
	b.spaceFreed = make(chan struct{})
}

// closeState returns whether the answer has its last frame, since when, and whether
// that one was acknowledged.
func (b *frameBuffer) closeState() (closed bool, closedAt time.Time, allAcked bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closed, b.closedAt, b.allAcked
}

// ackState returns a channel that is closed at the next acknowledgement.
func (b *frameBuffer) ackState() (allAcked bool, nextAck <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allAcked, b.spaceFreed
}

func dataSize(frame *aubwire.ExecuteFrame) int { return len(frame.GetData().GetData()) }
