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
	p := l.prepare()
	if p == nil {
		return
	}
	r, err := l.propose(ctx, p.body)
	l.conclude(p, r, err)
}

// prepareSync returns the pending sync, a new one if there is none, or nil if
// nothing is due.
func (l *Limiter) prepare() *pendingSync {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session.closed {
		return nil
	}
	now := l.lapse()
	for _, a := range l.accounts {
		l.serve(a, now)
	}
	if l.session.pending == nil {
		l.session.pending = l.build(now)
	}
	return l.session.pending
}

// handleResult handles the reply or error of a sync, then pays or refuses waiters.
func (l *Limiter) conclude(p *pendingSync, r *aubwire.LimitReply, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failed(p, err)
	} else {
		l.answered(p, r)
	}
	// The lease may have expired while the sync was in flight.
	now := l.lapse()
	for _, a := range l.accounts {
		l.serve(a, now)
		l.shed(a, now)
	}
}

// propose commits the encoded sync and returns the decoded reply. The timeout of
// one attempt is opts.ApplyTimeout.
func (l *Limiter) propose(ctx context.Context, body []byte) (*aubwire.LimitReply, error) {
	tryCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := l.common.Timer.After(tryCtx, l.opts.ApplyTimeout)
	go func() {
		select {
		case <-timeout:
			cancel()
		case <-tryCtx.Done():
		}
	}()
	res, err := l.opts.Proposer.Apply(tryCtx, TableName, body)
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
func (l *Limiter) failed(p *pendingSync, err error) {
	l.common.Metrics.Counter("sync_failed").Inc(1)
	l.common.Log.Debug("Limits not synced.", zap.Error(err))
	var notCommitted *aubcontrol.NotCommittedError
	if errors.As(err, &notCommitted) && !p.uncertain {
		l.session.pending = nil
		l.session.sequence--
		for _, use := range p.sync.GetUses() {
			l.account(use.GetWorkspace()).restore(use)
		}
	} else {
		p.uncertain = true
	}
}

// handleReply applies the table's reply to the accounts.
func (l *Limiter) answered(p *pendingSync, r *aubwire.LimitReply) {
	l.session.pending = nil
	now := l.lapse()
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
	if l.session.leaving {
		l.kick()
	}
	l.renew(p, r)
	for _, g := range r.GetGrants() {
		l.receive(now, p.use(g.GetWorkspace()), g)
	}
	l.session.contacted = true
	l.session.contactAt = now
}

// renewLeases extends the leases. If the epoch changed, the table has ended the
// lease: leased amounts are discarded, and the credits are reported again.
func (l *Limiter) renew(p *pendingSync, r *aubwire.LimitReply) {
	if r.GetEpoch() != l.session.epoch {
		for _, a := range l.accounts {
			a.forgetLease()
		}
		for _, use := range p.sync.GetUses() {
			l.account(use.GetWorkspace()).restoreCredits(use)
		}
		l.session.epoch = r.GetEpoch()
	}
	l.session.clock = time.Duration(r.GetClockNs())
	l.session.leaseEnd = p.sentAt + time.Duration(r.GetLeaseNs())
	l.session.floorEnd = p.sentAt + time.Duration(r.GetFloorLeaseNs())
}

// findUse returns the sync's use of the workspace, an empty one if there is none.
func (p *pendingSync) use(workspace string) *aubwire.LimitUse {
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
func (l *Limiter) receive(now time.Duration, use *aubwire.LimitUse, g *aubwire.LimitGrant) {
	if g.GetUnknown() {
		return
	}
	a := l.account(g.GetWorkspace())
	a.lease += g.GetGranted()
	view := a.central.observe(now, use.GetWant(), g.GetGranted())
	a.central = centralView{
		known:     true,
		at:        now,
		level:     g.GetLevel(),
		rateMilli: g.GetRateMilli(),
		capacity:  g.GetCapacity(),
		short:     g.GetShort(),
		share:     view.share,
	}
	a.confirmed = max(a.confirmed, use.GetFloorVersion())
	if f := newFloor(g.GetFloor()); f.version != 0 && f.version != a.floorVersion {
		a.setFloor(now, f)
	}
}

// payWaiters pays waiters in the order of their arrival until tokens run out.
func (l *Limiter) serve(a *account, now time.Duration) {
	for len(a.waiters) > 0 {
		w := a.waiters[0]
		p, ok := l.pay(a, now, w.tokens)
		if !ok {
			return
		}
		a.waiters = slices.Delete(a.waiters, 0, 1)
		w.parts, w.paid = p, true
		close(w.ready)
	}
}

// refuseLate refuses waiters, latest first, whose tokens are not expected before
// their wait ends.
func (l *Limiter) shed(a *account, now time.Duration) {
	for len(a.waiters) > 0 {
		last := a.waiters[len(a.waiters)-1]
		left := last.since + l.opts.MaxWait - now
		if l.delay(a, now, 0) <= left {
			break
		}
		last.err = l.shortage(a, now, 0)
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
	close(l.left)
	for _, a := range l.accounts {
		a.forgetLease()
		a.dropFloor()
		for _, w := range a.waiters {
			w.err = refuse(ReasonEnded, 0)
			close(w.ready)
		}
		a.waiters = nil
	}
}

// restoreUse moves the amounts of a use that was never committed back to the
// account.
func (a *account) restore(use *aubwire.LimitUse) {
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
