package aublimit

import "time"

// limits are a workspace's rate and burst in tokens.
type limits struct {
	rate  int64
	burst int64
}

// central is one workspace's part of the table.
type central struct {
	limits limits
	bucket bucket
	// held is the sum of all floors that may be in use.
	held       floor
	shortUntil time.Duration
	usedAt     time.Duration
}

// newCentral returns a full bucket.
func newCentral(now time.Duration, l limits) *central {
	c := &central{limits: l, usedAt: now}
	c.bucket.filledAt = now
	c.adjust(now)
	c.bucket.level = c.bucket.capacity
	c.bucket.record(now)
	return c
}

// advance refills until now under the lower of the old and the new limits,
// since the moment of a change in between is not known.
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

// adjust gives the bucket what the floors leave of the limits.
func (c *central) adjust(now time.Duration) {
	rate, capacity := c.remainder()
	c.bucket.set(now, rate, capacity)
}

// remainder is the rate, in thousandths of a token a second, and the capacity
// that the floors leave.
func (c *central) remainder() (int64, micro) {
	rate := c.limits.rate*milliPerToken - c.held.rateMilli
	capacity := toMicro(c.limits.burst) - toMicro(c.held.burst)
	return max(rate, 0), max(capacity, 0)
}

// hold adds to the floors in use; fill comes first.
func (c *central) hold(now time.Duration, more floor) {
	c.held.rateMilli += more.rateMilli
	c.held.burst += more.burst
	c.adjust(now)
}

// room returns what the floors may still grow by: no more than their part, and
// the burst only as far as nothing lent stands in it.
func (c *central) room(floorPerMille int64) floor {
	whole := wholeFloor(c.limits, floorPerMille)
	free := toMicro(c.limits.burst) - toMicro(c.held.burst) - c.bucket.lent
	return floor{
		rateMilli: max(whole.rateMilli-c.held.rateMilli, 0),
		burst:     max(min(whole.burst-c.held.burst, free.tokens()), 0),
	}
}
