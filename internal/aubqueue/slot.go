package aubqueue

import "time"

// Slot is the permission to run one admitted request.
type Slot struct {
	queue  *Queue
	waiter *waiter
}

// Release ends the use of the slot and starts waiting requests. Further calls do
// nothing.
func (s Slot) Release() {
	if s.queue != nil {
		s.queue.release(s.waiter)
	}
}

// waiter is a request from its arrival until its slot is released.
type waiter struct {
	item      Item
	group     *group
	entry     *Entry[*waiter]
	admitted  chan struct{}
	running   bool
	startedAt time.Time
}
