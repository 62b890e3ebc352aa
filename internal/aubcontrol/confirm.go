package aubcontrol

import (
	"context"
	"time"

	"github.com/auburndale/auburndale/internal/aubconsensus"
)

// leaderClock returns the leader's replicated clock, cached for at most
// clockRefresh.
func (r *Replica) leaderClock(ctx context.Context, leader aubconsensus.Peer) (int64, error) {
	r.mu.Lock()
	clockMs, at := r.cachedClockMs, r.cachedClockAt
	r.mu.Unlock()
	now := r.common.Timer.Now()
	if !at.IsZero() && now.Sub(at) < clockRefresh {
		return clockMs, nil
	}
	resp, err := r.pool.readIndex(ctx, leader.Address, true)
	if err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cachedClockMs = max(resp.GetClockMs(), 1)
	r.cachedClockAt = now
	return r.cachedClockMs, nil
}

// invalidateClock makes the next command request the leader's clock again.
func (r *Replica) invalidateClock() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cachedClockAt = time.Time{}
}

// Confirm implements Reader.
func (r *Replica) Confirm(ctx context.Context) (uint64, error) {
	ctx, cancel := withDefaultTimeout(ctx, r.opts.ApplyTimeout)
	defer cancel()
	return r.confirm(ctx)
}

func (r *Replica) confirm(ctx context.Context) (uint64, error) {
	index, err := retryRead(ctx, r.common.Timer, r.tryReadIndex)
	if err != nil {
		return 0, err
	}
	if err := r.node.WaitApplied(ctx, index); err != nil {
		return 0, &NotConfirmedError{Reason: "local state is behind", Err: err}
	}
	return index, nil
}

func (r *Replica) tryReadIndex(ctx context.Context) (uint64, error) {
	leader, isLocal, err := r.leader()
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if isLocal {
		return r.node.ReadIndex(ctx)
	}
	ctx, cancelForward := r.untilSucceeded(ctx, leader)
	defer cancelForward()
	resp, err := r.pool.readIndex(ctx, leader.Address, true)
	return resp.GetIndex(), err
}
