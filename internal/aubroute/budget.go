package aubroute

import (
	"sync"
	"time"
)

const (
	// DefaultRetryShare is the number of retries that each request allows.
	DefaultRetryShare = 0.1
	// DefaultRetryWindow is the time over which requests and retries are counted.
	DefaultRetryWindow = 10 * time.Second
	// defaultRetryBurst is the number of retries allowed above the share.
	defaultRetryBurst = 20.0
	// defaultRetryFloor is the number of retries a second allowed without traffic.
	defaultRetryFloor = 1.0
	// budgetSlots is the number of parts of the window that are counted apart.
	budgetSlots = 20
)

// RetryBudget bounds the retries of a window to a share of its requests and a burst.
// A share that is not used stays available for the window, so that many requests that fail
// together can be repeated. Its methods may be called concurrently.
type RetryBudget struct {
	share float64
	floor float64
	slot  time.Duration
	start time.Time

	mu    sync.Mutex
	burst float64
	slots [budgetSlots]budgetSlot
	// retriedAt is when a retry was last allowed.
	retriedAt time.Time
}

// budgetSlot counts one part of the window.
type budgetSlot struct {
	index    int64
	requests int
	retries  int
}

// NewRetryBudget returns a budget with the options' share of retries to requests,
// window, burst and floor, none of which is used.
func NewRetryBudget(now time.Time, opts RouterOpts) *RetryBudget {
	return &RetryBudget{
		share: opts.RetryShare, burst: opts.RetryBurst, floor: opts.RetryFloor,
		slot: opts.RetryWindow / budgetSlots, start: now,
	}
}

// Add counts one request.
func (b *RetryBudget) Add(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at(now).requests++
}

// Take allows one retry and counts it, or refuses it.
func (b *RetryBudget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.at(now)
	requests, retries := b.sum(current.index)
	isIdle := now.Sub(b.retriedAt).Seconds()*b.floor >= 1
	if float64(retries)+1 > b.share*float64(requests)+b.burst && !isIdle {
		return false
	}
	current.retries++
	b.retriedAt = now
	return true
}

func (b *RetryBudget) setBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
}

// at returns the slot of the time, emptied if it held an earlier part.
func (b *RetryBudget) at(now time.Time) *budgetSlot {
	index := int64(max(now.Sub(b.start), 0) / b.slot)
	s := &b.slots[index%budgetSlots]
	if s.index != index {
		*s = budgetSlot{index: index}
	}
	return s
}

// sum counts the window that ends with the slot of the index.
func (b *RetryBudget) sum(index int64) (requests, retries int) {
	for _, s := range b.slots {
		if s.index > index-budgetSlots && s.index <= index {
			requests += s.requests
			retries += s.retries
		}
	}
	return requests, retries
}
