package aublimit

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// pendingSync is a sync without a reply. It is resent unchanged until a reply is
// received, since it may have been committed.
type pendingSync struct {
	sync *aubwire.LimitSync
	// body is the encoded sync.
	body []byte
	// sentAt is a time before the first attempt. Leases are counted from it.
	sentAt time.Duration
	// uncertain is set after an attempt that may have been committed.
	uncertain bool
}

// syncOnce sends one sync to the table if one is due, and handles its result.
func (l *Limiter) syncOnce(ctx context.Context) {
	p := l.prepareSync()
	if p == nil {
		return
	}
	r, err := l.propose(ctx, p.body)
	l.handleResult(p, r, err)
}

// prepareSync returns the pending sync, a new one if there is none, or nil if
// nothing is due.
func (l *Limiter) prepareSync() *pendingSync {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session.closed {
		return nil
	}
	now := l.expireLeases()
	for _, a := range l.accounts {
		l.payWaiters(a, now)
	}
	if l.session.pending == nil {
		l.session.pending = l.buildSync(now)
	}
	return l.session.pending
}

// handleResult handles the reply or error of a sync, then pays or refuses waiters.
func (l *Limiter) handleResult(p *pendingSync, r *aubwire.LimitReply, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.handleFailure(p, err)
	} else {
		l.handleReply(p, r)
	}
	// The lease may have expired while the sync was in flight.
	now := l.expireLeases()
	for _, a := range l.accounts {
		l.payWaiters(a, now)
		l.refuseLate(a, now)
	}
}

// propose commits the encoded sync and returns the decoded reply. The timeout of
// one attempt is opts.ApplyTimeout.
func (l *Limiter) propose(ctx context.Context, body []byte) (*aubwire.LimitReply, error) {
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := l.common.Timer.After(attemptCtx, l.opts.ApplyTimeout)
	go func() {
		select {
		case <-timeout:
			cancel()
		case <-attemptCtx.Done():
		}
	}()
	res, err := l.opts.Proposer.Apply(attemptCtx, TableName, body)
	if err != nil {
		return nil, err
	}
	r := &aubwire.LimitReply{}
	if err := proto.Unmarshal(res.Body, r); err != nil {
		return nil, &SyncError{Detail: "reply not decoded", Err: err}
	}
	return r, nil
}

// handleFailure keeps the sync for another attempt. If it was certainly never
// committed, it is canceled and its amounts are moved back to the accounts.
func (l *Limiter) handleFailure(p *pendingSync, err error) {
	l.common.Metrics.Counter("sync_failed").Inc(1)
	l.common.Log.Debug("Limits not synced.", zap.Error(err))
	var notCommitted *aubcontrol.NotCommittedError
	if errors.As(err, &notCommitted) && !p.uncertain {
		l.session.pending = nil
		l.session.sequence--
		for _, use := range p.sync.GetUses() {
			l.account(use.GetWorkspace()).restoreUse(use)
		}
	} else {
		p.uncertain = true
	}
}

// handleReply applies the table's reply to the accounts.
func (l *Limiter) handleReply(p *pendingSync, r *aubwire.LimitReply) {
	l.session.pending = nil
	now := l.expireLeases()
	switch r.GetOutcome() {
	case aubwire.LimitOutcome_LIMIT_OUTCOME_APPLIED:
	case aubwire.LimitOutcome_LIMIT_OUTCOME_OLD_INCARNATION:
		l.close()
		return
	default:
		l.common.Log.Error("Table of limits refused a sync.", zap.Stringer("outcome", r.GetOutcome()))
		return
	}
	if p.sync.GetLeaving() {
		l.close()
		return
	}
	if l.session.draining {
		l.triggerSync()
	}
	l.renewLeases(p, r)
	for _, g := range r.GetGrants() {
		l.applyGrant(now, p.findUse(g.GetWorkspace()), g)
	}
	l.session.hasReply = true
	l.session.lastReplyAt = now
}

// renewLeases extends the leases. If the epoch changed, the table has ended the
// lease: leased amounts are discarded, and the credits are reported again.
func (l *Limiter) renewLeases(p *pendingSync, r *aubwire.LimitReply) {
	if r.GetEpoch() != l.session.epoch {
		for _, a := range l.accounts {
			a.discardLease()
		}
		for _, use := range p.sync.GetUses() {
			l.account(use.GetWorkspace()).restoreCredits(use)
		}
		l.session.epoch = r.GetEpoch()
	}
	l.session.replicatedClock = time.Duration(r.GetClockNs())
	l.session.leaseEnd = p.sentAt + time.Duration(r.GetLeaseNs())
	l.session.floorEnd = p.sentAt + time.Duration(r.GetFloorLeaseNs())
}

// findUse returns the sync's use of the workspace, an empty one if there is none.
func (p *pendingSync) findUse(workspace string) *aubwire.LimitUse {
	i, ok := slices.BinarySearchFunc(p.sync.GetUses(), workspace, func(u *aubwire.LimitUse, name string) int {
		return strings.Compare(u.GetWorkspace(), name)
	})
	if !ok {
		return &aubwire.LimitUse{}
	}
	return p.sync.GetUses()[i]
}

// applyGrant adds the granted tokens to the account and updates its floor and its
// view of the central bucket.
func (l *Limiter) applyGrant(now time.Duration, use *aubwire.LimitUse, g *aubwire.LimitGrant) {
	if g.GetUnknown() {
		return
	}
	a := l.account(g.GetWorkspace())
	a.leased += g.GetGranted()
	view := a.central.withGrant(now, use.GetWant(), g.GetGranted())
	a.central = centralView{
		known:      true,
		receivedAt: now,
		level:      g.GetLevel(),
		rateMilli:  g.GetRateMilli(),
		capacity:   g.GetCapacity(),
		short:      g.GetShort(),
		rateShare:  view.rateShare,
	}
	a.confirmedFloorVersion = max(a.confirmedFloorVersion, use.GetFloorVersion())
	if f := floorFromWire(g.GetFloor()); f.version != 0 && f.version != a.floorVersion {
		a.setFloor(now, f)
	}
}

// payWaiters pays waiters in the order of their arrival until tokens run out.
func (l *Limiter) payWaiters(a *account, now time.Duration) {
	for len(a.waiters) > 0 {
		w := a.waiters[0]
		p, ok := l.pay(a, now, w.tokens)
		if !ok {
			return
		}
		a.waiters = slices.Delete(a.waiters, 0, 1)
		w.payment, w.paid = p, true
		close(w.ready)
	}
}

// refuseLate refuses waiters, latest first, whose tokens are not expected before
// their wait ends.
func (l *Limiter) refuseLate(a *account, now time.Duration) {
	for len(a.waiters) > 0 {
		last := a.waiters[len(a.waiters)-1]
		remaining := last.enqueuedAt + l.opts.MaxWait - now
		if l.estimateDelay(a, now, 0) <= remaining {
			break
		}
		last.err = l.shortageError(a, now, 0)
		a.waiters = a.waiters[:len(a.waiters)-1]
		close(last.ready)
	}
}

// close drops all leases and floors and refuses all waiters.
func (l *Limiter) close() {
	if l.session.closed {
		return
	}
	l.session.closed = true
	close(l.drained)
	for _, a := range l.accounts {
		a.discardLease()
		a.dropFloor()
		for _, w := range a.waiters {
			w.err = refuse(ReasonStopped, 0)
			close(w.ready)
		}
		a.waiters = nil
	}
}

// restoreUse moves the amounts of a use that was never committed back to the
// account.
func (a *account) restoreUse(use *aubwire.LimitUse) {
	a.spent += use.GetSpent()
	a.returned += use.GetReturned()
	a.restoreCredits(use)
}

// restoreCredits moves the credits of a use back to the account.
func (a *account) restoreCredits(use *aubwire.LimitUse) {
	for _, c := range use.GetCredits() {
		a.credits[time.Duration(c.GetSinceNs())] += c.GetTokens()
	}
}
