package aubtimer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubtimer"
)

// TestSuspensionIsNoticed guards against a suspension that the steady clock doesn't show, and against a
// process that was only held up between two readings of the clocks.
func TestSuspensionIsNoticed(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(100, 0))
	boot, heldUp := 500*time.Second, time.Duration(0)
	watch := aubtimer.NewSuspensionWatch(timer, func() (time.Duration, bool) {
		now := boot
		timer.Advance(heldUp)
		boot += heldUp
		return now, true
	})
	pass := func(d time.Duration) {
		timer.Advance(d)
		boot += d
	}
	qt.Assert(t, watch.ResumedAt().IsZero(), qt.IsTrue)
	for _, heldUp = range []time.Duration{0, time.Second, 3 * time.Second, 0} {
		pass(time.Minute)
		qt.Assert(t, watch.ResumedAt().IsZero(), qt.IsTrue)
	}
	for range 2 {
		pass(time.Second)
		boot += 2 * time.Second
		resumedAt := timer.Now()
		qt.Assert(t, watch.ResumedAt(), qt.Equals, resumedAt)
		pass(time.Second)
		qt.Assert(t, watch.ResumedAt(), qt.Equals, resumedAt)
	}
}

// TestSuspensionIsNotNoticedWithoutClock guards against processes that never count as current where the
// kernel doesn't tell the time since boot.
func TestSuspensionIsNotNoticedWithoutClock(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(100, 0))
	watch := aubtimer.NewSuspensionWatch(timer, func() (time.Duration, bool) { return 0, false })
	timer.Advance(time.Second)
	qt.Assert(t, watch.ResumedAt().IsZero(), qt.IsTrue)
	boot, ok := aubtimer.SinceBoot()
	qt.Assert(t, ok && boot > 0, qt.IsTrue)
	qt.Assert(t, aubtimer.NewSuspensionWatch(aubtimer.NewReal(), aubtimer.SinceBoot).ResumedAt().IsZero(), qt.IsTrue)
}
