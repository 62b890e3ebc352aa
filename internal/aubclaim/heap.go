package aubclaim

import "container/heap"

// entryHeap is a min-heap of entries, ordered by expiry and then by ID.
type entryHeap []*entry

var _ heap.Interface = (*entryHeap)(nil)

func (h entryHeap) Len() int { return len(h) }

func (h entryHeap) Less(i, j int) bool {
	if h[i].expiresAt != h[j].expiresAt {
		return h[i].expiresAt < h[j].expiresAt
	}
	return h[i].id.compare(h[j].id) < 0
}

func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *entryHeap) Push(x any) {
	e, ok := x.(*entry)
	if !ok {
		return
	}
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
