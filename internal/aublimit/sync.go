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

// pendingSync is a sync that was sent and not answered. It is sent again as it
// is until the table answers, since it may be committed.
type pendingSync struct {
	sync *aubwire.LimitSync
	body []byte
	// sentAt is before the first send; what the sync fetches ends a lease later.
	sentAt time.Duration
	// uncertain is set once it may be committed.
	uncertain bool
}

// syncOnce exchanges one sync with the table if there is a reason to.
func (l *Limiter) syncOnce(ctx context.Context) {
	p := l.prepare()
	if p == nil {
		return
	}
	r, err := l.propose(ctx, p.body)
	l.conclude(p, r, err)
}

// prepare returns the sync to send, or nil.
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

// conclude takes in what became of a sync, then serves those that wait.
func (l *Limiter) conclude(p *pendingSync, r *aubwire.LimitReply, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failed(p, err)
	} else {
		l.answered(p, r)
	}
	// The lease may have ended while the sync was under way.
	now := l.lapse()
	for _, a := range l.accounts {
		l.serve(a, now)
		l.shed(a, now)
	}
}

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

// failed keeps the sync for another try, or takes it apart again when it is
// certainly not committed.
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

// answered takes a reply in.
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

// renew extends the leases. Amounts of an epoch that the table has ended are void.
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

// use returns what the sync said of the workspace.
func (p *pendingSync) use(workspace string) *aubwire.LimitUse {
	i, ok := slices.BinarySearchFunc(p.sync.GetUses(), workspace, func(u *aubwire.LimitUse, name string) int {
		return strings.Compare(u.GetWorkspace(), name)
	})
	if !ok {
		return &aubwire.LimitUse{}
	}
	return p.sync.GetUses()[i]
}

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

// serve pays waiters in the order of their arrival.
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

// shed refuses waiters whose tokens will not come in time and asks for a new
// sync for those that wait on.
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

// restore takes back a use that was certainly not reported.
func (a *account) restore(use *aubwire.LimitUse) {
	a.spent += use.GetSpent()
	a.returned += use.GetReturned()
	a.restoreCredits(use)
}

func (a *account) restoreCredits(use *aubwire.LimitUse) {
	for _, c := range use.GetCredits() {
		a.credits[time.Duration(c.GetSinceNs())] += c.GetTokens()
	}
}
