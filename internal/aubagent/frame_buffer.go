package aubagent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// maxUnackedBytes is the size of one execution's unacknowledged frames from which
// add blocks.
const maxUnackedBytes = 1 << 20

// frameOverheadBytes is added to the data size of each frame.
const frameOverheadBytes = 64

// frameBuffer numbers the frames of one response and keeps them until they are
// acknowledged.
type frameBuffer struct {
	key executionKey

	mu sync.Mutex
	// unacked holds the frames from firstSequence on.
	unacked       []*aubwire.ExecuteFrame
	firstSequence uint64
	unackedBytes  int
	// closed is set once the last frame was added, allAcked once that frame was
	// acknowledged.
	closed   bool
	allAcked bool
	// closedAt is when the last frame was added.
	closedAt time.Time
	// frameAdded is closed and replaced when a frame is added, spaceFreed when
	// frames are acknowledged.
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

// add numbers a frame and appends it. It blocks while maxUnackedBytes or more are
// unacknowledged. size is the size of the frame's data.
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

// close appends the last frame without waiting for acknowledgements.
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

// unackedFrom returns the frames starting at a sequence number, whether the last
// frame has been added, and a channel that is closed when a frame is added. It
// reports false if the sequence number was acknowledged or is not yet reached.
func (b *frameBuffer) unackedFrom(sequence uint64) (frames []*aubwire.ExecuteFrame, closed bool, frameAdded <-chan struct{}, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if sequence < b.firstSequence || sequence > b.firstSequence+uint64(len(b.unacked)) {
		return nil, false, nil, false
	}
	return slices.Clone(b.unacked[sequence-b.firstSequence:]), b.closed, b.frameAdded, true
}

// ack drops the frames up to and including a sequence number.
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

// closeState returns whether the last frame was added, when, and whether it was
// acknowledged.
func (b *frameBuffer) closeState() (closed bool, closedAt time.Time, allAcked bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closed, b.closedAt, b.allAcked
}

// ackState returns whether the last frame was acknowledged, and a channel that is
// closed at the next acknowledgement.
func (b *frameBuffer) ackState() (allAcked bool, nextAck <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allAcked, b.spaceFreed
}

func dataSize(frame *aubwire.ExecuteFrame) int { return len(frame.GetData().GetData()) }
