package aubthrottle

import (
	"math"
	"time"

	"go.uber.org/zap"
)

const (
	// MaxQuietTime limits the quiet that one answer may ask for, so that an absurd value does
	// not take a backend server out of use for good.
	MaxQuietTime = 2 * time.Minute
	// quietSpread is the time after the end of a quiet over which callers that were refused
	// are told to come back.
	quietSpread = 500 * time.Millisecond
	// spreadStep is the part of quietSpread between two callers, modulo one. The golden ratio
	// keeps any number of successive callers apart.
	spreadStep = math.Phi - 1
)

// quietPeriod is the time for which a backend server wants no requests of this instance.
type quietPeriod struct {
	askedAt time.Time
	until   time.Time
	// requestID is the request whose answer asked for it.
	requestID string
	// advised counts the callers that were told to come back after the end.
	advised int
}

// remaining returns the time until the end.
func (q quietPeriod) remaining(now time.Time) time.Duration { return max(q.until.Sub(now), 0) }

// adviseRetry returns when the next refused caller should come back, never before the end.
func (q *quietPeriod) adviseRetry(now time.Time) time.Duration {
	_, part := math.Modf(float64(q.advised) * spreadStep)
	q.advised++
	return q.remaining(now) + time.Duration(part*float64(quietSpread))
}

// ObserveQuiet applies an answer that turned a request away and asked for no more requests
// for a time. The longest of several counts. Other instances are not told: the backend
// server asked this one.
func (t *Throttle) ObserveQuiet(requestID string, b Backend, duration time.Duration) {
	now := t.common.Timer.Now()
	duration = min(duration, MaxQuietTime)
	if duration <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endQuiet(now, b)
	quiet := t.quiets[b]
	until := now.Add(duration)
	if quiet != nil && !until.After(quiet.until) {
		return
	}
	isFirst := quiet == nil
	if isFirst {
		quiet = &quietPeriod{askedAt: now, requestID: requestID}
		t.quiets[b] = quiet
	}
	quiet.until = until
	t.quietAsked.Inc(1)
	if !isFirst {
		return
	}
	t.common.Log.Info("Backend server asks for no more requests.",
		zap.String("request_id", requestID), zap.String("backend_server", b.Name), zap.Uint64("backend_started_ms", b.Incarnation),
		zap.Int64("quiet_ms", duration.Milliseconds()), zap.Int64("age_ms", 0))
}

// quietWait returns the time until the quiet of the backend server ends; the caller holds mu.
func (t *Throttle) quietWait(now time.Time, b Backend) time.Duration {
	t.endQuiet(now, b)
	if quiet := t.quiets[b]; quiet != nil {
		return quiet.remaining(now)
	}
	return 0
}

// endQuiet drops a quiet that is over; the caller holds mu.
func (t *Throttle) endQuiet(now time.Time, b Backend) {
	quiet := t.quiets[b]
	if quiet == nil || quiet.until.After(now) {
		return
	}
	delete(t.quiets, b)
	t.common.Log.Info("Backend server takes requests again.",
		zap.String("backend_server", b.Name), zap.Uint64("backend_started_ms", b.Incarnation), zap.String("asked_in_answer_to", quiet.requestID),
		zap.Int64("quiet_ms", quiet.until.Sub(quiet.askedAt).Milliseconds()), zap.Int64("age_ms", now.Sub(quiet.askedAt).Milliseconds()), zap.Int("refused", quiet.advised))
}

// endQuiets drops all that are over; the caller holds mu.
func (t *Throttle) endQuiets(now time.Time) {
	for b := range t.quiets {
		t.endQuiet(now, b)
	}
}
