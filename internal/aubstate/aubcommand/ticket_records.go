package aubcommand

import (
	"container/heap"
	"maps"
	"slices"

	"github.com/auburndale/auburndale/pkg/aubapi"
)

// Limits on the recorded outcomes.
const (
	// MaxRecords is the maximum number of recorded outcomes. An outcome is kept until
	// this many tickets with higher numbers have been decided.
	MaxRecords = 1 << 16
	// MaxFaultBytes is the maximum total size of the texts of all recorded faults.
	// Above it, the oldest records lose their faults but keep their outcome.
	MaxFaultBytes = 1 << 20
)

// TicketRecord is the recorded outcome of one decided ticket.
type TicketRecord struct {
	Digest  ContentDigest
	Outcome aubapi.TicketOutcome
}

// TicketRecords holds the outcomes of the decided tickets within fixed limits. It is not
// safe for concurrent use.
type TicketRecords struct {
	maxRecords int
	byNumber   map[uint64]TicketRecord
	// numbers holds the recorded numbers.
	numbers numberHeap
	// horizon is the lowest number that is still accepted for a decision.
	horizon uint64
	// faulty holds the numbers of the records with faults, oldest decision first.
	faulty []uint64
	// faultBytes is the total size of the texts of all recorded faults.
	faultBytes int
}

// NewTicketRecords returns empty records that hold at most maxRecords outcomes.
func NewTicketRecords(maxRecords int) *TicketRecords {
	return &TicketRecords{maxRecords: maxRecords, byNumber: make(map[uint64]TicketRecord)}
}

// Record returns the recorded outcome of the number.
func (t *TicketRecords) Record(number uint64) (TicketRecord, bool) {
	r, ok := t.byNumber[number]
	return r, ok
}

// BelowRetained reports whether an unrecorded number is so low that its outcome may have
// been evicted or could not be recorded now. The horizon stays in effect when a later
// release raises the maximum number of records.
func (t *TicketRecords) BelowRetained(number uint64) bool {
	if number < t.horizon {
		return true
	}
	return len(t.numbers) >= t.maxRecords && number < t.numbers[0]
}

// Add records an outcome and returns the number whose outcome it evicted, 0 if none.
func (t *TicketRecords) Add(r TicketRecord) uint64 {
	var evicted uint64
	if len(t.numbers) >= t.maxRecords {
		evicted = t.evict()
	}
	heap.Push(&t.numbers, r.Outcome.Number)
	t.byNumber[r.Outcome.Number] = r
	t.addFaults(r)
	return evicted
}

func (t *TicketRecords) evict() uint64 {
	number, _ := heap.Pop(&t.numbers).(uint64)
	if r := t.byNumber[number]; len(r.Outcome.Faults) > 0 {
		t.faultBytes -= faultBytes(r)
		t.faulty = slices.DeleteFunc(t.faulty, func(n uint64) bool { return n == number })
	}
	delete(t.byNumber, number)
	t.horizon = max(t.horizon, number+1)
	return number
}

func (t *TicketRecords) addFaults(r TicketRecord) {
	if len(r.Outcome.Faults) == 0 {
		return
	}
	t.faulty = append(t.faulty, r.Outcome.Number)
	t.faultBytes += faultBytes(r)
	for t.faultBytes > MaxFaultBytes {
		t.dropFaults(t.faulty[0])
		t.faulty = t.faulty[1:]
	}
}

func (t *TicketRecords) dropFaults(number uint64) {
	r := t.byNumber[number]
	t.faultBytes -= faultBytes(r)
	r.Outcome.Faults = nil
	t.byNumber[number] = r
}

func faultBytes(r TicketRecord) int {
	n := 0
	for _, f := range r.Outcome.Faults {
		n += len(f.Path) + len(f.Reason)
	}
	return n
}

// sortedNumbers returns the recorded numbers in ascending order.
func (t *TicketRecords) sortedNumbers() []uint64 {
	return slices.Sorted(maps.Keys(t.byNumber))
}

// numberHeap is a min-heap of ticket numbers.
type numberHeap []uint64

func (h numberHeap) Len() int           { return len(h) }
func (h numberHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h numberHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *numberHeap) Push(x any) {
	if n, ok := x.(uint64); ok {
		*h = append(*h, n)
	}
}

// Pop implements heap.Interface.
func (h *numberHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
