package aubroute

import (
	"math"
	"time"
)

const (
	// failuresToEject is the number of consecutive faults that eject a member.
	failuresToEject = 3
	// defaultEjectSlowness is the default of RouterOpts.EjectSlowness.
	defaultEjectSlowness = 5.0
	// minSlownessSamples is the minimum number of responses before a member is ejected
	// for its slowness.
	minSlownessSamples = 8
	// slownessSmoothing is the weight of a new response in the moving average of the
	// slowness.
	slownessSmoothing = 0.2
	// slownessTimeConstant is the time constant with which the slowness decays to 1, so
	// that a member that was slow gets requests again.
	slownessTimeConstant = 5 * time.Second
	// minSlowness is the slowness below which a member doesn't count as slow.
	minSlowness = 1.25
	// baseEjection is the duration of the first ejection; it doubles with each
	// consecutive ejection, up to maxEjection.
	baseEjection = 2 * time.Second
	maxEjection  = time.Minute
	// recoveryTime is the time after an ejection in which the traffic share grows to 1.
	recoveryTime = 10 * time.Second
	// minRecoveryShare is the traffic share at the start of the recovery.
	minRecoveryShare = 0.05
)

// Health is the failure and latency record of one member. It is an immutable value;
// the zero value is a healthy member.
type Health struct {
	// ConsecutiveFaults is the number of consecutive faults.
	ConsecutiveFaults int
	// Slowness is the moving average of the ratio of measured to expected time to first
	// token, as of MeasuredAt.
	Slowness   float64
	MeasuredAt time.Time
	// Samples is the number of ratios since the last ejection.
	Samples int
	// ConsecutiveEjections is the number of ejections without a full recovery between
	// them.
	ConsecutiveEjections int
	// EjectedUntil is the end of the last ejection, when the recovery starts.
	EjectedUntil time.Time
}

// WithSuccess returns the health after a complete response. The ratio is that of
// measured to expected time to first token, 0 if none was measured. The member is
// ejected when its slowness reaches the limit.
func (h Health) WithSuccess(now time.Time, ratio, limit float64) Health {
	h.ConsecutiveFaults = 0
	if h.ConsecutiveEjections > 0 && h.TrafficShare(now) >= 1 {
		h.ConsecutiveEjections = 0
	}
	if ratio <= 0 {
		return h
	}
	previous := h.decayedSlowness(now)
	h.Slowness = previous + slownessSmoothing*(ratio-previous)
	h.MeasuredAt = now
	h.Samples++
	if h.Samples >= minSlownessSamples && h.Slowness >= limit {
		return h.ejected(now)
	}
	return h
}

// SlownessAt returns the factor by which expected times are multiplied, at least 1.
func (h Health) SlownessAt(now time.Time) float64 {
	if slowness := h.decayedSlowness(now); slowness >= minSlowness {
		return slowness
	}
	return 1
}

// decayedSlowness returns the slowness after its decay since MeasuredAt.
func (h Health) decayedSlowness(now time.Time) float64 {
	if h.MeasuredAt.IsZero() {
		return 1
	}
	elapsed := now.Sub(h.MeasuredAt).Seconds() / slownessTimeConstant.Seconds()
	return 1 + (h.Slowness-1)*math.Exp(-elapsed)
}

// WithFailure returns the health after a fault.
func (h Health) WithFailure(now time.Time, f Failure) Health {
	h.ConsecutiveFaults++
	// A silent connection costs its caller the full heartbeat timeout, so the first one
	// ejects the member.
	if h.ConsecutiveFaults >= failuresToEject || f == FailureSilent {
		return h.ejected(now)
	}
	return h
}

// TrafficShare returns the share of its normal traffic that the member gets: 0 while
// ejected, growing to 1 during the recovery.
func (h Health) TrafficShare(now time.Time) float64 {
	if h.ConsecutiveEjections == 0 {
		return 1
	}
	sinceEjection := now.Sub(h.EjectedUntil)
	if sinceEjection < 0 {
		return 0
	}
	return min(max(sinceEjection.Seconds()/recoveryTime.Seconds(), minRecoveryShare), 1)
}

// ejected returns the health after an ejection at now; unchanged if the member is
// ejected already.
func (h Health) ejected(now time.Time) Health {
	if now.Before(h.EjectedUntil) {
		return h
	}
	duration := baseEjection << min(h.ConsecutiveEjections, 10)
	h.ConsecutiveEjections++
	h.EjectedUntil = now.Add(min(duration, maxEjection))
	h.ConsecutiveFaults = 0
	h.Samples = 0
	h.MeasuredAt = time.Time{}
	return h
}
