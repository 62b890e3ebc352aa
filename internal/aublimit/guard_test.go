package aublimit_test

import (
	"testing"
	"time"

	"github.com/auburndale/auburndale/internal/aublimit"
)

// leaseUnspent leases the tokens to the holder and leaves them unspent.
func (w *world) fetch(h *holder, tokens int64) {
	_, waiting, err := h.limiter.TryReserve(workspace, tokens)
	if err != nil || waiting == nil {
		w.Fatalf("reservation of %d tokens does not wait: %v", tokens, err)
	}
	s, ok := h.limiter.PrepareSync()
	if !ok {
		w.Fatal("no sync is due")
	}
	if _, err := waiting.GiveUp(); err == nil {
		w.Fatal("tokens were granted without a sync")
	}
	reply := w.log.commit(s.Body())
	if err := s.Answer(reply); err != nil {
		w.Fatal(err)
	}
}

// exchangeRepeated exchanges one sync, committed several times, and returns the
// command.
func (w *world) resync(h *holder, times int) []byte {
	s, ok := h.limiter.PrepareSync()
	if !ok {
		w.Fatal("no sync is due")
	}
	reply := w.log.commit(s.Body())
	for range times - 1 {
		w.log.commit(s.Body())
	}
	if err := s.Answer(reply); err != nil {
		w.Fatal(err)
	}
	return s.Body()
}

// spendAll reserves decreasing amounts until all reservations are refused.
func (w *world) spendAll(h *holder) {
	for _, tokens := range []int64{150, 50, 20, 5, 1} {
		for before := -1; before < len(w.spends); {
			before = len(w.spends)
			w.reserve(h, tokens)
			if !h.cut {
				w.exchange(h)
			}
			w.collect(h, true)
		}
	}
}

// mustReserve reserves tokens and fails the test if they are not granted.
func (w *world) take(h *holder, tokens int64) *spend {
	before := len(w.spends)
	w.reserve(h, tokens)
	w.exchange(h)
	w.exchange(h)
	if len(w.spends) == before {
		w.Fatalf("%d tokens were not granted", tokens)
	}
	return w.spends[len(w.spends)-1]
}

// settle settles the reservation and counts only the used tokens from now on.
func (s *spend) settle(used int64) {
	s.used = used
	s.reserve.Settle(used)
}

// TestLimitSafetyRules has one scenario for each rule that keeps the spending
// within the limits. Each scenario exceeds the limits if its rule is missing.
func TestGuards(t *testing.T) {
	const noFloors = -1
	short := terms(noFloors)
	short.FloorLease, short.FloorMargin = 4*time.Second, time.Millisecond
	cases := []struct {
		name  string
		terms aublimit.Terms
		run   func(w *world, a, b *holder)
	}{
		{
			name:  "leased tokens count against the burst",
			terms: terms(noFloors),
			run: func(w *world, a, b *holder) {
				w.fetch(a, 200)
				w.advance(2900*time.Millisecond, 1000)
				w.spendAll(b)
				a.cut = true
				w.spendAll(a)
			},
		},
		{
			name:  "a holder ends its lease by its own clock",
			terms: terms(noFloors),
			run: func(w *world, a, b *holder) {
				w.fetch(a, 200)
				a.cut = true
				for range 10 {
					w.advance(time.Second, 1000)
					w.exchange(b)
				}
				w.spendAll(b)
				w.spendAll(a)
			},
		},
		{
			name:  "a lease is counted from a time before its sync was sent",
			terms: terms(noFloors),
			run: func(w *world, a, b *holder) {
				w.reserve(a, 200)
				w.send(a)
				w.collect(a, true)
				w.advance(2900*time.Millisecond, 1000)
				w.receive(a)
				a.cut = true
				for range 10 {
					w.advance(280*time.Millisecond, 1000)
					w.exchange(b)
				}
				w.spendAll(b)
				w.spendAll(a)
			},
		},
		{
			name:  "the table allows for a holder with a slow clock",
			terms: terms(noFloors),
			run: func(w *world, a, b *holder) {
				a.slow = 100
				w.fetch(a, 200)
				a.cut = true
				w.advance(3050*time.Millisecond, 1000)
				w.exchange(b)
				w.advance(250*time.Millisecond, 1000)
				w.spendAll(b)
				w.spendAll(a)
			},
		},
		{
			name:  "a duplicate sync returns tokens once",
			terms: terms(noFloors),
			run: func(w *world, a, b *holder) {
				w.fetch(a, 200)
				w.advance(2*time.Second, 1000)
				w.resync(a, 2)
				w.spendAll(b)
				a.cut = true
				w.spendAll(a)
			},
		},
		{
			name:  "a sync of an expired session credits nothing",
			terms: short,
			run: func(w *world, a, b *holder) {
				w.spendAll(b)
				w.advance(time.Second, 1000)
				s := w.take(a, 90)
				s.settle(0)
				w.advance(100*time.Millisecond, 1000)
				late := w.resync(a, 1)
				w.spendAll(b)
				for range 10 {
					w.advance(time.Second, 1000)
					w.spendAll(b)
				}
				w.log.commit(late)
				w.advance(10*time.Millisecond, 1000)
				w.spendAll(b)
			},
		},
		{
			name:  "unused tokens are credited only up to the minimum headroom",
			terms: terms(noFloors),
			run: func(w *world, a, b *holder) {
				s := w.take(a, 100)
				w.advance(10*time.Second, 1000)
				w.exchange(a)
				w.spendAll(b)
				s.settle(0)
				w.exchange(a)
				w.spendAll(b)
			},
		},
		{
			name:  "the same headroom is credited for one reservation only",
			terms: terms(noFloors),
			run: func(w *world, a, b *holder) {
				w.spendAll(b)
				w.advance(2*time.Second, 1000)
				w.exchange(a)
				first := w.take(a, 100)
				w.advance(10*time.Millisecond, 1000)
				w.exchange(a)
				second := w.take(a, 100)
				// A headroom of 100 remains, enough for one of the two reservations.
				w.advance(2*time.Second, 1000)
				w.spendAll(b)
				first.settle(0)
				second.settle(0)
				w.exchange(a)
				w.spendAll(b)
			},
		},
		{
			name:  "floors of processes that may still run stay within the floors' part",
			terms: terms(800),
			run: func(w *world, _, _ *holder) {
				for range 2 {
					w.restart(0, false)
					w.exchange(w.holders[len(w.holders)-1])
				}
				w.advance(time.Minute, 1000)
				for _, h := range w.holders {
					h.cut = true
					w.spendAll(h)
				}
			},
		},
		{
			name:  "floors are subtracted from the central rate",
			terms: terms(500),
			run: func(w *world, a, b *holder) {
				for range 60 {
					w.advance(500*time.Millisecond, 1000)
					w.spendAll(a)
					w.spendAll(b)
				}
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 2, c.terms)
			c.run(w, w.holders[0], w.holders[1])
			if len(w.spends) < 2 {
				t.Fatal("nothing was spent")
			}
			w.check()
		})
	}
}
