package aubstandin

import (
	"context"
	"sync"
)

// answer is the buffered result of one request: server-sent events of a
// stream, or one event that is the whole body.
type answer struct {
	requestID string
	stream    bool
	// cancel ends the generation.
	cancel context.CancelFunc

	mu      sync.Mutex
	events  [][]byte
	done    bool
	readers int
	changed chan struct{}
}

func newAnswer(requestID string, stream bool, cancel context.CancelFunc) *answer {
	return &answer{
		requestID: requestID,
		stream:    stream,
		cancel:    cancel,
		changed:   make(chan struct{}),
	}
}

// appendEvent appends one event; the last one closes the answer.
func (a *answer) appendEvent(event []byte, last bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.events = append(a.events, event)
	a.done = a.done || last
	close(a.changed)
	a.changed = make(chan struct{})
}

// eventsFrom returns the events eventsFrom offset on, whether they are the last ones, and
// a channel that is closed when there are more.
func (a *answer) eventsFrom(offset int) ([][]byte, bool, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	offset = min(offset, len(a.events))
	return a.events[offset:], a.done, a.changed
}

func (a *answer) progress() (events int, done bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.events), a.done
}

// attach counts a reader in; the returned function counts it out and reports
// whether nobody reads an unfinished answer any more.
func (a *answer) attach() func() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
	return func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.readers--
		return a.readers == 0 && !a.done
	}
}

func (a *answer) abandoned() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.readers == 0 && !a.done
}
