package aubcommand

import (
	"container/heap"
	"maps"
	"slices"

	"github.com/auburndale/auburndale/pkg/aubapi"
)

// Bounds of the kept outcomes.
const (
	// MaxRecords is the number of outcomes kept. An outcome is kept until this
	// many tickets with higher numbers have been decided.
	MaxRecords = 1 << 16
	// MaxFaultBytes bounds the text of all kept faults. Beyond it the oldest
	// records lose their faults and keep their outcome.
	MaxFaultBytes = 1 << 20
)

// Record is the kept outcome of one decided ticket.
type Record struct {
	Digest  ContentDigest
	Outcome aubapi.TicketOutcome
}

// Ledger keeps the outcomes of the decided tickets within fixed bounds. It is
// not safe for concurrent use.
type Ledger struct {
	limit   int
	records map[uint64]Record
	numbers numberHeap
	// horizon is the lowest number that is still decided.
	horizon uint64
	// faulty is the numbers of the records that hold faults, oldest decision first.
	faulty     []uint64
	faultBytes int
}

// NewLedger returns an empty ledger that keeps at most limit outcomes.
func NewLedger(limit int) *Ledger {
	return &Ledger{limit: limit, records: make(map[uint64]Record)}
}

// Record returns the outcome kept for the number.
func (l *Ledger) Record(number uint64) (Record, bool) {
	r, ok := l.records[number]
	return r, ok
}

// Closed reports whether an unrecorded number lies so low that its outcome may
// have been dropped, or could not be kept. The horizon holds even where a later
// release keeps more outcomes.
func (l *Ledger) Closed(number uint64) bool {
	if number < l.horizon {
		return true
	}
	return len(l.numbers) >= l.limit && number < l.numbers[0]
}

// Add keeps an outcome and returns the number whose outcome it displaced, 0 if none.
func (l *Ledger) Add(r Record) uint64 {
	var evicted uint64
	if len(l.numbers) >= l.limit {
		evicted = l.evict()
	}
	heap.Push(&l.numbers, r.Outcome.Number)
	l.records[r.Outcome.Number] = r
	l.addFaults(r)
	return evicted
}

func (l *Ledger) evict() uint64 {
	number, _ := heap.Pop(&l.numbers).(uint64)
	if r := l.records[number]; len(r.Outcome.Faults) > 0 {
		l.faultBytes -= faultBytes(r)
		l.faulty = slices.DeleteFunc(l.faulty, func(n uint64) bool { return n == number })
	}
	delete(l.records, number)
	l.horizon = max(l.horizon, number+1)
	return number
}

func (l *Ledger) addFaults(r Record) {
	if len(r.Outcome.Faults) == 0 {
		return
	}
	l.faulty = append(l.faulty, r.Outcome.Number)
	l.faultBytes += faultBytes(r)
	for l.faultBytes > MaxFaultBytes {
		l.dropFaults(l.faulty[0])
		l.faulty = l.faulty[1:]
	}
}

func (l *Ledger) dropFaults(number uint64) {
	r := l.records[number]
	l.faultBytes -= faultBytes(r)
	r.Outcome.Faults = nil
	l.records[number] = r
}

func faultBytes(r Record) int {
	n := 0
	for _, f := range r.Outcome.Faults {
		n += len(f.Path) + len(f.Reason)
	}
	return n
}

// sortedNumbers returns the recorded numbers in ascending order.
func (l *Ledger) sortedNumbers() []uint64 {
	return slices.Sorted(maps.Keys(l.records))
}

// numberHeap is a heap.Interface with the lowest number first.
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
