package aublimit

import (
	"context"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubcommon"
)

const (
	// peerSilence is the age of the peers' counters from which an instance spends
	// only its equal share of the rate.
	peerSilence = time.Second
	// startSeconds is the part of the rate, in seconds, that an instance may spend
	// before it has heard its peers.
	startSeconds = 0.5
)

// CountersOpts configures SharedCounters.
type CountersOpts struct {
	// Bounds returns rate and burst of a workspace, false for one that is not
	// configured. A rate of 0 sets no bound.
	Bounds func(workspace string) (rate, burst int64, ok bool)
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
	// instances counts this one and the peers.
	instances int
}

// counterBucket is the allowance of one workspace as this instance knows it.
type counterBucket struct {
	level float64
	at    time.Duration
	burst int64
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
		instances: 1,
	}
}

// Reserve implements Policy. It never waits.
func (s *SharedCounters) Reserve(_ context.Context, workspace string, tokens int64) (Reservation, error) {
	rate, burst, ok := s.opts.Bounds(workspace)
	if !ok {
		return Reservation{}, &RefusedError{Reason: ReasonUnknown}
	}
	tokens = min(max(tokens, 0), maxTokens)
	s.mu.Lock()
	defer s.mu.Unlock()
	if rate > 0 {
		b := s.bucket(workspace, rate, burst)
		if float64(tokens) > b.level {
			missing := (float64(tokens) - b.level) / float64(rate)
			s.common.Metrics.Tagged(map[string]string{"reason": string(ReasonRate)}).Counter("refused").Inc(1)
			return Reservation{}, refuse(ReasonRate, time.Duration(missing*float64(time.Second)))
		}
		b.level -= float64(tokens)
	}
	s.uses[workspace] += tokens
	return Reservation{settlement: &settlement{settler: s, workspace: workspace, tokens: tokens}}, nil
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
	uses := make(map[string]int64, len(s.uses))
	for workspace, tokens := range s.uses {
		uses[workspace] = tokens
	}
	return uses
}

// TakePeers takes in the counters of all peers together. isFirst is set when
// they may count from another start than those before.
func (s *SharedCounters) TakePeers(instances int, uses map[string]int64, isFirst bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = instances + 1
	s.heardAt, s.heard = s.now(), true
	for workspace, tokens := range uses {
		grown := tokens - s.peers[workspace]
		s.peers[workspace] = tokens
		if isFirst || grown <= 0 {
			continue
		}
		if b := s.buckets[workspace]; b != nil {
			// A debt is bounded, so that one late burst doesn't shut the workspace out.
			b.level = max(b.level-float64(grown), -float64(b.burst))
		}
	}
}

// bucket returns the refilled bucket; the caller holds mu.
func (s *SharedCounters) bucket(workspace string, rate, burst int64) *counterBucket {
	now := s.now()
	b := s.buckets[workspace]
	if b == nil {
		b = &counterBucket{level: min(startSeconds*float64(rate), float64(burst)), at: now}
		s.buckets[workspace] = b
	}
	refill := float64(rate)
	if !s.heard || now-s.heardAt > peerSilence {
		refill /= float64(s.instances)
	}
	b.burst = burst
	b.level = min(b.level+refill*(now-b.at).Seconds(), float64(burst))
	b.at = now
	return b
}

func (s *SharedCounters) now() time.Duration { return s.common.Timer.Now().Sub(s.started) }
