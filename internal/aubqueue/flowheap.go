package aubqueue

import "container/heap"

// flowHeap is a min-heap of the flows with waiting entries by start tag.
type flowHeap[T any] []*flow[T]

var _ heap.Interface = (*flowHeap[int])(nil)

func (h flowHeap[T]) Len() int { return len(h) }

func (h flowHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }

func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// before reports whether f is served before g: by start tag, then by arrival of the
// first entry.
func (f *flow[T]) before(g *flow[T]) bool {
	if f.startTag != g.startTag {
		return f.startTag < g.startTag
	}
	return f.entries[0].sequence < g.entries[0].sequence
}

// Push implements heap.Interface.
func (h *flowHeap[T]) Push(x any) {
	f, ok := x.(*flow[T])
	if !ok {
		return
	}
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap[T]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}
