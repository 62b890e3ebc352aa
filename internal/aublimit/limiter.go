package aublimit

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
)

// Defaults of the limiter's options.
const (
	// DefaultSyncEvery is the time between syncs while tokens move.
	DefaultSyncEvery = 100 * time.Millisecond
	// DefaultIdleEvery is the time between syncs while nothing moves.
	DefaultIdleEvery = time.Second
	// DefaultApplyTimeout bounds one try to commit a sync.
	DefaultApplyTimeout = time.Second
	// DefaultHorizon is the recent use that is fetched ahead.
	DefaultHorizon = 100 * time.Millisecond
	// DefaultMaxWait bounds how long a reservation waits for tokens.
	DefaultMaxWait = 500 * time.Millisecond
	// contactTimeout is the silence of the table after which it counts as cut off.
	contactTimeout = 2500 * time.Millisecond
)

// LimiterOpts configures the limiter of one instance.
type LimiterOpts struct {
	Instance string
	Zone     string
	// Incarnation grows with every start of the instance.
	Incarnation uint64
	// PredecessorEnded says that every earlier incarnation of the instance is
	// certainly gone, for example because this one holds its listen address or
	// the lock of its data folder. The instance then gets its floor, empty, at
	// once; else only when the predecessor's floor lease has ended.
	PredecessorEnded bool
	Proposer         aubcontrol.Proposer
	Source           aubquery.Source
	SyncEvery        time.Duration
	IdleEvery        time.Duration
	ApplyTimeout     time.Duration
	Horizon          time.Duration
	MaxWait          time.Duration
}

// Limiter reserves tokens for the requests of one instance. It is safe for
// concurrent use.
type Limiter struct {
	common  aubcommon.Common
	opts    LimiterOpts
	started time.Time
	wake    chan struct{}
	ended   <-chan struct{}
	left    chan struct{}

	// mu guards everything below.
	mu       sync.Mutex
	accounts map[string]*account
	session  holderSession
}

// holderSession is the holder's side of its session with the table.
type holderSession struct {
	sequence uint64
	epoch    uint64
	// clock is the replicated clock of the last reply.
	clock time.Duration
	// leaseEnd and floorEnd are monotonic.
	leaseEnd time.Duration
	floorEnd time.Duration
	// contactAt is when the last reply came, if contacted.
	contactAt time.Duration
	contacted bool
	// fullAt is when the last sync over all workspaces was built.
	fullAt time.Duration
	// closed is set once this incarnation may hold nothing any more.
	closed  bool
	leaving bool
	pending *pendingSync
}

var _ Policy[Reservation] = (*Limiter)(nil)

// NewLimiter returns a limiter that syncs with the table until ctx ends.
func NewLimiter(ctx context.Context, common aubcommon.Common, opts LimiterOpts) *Limiter {
	l := newLimiter(common, opts)
	l.ended = ctx.Done()
	ticks := common.Timer.Subscribe(ctx, l.opts.SyncEvery)
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

// newLimiter returns a limiter that does not sync by itself.
func newLimiter(common aubcommon.Common, opts LimiterOpts) *Limiter {
	return &Limiter{
		common:   common.WithPart("limits"),
		opts:     opts.withDefaults(),
		started:  common.Timer.Now(),
		wake:     make(chan struct{}, 1),
		left:     make(chan struct{}),
		accounts: make(map[string]*account),
	}
}

// Reserve implements Policy. It pays from what this instance holds; briefly
// short of that, it waits while tokens are fetched; over the rate it refuses at
// once.
func (l *Limiter) Reserve(ctx context.Context, workspace string, tokens int64) (Reservation, error) {
	tokens = min(max(tokens, 0), maxTokens)
	w, p, err := l.tryTake(workspace, tokens)
	if err != nil {
		l.countRefusal(err)
		return Reservation{}, err
	}
	if w != nil {
		if err := l.await(ctx, workspace, w); err != nil {
			return Reservation{}, err
		}
		p = w.parts
	}
	return l.reservation(workspace, tokens, p), nil
}

func (l *Limiter) reservation(workspace string, tokens int64, p parts) Reservation {
	return Reservation{settlement: &settlement{
		settler:   l,
		workspace: workspace,
		tokens:    tokens,
		parts:     p,
	}}
}

// tryTake pays at once, or refuses, or returns a waiter.
func (l *Limiter) tryTake(workspace string, tokens int64) (*waiter, parts, error) {
	w, known := l.opts.Source.Config().Workspace(workspace)
	if !known {
		return nil, parts{}, &RefusedError{Reason: ReasonUnknown}
	}
	if tokens > w.Burst {
		return nil, parts{}, &RefusedError{Reason: ReasonBurst}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session.closed || l.session.leaving {
		return nil, parts{}, refuse(ReasonEnded, 0)
	}
	now := l.lapse()
	a := l.account(workspace)
	a.demand.observe(tokens)
	l.serve(a, now)
	if len(a.waiters) == 0 {
		if p, ok := l.pay(a, now, tokens); ok {
			return nil, p, nil
		}
	}
	if err := l.refusal(a, now, tokens); err != nil {
		return nil, parts{}, err
	}
	waiting := &waiter{tokens: tokens, since: now, ready: make(chan struct{})}
	a.waiters = append(a.waiters, waiting)
	l.kick()
	return waiting, parts{}, nil
}

// pay takes the tokens and checks afterwards that the leases had not ended
// meanwhile: a process may have been frozen at any point.
func (l *Limiter) pay(a *account, now time.Duration, tokens int64) (parts, bool) {
	p, ok := a.take(now, l.session.clock, tokens)
	if !ok {
		return parts{}, false
	}
	after := l.now()
	lost := (p.lease > 0 && after >= l.session.leaseEnd) || (p.floor > 0 && after >= l.session.floorEnd)
	return p, !lost
}

// await waits until the waiter is paid or refused.
func (l *Limiter) await(ctx context.Context, workspace string, w *waiter) error {
	timerCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := l.common.Timer.After(timerCtx, l.opts.MaxWait)
	var cause error
	select {
	case <-w.ready:
	case <-ctx.Done():
		cause = &CanceledError{Err: ctx.Err()}
	case <-l.ended:
		cause = refuse(ReasonEnded, 0)
	case <-timeout:
	}
	return l.leaveQueue(workspace, w, cause)
}

// leaveQueue ends the wait. A payment that comes with a cancellation is given back.
func (l *Limiter) leaveQueue(workspace string, w *waiter, cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(workspace)
	if w.paid {
		if cause != nil {
			a.settle(l.now(), &settlement{tokens: w.tokens, parts: w.parts}, 0)
		}
		return cause
	}
	if i := slices.Index(a.waiters, w); i >= 0 {
		a.waiters = slices.Delete(a.waiters, i, i+1)
	}
	if cause == nil {
		cause = w.err
	}
	if cause == nil {
		cause = l.shortage(a, l.lapse(), w.tokens)
	}
	l.countRefusal(cause)
	return cause
}

// settle implements settler.
func (l *Limiter) settle(s *settlement, used int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.done {
		return
	}
	s.done = true
	l.account(s.workspace).settle(l.lapse(), s, used)
}

// lapse ends what its own monotonic clock says has ended, and returns the time.
func (l *Limiter) lapse() time.Duration {
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

// reachable reports whether the table answered lately.
func (l *Limiter) reachable(now time.Duration) bool {
	return l.session.contacted && now-l.session.contactAt < contactTimeout
}

func (l *Limiter) now() time.Duration { return l.common.Timer.Now().Sub(l.started) }

func (l *Limiter) account(workspace string) *account {
	a, ok := l.accounts[workspace]
	if !ok {
		a = newAccount()
		l.accounts[workspace] = a
	}
	return a
}

// kick asks for a sync at once.
func (l *Limiter) kick() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Limiter) countRefusal(err error) {
	if r, ok := err.(*RefusedError); ok { //nolint:errorlint // Made here, never wrapped.
		l.common.Metrics.Tagged(map[string]string{"reason": string(r.Reason)}).Counter("refused").Inc(1)
	}
}

func (o LimiterOpts) withDefaults() LimiterOpts {
	if o.SyncEvery <= 0 {
		o.SyncEvery = DefaultSyncEvery
	}
	if o.IdleEvery <= 0 {
		o.IdleEvery = DefaultIdleEvery
	}
	if o.ApplyTimeout <= 0 {
		o.ApplyTimeout = DefaultApplyTimeout
	}
	if o.Horizon <= 0 {
		o.Horizon = DefaultHorizon
	}
	if o.MaxWait <= 0 {
		o.MaxWait = DefaultMaxWait
	}
	return o
}
