package aubqueue

import "container/heap"

// entryHeap is a heap of the entries of one flow, by priority, then by arrival.
type entryHeap[T any] []*Entry[T]

var _ heap.Interface = (*entryHeap[int])(nil)

func (h entryHeap[T]) Len() int { return len(h) }

func (h entryHeap[T]) Less(i, j int) bool {
	if h[i].Priority != h[j].Priority {
		return h[i].Priority > h[j].Priority
	}
	return h[i].sequence < h[j].sequence
}

func (h entryHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *entryHeap[T]) Push(x any) {
	e, ok := x.(*Entry[T])
	if !ok {
		return
	}
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *entryHeap[T]) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
