package aubadmission

import (
	"container/heap"
	"sync"
	"time"
)

// Queue holds the requests that wait at this relay. Of the requests for one target only the
// first one asks for a backend server; the others wait until they are first. The queue is
// bounded in requests and bytes. It is safe for concurrent use.
type Queue struct {
	maxRequests int
	maxBytes    int64

	mu       sync.Mutex
	requests int
	bytes    int64
	targets  map[string]*tickets
	// byPriority counts the waiting requests.
	byPriority map[int]int
}

// NewQueue returns a queue with the bounds.
func NewQueue(maxRequests int, maxBytes int64) *Queue {
	return &Queue{maxRequests: maxRequests, maxBytes: maxBytes, targets: make(map[string]*tickets), byPriority: make(map[int]int)}
}

// Ticket is the place of a request in the queue.
type Ticket struct {
	queue  *Queue
	target string
	entry  Entry
	// index is the position in the heap; -1 once the ticket has left the queue.
	index int
	// first is closed once the ticket is the first of its target.
	first   chan struct{}
	isFirst bool
}

// Entry describes a request that enters the queue.
type Entry struct {
	// Priority is lower for more urgent requests; it decides before LatestStart.
	Priority int
	// LatestStart is when the request stops waiting.
	LatestStart time.Time
	// Bytes is what the request holds in memory.
	Bytes int64
}

// Enter puts a request into the queue of the target; false if the queue is full.
func (q *Queue) Enter(target string, entry Entry) (*Ticket, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.requests >= q.maxRequests || q.bytes+entry.Bytes > q.maxBytes {
		return nil, false
	}
	q.requests++
	q.bytes += entry.Bytes
	q.byPriority[entry.Priority]++
	waiting := q.targets[target]
	if waiting == nil {
		waiting = &tickets{}
		q.targets[target] = waiting
	}
	ticket := &Ticket{queue: q, target: target, entry: entry, first: make(chan struct{})}
	heap.Push(waiting, ticket)
	waiting.notifyFirst()
	return ticket, true
}

// First returns a channel that is closed once the request is the first of its target. A more
// urgent one may come before it later.
func (t *Ticket) First() <-chan struct{} { return t.first }

// IsFirst reports whether the request is the first of its target now.
func (t *Ticket) IsFirst() bool {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	return t.index == 0
}

// Leave takes the request out of the queue. Calls after the first do nothing.
func (t *Ticket) Leave() {
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.index < 0 {
		return
	}
	q.requests--
	q.bytes -= t.entry.Bytes
	q.byPriority[t.entry.Priority]--
	waiting := q.targets[t.target]
	heap.Remove(waiting, t.index)
	if waiting.Len() == 0 {
		delete(q.targets, t.target)
		return
	}
	waiting.notifyFirst()
}

// Len returns the number of waiting requests, and of those that have the priority.
func (q *Queue) Len(priority int) (all, ofPriority int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.requests, q.byPriority[priority]
}

// tickets is a heap, ordered by priority, then by the latest start.
type tickets []*Ticket

func (t tickets) Len() int { return len(t) }

func (t tickets) Less(i, j int) bool {
	if t[i].entry.Priority != t[j].entry.Priority {
		return t[i].entry.Priority < t[j].entry.Priority
	}
	return t[i].entry.LatestStart.Before(t[j].entry.LatestStart)
}

func (t tickets) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

// Push implements heap.Interface.
func (t *tickets) Push(x any) {
	ticket, ok := x.(*Ticket)
	if !ok {
		return
	}
	ticket.index = len(*t)
	*t = append(*t, ticket)
}

// Pop implements heap.Interface.
func (t *tickets) Pop() any {
	last := (*t)[len(*t)-1]
	(*t)[len(*t)-1] = nil
	*t = (*t)[:len(*t)-1]
	last.index = -1
	return last
}

// notifyFirst wakes the first ticket.
func (t tickets) notifyFirst() {
	if first := t[0]; !first.isFirst {
		first.isFirst = true
		close(first.first)
	}
}
