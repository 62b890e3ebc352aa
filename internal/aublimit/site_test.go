package aublimit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// used sums what was spent in a part of the history.
func (w *world) used(from, to time.Duration) int64 {
	sum := int64(0)
	for _, e := range w.events {
		if e.spend != nil && e.at >= from && e.at < to {
			sum += e.spend.used
		}
	}
	return sum
}

// serve runs the site for a time under a demand that every holder of the list
// sees, in tokens for each step.
func (w *world) serve(d, step time.Duration, tokens int64, holders ...*holder) {
	for end := w.now + d; w.now < end; {
		w.advance(step, 1000)
		for _, h := range holders {
			for left := tokens; left > 0; left -= 5 {
				w.reserve(h, 5)
			}
		}
		for _, h := range w.holders {
			w.exchange(h)
			w.collect(h, false)
		}
	}
}

// TestFiveTimesTheRate floods every entry: what is let in is the rate, no less
// than nine tenths of it and never more than the bound.
func TestFiveTimesTheRate(t *testing.T) {
	w := newWorld(t, 3, terms(300))
	// 3 holders ask for 500 tokens a second together, the rate is 100.
	w.serve(time.Minute, 100*time.Millisecond, 17, w.holders...)
	w.check()
	qt.Assert(t, w.used(10*time.Second, time.Minute) >= 4500, qt.IsTrue)
}

// TestCutOffZoneServesForHoursAndRejoins cuts one zone off while the others use
// all they get. The zone serves at its floor's rate, and its holder takes part
// again without any repair.
func TestCutOffZoneServesForHoursAndRejoins(t *testing.T) {
	const hours = 10 * time.Hour
	long := terms(300)
	long.FloorLease, long.FloorMargin = 12*time.Hour, 5*time.Minute
	w := newWorld(t, 3, long)
	w.serve(time.Minute, 100*time.Millisecond, 17, w.holders...)
	cut := w.holders[2]
	cut.cut = true
	begin := w.now
	w.serve(hours, 2*time.Second, 40, w.holders...)
	served := int64(0)
	for _, e := range w.events {
		if e.spend != nil && e.at >= begin && e.holder == cut {
			served += e.spend.used
		}
	}
	// The floor of one of three zones is a tenth of the rate.
	floor := int64(hours.Seconds()) * 10
	qt.Assert(t, served >= floor*9/10, qt.IsTrue, qt.Commentf("%d of %d", served, floor))

	cut.cut = false
	rejoined := w.now
	w.serve(time.Minute, 100*time.Millisecond, 50, cut)
	w.check()
	// Alone with the demand, the rejoined zone gets the whole rate again.
	qt.Assert(t, w.used(rejoined+10*time.Second, rejoined+time.Minute) >= 4500, qt.IsTrue)
}
