package aubstandin

import (
	"context"
	"sync"
)

// answer is the buffered result of one request: the server-sent events of a
// stream, or a single event that is the complete response body.
type answer struct {
	requestID string
	stream    bool
	// cancel stops the generation.
	cancel context.CancelFunc

	mu     sync.Mutex
	events [][]byte
	// done is true once the final event was appended.
	done bool
	// readers counts the connections that receive the answer.
	readers int
	// changed is closed and replaced whenever an event is appended.
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

// appendEvent appends one event and wakes up the readers; last marks the answer as done.
func (a *answer) appendEvent(event []byte, last bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.events = append(a.events, event)
	a.done = a.done || last
	close(a.changed)
	a.changed = make(chan struct{})
}

// eventsFrom returns the events from offset on, whether the answer is done, and
// a channel that is closed when the next event is appended.
func (a *answer) eventsFrom(offset int) ([][]byte, bool, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	offset = min(offset, len(a.events))
	return a.events[offset:], a.done, a.changed
}

// progress returns the number of events generated so far and whether the answer is done.
func (a *answer) progress() (events int, done bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.events), a.done
}

// attach registers a reader. The returned function removes it and reports
// whether the answer is now abandoned.
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

// abandoned reports whether an unfinished answer has no reader.
func (a *answer) abandoned() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.readers == 0 && !a.done
}
