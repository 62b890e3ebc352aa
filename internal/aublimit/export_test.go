package aublimit

import (
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// NewManualLimiter returns a limiter without a sync loop; the test runs the syncs.
func NewIdleLimiter(common aubcommon.Common, opts LimiterOpts) *Limiter {
	return newLimiter(common, opts)
}

// Sync is a sync to be sent by the test.
type Sync struct {
	l *Limiter
	p *pendingSync
}

// PrepareSync returns the next sync, false if none is due.
func (l *Limiter) PrepareSync() (Sync, bool) {
	p := l.prepare()
	return Sync{l: l, p: p}, p != nil
}

// Body is the encoded command.
func (s Sync) Body() []byte { return s.p.body }

// HandleReply passes the table's encoded reply to the limiter.
func (s Sync) Answer(body []byte) error {
	r := &aubwire.LimitReply{}
	if err := proto.Unmarshal(body, r); err != nil {
		return err
	}
	s.l.conclude(s.p, r, nil)
	return nil
}

// Fail passes an error of the proposer to the limiter.
func (s Sync) Fail(err error) { s.l.conclude(s.p, nil, err) }

// PendingReservation is a reservation that waits for tokens.
type Waiting struct {
	l         *Limiter
	w         *waiter
	workspace string
}

// TryReserve is Reserve without the wait.
func (l *Limiter) TryReserve(workspace string, tokens int64) (Reservation, *Waiting, error) {
	w, p, err := l.tryTake(workspace, tokens)
	if err != nil {
		return Reservation{}, nil, err
	}
	if w != nil {
		return Reservation{}, &Waiting{l: l, w: w, workspace: workspace}, nil
	}
	return l.reservation(workspace, tokens, p), nil, nil
}

// Result returns the reservation or the refusal, and whether the wait has ended.
func (w *Waiting) Done() (Reservation, bool, error) {
	select {
	case <-w.w.ready:
	default:
		return Reservation{}, false, nil
	}
	if err := w.l.leaveQueue(w.workspace, w.w, nil); err != nil {
		return Reservation{}, true, err
	}
	return w.l.reservation(w.workspace, w.w.tokens, w.w.parts), true, nil
}

// Expire ends the wait like the maximum wait does.
func (w *Waiting) GiveUp() (Reservation, error) {
	if err := w.l.leaveQueue(w.workspace, w.w, nil); err != nil {
		return Reservation{}, err
	}
	return w.l.reservation(w.workspace, w.w.tokens, w.w.parts), nil
}

// HeldTokens is the part of a workspace's limits that holders can still use after
// the limits were lowered.
type Held struct {
	// Rate is the sum of the floors' rates in tokens per second.
	Rate float64
	// Burst is the sum of the floors' bursts and the outstanding leased tokens.
	Burst int64
}

// HeldTokens returns the workspace's floors and outstanding leased tokens.
func (t *Table) Held(workspace string) Held {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.centrals[workspace]
	if !ok {
		return Held{}
	}
	return Held{
		Rate:  float64(c.held.rateMilli) / milliPerToken,
		Burst: c.held.burst + c.bucket.lent.tokens(),
	}
}

// Floor returns the limiter's floor: the rate in tokens per second, and the burst.
func (l *Limiter) Floor(workspace string) (rate float64, burst int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(workspace)
	return float64(a.floorRate()) / milliPerToken, a.floorCapacity()
}

// SyncTriggered reports whether the limiter triggered a sync since the last call.
func (l *Limiter) Kicked() bool {
	select {
	case <-l.wake:
		return true
	default:
		return false
	}
}
