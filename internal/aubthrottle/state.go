package aubthrottle

import (
	"cmp"
	"time"

	"github.com/auburndale/auburndale/internal/auboption"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// minRate is the rate, in requests per second, at which requests are sent to a backend
	// server with a lower limit: only an answer tells that the limit has ended.
	minRate = 0.1
	// burstTime is the time whose requests may be sent at once, but at least one.
	burstTime = 500 * time.Millisecond
	// maxDebtTime limits the debt to the requests of that time.
	maxDebtTime = 10 * time.Second
)

// peerSends is what a peer has reported for one backend server.
type peerSends struct {
	incarnation uint64
	sent        uint64
	receivedAt  time.Time
}

// limitState is the limit of one backend server and the bucket of this instance.
type limitState struct {
	// limit, in requests per second, is the newest one of all instances, statedAt when an
	// answer stated it, changedAt when it became known here. own and ownStatedAt are those of this instance's answers.
	limit       auboption.Option[float64]
	statedAt    time.Time
	changedAt   time.Time
	own         auboption.Option[float64]
	ownStatedAt time.Time
	createdAt   time.Time

	// level is the number of requests that may be sent now; below 0 after instances sent at
	// the same time.
	level      float64
	refilledAt time.Time
	// sent counts the sends of this instance, recentSends holds those within recentWindow.
	sent        uint64
	recentSends []time.Time
	peers       map[string]peerSends
	// advisedUntil is the latest advised time to come back.
	advisedUntil time.Time
	// hasChanged is set while there is a change that was not reported.
	hasChanged bool
	// burst is the number of requests that may be sent at once; 0 means those of burstTime.
	burst float64
	// countsAllSends is set if everything counts that a peer has sent before its first report
	// here.
	countsAllSends bool
}

// sendReport is what a peer reports of its sends to one backend server.
type sendReport interface {
	GetSent() uint64
	GetKnownForMs() int64
	GetAdvisedForMs() int64
}

func newLimitState(now time.Time) *limitState {
	return &limitState{createdAt: now, refilledAt: now, peers: make(map[string]peerSends)}
}

// apply stores a limit unless a newer one is known, and reports whether it differs.
func (s *limitState) apply(now time.Time, limit auboption.Option[float64], statedAt time.Time, share float64) bool {
	if statedAt.Before(s.statedAt) {
		return false
	}
	s.refill(now, share)
	s.statedAt = statedAt
	if s.limit == limit {
		return false
	}
	if s.limit == auboption.None[float64]() {
		// What was sent before is unknown.
		s.level = min(s.level, 0)
	}
	s.limit, s.changedAt, s.hasChanged = limit, now, true
	s.level = min(s.level, s.capacity())
	return true
}

// rate returns the limit in requests per second, at least minRate.
func (s *limitState) rate() float64 { return max(s.limit.Or(0), minRate) }

func (s *limitState) capacity() float64 {
	if s.burst > 0 {
		return s.burst
	}
	return max(1, s.rate()*burstTime.Seconds())
}

func (s *limitState) isLimited() bool { return s.limit != auboption.None[float64]() }

// refill adds the share of the limit for the time since the last refill.
func (s *limitState) refill(now time.Time, share float64) {
	elapsed := now.Sub(s.refilledAt).Seconds()
	s.refilledAt = now
	if s.isLimited() {
		// The conversion keeps the product from being fused with the addition, so that the
		// level is the same on all processors.
		s.level = min(s.level+float64(s.rate()*share*elapsed), s.capacity())
	}
}

// wait returns the time until a request may be sent.
func (s *limitState) wait(now time.Time, share float64) time.Duration {
	if !s.isLimited() {
		return 0
	}
	s.refill(now, share)
	switch {
	case s.level >= 1:
		return 0
	case share == 0:
		return unknownShareWait
	}
	return min(secondsToDuration((1-s.level)/(s.rate()*share)), maxAdvisedWait)
}

// take counts a send if one is allowed.
func (s *limitState) take(now time.Time, share float64) bool {
	if s.wait(now, share) > 0 {
		return false
	}
	s.level--
	s.sent++
	s.hasChanged = true
	for len(s.recentSends) > 0 && now.Sub(s.recentSends[0]) > recentWindow {
		s.recentSends = s.recentSends[1:]
	}
	s.recentSends = append(s.recentSends, now)
	return true
}

// adviseRetry returns when the next refused caller should come back.
func (s *limitState) adviseRetry(now time.Time, share float64) time.Duration {
	at := now.Add(s.wait(now, share))
	if share > 0 && s.advisedUntil.After(now) {
		next := s.advisedUntil.Add(secondsToDuration(1 / (s.rate() * share)))
		if next.After(at) {
			at = next
		}
	}
	if latest := now.Add(maxAdvisedWait); at.After(latest) {
		at = latest
	}
	s.advisedUntil, s.hasChanged = at, true
	return at.Sub(now)
}

// mergeSends subtracts what a peer has sent since its last report. Instances is the number
// of instances that share the limit.
func (s *limitState) mergeSends(now time.Time, peer string, incarnation uint64, reported sendReport, instances int) {
	previous, isKnown := s.peers[peer]
	s.peers[peer] = peerSends{incarnation: incarnation, sent: reported.GetSent(), receivedAt: now}
	isSameStart := isKnown && previous.incarnation == incarnation
	sent := float64(reported.GetSent())
	switch {
	case isSameStart && reported.GetSent() < previous.sent:
		// A report that was overtaken by a later one.
		s.peers[peer] = previous
		return
	case isSameStart:
		sent -= float64(previous.sent)
	case !isKnown && !s.countsAllSends && milliseconds(reported.GetKnownForMs()) > now.Sub(s.createdAt):
		// The peer counted before this instance knew of the limit.
		sent = 0
	}
	silence := now.Sub(previous.receivedAt)
	if isKnown && silence > PeerTimeout && instances > 0 {
		// Meanwhile the peer's part of the limit was left to it.
		sent = max(sent-s.rate()*silence.Seconds()/float64(instances), 0)
	}
	s.level = max(s.level-sent, min(-s.rate()*maxDebtTime.Seconds(), s.level))
	if until := now.Add(milliseconds(reported.GetAdvisedForMs())); until.After(s.advisedUntil) {
		s.advisedUntil = until
	}
}

// isOutdated reports whether the state can be dropped.
func (s *limitState) isOutdated(now time.Time) bool {
	if !s.isLimited() {
		return now.Sub(s.changedAt) > endedRetention
	}
	lastUsedAt := s.statedAt
	if n := len(s.recentSends); n > 0 && s.recentSends[n-1].After(lastUsedAt) {
		lastUsedAt = s.recentSends[n-1]
	}
	return now.Sub(lastUsedAt) > limitRetention
}

// report returns the state for peers: this instance's own reading of the limit, its sends,
// and the advised times to come back.
func (s *limitState) report(now time.Time, b Backend) *aubwire.BackendLimit {
	limit, isLimited := s.own.Get()
	return &aubwire.BackendLimit{
		Id: b.Name, Incarnation: b.Incarnation,
		Stated: s.isOwnCurrent(), Limited: isLimited, PerSecond: limit, StatedAgoMs: now.Sub(s.ownStatedAt).Milliseconds(),
		Sent: s.sent, KnownForMs: now.Sub(s.createdAt).Milliseconds(), AdvisedForMs: max(s.advisedUntil.Sub(now).Milliseconds(), 0),
	}
}

// isOwnCurrent reports whether this instance's own reading still agrees with the newest one.
func (s *limitState) isOwnCurrent() bool { return !s.ownStatedAt.IsZero() && s.own == s.limit }

func compareBackends(a, b Backend) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func secondsToDuration(s float64) time.Duration {
	return time.Duration(min(s, maxAdvisedWait.Seconds()) * float64(time.Second))
}
