package aubqueue

import "container/list"

// FCFSOrder serves entries in order of arrival.
type FCFSOrder[T any] struct {
	entries  *list.List
	elements map[*Entry[T]]*list.Element
	// waiting is the number of waiting entries by flow, waitingCost the sum of the costs
	// of all.
	waiting     map[string]int
	waitingCost int64
}

var _ Order[int] = (*FCFSOrder[int])(nil)

// NewFCFSOrder returns an empty order.
func NewFCFSOrder[T any]() *FCFSOrder[T] {
	return &FCFSOrder[T]{
		entries:  list.New(),
		elements: make(map[*Entry[T]]*list.Element),
		waiting:  make(map[string]int),
	}
}

// Push implements Order.
func (o *FCFSOrder[T]) Push(e *Entry[T]) {
	o.elements[e] = o.entries.PushBack(e)
	o.waiting[e.Flow]++
	o.waitingCost += max(e.Cost, 1)
}

// Next implements Order. It ignores eligibility: the first entry blocks all others.
func (o *FCFSOrder[T]) Next(func(flow string) bool) *Entry[T] {
	front := o.entries.Front()
	if front == nil {
		return nil
	}
	e, _ := front.Value.(*Entry[T])
	return e
}

// Take implements Order.
func (o *FCFSOrder[T]) Take(e *Entry[T]) { o.Remove(e) }

// Remove implements Order.
func (o *FCFSOrder[T]) Remove(e *Entry[T]) {
	element, ok := o.elements[e]
	if !ok {
		return
	}
	o.entries.Remove(element)
	delete(o.elements, e)
	o.waitingCost -= max(e.Cost, 1)
	o.waiting[e.Flow]--
	if o.waiting[e.Flow] == 0 {
		delete(o.waiting, e.Flow)
	}
}

// Ahead implements Order.
func (o *FCFSOrder[T]) Ahead(string, int64) int64 { return o.waitingCost }

// Waiting implements Order.
func (o *FCFSOrder[T]) Waiting(flow string) int { return o.waiting[flow] }

// Len implements Order.
func (o *FCFSOrder[T]) Len() int { return o.entries.Len() }
