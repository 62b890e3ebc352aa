package aublimit_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aublimit"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// TestConcurrentReservationsStayWithinLimits overloads three running limiters from
// many goroutines, with callers that cancel, while the log rejects some commands.
func TestConcurrentReservationsStayWithinLimits(t *testing.T) {
	const (
		rate, burst, tokens = 20_000, 10_000, 50
		callers             = 24
		calls               = 200
	)
	source := newFakeSource(aubapi.Workspace{Name: workspace, Rate: rate, Burst: burst})
	startedAt := time.Now()
	log := newFakeLog(source, aublimit.LeaseParams{}, func() time.Duration { return time.Since(startedAt) })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	limiters := make([]*aublimit.Limiter, 0, 3)
	for i := range 3 {
		limiters = append(limiters, aublimit.NewLimiter(ctx, aubcommon.NewCommon(aubtimer.NewReal()), aublimit.LimiterOpts{
			Instance: fmt.Sprint(i), Zone: fmt.Sprint(i), Incarnation: 1, Proposer: log, Source: source,
			SyncInterval: 5 * time.Millisecond, MaxWait: 20 * time.Millisecond,
		}))
	}
	var used atomic.Int64
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for n := range calls {
				callCtx, cancelCall := context.WithTimeout(ctx, time.Duration(n%8)*5*time.Millisecond)
				r, err := limiters[c%len(limiters)].Reserve(callCtx, workspace, tokens)
				cancelCall()
				if err != nil {
					continue
				}
				used.Add(tokens / 2)
				r.Settle(tokens / 2)
			}
		})
	}
	for n := range 20 {
		log.setRejecting(n%4 == 0)
		time.Sleep(5 * time.Millisecond)
	}
	log.setRejecting(false)
	wg.Wait()
	bound := time.Since(startedAt).Seconds()*rate + burst
	qt.Assert(t, float64(used.Load()) <= bound, qt.IsTrue, qt.Commentf("%d of %.0f", used.Load(), bound))
	qt.Assert(t, used.Load() > 0, qt.IsTrue)
	for _, l := range limiters {
		qt.Assert(t, l.Drain(ctx), qt.IsNil)
	}
	qt.Assert(t, log.table.HeldTokens(workspace), qt.Equals, aublimit.HeldTokens{})
}
