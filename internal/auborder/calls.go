package auborder

import (
	"context"
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/auburndale/auburndale/internal/aubcommon"
)

// maxEngineCalls bounds the calls to engines in progress. A new leader reads the state of every
// engine, and each call takes processor time that the replica needs for its lease.
const maxEngineCalls = 24

// callSlots bounds the calls to engines in progress.
//
// Lock order: mu is taken alone. A caller that waits for a slot may hold an engine's orderMu, one that
// holds a slot takes no lock.
type callSlots struct {
	slots   chan struct{}
	metrics tally.Scope

	mu      sync.Mutex
	waiting int
}

func newCallSlots(common aubcommon.Common, count int) *callSlots {
	return &callSlots{slots: make(chan struct{}, count), metrics: common.Metrics}
}

// run calls f once a slot is free. It returns false, without a call, if ctx ends first.
func (c *callSlots) run(ctx context.Context, f func()) bool {
	c.addWaiting(1)
	select {
	case c.slots <- struct{}{}:
		c.addWaiting(-1)
	case <-ctx.Done():
		c.addWaiting(-1)
		return false
	}
	defer func() { <-c.slots }()
	f()
	return true
}

// running returns the number of calls in progress.
func (c *callSlots) running() int { return len(c.slots) }

func (c *callSlots) addWaiting(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting += n
	c.metrics.Gauge("engine_calls_waiting").Update(float64(c.waiting))
	c.metrics.Gauge("engine_calls_running").Update(float64(c.running()))
}
