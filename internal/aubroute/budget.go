package aubroute

import (
	"sync"
	"time"
)

const (
	// DefaultRetryShare is the number of retries that each request allows.
	DefaultRetryShare = 0.1
	// defaultRetryBurst bounds the retries saved up.
	defaultRetryBurst = 20.0
	// defaultRetryFloor is the number of retries a second allowed without traffic.
	defaultRetryFloor = 1.0
)

// RetryBudget bounds retries to a share of the traffic. It is a token bucket
// that requests fill and retries empty. Its methods may be called concurrently.
type RetryBudget struct {
	share float64
	burst float64
	floor float64

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

// NewRetryBudget returns a full budget with the options' share of retries to requests,
// burst and floor.
func NewRetryBudget(now time.Time, opts RouterOpts) *RetryBudget {
	return &RetryBudget{share: opts.RetryShare, burst: opts.RetryBurst, floor: opts.RetryFloor, tokens: opts.RetryBurst, last: now}
}

// Add counts one request.
func (b *RetryBudget) Add(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.tokens+b.share, b.burst)
}

// Take allows one retry and counts it, or refuses it.
func (b *RetryBudget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *RetryBudget) setBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

func (b *RetryBudget) refill(now time.Time) {
	elapsed := max(now.Sub(b.last), 0)
	b.last = now
	b.tokens = min(b.tokens+b.floor*elapsed.Seconds(), b.burst)
}
