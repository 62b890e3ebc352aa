package aublimit

import "time"

// shareSmoothing is the weight of a new observation of the instance's share.
const shareSmoothing = 0.3

// refusal returns why the tokens cannot come within the longest wait, or nil
// when waiting for them makes sense.
func (l *Limiter) refusal(a *account, now time.Duration, tokens int64) error {
	if a.central.known && tokens > a.central.capacity+a.floorCapacity() {
		return &RefusedError{Reason: ReasonBurst}
	}
	if !l.session.contacted {
		// Nothing is known yet: the first reply decides.
		return nil
	}
	if l.delay(a, now, tokens) <= l.opts.MaxWait {
		return nil
	}
	return l.shortage(a, now, tokens)
}

// shortage is the refusal of tokens that are not there.
func (l *Limiter) shortage(a *account, now time.Duration, tokens int64) error {
	reason := ReasonRate
	if !l.reachable(now) {
		reason = ReasonCutOff
	}
	return refuse(reason, l.delay(a, now, tokens))
}

// delay estimates when the tokens are there, behind everything that waits.
func (l *Limiter) delay(a *account, now time.Duration, tokens int64) time.Duration {
	missing := a.waiting() + tokens - a.available()
	rate := a.floorRate()
	if l.reachable(now) {
		missing -= a.central.estimate(now)
		rate += a.central.expectedRate()
	}
	return timeToFill(missing, rate)
}

// estimate is the central level as far as this instance can tell.
func (v centralView) estimate(now time.Duration) int64 {
	if !v.known {
		return maxTokens
	}
	refilled := float64(v.expectedRate()) / milliPerToken * (now - v.at).Seconds()
	return min(v.level+int64(refilled), v.capacity)
}

// expectedRate is the part of the central rate that this instance gets.
func (v centralView) expectedRate() int64 { return int64(float64(v.rateMilli) * v.share) }

// observe learns that part from a grant. Who gets what it wants has no rival.
func (v centralView) observe(now time.Duration, want, granted int64) centralView {
	if want == 0 {
		return v
	}
	got := 1.0
	if elapsed := (now - v.at).Seconds(); v.known && granted < want && elapsed > 0 && v.rateMilli > 0 {
		got = min(float64(granted)*milliPerToken/(float64(v.rateMilli)*elapsed), 1)
	}
	if !v.known {
		v.share = got
	}
	v.share += shareSmoothing * (got - v.share)
	return v
}
