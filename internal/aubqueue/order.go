package aubqueue

// Entry is one waiting value and what its order depends on.
type Entry[T any] struct {
	Value T
	// Flow is the unit of fairness.
	Flow string
	// Weight is the flow's share; below 1 counts as 1.
	Weight int64
	// Cost is in tokens; below 1 counts as 1.
	Cost int64
	// Priority orders the entries of one flow, highest first.
	Priority int
	sequence uint64
	index    int
}

// Order decides which waiting entry is next. It is not safe for concurrent use.
type Order[T any] interface {
	// Push adds an entry.
	Push(e *Entry[T])
	// Next returns the next entry whose flow is eligible, without taking it; nil
	// when there is none.
	Next(eligible func(flow string) bool) *Entry[T]
	// Take takes an entry that Next returned, to be served.
	Take(e *Entry[T])
	// Remove takes out an entry that will not be served.
	Remove(e *Entry[T])
	// Ahead estimates the cost that is served before a new entry of the flow.
	Ahead(flow string, weight int64) int64
	// Waiting returns the number of waiting entries of the flow.
	Waiting(flow string) int
	// Len returns the number of waiting entries.
	Len() int
}

// Policy names an order.
type Policy string

// Policies.
const (
	// PolicyFair shares the capacity by weight between workspaces, in tokens.
	PolicyFair Policy = "fair"
	// PolicyFCFS serves in the order of arrival. It is the baseline.
	PolicyFCFS Policy = "fcfs"
)

// NewOrder returns an empty order of the policy.
func NewOrder[T any](p Policy) Order[T] {
	if p == PolicyFCFS {
		return NewFCFSOrder[T]()
	}
	return NewFairOrder[T]()
}
