package aubentry

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// TestDemandReportsAdapters checks that a caller who waits for an adapter is reported
// under the adapter's name, and that its arrival counts in the rate of the base model.
func TestDemandReportsAdapters(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	timer := aubtimer.NewManual(time.Unix(0, 0))
	d := NewDemandTracker(ctx, aubcommon.NewCommon(timer), DemandTrackerOpts{HalfLife: time.Second, FirstTokenObjective: time.Second})
	f := call{model: "base", adapter: "tuned", group: "base"}.flow()
	d.RecordArrival(f)
	done := d.BeginWait(f)
	defer done()
	d.decayFlows()

	report := d.Report()
	qt.Assert(t, report, qt.HasLen, 1)
	qt.Check(t, report[0].GetName(), qt.Equals, "tuned")
	qt.Check(t, report[0].GetAdapter(), qt.IsTrue)
	qt.Check(t, report[0].GetWaiting(), qt.Equals, int32(1))
	qt.Check(t, d.ArrivalRates()["base"] > 0, qt.IsTrue)
}
