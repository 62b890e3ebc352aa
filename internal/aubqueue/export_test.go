package aubqueue

// Arrival is an item that was let in by a test that drives the queue itself.
type Arrival struct {
	q *Queue
	w *waiter
}

// Enter is Admit without the wait.
func (q *Queue) Enter(item Item) (Arrival, error) {
	w, err := q.enter(item)
	return Arrival{q: q, w: w}, err
}

// Slot returns the slot once the item is admitted.
func (a Arrival) Slot() (Slot, bool) {
	select {
	case <-a.w.admitted:
		return Slot{queue: a.q, waiter: a.w}, true
	default:
		return Slot{}, false
	}
}
