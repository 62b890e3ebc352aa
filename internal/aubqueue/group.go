package aubqueue

import "time"

const (
	// perMille is the denominator of Opts.ReservePerMille.
	perMille = 1000
	// smoothingFactor is the weight of a new observation in the moving averages.
	smoothing = 0.1
	// minRetryAfter is the minimum of RefusedError.RetryAfter.
	minRetryAfter = 100 * time.Millisecond
	// unknownRetryAfter is used while the service rate is unknown.
	unknownRetryAfter = time.Second
)

// group holds the requests of one model or service, which share one capacity.
type group struct {
	order    Order[*waiter]
	tenants  *tenants
	capacity int
	running  int
	tokens   int64
	// Moving averages over finished requests: cost in tokens and run time in seconds;
	// zero before the first one.
	meanCost    float64
	meanSeconds float64
}

func newGroup(p Policy, capacity int) *group {
	return &group{order: NewOrder[*waiter](p), tenants: newTenants(), capacity: capacity}
}

// startNext starts the next eligible waiting request and returns it; nil if there
// is none.
func (g *group) startNext(now time.Time, opts Opts) *waiter {
	free := g.capacity - g.running
	if free <= 0 || g.order.Len() == 0 {
		return nil
	}
	most := max(g.capacity*opts.ReservePerMille/perMille, 0)
	g.tenants.assess(now, g.capacity, most, g.secondsPerCost())
	next := g.order.Next(func(workspace string) bool {
		return free > g.tenants.reserve || !g.tenants.isLoud(workspace)
	})
	if next == nil || !g.fits(next.Cost, opts.MaxRunningTokens) {
		return nil
	}
	g.order.Take(next)
	w := next.Value
	w.running = true
	w.startedAt = now
	g.running++
	g.tokens += w.item.Cost
	g.tenants.start(w.item)
	return w
}

// fits reports whether a request of the cost keeps the running tokens within the
// limit.
func (g *group) fits(cost, maxTokens int64) bool {
	return maxTokens <= 0 || g.running == 0 || g.tokens+cost <= maxTokens
}

// remove removes a waiting request.
func (g *group) remove(w *waiter) {
	g.order.Remove(w.entry)
	g.tenants.leave(w.item)
}

func (g *group) finish(item Item) {
	g.running--
	g.tokens -= item.Cost
	g.tenants.finish(item)
}

// observe updates the moving averages with a finished request.
func (g *group) observe(cost int64, d time.Duration) {
	if g.meanSeconds == 0 {
		g.meanCost = float64(max(cost, 1))
		g.meanSeconds = max(d.Seconds(), time.Millisecond.Seconds())
		return
	}
	g.meanCost += smoothing * (float64(max(cost, 1)) - g.meanCost)
	g.meanSeconds += smoothing * (d.Seconds() - g.meanSeconds)
}

func (g *group) secondsPerCost() float64 {
	if g.meanCost == 0 {
		return 0
	}
	return g.meanSeconds / g.meanCost
}

// expectedWait estimates how long the item waits; 0 while a slot is free or the
// service rate is unknown.
func (g *group) delay(item Item) time.Duration {
	if g.order.Len() == 0 && g.running < g.capacity {
		return 0
	}
	if g.meanSeconds <= 0 || g.capacity == 0 {
		return 0
	}
	// After the waiting cost ahead, one more slot has to become free.
	places := g.capacity
	if g.tenants.isLoud(item.Workspace) {
		places -= g.tenants.reserve
	}
	rate := g.meanCost / g.meanSeconds * float64(places)
	ahead := float64(g.order.Ahead(item.Workspace, item.Weight)) + g.meanCost
	return time.Duration(ahead / rate * float64(time.Second))
}

// lateness returns how long after the deadline an item with the expected wait would
// start; 0 or less if it starts in time.
func lateness(now time.Time, delay time.Duration, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return 0
	}
	return now.Add(delay).Sub(deadline)
}

// retryAfter returns RefusedError.RetryAfter for an expected wait; 0 is unknown.
func retryAfter(d time.Duration) time.Duration {
	if d == 0 {
		return unknownRetryAfter
	}
	return max(d, minRetryAfter)
}
