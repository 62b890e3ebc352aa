package aublimit

import (
	"context"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
)

// FixedSharesOpts configures FixedShares.
type FixedSharesOpts struct {
	Source aubquery.ConfigSource
	// Instances is the number of instances that share every limit equally.
	Instances int
}

// FixedShares is the policy in which each instance has an equal and fixed share of
// every rate and burst. It needs no leader and is the baseline for comparisons.
type FixedShares struct {
	common  aubcommon.Common
	opts    FixedSharesOpts
	started time.Time

	// mu guards accounts.
	mu       sync.Mutex
	accounts map[string]*account
}

var _ Policy[Reservation] = (*FixedShares)(nil)

// NewFixedShares returns the policy with full buckets.
func NewFixedShares(common aubcommon.Common, opts FixedSharesOpts) *FixedShares {
	opts.Instances = max(opts.Instances, 1)
	return &FixedShares{
		common:   common.WithPart("limits"),
		opts:     opts,
		started:  common.Timer.Now(),
		accounts: make(map[string]*account),
	}
}

// Reserve implements Policy. It never waits.
func (s *FixedShares) Reserve(_ context.Context, workspace string, tokens int64) (Reservation, error) {
	w, ok := s.opts.Source.Config().Workspace(workspace)
	if !ok {
		return Reservation{}, &RefusedError{Reason: ReasonUnknown}
	}
	tokens = min(max(tokens, 0), maxTokens)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	share := totalFloor(limits{rate: w.Rate, burst: w.Burst}, perMille).instanceShare(1, s.opts.Instances)
	a := s.account(workspace, now, share)
	p, ok := a.take(now, 0, tokens)
	if ok {
		return Reservation{settlement: &settlement{settler: s, workspace: workspace, tokens: tokens, payment: p}}, nil
	}
	if tokens > share.burst {
		return Reservation{}, &RefusedError{Reason: ReasonBurst}
	}
	return Reservation{}, refuse(ReasonRate, timeToFill(a.pendingTokens()+tokens-a.available(), share.rateMilli))
}

// settle implements settler.
func (s *FixedShares) settle(settled *settlement, used int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if settled.done {
		return
	}
	settled.done = true
	s.accounts[settled.workspace].settle(s.now(), settled, used)
}

// account returns the workspace's account with the given floor. A new account has
// a full bucket.
func (s *FixedShares) account(workspace string, now time.Duration, share floor) *account {
	a, ok := s.accounts[workspace]
	if !ok {
		a = newAccount()
		a.setFloor(now, share)
		a.floor.level = a.floor.capacity
		s.accounts[workspace] = a
	}
	if a.floor.rateMilli != share.rateMilli || a.floorCapacity() != share.burst {
		a.setFloor(now, share)
	}
	return a
}

func (s *FixedShares) now() time.Duration { return s.common.Timer.Now().Sub(s.started) }
