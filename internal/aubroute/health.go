package aubroute

import (
	"math"
	"time"
)

const (
	// failuresToEject is the number of faults in a row that eject a member.
	failuresToEject = 3
	// slownessToEject is the ratio of measured to expected first-token time from
	// which a member is ejected.
	slownessToEject = 5.0
	// samplesToEject is the least number of answers that the ratio needs.
	samplesToEject = 8
	// slownessShare is the weight of the newest answer in the ratio.
	slownessShare = 0.2
	// slownessMemory is the time constant with which slowness is forgotten, so
	// that a member that was slow is tried again.
	slownessMemory = 5 * time.Second
	// minSlowness is the ratio below which a member doesn't count as slow.
	minSlowness = 1.25
	// baseEjection is the first time out; it doubles with each ejection in a row.
	baseEjection = 2 * time.Second
	maxEjection  = time.Minute
	// returnTime is how long the share of a member that returns grows to its whole.
	returnTime = 10 * time.Second
	// minReturnShare is the share that a member returns with.
	minReturnShare = 0.05
)

// Health is what is known of the behaviour of one member. It is an immutable
// value; the zero value is a healthy member.
type Health struct {
	// Failures in a row.
	Failures int
	// Slowness is the smoothed ratio of measured to expected first-token time at
	// MeasuredAt.
	Slowness   float64
	MeasuredAt time.Time
	Samples    int
	// Ejections in a row without a full return.
	Ejections int
	// EjectedUntil and ReturnedAt bound the time out and the slow return.
	EjectedUntil time.Time
}

// WithSuccess returns the health after an answer. Ratio is measured to expected
// first-token time, 0 if none was measured; at the limit the member is ejected.
func (h Health) WithSuccess(now time.Time, ratio, limit float64) Health {
	h.Failures = 0
	if h.Ejections > 0 && h.Share(now) >= 1 {
		h.Ejections = 0
	}
	if ratio <= 0 {
		return h
	}
	before := h.decayed(now)
	h.Slowness = before + slownessShare*(ratio-before)
	h.MeasuredAt = now
	h.Samples++
	if h.Samples >= samplesToEject && h.Slowness >= limit {
		return h.ejected(now)
	}
	return h
}

// SlownessAt returns the factor by which expected times are lengthened, at least 1.
func (h Health) SlownessAt(now time.Time) float64 {
	if s := h.decayed(now); s >= minSlowness {
		return s
	}
	return 1
}

// decayed returns the slowness after the time since it was measured.
func (h Health) decayed(now time.Time) float64 {
	if h.MeasuredAt.IsZero() {
		return 1
	}
	passed := now.Sub(h.MeasuredAt).Seconds() / slownessMemory.Seconds()
	return 1 + (h.Slowness-1)*math.Exp(-passed)
}

// WithFailure returns the health after a fault.
func (h Health) WithFailure(now time.Time, f Failure) Health {
	h.Failures++
	// A silent connection costs its caller the whole heartbeat timeout: once is enough.
	if h.Failures >= failuresToEject || f == FailureSilent {
		return h.ejected(now)
	}
	return h
}

// Share returns the part of its work that the member may get: 0 while ejected,
// growing to 1 during its return.
func (h Health) Share(now time.Time) float64 {
	if h.Ejections == 0 {
		return 1
	}
	back := now.Sub(h.EjectedUntil)
	if back < 0 {
		return 0
	}
	return min(max(back.Seconds()/returnTime.Seconds(), minReturnShare), 1)
}

func (h Health) ejected(now time.Time) Health {
	if now.Before(h.EjectedUntil) {
		return h
	}
	d := baseEjection << min(h.Ejections, 10)
	h.Ejections++
	h.EjectedUntil = now.Add(min(d, maxEjection))
	h.Failures = 0
	h.Samples = 0
	h.MeasuredAt = time.Time{}
	return h
}
