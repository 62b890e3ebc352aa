package aubqueue

import "time"

const (
	// perMille is the whole of a part in thousandths.
	perMille = 1000
	// smoothing is the weight of a new observation in the averages.
	smoothing = 0.1
	// minRetryAfter is the least time that a refused caller is told to wait.
	minRetryAfter = 100 * time.Millisecond
	// unknownRetryAfter is told when no service rate is known yet.
	unknownRetryAfter = time.Second
)

// group is the requests that share one capacity.
type group struct {
	order    Order[*waiter]
	tenants  *tenants
	capacity int
	running  int
	tokens   int64
	// Averages over finished requests; zero before the first one.
	meanCost    float64
	meanSeconds float64
}

func newGroup(p Policy, capacity int) *group {
	return &group{order: NewOrder[*waiter](p), tenants: newTenants(), capacity: capacity}
}

// startNext starts the next waiting request that may start; nil when none may.
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

// fits reports whether the running tokens leave room for the cost.
func (g *group) fits(cost, maxTokens int64) bool {
	return maxTokens <= 0 || g.running == 0 || g.tokens+cost <= maxTokens
}

// remove takes out a request that waits.
func (g *group) remove(w *waiter) {
	g.order.Remove(w.entry)
	g.tenants.leave(w.item)
}

func (g *group) finish(item Item) {
	g.running--
	g.tokens -= item.Cost
	g.tenants.finish(item)
}

// observe learns the service rate from a finished request.
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

// delay estimates how long the item waits; 0 while a place is free or no rate
// is known.
func (g *group) delay(item Item) time.Duration {
	if g.order.Len() == 0 && g.running < g.capacity {
		return 0
	}
	if g.meanSeconds <= 0 || g.capacity == 0 {
		return 0
	}
	// Besides what waits ahead, one place has to become free.
	places := g.capacity
	if g.tenants.isLoud(item.Workspace) {
		places -= g.tenants.reserve
	}
	rate := g.meanCost / g.meanSeconds * float64(places)
	ahead := float64(g.order.Ahead(item.Workspace, item.Weight)) + g.meanCost
	return time.Duration(ahead / rate * float64(time.Second))
}

// lateness returns how far after the deadline the item would start.
func lateness(now time.Time, delay time.Duration, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return 0
	}
	return now.Add(delay).Sub(deadline)
}

func retryAfter(d time.Duration) time.Duration {
	if d == 0 {
		return unknownRetryAfter
	}
	return max(d, minRetryAfter)
}
