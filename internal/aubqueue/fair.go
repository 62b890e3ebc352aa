package aubqueue

import (
	"container/heap"
	"math"
)

// FairOrder implements start-time fair queueing over flows. The virtual time is the
// start tag of the entry served last; serving an entry advances the start tag of its
// flow by cost divided by weight. An idle flow restarts at the virtual time, so it
// gains no credit while idle and a burst of one flow delays another by at most one
// entry.
type FairOrder[T any] struct {
	virtualTime float64
	sequence    uint64
	// length and waitingCost sum up the waiting entries, activeWeight the flows in
	// active.
	length       int
	waitingCost  int64
	activeWeight int64
	flows        map[string]*flow[T]
	// active holds the flows with waiting entries.
	active flowHeap[T]
}

var _ Order[int] = (*FairOrder[int])(nil)

// minFlowsToSweep is the number of flows from which idle flows are deleted.
const minFlowsToSweep = 256

// flow holds the waiting entries of one flow.
type flow[T any] struct {
	// startTag is the virtual time at which the next entry starts.
	startTag float64
	weight   int64
	// waitingCost is the sum of the costs of the waiting entries.
	waitingCost int64
	entries     entryHeap[T]
	// index is the position in the flowHeap.
	index int
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
		f.startTag = math.Max(f.startTag, o.virtualTime)
		f.weight = 0
		heap.Push(&o.active, f)
	}
	o.activeWeight += max(e.Weight, 1) - f.weight
	f.weight = max(e.Weight, 1)
	f.waitingCost += max(e.Cost, 1)
	o.waitingCost += max(e.Cost, 1)
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
	o.virtualTime = math.Max(o.virtualTime, f.startTag)
	f.startTag += float64(max(e.Cost, 1)) / float64(f.weight)
	o.removeEntry(f, e)
}

// Remove implements Order.
func (o *FairOrder[T]) Remove(e *Entry[T]) {
	f, ok := o.flows[e.Flow]
	if !ok || e.index >= f.entries.Len() || f.entries[e.index] != e {
		return
	}
	o.removeEntry(f, e)
}

// Ahead implements Order. The backlog of the flow is served at the flow's share of
// the capacity; the estimate is limited to the cost of all waiting entries.
func (o *FairOrder[T]) Ahead(name string, weight int64) int64 {
	weight = max(weight, 1)
	f, ok := o.flows[name]
	if !ok {
		return 0
	}
	activeWeight := o.activeWeight
	if f.entries.Len() == 0 {
		activeWeight += weight
	}
	// A flow that was served above its share waits until the virtual time reaches its
	// start tag.
	debt := math.Max(0, f.startTag-o.virtualTime) * float64(weight)
	costAhead := (float64(f.waitingCost) + debt) * float64(activeWeight) / float64(weight)
	return min(int64(costAhead), o.waitingCost)
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

// removeEntry removes an entry of the flow from the waiting entries.
func (o *FairOrder[T]) removeEntry(f *flow[T], e *Entry[T]) {
	heap.Remove(&f.entries, e.index)
	f.waitingCost -= max(e.Cost, 1)
	o.waitingCost -= max(e.Cost, 1)
	o.length--
	if f.entries.Len() > 0 {
		heap.Fix(&o.active, f.index)
		return
	}
	heap.Remove(&o.active, f.index)
	o.activeWeight -= f.weight
	o.sweep()
}

// flow returns the flow of the name, created on first use.
func (o *FairOrder[T]) flow(name string) *flow[T] {
	f, ok := o.flows[name]
	if !ok {
		f = &flow[T]{}
		o.flows[name] = f
	}
	return f
}

// sweep deletes idle flows whose start tag the virtual time has passed: they would
// restart at the virtual time anyway.
func (o *FairOrder[T]) sweep() {
	if len(o.flows) < minFlowsToSweep {
		return
	}
	for name, f := range o.flows {
		if f.entries.Len() == 0 && f.startTag <= o.virtualTime {
			delete(o.flows, name)
		}
	}
}
