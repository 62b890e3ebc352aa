package aublimit

import (
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// NewIdleLimiter returns a limiter whose syncs the test drives.
func NewIdleLimiter(common aubcommon.Common, opts LimiterOpts) *Limiter {
	return newLimiter(common, opts)
}

// Sync is a sync that the limiter wants to send.
type Sync struct {
	l *Limiter
	p *pendingSync
}

// PrepareSync returns the next sync, if any.
func (l *Limiter) PrepareSync() (Sync, bool) {
	p := l.prepare()
	return Sync{l: l, p: p}, p != nil
}

// Body is the encoded command.
func (s Sync) Body() []byte { return s.p.body }

// Answer hands the table's reply to the limiter.
func (s Sync) Answer(body []byte) error {
	r := &aubwire.LimitReply{}
	if err := proto.Unmarshal(body, r); err != nil {
		return err
	}
	s.l.conclude(s.p, r, nil)
	return nil
}

// Fail hands an error of the proposer to the limiter.
func (s Sync) Fail(err error) { s.l.conclude(s.p, nil, err) }

// Waiting is a reservation that waits.
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

// Done returns whether the wait is over, and the reservation unless it was refused.
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

// GiveUp ends the wait as the longest wait does.
func (w *Waiting) GiveUp() (Reservation, error) {
	if err := w.l.leaveQueue(w.workspace, w.w, nil); err != nil {
		return Reservation{}, err
	}
	return w.l.reservation(w.workspace, w.w.tokens, w.w.parts), nil
}

// Held is what the table may still have to honour of earlier limits.
type Held struct {
	Rate  float64
	Burst int64
}

// Held returns the workspace's floors and outstanding leases.
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

// Floor returns the rate and burst of the limiter's floor in tokens.
func (l *Limiter) Floor(workspace string) (rate float64, burst int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(workspace)
	return float64(a.floorRate()) / milliPerToken, a.floorCapacity()
}

// Kicked reports whether the limiter asked for a sync at once.
func (l *Limiter) Kicked() bool {
	select {
	case <-l.wake:
		return true
	default:
		return false
	}
}
