package aubburn_test

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/auburndale/auburndale/internal/aubburn"
	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

var targets = aubburn.Targets{aubapi.ObjectiveFirstToken: 0.95, aubapi.ObjectiveAvailability: 0.999}

func newTracker(name string) (*aubburn.Tracker, *aubtimer.Manual) {
	timer := aubtimer.NewManual(time.Unix(0, 0))
	return aubburn.NewTracker(aubcommon.NewCommon(timer), name, targets), timer
}

func TestSeverity(t *testing.T) {
	minute := time.Minute
	tests := []struct {
		name string
		// bad is the number of bad events among 100 in each minute of badFor.
		bad    int64
		badFor time.Duration
		// goodFor follows badFor and has only good events.
		goodFor time.Duration
		want    aubburn.Severity
	}{
		{"within budget", 4, 80 * time.Hour, 0, aubburn.SeverityNone},
		{"fast burn pages", 75, time.Hour, 0, aubburn.SeverityPage},
		{"fast burn that has ended no longer pages", 75, time.Hour, 40 * minute, aubburn.SeverityTicket},
		{"steady burn pages", 35, 6 * time.Hour, 0, aubburn.SeverityPage},
		{"slow burn opens a ticket", 6, 80 * time.Hour, 0, aubburn.SeverityTicket},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker, timer := newTracker("entry-a")
			flow := aubburn.Flow{Workspace: "w", Route: "m"}
			for range int(tt.badFor / minute) {
				tracker.CountEvents(flow, aubapi.ObjectiveFirstToken, 100-tt.bad, tt.bad)
				timer.Advance(minute)
			}
			for range int(tt.goodFor / minute) {
				tracker.CountEvents(flow, aubapi.ObjectiveFirstToken, 100, 0)
				timer.Advance(minute)
			}
			report := aubburn.NewReport([]aubapi.BurnCounts{tracker.Counts()})
			qt.Assert(t, report.Rows, qt.HasLen, 1)
			qt.Check(t, report.Rows[0].Severity, qt.Equals, tt.want)
		})
	}
}

func TestReportAddsInstances(t *testing.T) {
	counts := make([]aubapi.BurnCounts, 0, 2)
	for _, name := range []string{"entry-a", "entry-b"} {
		tracker, timer := newTracker(name)
		tracker.Count(aubburn.Flow{Workspace: "w", Route: "m"}, aubapi.ObjectiveAvailability, true)
		tracker.Count(aubburn.Flow{Workspace: "w", Route: "m"}, aubapi.ObjectiveAvailability, name == "entry-a")
		timer.Advance(20 * time.Minute)
		tracker.CountEvents(aubburn.Flow{Workspace: "v", Route: "m"}, aubapi.ObjectiveFirstToken, 90, 10)
		counts = append(counts, tracker.Counts())
	}
	report := aubburn.NewReport(counts)
	var table, yaml, plot bytes.Buffer
	qt.Assert(t, report.WriteTable(&table), qt.IsNil)
	qt.Assert(t, report.WriteYAML(&yaml), qt.IsNil)
	qt.Assert(t, report.WritePlot(&plot), qt.IsNil)
	golden := goldie.New(t)
	golden.Assert(t, "burn_table", table.Bytes())
	golden.Assert(t, "burn_yaml", yaml.Bytes())
	qt.Check(t, bytes.HasPrefix(plot.Bytes(), []byte("<svg")), qt.IsTrue)
}
