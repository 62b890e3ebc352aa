package aubroute

import (
	"sync"
	"time"
)

const (
	// DefaultRetryShare is the number of retries that each request adds to the budget.
	DefaultRetryShare = 0.1
	// DefaultRetryWindow is the time over which requests and retries are counted.
	DefaultRetryWindow = 10 * time.Second
	// defaultRetryBurst is the number of retries allowed above the share.
	defaultRetryBurst = 20.0
	// defaultRetryFloor is the number of retries a second that are always allowed.
	defaultRetryFloor = 1.0
	// budgetSlots is the number of slots into which the window is divided.
	budgetSlots = 20
)

// RetryBudget limits the retries in a sliding window to a share of the requests plus a
// burst. Once these are used up, a retry is still allowed if the last one is at least
// 1/floor seconds ago. The unused share stays available for the window, so that many
// requests that fail together can be retried. It is safe for concurrent use.
type RetryBudget struct {
	share float64
	floor float64
	// slotLength is the duration of one slot of the window.
	slotLength time.Duration
	startedAt  time.Time

	mu    sync.Mutex
	burst float64
	slots [budgetSlots]budgetSlot
	// retriedAt is when a retry was last allowed.
	retriedAt time.Time
}

// budgetSlot holds the counts of one slot of the window. The index is the number of
// slot lengths since the start of the budget.
type budgetSlot struct {
	index    int64
	requests int
	retries  int
}

// NewRetryBudget returns an unused budget with the share, window, burst and floor of
// the options.
func NewRetryBudget(now time.Time, opts RouterOpts) *RetryBudget {
	return &RetryBudget{
		share: opts.RetryShare, burst: opts.RetryBurst, floor: opts.RetryFloor,
		slotLength: opts.RetryWindow / budgetSlots, startedAt: now,
	}
}

// AddRequest counts one request.
func (b *RetryBudget) AddRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slotAt(now).requests++
}

// AllowRetry reports whether a retry is allowed and counts it if so.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.slotAt(now)
	requests, retries := b.sum(current.index)
	floorAllows := now.Sub(b.retriedAt).Seconds()*b.floor >= 1
	if float64(retries)+1 > b.share*float64(requests)+b.burst && !floorAllows {
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

// slotAt returns the slot for the time, reset if it holds the counts of an earlier one.
func (b *RetryBudget) slotAt(now time.Time) *budgetSlot {
	index := int64(max(now.Sub(b.startedAt), 0) / b.slotLength)
	slot := &b.slots[index%budgetSlots]
	if slot.index != index {
		*slot = budgetSlot{index: index}
	}
	return slot
}

// sum returns the counts of the window that ends with the slot of the index.
func (b *RetryBudget) sum(index int64) (requests, retries int) {
	for _, slot := range b.slots {
		if slot.index > index-budgetSlots && slot.index <= index {
			requests += slot.requests
			retries += slot.retries
		}
	}
	return requests, retries
}
