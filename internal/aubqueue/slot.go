package aubqueue

import "time"

// Slot is the right to run one request.
type Slot struct {
	queue  *Queue
	waiter *waiter
}

// Release gives the place up. Further calls do nothing.
func (s Slot) Release() {
	if s.queue != nil {
		s.queue.release(s.waiter)
	}
}

// waiter is one request from its arrival to its release.
type waiter struct {
	item      Item
	group     *group
	entry     *Entry[*waiter]
	admitted  chan struct{}
	running   bool
	startedAt time.Time
}
