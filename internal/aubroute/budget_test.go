package aubroute_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/auburndale/auburndale/internal/aubroute"
)

var budgetOpts = aubroute.RouterOpts{RetryShare: 0.15, RetryWindow: 10 * time.Second, RetryBurst: 3, RetryFloor: 0.1}

// TestUnusedRetriesCoverConcurrentFailures covers a backend server that crashes with many
// requests in flight after a time without retries.
func TestUnusedRetriesCoverConcurrentFailures(t *testing.T) {
	now := time.Unix(1000, 0)
	b := aubroute.NewRetryBudget(now, budgetOpts)
	for range 100 {
		now = now.Add(80 * time.Millisecond)
		b.AddRequest(now)
	}
	allowed := 0
	for b.AllowRetry(now) {
		allowed++
	}
	qt.Assert(t, allowed, qt.Equals, 18)
	now = now.Add(11 * time.Second)
	b.AddRequest(now)
	qt.Assert(t, b.AllowRetry(now), qt.IsTrue, qt.Commentf("retries of an earlier window are still counted"))
}

// TestRetriesStayWithinTheBudgetOfEachWindow simulates random traffic and checks the
// retries of every window.
func TestRetriesStayWithinTheBudgetOfEachWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		b := aubroute.NewRetryBudget(now, budgetOpts)
		steps := rapid.IntRange(1, 400).Draw(t, "steps")
		requests, retries := make([]time.Time, 0, steps), make([]time.Time, 0, steps)
		for range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			b.AddRequest(now)
			requests = append(requests, now)
			for range rapid.IntRange(0, 3).Draw(t, "failures") {
				if b.AllowRetry(now) {
					retries = append(retries, now)
				}
			}
			// The current slot is partly filled, so the slots cover at least 19/20 of the
			// window.
			since := now.Add(-budgetOpts.RetryWindow * 19 / 20)
			allowed := budgetOpts.RetryShare*float64(countSince(requests, now.Add(-budgetOpts.RetryWindow))) +
				budgetOpts.RetryBurst + budgetOpts.RetryFloor*budgetOpts.RetryWindow.Seconds() + 1
			if n := countSince(retries, since); float64(n) > allowed {
				t.Fatalf("%d retries, allowed %.1f", n, allowed)
			}
		}
	})
}

func countSince(times []time.Time, since time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(since) {
			n++
		}
	}
	return n
}
