package aubentry

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// emptyMembership is an aubmembership.Source without members.
type emptyMembership struct{}

func (emptyMembership) View() aubmembership.View { return aubmembership.NewView(time.Unix(0, 0)) }

// TestServicesHaveRetryBudgetsOfTheirOwn guards against failing engines that use up the retries of services.
func TestServicesHaveRetryBudgetsOfTheirOwn(t *testing.T) {
	common := aubcommon.NewCommon(aubtimer.NewManual(time.Unix(1000, 0)))
	router, err := aubroute.NewRouter(common, aubroute.RouterOpts{Source: emptyMembership{}, RetryShare: 0.1, RetryBurst: 1})
	qt.Assert(t, err, qt.IsNil)
	h := &Handler{common: common, deps: Dependencies{Router: router}, bounds: Bounds{MaxAttempts: 3}}
	mayRetry := func(service string) bool {
		failed := outcome{err: context.DeadlineExceeded, execution: aubapi.ExecutionMayHaveRun}
		return h.mayRetry(context.Background(), &exchange{}, call{service: service, idempotent: true}, failed, 1)
	}
	for range 2 {
		mayRetry("")
	}
	qt.Assert(t, mayRetry(""), qt.IsFalse)
	qt.Assert(t, mayRetry("roster"), qt.IsTrue)
}
