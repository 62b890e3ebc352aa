package aubthrottle_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubthrottle"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

func TestParseRetryAfter(t *testing.T) {
	const answeredAt = "Fri, 04 Dec 2026 10:00:00 GMT"
	for _, test := range []struct {
		name, text, date string
		want             time.Duration
	}{
		{"whole seconds", "3", "", 3 * time.Second},
		{"fraction", "0.25", "", 250 * time.Millisecond},
		{"white space", " 1 ", "", time.Second},
		{"missing", "", answeredAt, 0},
		{"zero", "0", "", 0},
		{"negative", "-5", "", 0},
		{"no number", "soon", "", 0},
		{"two values", "1, 2", "", 0},
		{"absurd", "31536000", "", aubthrottle.MaxQuietTime},
		{"beyond any number", "1e999", "", 0},
		{"infinite", "+Inf", "", 0},
		{"not a number", "NaN", "", 0},
		{"date", "Fri, 04 Dec 2026 10:00:07 GMT", answeredAt, 7 * time.Second},
		{"date that has passed", "Fri, 04 Dec 2026 09:59:00 GMT", answeredAt, 0},
		{"absurd date", "Fri, 04 Dec 2036 10:00:00 GMT", answeredAt, aubthrottle.MaxQuietTime},
		{"date in an answer without one", "Fri, 04 Dec 2026 10:00:07 GMT", "", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, aubthrottle.ParseRetryAfter(test.text, test.date), qt.Equals, test.want)
		})
	}
}

func TestQuietEnds(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(0, 0))
	i := newInstance(timer, 1, 0)
	i.ObserveQuiet("r", modelBackend, 2*time.Second)
	qt.Assert(t, i.Wait(modelBackend), qt.Equals, 2*time.Second)
	qt.Assert(t, i.Take("", modelBackend), qt.IsFalse)
	timer.Advance(1999 * time.Millisecond)
	qt.Assert(t, i.Take("", modelBackend), qt.IsFalse)
	timer.Advance(time.Millisecond)
	qt.Assert(t, i.Wait(modelBackend), qt.Equals, time.Duration(0))
	qt.Assert(t, i.Take("", modelBackend), qt.IsTrue)
}

// TestLongestQuietCounts applies answers out of order.
func TestLongestQuietCounts(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(0, 0))
	i := newInstance(timer, 1, 0)
	i.ObserveQuiet("long", modelBackend, 5*time.Second)
	timer.Advance(time.Second)
	i.ObserveQuiet("short", modelBackend, time.Second)
	qt.Assert(t, i.Wait(modelBackend), qt.Equals, 4*time.Second)
	i.ObserveQuiet("longer", modelBackend, 9*time.Second)
	qt.Assert(t, i.Wait(modelBackend), qt.Equals, 9*time.Second)
	i.ObserveQuiet("absurd", modelBackend, time.Hour)
	qt.Assert(t, i.Wait(modelBackend), qt.Equals, aubthrottle.MaxQuietTime)
}

func TestQuietOfAnotherIncarnationDoesNotCount(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(0, 0))
	i := newInstance(timer, 1, 0)
	i.ObserveQuiet("r", modelBackend, time.Second)
	qt.Assert(t, i.Wait(aubthrottle.Backend{Name: modelBackend.Name, Incarnation: 2}), qt.Equals, time.Duration(0))
}

// TestCallersComeBackSpreadAfterQuiet checks the times that 50 refused callers are told.
func TestCallersComeBackSpreadAfterQuiet(t *testing.T) {
	const spread, callers = 500 * time.Millisecond, 50
	timer := aubtimer.NewManual(time.Unix(0, 0))
	i := newInstance(timer, 1, 0)
	i.ObserveQuiet("r", modelBackend, 2*time.Second)
	counts := make(map[time.Duration]int)
	for range callers {
		advice := i.AdviseRetry(modelBackend)
		qt.Assert(t, advice >= 2*time.Second && advice < 2*time.Second+spread, qt.IsTrue, qt.Commentf("%s", advice))
		counts[advice.Truncate(spread/5)]++
	}
	for at, count := range counts {
		qt.Check(t, count <= callers/5+2, qt.IsTrue, qt.Commentf("%d callers come back about %s", count, at))
	}
}

// TestQuietAndLimitHoldTogether asks for quiet at a limited backend server.
func TestQuietAndLimitHoldTogether(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(0, 0))
	i := newInstance(timer, 1, 0)
	i.Observe("r", modelBackend, limitOf(0.5))
	i.ObserveQuiet("r", modelBackend, time.Second)
	qt.Assert(t, i.Wait(modelBackend), qt.Equals, 2*time.Second)
	timer.Advance(10 * time.Second)
	i.ObserveQuiet("r", modelBackend, time.Second)
	qt.Assert(t, i.Wait(modelBackend), qt.Equals, time.Second)
	qt.Assert(t, i.AdviseRetry(modelBackend) >= time.Second, qt.IsTrue)
}
