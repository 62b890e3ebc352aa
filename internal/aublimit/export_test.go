package aublimit

import (
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// NewManualLimiter returns a limiter without a sync loop; the test runs the syncs.
func NewManualLimiter(common aubcommon.Common, opts LimiterOpts) *Limiter {
	return newLimiter(common, opts)
}

// Sync is a sync to be sent by the test.
type Sync struct {
	limiter *Limiter
	pending *pendingSync
}

// PrepareSync returns the next sync, false if none is due.
func (l *Limiter) PrepareSync() (Sync, bool) {
	p := l.prepareSync()
	return Sync{limiter: l, pending: p}, p != nil
}

// Body is the encoded command.
func (s Sync) Body() []byte { return s.pending.body }

// HandleReply passes the table's encoded reply to the limiter.
func (s Sync) HandleReply(body []byte) error {
	r := &aubwire.LimitReply{}
	if err := proto.Unmarshal(body, r); err != nil {
		return err
	}
	s.limiter.handleResult(s.pending, r, nil)
	return nil
}

// Fail passes an error of the proposer to the limiter.
func (s Sync) Fail(err error) { s.limiter.handleResult(s.pending, nil, err) }

// PendingReservation is a reservation that waits for tokens.
type PendingReservation struct {
	limiter   *Limiter
	waiter    *waiter
	workspace string
}

// TryReserve is Reserve without the wait.
func (l *Limiter) TryReserve(workspace string, tokens int64) (Reservation, *PendingReservation, error) {
	w, p, err := l.tryReserve(workspace, tokens)
	if err != nil {
		return Reservation{}, nil, err
	}
	if w != nil {
		return Reservation{}, &PendingReservation{limiter: l, waiter: w, workspace: workspace}, nil
	}
	return l.reservation(workspace, tokens, p), nil, nil
}

// Result returns the reservation or the refusal, and whether the wait has ended.
func (w *PendingReservation) Result() (Reservation, bool, error) {
	select {
	case <-w.waiter.ready:
	default:
		return Reservation{}, false, nil
	}
	if err := w.limiter.endWait(w.workspace, w.waiter, nil); err != nil {
		return Reservation{}, true, err
	}
	return w.limiter.reservation(w.workspace, w.waiter.tokens, w.waiter.payment), true, nil
}

// Expire ends the wait like the maximum wait does.
func (w *PendingReservation) Expire() (Reservation, error) {
	if err := w.limiter.endWait(w.workspace, w.waiter, nil); err != nil {
		return Reservation{}, err
	}
	return w.limiter.reservation(w.workspace, w.waiter.tokens, w.waiter.payment), nil
}

// HeldTokens is the part of a workspace's limits that holders can still use after
// the limits were lowered.
type HeldTokens struct {
	// Rate is the sum of the floors' rates in tokens per second.
	Rate float64
	// Burst is the sum of the floors' bursts and the outstanding leased tokens.
	Burst int64
}

// HeldTokens returns the workspace's floors and outstanding leased tokens.
func (t *Table) HeldTokens(workspace string) HeldTokens {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.centrals[workspace]
	if !ok {
		return HeldTokens{}
	}
	return HeldTokens{
		Rate:  float64(c.heldFloors.rateMilli) / milliPerToken,
		Burst: c.heldFloors.burst + c.bucket.outstanding.wholeTokens(),
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
func (l *Limiter) SyncTriggered() bool {
	select {
	case <-l.wake:
		return true
	default:
		return false
	}
}
