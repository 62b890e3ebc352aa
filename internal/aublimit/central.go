package aublimit

import "time"

// limits are a workspace's rate, in tokens per second, and burst, in tokens.
type limits struct {
	rate  int64
	burst int64
}

// centralState is the replicated state of one workspace: its token bucket and the
// sum of the floors taken out of its limits.
type centralState struct {
	limits limits
	bucket bucket
	// heldFloors is the sum of all floors that may be in use.
	heldFloors floor
	// shortUntil is the end of the time in which the workspace counts as short of
	// tokens.
	shortUntil time.Duration
	// configuredAt is the last time at which the workspace was configured.
	configuredAt time.Duration
}

// newCentralState returns a state with a full bucket and no floors.
func newCentralState(now time.Duration, configured limits) *centralState {
	c := &centralState{limits: configured, configuredAt: now}
	c.bucket.filledAt = now
	c.updateBucket(now)
	c.bucket.level = c.bucket.capacity
	c.bucket.recordHeadroom(now)
	return c
}

// advance refills the bucket until now and applies the configured limits. If they
// changed, the refill uses the lower of the old and new limits, because the time
// of the change is not known.
func (c *centralState) advance(now time.Duration, configured limits) {
	changed := configured != c.limits
	if changed {
		c.limits = limits{rate: min(c.limits.rate, configured.rate), burst: min(c.limits.burst, configured.burst)}
		c.bucket.rateMilli, _ = c.limitsWithoutFloors()
	}
	c.bucket.fill(now)
	if changed {
		c.limits = configured
		c.updateBucket(now)
	}
	if configured != (limits{}) {
		c.configuredAt = now
	}
}

// updateBucket sets the bucket's rate and capacity to the limits minus the floors.
func (c *centralState) updateBucket(now time.Duration) {
	rate, capacity := c.limitsWithoutFloors()
	c.bucket.set(now, rate, capacity)
}

// limitsWithoutFloors returns the limits minus the floors: the rate in 1/1000
// token per second, and the capacity.
func (c *centralState) limitsWithoutFloors() (int64, microTokens) {
	rate := c.limits.rate*milliPerToken - c.heldFloors.rateMilli
	capacity := toMicroTokens(c.limits.burst) - toMicroTokens(c.heldFloors.burst)
	return max(rate, 0), max(capacity, 0)
}

// addFloor adds to the floors in use. The caller calls fill first.
func (c *centralState) addFloor(now time.Duration, added floor) {
	c.heldFloors.rateMilli += added.rateMilli
	c.heldFloors.burst += added.burst
	c.updateBucket(now)
}

// freeFloor returns the amount by which the floors can still increase: up to
// floorPerMille of the limits, and for the burst at most the tokens neither held
// by floors nor outstanding.
func (c *centralState) freeFloor(floorPerMille int64) floor {
	total := totalFloor(c.limits, floorPerMille)
	unused := toMicroTokens(c.limits.burst) - toMicroTokens(c.heldFloors.burst) - c.bucket.outstanding
	return floor{
		rateMilli: max(total.rateMilli-c.heldFloors.rateMilli, 0),
		burst:     max(min(total.burst-c.heldFloors.burst, unused.wholeTokens()), 0),
	}
}
