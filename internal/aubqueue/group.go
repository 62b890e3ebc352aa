package aubqueue

import "time"

const (
	// perMille is the denominator of Opts.ReservePerMille.
	perMille = 1000
	// smoothingFactor is the weight of a new observation in the moving averages.
	smoothingFactor = 0.1
	// minRetryAfter is the minimum of RefusedError.RetryAfter.
	minRetryAfter = 100 * time.Millisecond
	// unknownRetryAfter is used while the service rate is unknown.
	unknownRetryAfter = time.Second
)

// group holds the requests of one model or service, which share one capacity.
type group struct {
	order         Order[*waiter]
	workspaces    *workspaceTable
	capacity      int
	running       int
	runningTokens int64
	// Moving averages over finished requests: cost in tokens and run time in seconds;
	// zero before the first one.
	meanCost    float64
	meanSeconds float64
}

func newGroup(p Policy, capacity int) *group {
	return &group{order: NewOrder[*waiter](p), workspaces: newWorkspaceTable(), capacity: capacity}
}

// startNext starts the next eligible waiting request and returns it; nil if there
// is none.
func (g *group) startNext(now time.Time, opts Opts) *waiter {
	freeSlots := g.capacity - g.running
	if freeSlots <= 0 || g.order.Len() == 0 {
		return nil
	}
	maxReserve := max(g.capacity*opts.ReservePerMille/perMille, 0)
	g.workspaces.assess(now, g.capacity, maxReserve, g.secondsPerCost())
	next := g.order.Next(func(workspace string) bool {
		return freeSlots > g.workspaces.reservedSlots || !g.workspaces.isOverShare(workspace)
	})
	if next == nil || !g.fits(next.Cost, opts.MaxRunningTokens) {
		return nil
	}
	g.order.Take(next)
	w := next.Value
	w.running = true
	w.startedAt = now
	g.running++
	g.runningTokens += w.item.Cost
	g.workspaces.start(w.item)
	return w
}

// fits reports whether a request of the cost keeps the running tokens within the
// limit.
func (g *group) fits(cost, maxTokens int64) bool {
	return maxTokens <= 0 || g.running == 0 || g.runningTokens+cost <= maxTokens
}

// remove removes a waiting request.
func (g *group) remove(w *waiter) {
	g.order.Remove(w.entry)
	g.workspaces.dequeue(w.item)
}

func (g *group) finish(item Item) {
	g.running--
	g.runningTokens -= item.Cost
	g.workspaces.finish(item)
}

// observe updates the moving averages with a finished request.
func (g *group) observe(cost int64, duration time.Duration) {
	if g.meanSeconds == 0 {
		g.meanCost = float64(max(cost, 1))
		g.meanSeconds = max(duration.Seconds(), time.Millisecond.Seconds())
		return
	}
	g.meanCost += smoothingFactor * (float64(max(cost, 1)) - g.meanCost)
	g.meanSeconds += smoothingFactor * (duration.Seconds() - g.meanSeconds)
}

func (g *group) secondsPerCost() float64 {
	if g.meanCost == 0 {
		return 0
	}
	return g.meanSeconds / g.meanCost
}

// expectedWait estimates how long the item waits; 0 while a slot is free or the
// service rate is unknown.
func (g *group) expectedWait(item Item) time.Duration {
	if g.order.Len() == 0 && g.running < g.capacity {
		return 0
	}
	if g.meanSeconds <= 0 || g.capacity == 0 {
		return 0
	}
	// After the waiting cost ahead, one more slot has to become free.
	slots := g.capacity
	if g.workspaces.isOverShare(item.Workspace) {
		slots -= g.workspaces.reservedSlots
	}
	rate := g.meanCost / g.meanSeconds * float64(slots)
	ahead := float64(g.order.Ahead(item.Workspace, item.Weight)) + g.meanCost
	return time.Duration(ahead / rate * float64(time.Second))
}

// lateness returns how long after the deadline an item with the expected wait would
// start; 0 or less if it starts in time.
func lateness(now time.Time, wait time.Duration, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return 0
	}
	return now.Add(wait).Sub(deadline)
}

// retryAfter returns RefusedError.RetryAfter for an expected wait; 0 is unknown.
func retryAfter(wait time.Duration) time.Duration {
	if wait == 0 {
		return unknownRetryAfter
	}
	return max(wait, minRetryAfter)
}
