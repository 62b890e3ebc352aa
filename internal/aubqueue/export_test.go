package aubqueue

// QueuedItem is an item that a test put into the queue without waiting for its slot.
type QueuedItem struct {
	queue   *Queue
	pending *waiter
}

// Enqueue puts an item into the queue like Admit, but returns without waiting.
func (q *Queue) Enqueue(item Item) (QueuedItem, error) {
	w, err := q.enqueue(item)
	return QueuedItem{queue: q, pending: w}, err
}

// Slot returns the slot of the item, or false while it is not admitted.
func (item QueuedItem) Slot() (Slot, bool) {
	select {
	case <-item.pending.admitted:
		return Slot{queue: item.queue, waiter: item.pending}, true
	default:
		return Slot{}, false
	}
}
