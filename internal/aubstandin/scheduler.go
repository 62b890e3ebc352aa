package aubstandin

import (
	"container/heap"
	"context"
	"sync"
)

// waiter is a request that waits for a slot in the batch.
type waiter struct {
	priority int
	sequence int
	// tokens is the number of prompt tokens.
	tokens int64
	// heapIndex is the position in the heap; -1 once the waiter was removed.
	heapIndex int
	// ready is closed when the waiter gets a slot.
	ready chan struct{}
}

// waiters is a heap, ordered by descending priority, then by arrival.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].sequence < w[j].sequence
}

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].heapIndex, w[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	item, ok := x.(*waiter)
	if !ok {
		return
	}
	item.heapIndex = len(*w)
	*w = append(*w, item)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	last := len(*w) - 1
	item := (*w)[last]
	item.heapIndex = -1
	*w = (*w)[:last]
	return item
}

// scheduler admits requests to a batch of bounded size.
type scheduler struct {
	mu       sync.Mutex
	maxBatch int
	running  int
	sequence int
	waiting  waiters
}

func newScheduler(maxBatch int) *scheduler { return &scheduler{maxBatch: maxBatch} }

// acquire waits for a slot in the batch.
func (s *scheduler) acquire(ctx context.Context, priority int, tokens int64) error {
	s.mu.Lock()
	if s.running < s.maxBatch {
		s.running++
		s.mu.Unlock()
		return nil
	}
	s.sequence++
	w := &waiter{priority: priority, sequence: s.sequence, tokens: tokens, ready: make(chan struct{})}
	heap.Push(&s.waiting, w)
	s.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
	}
	s.cancelWait(w)
	return ctx.Err()
}

// cancelWait removes a waiter from the queue, or releases the slot that it got
// in the meantime.
func (s *scheduler) cancelWait(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.heapIndex >= 0 {
		heap.Remove(&s.waiting, w.heapIndex)
		return
	}
	s.releaseLocked()
}

// release returns a slot.
func (s *scheduler) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

// releaseLocked passes a slot to the next waiter or frees it; mu is held.
func (s *scheduler) releaseLocked() {
	if len(s.waiting) == 0 {
		s.running--
		return
	}
	next, ok := heap.Pop(&s.waiting).(*waiter)
	if ok {
		close(next.ready)
	}
}

// load returns the number of running requests, the queue length and the number
// of queued prompt tokens.
func (s *scheduler) load() (running, queued int, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.waiting {
		tokens += w.tokens
	}
	return s.running, len(s.waiting), tokens
}
