package aubqueue

import (
	"container/heap"
	"math"
)

// FairOrder is start-time fair queueing over flows. The virtual time is the
// start tag of the entry served last; serving an entry moves its flow's next
// start tag by cost over weight. A flow that was idle starts at the virtual
// time, so idleness earns nothing and a burst of one flow delays another by one
// entry at most.
type FairOrder[T any] struct {
	virtual  float64
	sequence uint64
	length   int
	cost     int64
	weight   int64
	flows    map[string]*flow[T]
	active   flowHeap[T]
}

var _ Order[int] = (*FairOrder[int])(nil)

// sweepFlows is the number of known flows from which idle ones are dropped.
const sweepFlows = 256

type flow[T any] struct {
	start   float64
	weight  int64
	cost    int64
	entries entryHeap[T]
	index   int
}

// NewFairOrder returns an empty order.
func NewFairOrder[T any]() *FairOrder[T] {
	return &FairOrder[T]{flows: make(map[string]*flow[T])}
}

// Push implements Order.
func (o *FairOrder[T]) Push(e *Entry[T]) {
	f := o.flow(e.Flow)
	o.sequence++
	e.sequence = o.sequence
	heap.Push(&f.entries, e)
	if f.entries.Len() == 1 {
		f.start = math.Max(f.start, o.virtual)
		f.weight = 0
		heap.Push(&o.active, f)
	}
	o.weight += max(e.Weight, 1) - f.weight
	f.weight = max(e.Weight, 1)
	f.cost += max(e.Cost, 1)
	o.cost += max(e.Cost, 1)
	o.length++
}

// Next implements Order.
func (o *FairOrder[T]) Next(eligible func(flow string) bool) *Entry[T] {
	if len(o.active) == 0 {
		return nil
	}
	if first := o.active[0].entries[0]; eligible(first.Flow) {
		return first
	}
	var next *flow[T]
	for _, f := range o.active {
		if eligible(f.entries[0].Flow) && (next == nil || f.before(next)) {
			next = f
		}
	}
	if next == nil {
		return nil
	}
	return next.entries[0]
}

// Take implements Order.
func (o *FairOrder[T]) Take(e *Entry[T]) {
	f := o.flows[e.Flow]
	o.virtual = math.Max(o.virtual, f.start)
	f.start += float64(max(e.Cost, 1)) / float64(f.weight)
	o.take(f, e)
}

// Remove implements Order.
func (o *FairOrder[T]) Remove(e *Entry[T]) {
	f, ok := o.flows[e.Flow]
	if !ok || e.index >= f.entries.Len() || f.entries[e.index] != e {
		return
	}
	o.take(f, e)
}

// Ahead implements Order: the flow's own backlog takes the flow's share of the
// capacity, and never longer than everything that waits.
func (o *FairOrder[T]) Ahead(name string, weight int64) int64 {
	weight = max(weight, 1)
	f, ok := o.flows[name]
	if !ok {
		return 0
	}
	active := o.weight
	if f.entries.Len() == 0 {
		active += weight
	}
	// A flow served ahead of its share waits until the virtual time reaches it.
	debt := math.Max(0, f.start-o.virtual) * float64(weight)
	own := (float64(f.cost) + debt) * float64(active) / float64(weight)
	return min(int64(own), o.cost)
}

// Waiting implements Order.
func (o *FairOrder[T]) Waiting(name string) int {
	f, ok := o.flows[name]
	if !ok {
		return 0
	}
	return f.entries.Len()
}

// Len implements Order.
func (o *FairOrder[T]) Len() int { return o.length }

func (o *FairOrder[T]) take(f *flow[T], e *Entry[T]) {
	heap.Remove(&f.entries, e.index)
	f.cost -= max(e.Cost, 1)
	o.cost -= max(e.Cost, 1)
	o.length--
	if f.entries.Len() > 0 {
		heap.Fix(&o.active, f.index)
		return
	}
	heap.Remove(&o.active, f.index)
	o.weight -= f.weight
	o.sweep()
}

func (o *FairOrder[T]) flow(name string) *flow[T] {
	f, ok := o.flows[name]
	if !ok {
		f = &flow[T]{}
		o.flows[name] = f
	}
	return f
}

// sweep drops idle flows whose tag no longer matters.
func (o *FairOrder[T]) sweep() {
	if len(o.flows) < sweepFlows {
		return
	}
	for name, f := range o.flows {
		if f.entries.Len() == 0 && f.start <= o.virtual {
			delete(o.flows, name)
		}
	}
}
