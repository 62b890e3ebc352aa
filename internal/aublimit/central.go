package aublimit

import "time"

// limits are a workspace's rate, in tokens per second, and burst, in tokens.
type limits struct {
	rate  int64
	burst int64
}

// centralState is the replicated state of one workspace: its token bucket and the
// sum of the floors taken out of its limits.
type central struct {
	limits limits
	bucket bucket
	// heldFloors is the sum of all floors that may be in use.
	held floor
	// shortUntil is the end of the time in which the workspace counts as short of
	// tokens.
	shortUntil time.Duration
	// usedAt is the last time at which the workspace had limits.
	usedAt time.Duration
}

// newCentralState returns a state with a full bucket and no floors.
func newCentral(now time.Duration, l limits) *central {
	c := &central{limits: l, usedAt: now}
	c.bucket.filledAt = now
	c.adjust(now)
	c.bucket.level = c.bucket.capacity
	c.bucket.record(now)
	return c
}

// advance refills the bucket until now and applies the configured limits. If they
// changed, the refill uses the lower of the old and new limits, because the time
// of the change is not known.
func (c *central) advance(now time.Duration, l limits) {
	changed := l != c.limits
	if changed {
		c.limits = limits{rate: min(c.limits.rate, l.rate), burst: min(c.limits.burst, l.burst)}
		c.bucket.rateMilli, _ = c.remainder()
	}
	c.bucket.fill(now)
	if changed {
		c.limits = l
		c.adjust(now)
	}
	if l != (limits{}) {
		c.usedAt = now
	}
}

// updateBucket sets the bucket's rate and capacity to the limits minus the floors.
func (c *central) adjust(now time.Duration) {
	rate, capacity := c.remainder()
	c.bucket.set(now, rate, capacity)
}

// limitsWithoutFloors returns the limits minus the floors: the rate in 1/1000
// token per second, and the capacity.
func (c *central) remainder() (int64, micro) {
	rate := c.limits.rate*milliPerToken - c.held.rateMilli
	capacity := toMicro(c.limits.burst) - toMicro(c.held.burst)
	return max(rate, 0), max(capacity, 0)
}

// addFloor adds to the floors in use. The caller calls fill first.
func (c *central) hold(now time.Duration, more floor) {
	c.held.rateMilli += more.rateMilli
	c.held.burst += more.burst
	c.adjust(now)
}

// freeFloor returns the amount by which the floors can still increase: up to
// floorPerMille of the limits, and for the burst at most the tokens neither held
// by floors nor outstanding.
func (c *central) room(floorPerMille int64) floor {
	whole := wholeFloor(c.limits, floorPerMille)
	free := toMicro(c.limits.burst) - toMicro(c.held.burst) - c.bucket.lent
	return floor{
		rateMilli: max(whole.rateMilli-c.held.rateMilli, 0),
		burst:     max(min(whole.burst-c.held.burst, free.tokens()), 0),
	}
}
