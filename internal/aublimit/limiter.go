package aublimit

import (
	"context"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubcommon"
)

// Limiter reserves tokens for the requests of one instance. It is safe for
// concurrent use.
type Limiter struct {
	common  aubcommon.Common
	opts    LimiterOpts
	started time.Time
	// wake triggers a sync.
	wake chan struct{}
	// stopped is closed when the limiter's context ends.
	stopped <-chan struct{}
	// drained is closed once this incarnation holds nothing.
	drained chan struct{}

	// mu guards everything below.
	mu       sync.Mutex
	accounts map[string]*account
	session  holderSession
}

// holderSession is the state of the session with the table on the holder's side.
type holderSession struct {
	// sequence is the number of the last sync.
	sequence uint64
	// epoch identifies the lease that amounts belong to; 0 before the first reply.
	epoch uint64
	// replicatedClock is the replicated clock of the last reply.
	replicatedClock time.Duration
	// leaseEnd and floorEnd are expiry times on the monotonic clock, 0 if expired.
	leaseEnd time.Duration
	floorEnd time.Duration
	// lastReplyAt is the time of the last reply, valid if hasReply is set.
	lastReplyAt time.Duration
	hasReply    bool
	// fullSyncAt is the time at which the last full sync was built.
	fullSyncAt time.Duration
	// closed is set when this incarnation must no longer hold anything.
	closed bool
	// draining is set by Limiter.Drain.
	draining bool
	// pending is the sync without a reply, if any.
	pending *pendingSync
}

var _ Policy[Reservation] = (*Limiter)(nil)

// NewLimiter returns a limiter that syncs with the table periodically until ctx
// ends.
func NewLimiter(ctx context.Context, common aubcommon.Common, opts LimiterOpts) *Limiter {
	l := newLimiter(common, opts)
	l.stopped = ctx.Done()
	ticks := common.Timer.Subscribe(ctx, l.opts.SyncInterval)
	go func() {
		for {
			l.syncOnce(ctx)
			select {
			case <-ctx.Done():
				return
			case <-ticks:
			case <-l.wake:
			}
		}
	}()
	return l
}

// newLimiter returns a limiter without a sync loop.
func newLimiter(common aubcommon.Common, opts LimiterOpts) *Limiter {
	return &Limiter{
		common:   common.WithPart("limits"),
		opts:     opts.withDefaults(),
		started:  common.Timer.Now(),
		wake:     make(chan struct{}, 1),
		drained:  make(chan struct{}),
		accounts: make(map[string]*account),
	}
}

// Reserve implements Policy. It pays with the tokens of this instance. If these
// are not enough, it waits up to opts.MaxWait for more from the table, or refuses
// immediately when they are not expected within that time.
func (l *Limiter) Reserve(ctx context.Context, workspace string, tokens int64) (Reservation, error) {
	tokens = min(max(tokens, 0), maxTokens)
	w, p, err := l.tryReserve(workspace, tokens)
	if err != nil {
		l.countRefusal(err)
		return Reservation{}, err
	}
	if w != nil {
		if err := l.await(ctx, workspace, w); err != nil {
			return Reservation{}, err
		}
		p = w.payment
	}
	return l.reservation(workspace, tokens, p), nil
}

// reservation returns a reservation settled by l.
func (l *Limiter) reservation(workspace string, tokens int64, p payment) Reservation {
	return Reservation{settlement: &settlement{
		settler:   l,
		workspace: workspace,
		tokens:    tokens,
		payment:   p,
	}}
}

// tryReserve pays without waiting, returns a refusal, or queues and returns a waiter.
func (l *Limiter) tryReserve(workspace string, tokens int64) (*waiter, payment, error) {
	configured, known := l.opts.Source.Config().Workspace(workspace)
	if !known {
		return nil, payment{}, &RefusedError{Reason: ReasonUnknown}
	}
	if tokens > configured.Burst {
		return nil, payment{}, &RefusedError{Reason: ReasonBurst}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session.closed || l.session.draining {
		return nil, payment{}, refuse(ReasonStopped, 0)
	}
	now := l.expireLeases()
	a := l.account(workspace)
	a.demand.add(tokens)
	l.payWaiters(a, now)
	if len(a.waiters) == 0 {
		if p, ok := l.pay(a, now, tokens); ok {
			return nil, p, nil
		}
	}
	if err := l.checkWait(a, now, tokens); err != nil {
		return nil, payment{}, err
	}
	queued := &waiter{tokens: tokens, enqueuedAt: now, ready: make(chan struct{})}
	a.waiters = append(a.waiters, queued)
	l.triggerSync()
	return queued, payment{}, nil
}

// pay takes the tokens, then checks that the leases have not expired meanwhile,
// since the process can be paused at any point. The tokens are lost if they have.
func (l *Limiter) pay(a *account, now time.Duration, tokens int64) (payment, bool) {
	p, ok := a.take(now, l.session.replicatedClock, tokens)
	if !ok {
		return payment{}, false
	}
	checkedAt := l.now()
	expired := (p.leasedTokens > 0 && checkedAt >= l.session.leaseEnd) || (p.floorTokens > 0 && checkedAt >= l.session.floorEnd)
	return p, !expired
}

// settle implements settler.
func (l *Limiter) settle(s *settlement, used int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.done {
		return
	}
	s.done = true
	l.account(s.workspace).settle(l.expireLeases(), s, used)
}

// expireLeases ends the lease and floors that have expired on the monotonic clock,
// and returns the current time.
func (l *Limiter) expireLeases() time.Duration {
	now := l.now()
	if l.session.leaseEnd != 0 && now >= l.session.leaseEnd {
		l.session.leaseEnd = 0
		for _, a := range l.accounts {
			a.endLease()
		}
	}
	if l.session.floorEnd != 0 && now >= l.session.floorEnd {
		l.session.floorEnd = 0
		for _, a := range l.accounts {
			a.dropFloor()
		}
	}
	return now
}

// isTableReachable reports whether the last reply is newer than replyTimeout.
func (l *Limiter) isTableReachable(now time.Duration) bool {
	return l.session.hasReply && now-l.session.lastReplyAt < replyTimeout
}

// now returns the time since the limiter's start on the monotonic clock.
func (l *Limiter) now() time.Duration { return l.common.Timer.Now().Sub(l.started) }

// account returns the workspace's account, a new one if there is none.
func (l *Limiter) account(workspace string) *account {
	a, ok := l.accounts[workspace]
	if !ok {
		a = newAccount()
		l.accounts[workspace] = a
	}
	return a
}

// triggerSync makes the sync loop run without waiting for the next tick.
func (l *Limiter) triggerSync() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// countRefusal counts err in the metrics if it is a refusal.
func (l *Limiter) countRefusal(err error) {
	if r, ok := err.(*RefusedError); ok { //nolint:errorlint // Created in this package, never wrapped.
		l.common.Metrics.Tagged(map[string]string{"reason": string(r.Reason)}).Counter("refused").Inc(1)
	}
}
