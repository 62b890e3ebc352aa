package aublimit

import (
	"context"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubcommon"
)

const (
	// peerTimeout is the age of the peers' counters after which this instance counts
	// as partitioned: two intervals of the datagrams that are sent without any change.
	peerTimeout = 1100 * time.Millisecond
	// initialSeconds is the initial level of a bucket, in seconds at the full rate,
	// before the peers' counters are received.
	initialSeconds = 0.1
	// partitionedShare is the fraction of its equal share that an instance may spend
	// while it receives no counters: its peers may not have noticed the partition.
	partitionedShare = 0.5
	// reportIntervalShare is the fraction of the burst that an instance may spend
	// between two reports of its peers, since it may be partitioned after the first.
	reportIntervalShare = 0.25
	// usableToleranceShare is the fraction of the tolerance added to the allowance.
	// The remainder covers what peers spend before their counters are received.
	usableToleranceShare = 0.5
	// overdraftShare is the fraction of the slack by which one request may exceed the
	// available tokens. It is part of usableToleranceShare.
	overdraftShare = 0.15
	// peerRateTimeConstant is the time constant of the moving average of peerRates.
	peerRateTimeConstant = 250 * time.Millisecond
)

// CountersOpts configures SharedCounters.
type CountersOpts struct {
	// Limits returns the rate, in tokens per second, and burst, in tokens, of a
	// workspace, or false if it is not configured. A rate of 0 means unlimited.
	Limits func(workspace string) (rate, burst int64, ok bool)
	// Overrun, a fraction of rate and burst, and Slack, in tokens, are the tolerated
	// excess over the allowance. A part of both is added to the allowance, so that
	// the delay of the counters refuses no request within the allowance.
	Overrun float64
	Slack   int64
}

// SharedCounters is the policy of instances that exchange counters of the tokens
// they spent. Each instance has a bucket of the full allowance and subtracts its
// peers' spending when their counters arrive. The excess over the allowance is
// bounded by the peers' spending during the delay of their counters.
//
// Lock order: no other lock is acquired while mu is held.
type SharedCounters struct {
	common  aubcommon.Common
	opts    CountersOpts
	started time.Time

	mu sync.Mutex
	// buckets and spent have the workspace as key. The latter counts the tokens
	// spent on this instance.
	buckets map[string]*counterBucket
	spent   map[string]int64
	// peerTotals holds the last received sum of the peers' counters by workspace.
	peerTotals map[string]int64
	// peersReceivedAt is the time of the last report, valid if peersReceived is set.
	peersReceivedAt time.Duration
	peersReceived   bool
	// firstReceivedAt is the time of the first report of the peers; peerSpent is
	// their spending since then by workspace.
	firstReceivedAt time.Duration
	peerSpent       map[string]float64
	// peerRates, in tokens per second by workspace, estimate the peers' spending
	// between two reports.
	peerRates map[string]float64
	// instances is the number of instances, this one included.
	instances int
}

// counterBucket is this instance's view of one workspace's allowance, in tokens.
type counterBucket struct {
	// level can be negative, after an overdraft or a report of the peers' spending.
	level      float64
	refilledAt time.Duration
	rate       int64
	burst      int64
	// estimatedPeerSpent is the estimated spending of the peers since their last
	// report, already subtracted from the level.
	estimatedPeerSpent float64
	// spentSinceReport is the local spending since the last report of the peers.
	spentSinceReport float64
}

// available returns the tokens that can be spent now: the level, limited by
// reportIntervalShare of the burst between two reports of the peers. The first
// request after a report is limited by the level only.
func (b *counterBucket) available() float64 {
	if b.spentSinceReport == 0 {
		return b.level
	}
	return min(b.level, reportIntervalShare*float64(b.burst)-b.spentSinceReport)
}

var _ Policy[Reservation] = (*SharedCounters)(nil)

// NewSharedCounters returns the policy.
func NewSharedCounters(common aubcommon.Common, opts CountersOpts) *SharedCounters {
	return &SharedCounters{
		common:     common.WithPart("limits"),
		opts:       opts,
		started:    common.Timer.Now(),
		buckets:    make(map[string]*counterBucket),
		spent:      make(map[string]int64),
		peerTotals: make(map[string]int64),
		peerRates:  make(map[string]float64),
		peerSpent:  make(map[string]float64),
		instances:  1,
	}
}

// Reserve implements Policy. It never waits.
func (s *SharedCounters) Reserve(_ context.Context, workspace string, tokens int64) (Reservation, error) {
	rate, burst, ok := s.limitsWithTolerance(workspace)
	if !ok {
		return Reservation{}, &RefusedError{Reason: ReasonUnknown}
	}
	tokens = min(max(tokens, 0), maxTokens)
	s.mu.Lock()
	defer s.mu.Unlock()
	if rate > 0 {
		b := s.bucket(workspace, rate, burst)
		if available := b.available(); available <= 0 || float64(tokens) > available+s.overdraft() {
			waitSeconds := (float64(tokens) - available) / float64(rate)
			s.common.Metrics.Tagged(map[string]string{"reason": string(ReasonRate)}).Counter("refused").Inc(1)
			refusal := refuse(ReasonRate, time.Duration(waitSeconds*float64(time.Second)))
			refusal.Available = int64(b.level)
			return Reservation{}, refusal
		}
		b.level -= float64(tokens)
		b.spentSinceReport += float64(tokens)
	}
	s.spent[workspace] += tokens
	return Reservation{settlement: &settlement{settler: s, workspace: workspace, tokens: tokens}}, nil
}

// overdraft returns the number of tokens by which one request may exceed the
// available ones. When the demand exceeds the rate, small requests take the refill
// as it arrives; without an overdraft, large requests would be refused far more often.
func (s *SharedCounters) overdraft() float64 { return overdraftShare * float64(s.opts.Slack) }

// limitsWithTolerance returns the rate and burst plus the usable tolerance.
func (s *SharedCounters) limitsWithTolerance(workspace string) (rate, burst int64, ok bool) {
	rate, burst, ok = s.opts.Limits(workspace)
	factor := 1 + usableToleranceShare*s.opts.Overrun
	slack := int64((usableToleranceShare - overdraftShare) * float64(s.opts.Slack))
	return int64(factor * float64(rate)), int64(factor*float64(burst)) + slack, ok
}

// settle implements settler. It returns the unused tokens to the bucket, or
// charges the use beyond the reservation.
func (s *SharedCounters) settle(settled *settlement, used int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if settled.done {
		return
	}
	settled.done = true
	unused := settled.tokens - used
	s.spent[settled.workspace] -= unused
	if b := s.buckets[settled.workspace]; b != nil {
		b.level = min(b.level+float64(unused), float64(b.burst))
	}
}

// SpentTokens returns the tokens spent on this instance since its start, by workspace.
func (s *SharedCounters) SpentTokens() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.spent)
}

// SetInstances sets the number of instances that share the allowances, this one
// included.
func (s *SharedCounters) SetInstances(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = max(n, 1)
}

// UpdatePeers applies the sum of the counters of all peers by workspace. Counters
// never decrease.
func (s *SharedCounters) UpdatePeers(totals map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := (s.now() - s.peersReceivedAt).Seconds()
	if !s.peersReceived {
		s.firstReceivedAt = s.now()
	}
	s.peersReceivedAt, s.peersReceived = s.now(), true
	for workspace, tokens := range totals {
		increase := float64(max(tokens-s.peerTotals[workspace], 0))
		s.peerTotals[workspace] = tokens
		s.peerSpent[workspace] += increase
		if b := s.buckets[workspace]; b != nil {
			s.refill(workspace, b)
			// The debt is limited to one burst, so that a burst reported late doesn't
			// block the workspace for long.
			b.level = min(max(b.level+b.estimatedPeerSpent-increase, -float64(b.burst)), float64(b.burst))
			b.estimatedPeerSpent, b.spentSinceReport = 0, 0
		}
		if elapsed > 0 {
			weight := 1 - math.Exp(-elapsed/peerRateTimeConstant.Seconds())
			s.peerRates[workspace] += weight * (increase/elapsed - s.peerRates[workspace])
		}
	}
}

// bucket returns the refilled bucket; the caller holds mu.
func (s *SharedCounters) bucket(workspace string, rate, burst int64) *counterBucket {
	b := s.buckets[workspace]
	if b == nil {
		b = &counterBucket{level: initialSeconds * float64(rate), refilledAt: s.now()}
		if s.peersReceived {
			// The bucket has been refilling since the first report of the peers.
			b.estimatedPeerSpent = s.peerRates[workspace] * (s.now() - s.peersReceivedAt).Seconds()
			b.level += float64(rate)*(s.now()-s.firstReceivedAt).Seconds() - s.peerSpent[workspace] - b.estimatedPeerSpent
			b.level = max(b.level, -float64(burst))
		}
		s.buckets[workspace] = b
	}
	b.rate, b.burst = rate, burst
	s.refill(workspace, b)
	return b
}

// refill adds the tokens of the time elapsed since the last refill and subtracts
// the estimated spending of the peers. While partitioned, the bucket has a part of
// the instance's equal share instead. The caller holds mu.
func (s *SharedCounters) refill(workspace string, b *counterBucket) {
	now := s.now()
	elapsed := (now - b.refilledAt).Seconds()
	b.refilledAt = now
	if !s.peersReceived || now-s.peersReceivedAt > peerTimeout {
		share := partitionedShare / float64(s.instances)
		b.level = min(b.level+share*float64(b.rate)*elapsed, share*float64(b.burst))
		return
	}
	peerSpent := s.peerRates[workspace] * elapsed
	b.estimatedPeerSpent += peerSpent
	b.level = min(b.level+float64(b.rate)*elapsed-peerSpent, float64(b.burst))
}

func (s *SharedCounters) now() time.Duration { return s.common.Timer.Now().Sub(s.started) }
