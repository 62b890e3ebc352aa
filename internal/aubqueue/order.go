package aubqueue

// Entry is a waiting value with the attributes that determine its order.
type Entry[T any] struct {
	Value T
	// Flow names the flow of the entry; capacity is shared fairly between flows.
	Flow string
	// Weight is the weight of the flow's share; below 1 counts as 1.
	Weight int64
	// Cost is the work of the entry in tokens; below 1 counts as 1.
	Cost int64
	// Priority orders the entries of one flow, highest first.
	Priority int
	// sequence numbers the entries in order of arrival, index is the position in
	// the entryHeap of the flow.
	sequence uint64
	index    int
}

// Order determines which waiting entry is served next. It is not safe for
// concurrent use.
type Order[T any] interface {
	// Push adds an entry.
	Push(e *Entry[T])
	// Next returns the next entry whose flow is eligible, without removing it; nil
	// when there is none.
	Next(eligible func(flow string) bool) *Entry[T]
	// Take removes an entry that Next returned and charges its cost to the flow.
	Take(e *Entry[T])
	// Remove removes an entry that will not be served.
	Remove(e *Entry[T])
	// Ahead estimates the cost in tokens that is served before a new entry of the flow.
	Ahead(flow string, weight int64) int64
	// Waiting returns the number of waiting entries of the flow.
	Waiting(flow string) int
	// Len returns the number of waiting entries.
	Len() int
}

// Policy is the name of an order of waiting requests.
type Policy string

// Policies of the queue.
const (
	// PolicyFair shares the capacity, in tokens, between workspaces by weight.
	PolicyFair Policy = "fair"
	// PolicyFCFS serves requests in order of arrival. It is the baseline for PolicyFair.
	PolicyFCFS Policy = "fcfs"
)

// NewOrder returns an empty order of the policy.
func NewOrder[T any](p Policy) Order[T] {
	if p == PolicyFCFS {
		return NewFCFSOrder[T]()
	}
	return NewFairOrder[T]()
}
