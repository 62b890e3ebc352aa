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
	// peerSilence is the age of the peers' counters from which an instance counts as
	// cut off: two of the datagrams that come without any change.
	peerSilence = 1100 * time.Millisecond
	// startSeconds is the part of the rate, in seconds, that an instance may spend
	// before it has heard its peers.
	startSeconds = 0.1
	// cutOffShare is the part of its equal share that an instance spends while it
	// hears nobody: the others may not have noticed.
	cutOffShare = 0.5
	// unheardShare is the part of the burst that an instance may spend between two
	// reports of its peers: it may have been cut off since the last.
	unheardShare = 0.25
	// toleranceShare is the part of the tolerance that is given out; the rest covers
	// what peers spend before they are heard.
	toleranceShare = 0.5
	// overdraftShare is the part of the slack, of what is given out, that one request
	// may take beyond what is left.
	overdraftShare = 0.15
	// peerRateMemory is how fast the measured rate of the peers forgets.
	peerRateMemory = 250 * time.Millisecond
)

// CountersOpts configures SharedCounters.
type CountersOpts struct {
	// Bounds returns rate and burst of a workspace, false for one that is not
	// configured. A rate of 0 sets no bound.
	Bounds func(workspace string) (rate, burst int64, ok bool)
	// Overrun, a share of rate and burst, and Slack, in tokens, are what the site
	// tolerates above the allowance. A part of both is given out, so that the delay
	// of the counters refuses nobody who is within the allowance.
	Overrun float64
	Slack   int64
}

// SharedCounters is the policy of instances that tell each other what they
// spent: each keeps a bucket of the whole allowance and takes its peers' use
// from it as it hears of it. What exceeds the allowance is bounded by the peers'
// spending during the delay of their counters.
//
// Lock order: mu is taken alone.
type SharedCounters struct {
	common  aubcommon.Common
	opts    CountersOpts
	started time.Time

	mu sync.Mutex
	// buckets and uses are by workspace; uses counts what was spent here.
	buckets map[string]*counterBucket
	uses    map[string]int64
	// peers holds the peers' counters heard last.
	peers   map[string]int64
	heardAt time.Duration
	heard   bool
	// heardSince is when the peers were first heard, and grown what they spent since.
	heardSince time.Duration
	grown      map[string]float64
	// peerRates, in tokens a second, stand in for what peers spend until they are
	// heard again.
	peerRates map[string]float64
	// instances counts this one and the peers.
	instances int
}

// counterBucket is the allowance of one workspace as this instance knows it.
type counterBucket struct {
	level float64
	at    time.Duration
	rate  int64
	burst int64
	// assumed is the peers' spending since they were heard, taken from the level.
	assumed float64
	// unheard is what was spent here since the peers were heard.
	unheard float64
}

// available is what may be spent now: the level, and not more than the bound
// between two reports of the peers, which lets one request of any size through.
func (b *counterBucket) available() float64 {
	if b.unheard == 0 {
		return b.level
	}
	return min(b.level, unheardShare*float64(b.burst)-b.unheard)
}

var _ Policy[Reservation] = (*SharedCounters)(nil)

// NewSharedCounters returns the policy.
func NewSharedCounters(common aubcommon.Common, opts CountersOpts) *SharedCounters {
	return &SharedCounters{
		common:    common.WithPart("limits"),
		opts:      opts,
		started:   common.Timer.Now(),
		buckets:   make(map[string]*counterBucket),
		uses:      make(map[string]int64),
		peers:     make(map[string]int64),
		peerRates: make(map[string]float64),
		grown:     make(map[string]float64),
		instances: 1,
	}
}

// Reserve implements Policy. It never waits.
func (s *SharedCounters) Reserve(_ context.Context, workspace string, tokens int64) (Reservation, error) {
	rate, burst, ok := s.bounds(workspace)
	if !ok {
		return Reservation{}, &RefusedError{Reason: ReasonUnknown}
	}
	tokens = min(max(tokens, 0), maxTokens)
	s.mu.Lock()
	defer s.mu.Unlock()
	if rate > 0 {
		b := s.bucket(workspace, rate, burst)
		if left := b.available(); left <= 0 || float64(tokens) > left+s.overdraft() {
			missing := (float64(tokens) - left) / float64(rate)
			s.common.Metrics.Tagged(map[string]string{"reason": string(ReasonRate)}).Counter("refused").Inc(1)
			refused := refuse(ReasonRate, time.Duration(missing*float64(time.Second)))
			refused.Available = int64(b.level)
			return Reservation{}, refused
		}
		b.level -= float64(tokens)
		b.unheard += float64(tokens)
	}
	s.uses[workspace] += tokens
	return Reservation{settlement: &settlement{settler: s, workspace: workspace, tokens: tokens}}, nil
}

// overdraft is how far one request may exceed what is left. Small requests take what
// comes in when the demand exceeds the rate, so that large ones would be refused far more often.
func (s *SharedCounters) overdraft() float64 { return overdraftShare * float64(s.opts.Slack) }

// bounds returns rate and burst with the tolerance that is given out.
func (s *SharedCounters) bounds(workspace string) (rate, burst int64, ok bool) {
	rate, burst, ok = s.opts.Bounds(workspace)
	factor := 1 + toleranceShare*s.opts.Overrun
	slack := int64((toleranceShare - overdraftShare) * float64(s.opts.Slack))
	return int64(factor * float64(rate)), int64(factor*float64(burst)) + slack, ok
}

// settle implements settler: what was not used goes back into the bucket.
func (s *SharedCounters) settle(settled *settlement, used int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if settled.done {
		return
	}
	settled.done = true
	unused := settled.tokens - used
	s.uses[settled.workspace] -= unused
	if b := s.buckets[settled.workspace]; b != nil {
		b.level = min(b.level+float64(unused), float64(b.burst))
	}
}

// Uses returns the tokens spent here by workspace since the start.
func (s *SharedCounters) Uses() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.uses)
}

// SetInstances tells how many instances share the allowances, this one included.
func (s *SharedCounters) SetInstances(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = max(n, 1)
}

// TakePeers takes in the counters of all peers together, which only grow.
func (s *SharedCounters) TakePeers(uses map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := (s.now() - s.heardAt).Seconds()
	if !s.heard {
		s.heardSince = s.now()
	}
	s.heardAt, s.heard = s.now(), true
	for workspace, tokens := range uses {
		grown := float64(max(tokens-s.peers[workspace], 0))
		s.peers[workspace] = tokens
		s.grown[workspace] += grown
		if b := s.buckets[workspace]; b != nil {
			s.refill(workspace, b)
			// A debt is bounded, so that one late burst doesn't shut the workspace out.
			b.level = min(max(b.level+b.assumed-grown, -float64(b.burst)), float64(b.burst))
			b.assumed, b.unheard = 0, 0
		}
		if elapsed > 0 {
			weight := 1 - math.Exp(-elapsed/peerRateMemory.Seconds())
			s.peerRates[workspace] += weight * (grown/elapsed - s.peerRates[workspace])
		}
	}
}

// bucket returns the refilled bucket; the caller holds mu.
func (s *SharedCounters) bucket(workspace string, rate, burst int64) *counterBucket {
	b := s.buckets[workspace]
	if b == nil {
		b = &counterBucket{level: startSeconds * float64(rate), at: s.now()}
		if s.heard {
			// It has filled since the peers were first heard.
			b.assumed = s.peerRates[workspace] * (s.now() - s.heardAt).Seconds()
			b.level += float64(rate)*(s.now()-s.heardSince).Seconds() - s.grown[workspace] - b.assumed
			b.level = max(b.level, -float64(burst))
		}
		s.buckets[workspace] = b
	}
	b.rate, b.burst = rate, burst
	s.refill(workspace, b)
	return b
}

// refill moves the bucket to the present: it grows by the rate and shrinks by
// what the peers are assumed to spend. The caller holds mu.
func (s *SharedCounters) refill(workspace string, b *counterBucket) {
	now := s.now()
	elapsed := (now - b.at).Seconds()
	b.at = now
	if !s.heard || now-s.heardAt > peerSilence {
		share := cutOffShare / float64(s.instances)
		b.level = min(b.level+share*float64(b.rate)*elapsed, share*float64(b.burst))
		return
	}
	spent := s.peerRates[workspace] * elapsed
	b.assumed += spent
	b.level = min(b.level+float64(b.rate)*elapsed-spent, float64(b.burst))
}

func (s *SharedCounters) now() time.Duration { return s.common.Timer.Now().Sub(s.started) }
