package aublimit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// usedTokens returns the tokens used from one time until before another.
func (w *world) used(from, to time.Duration) int64 {
	sum := int64(0)
	for _, e := range w.events {
		if e.spend != nil && e.at >= from && e.at < to {
			sum += e.spend.used
		}
	}
	return sum
}

// runDemand runs the simulation for a duration. In each step, each of the given
// holders receives requests for the given number of tokens.
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

// TestOverloadAdmitsRate sends five times the rate to all holders. The admitted
// tokens must be at least nine tenths of the rate and never exceed the limits.
func TestFiveTimesTheRate(t *testing.T) {
	w := newWorld(t, 3, terms(300))
	// 3 holders request 500 tokens per second together; the rate is 100.
	w.serve(time.Minute, 100*time.Millisecond, 17, w.holders...)
	w.check()
	qt.Assert(t, w.used(10*time.Second, time.Minute) >= 4500, qt.IsTrue)
}

// TestPartitionedZoneServesFloorAndRejoins partitions one zone for 10 hours while
// the others use everything they are granted. The zone must serve at its floor's
// rate, and get the full rate again after the partition without intervention.
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
	// The floor of one of three zones is a tenth of the rate, 10 tokens per second.
	floor := int64(hours.Seconds()) * 10
	qt.Assert(t, served >= floor*9/10, qt.IsTrue, qt.Commentf("%d of %d", served, floor))

	cut.cut = false
	rejoined := w.now
	w.serve(time.Minute, 100*time.Millisecond, 50, cut)
	w.check()
	// Only the rejoined zone has demand, so it gets the full rate.
	qt.Assert(t, w.used(rejoined+10*time.Second, rejoined+time.Minute) >= 4500, qt.IsTrue)
}
