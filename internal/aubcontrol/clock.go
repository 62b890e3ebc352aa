package aubcontrol

import "time"

// replicatedClock is the clock that commands contain. Every entry in a new
// leader's log was stamped before its election, so the last applied value plus
// the time since the election never runs faster than real time.
type replicatedClock struct {
	// applied is the clock of the last applied command.
	applied time.Duration
	// electionClock is the value of applied at this replica's last election, at
	// electedAt.
	electionClock time.Duration
	electedAt     time.Time
}

func (c *replicatedClock) apply(stamp time.Duration) time.Duration {
	c.applied = max(c.applied, stamp)
	return c.applied
}

func (c *replicatedClock) elected(at time.Time) {
	c.electionClock = c.applied
	c.electedAt = at
}

func (c *replicatedClock) stamp(now time.Time) time.Duration {
	if c.electedAt.IsZero() {
		return c.applied
	}
	return max(c.applied, c.electionClock+now.Sub(c.electedAt))
}
