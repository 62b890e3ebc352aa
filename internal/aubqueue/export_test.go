package aubqueue

// QueuedItem is an item that a test put into the queue without waiting for its slot.
type Arrival struct {
	q *Queue
	w *waiter
}

// Enqueue puts an item into the queue like Admit, but returns without waiting.
func (q *Queue) Enter(item Item) (Arrival, error) {
	w, err := q.enter(item)
	return Arrival{q: q, w: w}, err
}

// Slot returns the slot of the item, or false while it is not admitted.
func (a Arrival) Slot() (Slot, bool) {
	select {
	case <-a.w.admitted:
		return Slot{queue: a.q, waiter: a.w}, true
	default:
		return Slot{}, false
	}
}
