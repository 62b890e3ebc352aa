package aublimit

import "time"

// shareSmoothing is the weight of a new observation in centralView.rateShare.
const shareSmoothing = 0.3

// checkWait returns a refusal if the tokens are not expected within opts.MaxWait,
// and nil if the reservation should wait for them.
func (l *Limiter) checkWait(a *account, now time.Duration, tokens int64) error {
	if a.central.known && tokens > a.central.capacity+a.floorCapacity() {
		return &RefusedError{Reason: ReasonBurst}
	}
	if !l.session.hasReply {
		// There is no estimate before the first reply, so the reservation waits.
		return nil
	}
	if l.estimateDelay(a, now, tokens) <= l.opts.MaxWait {
		return nil
	}
	return l.shortageError(a, now, tokens)
}

// shortageError returns the refusal for tokens that are not available.
func (l *Limiter) shortageError(a *account, now time.Duration, tokens int64) error {
	delay := l.estimateDelay(a, now, tokens)
	switch {
	case !l.isTableReachable(now):
		return refuse(ReasonCutOff, delay)
	case delay <= 0:
		// The central bucket holds the tokens, as far as is known here; the reply is late.
		return refuse(ReasonNotGranted, delay)
	}
	return refuse(ReasonRate, delay)
}

// estimateDelay returns the estimated time until the tokens are available after
// all waiters are served.
func (l *Limiter) estimateDelay(a *account, now time.Duration, tokens int64) time.Duration {
	missing := a.pendingTokens() + tokens - a.available()
	rate := a.floorRate()
	if l.isTableReachable(now) {
		missing -= a.central.estimateLevel(now)
		rate += a.central.expectedRate()
	}
	return timeToFill(missing, rate)
}

// estimateLevel returns the estimated level of the central bucket in tokens. It is
// maxTokens before the first reply.
func (v centralView) estimateLevel(now time.Duration) int64 {
	if !v.known {
		return maxTokens
	}
	refilled := float64(v.expectedRate()) / milliPerToken * (now - v.receivedAt).Seconds()
	return min(v.level+int64(refilled), v.capacity)
}

// expectedRate returns the part of the central rate, in 1/1000 token per second,
// that this instance is expected to be granted.
func (v centralView) expectedRate() int64 { return int64(float64(v.rateMilli) * v.rateShare) }

// withGrant returns the view with rateShare updated from a grant. A fully granted
// request counts as a share of 1, since no other instance competed for the tokens.
func (v centralView) withGrant(now time.Duration, want, granted int64) centralView {
	if want == 0 {
		return v
	}
	observed := 1.0
	if elapsed := (now - v.receivedAt).Seconds(); v.known && granted < want && elapsed > 0 && v.rateMilli > 0 {
		observed = min(float64(granted)*milliPerToken/(float64(v.rateMilli)*elapsed), 1)
	}
	if !v.known {
		v.rateShare = observed
	}
	v.rateShare += shareSmoothing * (observed - v.rateShare)
	return v
}
