package aublimit_test

import (
	"context"
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aublimit"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// TestMain uses a fixed seed for rapid, unless one is given, so that every run draws
// the same steps.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

// TestReserveFetchesWaitsRefusesAndDrains runs a limiter with its sync loop from the
// first reservation until it has drained.
func TestReserveFetchesWaitsRefusesAndDrains(t *testing.T) {
	source := newFakeSource(aubapi.Workspace{Name: "w", Rate: 1000, Burst: 1000})
	startedAt := time.Now()
	log := newFakeLog(source, aublimit.LeaseParams{}, func() time.Duration { return time.Since(startedAt) })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := aublimit.NewLimiter(ctx, aubcommon.NewCommon(aubtimer.NewReal()), aublimit.LimiterOpts{
		Instance:     "a",
		Zone:         "z",
		Incarnation:  1,
		Proposer:     log,
		Source:       source,
		SyncInterval: 5 * time.Millisecond,
	})

	first, err := l.Reserve(ctx, "w", 600)
	qt.Assert(t, err, qt.IsNil)
	first.Settle(100)
	first.Settle(100)

	var refused *aublimit.RefusedError
	_, err = l.Reserve(ctx, "w", 1001)
	qt.Assert(t, err, qt.ErrorAs, &refused)
	qt.Assert(t, refused, qt.DeepEquals, &aublimit.RefusedError{Reason: aublimit.ReasonBurst})
	_, err = l.Reserve(ctx, "v", 1)
	qt.Assert(t, err, qt.ErrorAs, &refused)
	qt.Assert(t, refused.Reason, qt.Equals, aublimit.ReasonUnknown)

	for err == nil || refused.Reason != aublimit.ReasonRate {
		_, err = l.Reserve(ctx, "w", 700)
		if err != nil {
			qt.Assert(t, err, qt.ErrorAs, &refused)
		}
	}
	qt.Assert(t, refused.RetryAfter > 0 && refused.RetryAfter < 10*time.Second, qt.IsTrue)

	qt.Assert(t, l.Drain(ctx), qt.IsNil)
	_, err = l.Reserve(ctx, "w", 1)
	qt.Assert(t, err, qt.ErrorAs, &refused)
	qt.Assert(t, refused.Reason, qt.Equals, aublimit.ReasonStopped)
	qt.Assert(t, log.table.HeldTokens("w"), qt.Equals, aublimit.HeldTokens{})
}

// TestRefusalNamesTheRateOnlyIfItIsReached guards against a workspace that is told to be over
// its rate because the leader's reply is late.
func TestRefusalNamesTheRateOnlyIfItIsReached(t *testing.T) {
	clock := aubtimer.NewManual(time.Unix(0, 0))
	source := newFakeSource(aubapi.Workspace{Name: "w", Rate: 1000, Burst: 1000}, aubapi.Workspace{Name: "v", Rate: 1000, Burst: 1000})
	startedAt := clock.Now()
	log := newFakeLog(source, aublimit.LeaseParams{FloorPerMille: -1}, func() time.Duration { return clock.Now().Sub(startedAt) })
	l := aublimit.NewManualLimiter(aubcommon.NewCommon(clock), aublimit.LimiterOpts{Instance: "a", Zone: "z", Incarnation: 1, Source: source})
	refusalOf := func(workspace string, tokens int64) aublimit.Reason {
		_, waiting, err := l.TryReserve(workspace, tokens)
		if err == nil {
			qt.Assert(t, waiting, qt.IsNotNil)
			clock.Advance(aublimit.DefaultMaxWait)
			_, err = waiting.Expire()
		}
		var refused *aublimit.RefusedError
		qt.Assert(t, err, qt.ErrorAs, &refused)
		return refused.Reason
	}
	exchange := func() {
		s, ok := l.PrepareSync()
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, s.HandleReply(log.commit(s.Body())), qt.IsNil)
	}
	qt.Assert(t, refusalOf("w", 10), qt.Equals, aublimit.ReasonCutOff)
	_, _, err := l.TryReserve("w", 900)
	qt.Assert(t, err, qt.IsNil)
	exchange()
	// The first workspace has used up its burst.
	qt.Assert(t, refusalOf("w", 950), qt.Equals, aublimit.ReasonRate)
	// The leader is heard, but grants nothing of the other workspace in time.
	qt.Assert(t, refusalOf("v", 10), qt.Equals, aublimit.ReasonNotGranted)
	clock.Advance(3 * time.Second)
	qt.Assert(t, refusalOf("v", 10), qt.Equals, aublimit.ReasonCutOff)
}
