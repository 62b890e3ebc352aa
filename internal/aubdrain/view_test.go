package aubdrain_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubdrain"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// statement returns a statement with zone a drained by the order at the index; no zone if index
// is 0, an unknown age if maxAge is negative.
func statement(revision, index uint64, maxAge time.Duration) *aubwire.ZoneDrains {
	s := &aubwire.ZoneDrains{Revision: revision}
	if index > 0 {
		d := &aubwire.ZoneDrain{Zone: "a", Index: index}
		if maxAge >= 0 {
			d.MaxAgeMs = proto.Int64(maxAge.Milliseconds())
		}
		s.Drains = append(s.Drains, d)
	}
	return s
}

// TestEligibility checks the decision of a relay after a series of statements. The timeout is 4
// s, so the zone is of last resort for 2 s from the commit.
func TestEligibility(t *testing.T) {
	const unknown = -1
	type merge struct {
		statement *aubwire.ZoneDrains
		// askedAgo is the time from the request to the arrival of the statement.
		askedAgo time.Duration
		// after is the time that passes after the statement.
		after time.Duration
	}
	for _, test := range []struct {
		name   string
		merges []merge
		want   aubdrain.Eligibility
	}{
		{"no statement", nil, aubdrain.EligibilityClosed},
		{"a control process that states nothing", []merge{{statement: nil}}, aubdrain.EligibilityClosed},
		{"nothing drained", []merge{{statement: statement(0, 0, 0)}}, aubdrain.EligibilityOpen},
		{"new order", []merge{{statement: statement(5, 5, 0)}}, aubdrain.EligibilityLastResort},
		{"just before half of the timeout", []merge{{statement: statement(5, 5, 500*time.Millisecond), after: 1499 * time.Millisecond}}, aubdrain.EligibilityLastResort},
		{"half of the timeout", []merge{{statement: statement(5, 5, 500*time.Millisecond), after: 1500 * time.Millisecond}}, aubdrain.EligibilityClosed},
		{"unknown age", []merge{{statement: statement(5, 5, unknown)}}, aubdrain.EligibilityClosed},
		{"statement that arrives late", []merge{{statement: statement(5, 5, 0), askedAgo: 2 * time.Second}}, aubdrain.EligibilityClosed},
		{"one control process knows the age", []merge{{statement: statement(5, 5, unknown)}, {statement: statement(5, 5, time.Second)}}, aubdrain.EligibilityLastResort},
		{"another knows none", []merge{{statement: statement(5, 5, time.Second)}, {statement: statement(5, 5, unknown)}}, aubdrain.EligibilityLastResort},
		{"another has a higher bound", []merge{{statement: statement(5, 5, time.Second)}, {statement: statement(5, 5, time.Hour)}}, aubdrain.EligibilityLastResort},
		{"repeated order of later date", []merge{{statement: statement(5, 5, unknown)}, {statement: statement(6, 0, 0)}, {statement: statement(7, 7, 0)}}, aubdrain.EligibilityLastResort},
		{"withdrawn", []merge{{statement: statement(5, 5, 0)}, {statement: statement(6, 0, 0)}}, aubdrain.EligibilityOpen},
		{"older revision that is open", []merge{{statement: statement(5, 5, unknown)}, {statement: statement(4, 0, 0)}}, aubdrain.EligibilityClosed},
		{"older revision that is drained", []merge{{statement: statement(6, 0, 0)}, {statement: statement(5, 5, 0)}}, aubdrain.EligibilityOpen},
		{"out of touch for an hour", []merge{{statement: statement(5, 5, 0), after: time.Hour}}, aubdrain.EligibilityClosed},
		{"out of touch and not drained", []merge{{statement: statement(5, 0, 0), after: time.Hour}}, aubdrain.EligibilityOpen},
	} {
		t.Run(test.name, func(t *testing.T) {
			timer := aubtimer.NewManual(time.Unix(1000, 0))
			view := aubdrain.NewView(aubcommon.NewCommon(timer), aubdrain.ViewOpts{Timeout: 4 * time.Second})
			for _, m := range test.merges {
				view.Merge(m.statement, timer.Now().Add(-m.askedAgo))
				timer.Advance(m.after)
			}
			qt.Assert(t, view.Eligibility("a", timer.Now()), qt.Equals, test.want)
			if test.want != aubdrain.EligibilityClosed || view.HasStatement() {
				qt.Assert(t, view.Eligibility("b", timer.Now()), qt.Equals, aubdrain.EligibilityOpen)
			}
		})
	}
}

// TestWithdrawalIsReportedOnce guards against a repeated or an older statement that reports the
// withdrawal of a drain again.
func TestWithdrawalIsReportedOnce(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(1000, 0))
	var withdrawn []string
	view := aubdrain.NewView(aubcommon.NewCommon(timer), aubdrain.ViewOpts{OnWithdrawn: func(zone string, since time.Time) {
		qt.Check(t, since, qt.Equals, timer.Now())
		withdrawn = append(withdrawn, zone)
	}})
	for _, s := range []*aubwire.ZoneDrains{statement(5, 5, 0), statement(6, 0, 0), statement(6, 0, 0), statement(5, 5, 0), statement(6, 0, 0)} {
		view.Merge(s, timer.Now())
	}
	qt.Assert(t, withdrawn, qt.DeepEquals, []string{"a"})
}

// TestMonitorLogsRequestsInDrainedZones guards against a drain whose progress nobody sees.
func TestMonitorLogsRequestsInDrainedZones(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(1000, 0))
	core, logs := observer.New(zap.InfoLevel)
	common := aubcommon.NewCommon(timer).WithLog(zap.New(core))
	view := aubdrain.NewView(common, aubdrain.ViewOpts{})
	view.Merge(statement(5, 5, 0), timer.Now())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	counts := make(chan int)
	aubdrain.NewMonitor(ctx, common, aubdrain.MonitorOpts{
		Drains: view.Drains, Age: view.Age,
		InFlight: func() map[string]int {
			select {
			case n := <-counts:
				return map[string]int{"a": n, "b": 9}
			case <-ctx.Done():
				return nil
			}
		},
	})
	counts <- 3
	for _, count := range []int{2, 0, 0} {
		for timer.Waiting() == 0 {
			time.Sleep(time.Millisecond)
		}
		timer.Advance(2 * time.Second)
		counts <- count
	}
	view.Merge(statement(6, 0, 0), timer.Now())
	counts <- 0
	for _, want := range []struct {
		message string
		count   int
	}{
		{"Zone is drained.", 1},
		{"Requests run in a drained zone.", 2},
		{"No more requests run in a drained zone.", 1},
		{"Drain of a zone is withdrawn.", 1},
	} {
		qt.Check(t, logs.FilterMessage(want.message).Len(), qt.Equals, want.count, qt.Commentf("%s", want.message))
	}
	qt.Assert(t, logs.FilterMessage("Requests run in a drained zone.").All()[0].ContextMap()["requests"], qt.Equals, int64(3))
}

// TestRelayWithoutStatementAwaitsACertainOne guards against a control process that is cut off and
// opens a zone which was drained meanwhile to a relay that starts, and against a relay that serves
// nothing since it reaches no other control process.
func TestRelayWithoutStatementAwaitsACertainOne(t *testing.T) {
	uncertain := func() *aubwire.ZoneDrains {
		s := statement(0, 0, 0)
		s.ConfirmedAgoMs = proto.Int64(1001)
		return s
	}
	certain := statement(5, 5, time.Hour)
	certain.ConfirmedAgoMs = proto.Int64(1000)

	timer := aubtimer.NewManual(time.Unix(1000, 0))
	view := aubdrain.NewView(aubcommon.NewCommon(timer), aubdrain.ViewOpts{})
	view.Merge(uncertain(), timer.Now())
	timer.Advance(900 * time.Millisecond)
	view.Merge(uncertain(), timer.Now())
	qt.Assert(t, view.HasStatement(), qt.IsFalse)
	view.Merge(certain, timer.Now())
	qt.Assert(t, view.Eligibility("a", timer.Now()), qt.Equals, aubdrain.EligibilityClosed)
	timer.Advance(time.Minute)
	view.Merge(uncertain(), timer.Now())
	qt.Assert(t, view.Eligibility("a", timer.Now()), qt.Equals, aubdrain.EligibilityClosed)

	alone := aubdrain.NewView(aubcommon.NewCommon(timer), aubdrain.ViewOpts{})
	alone.Merge(uncertain(), timer.Now())
	timer.Advance(time.Second)
	alone.Merge(uncertain(), timer.Now())
	qt.Assert(t, alone.Eligibility("a", timer.Now()), qt.Equals, aubdrain.EligibilityOpen)
}

// TestRelayThatMissedADrainLearnsOfItsWithdrawal guards against a relay that was cut off during a
// whole drain, or started after it, and takes the zone's backend servers for warm.
func TestRelayThatMissedADrainLearnsOfItsWithdrawal(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(1000, 0))
	table := aubdrain.NewTable(timer)
	apply := func(index uint64, drained bool) {
		body, err := proto.Marshal(&aubwire.ZoneDrainCommand{Zone: "a", Drained: drained})
		qt.Assert(t, err, qt.IsNil)
		table.Apply(aubcontrol.Command{Index: index, Body: body})
	}
	withdrawals := map[string][]time.Time{}
	newView := func(name string) *aubdrain.View {
		return aubdrain.NewView(aubcommon.NewCommon(timer), aubdrain.ViewOpts{OnWithdrawn: func(_ string, since time.Time) {
			withdrawals[name] = append(withdrawals[name], since)
		}})
	}
	merge := func(views ...*aubdrain.View) {
		statement, _ := table.Statement()
		for _, v := range views {
			v.Merge(statement, timer.Now())
		}
	}
	inTouch, cutOff, late, started := newView("in touch"), newView("cut off"), newView("late"), newView("started")
	merge(inTouch, cutOff)
	table.Confirmed(timer.Now(), 4)
	apply(5, true)
	merge(inTouch)
	timer.Advance(6 * time.Second)
	table.Confirmed(timer.Now(), 5)
	apply(6, false)
	withdrawnAt := timer.Now()
	merge(inTouch)
	timer.Advance(time.Second)
	// Each learns of it once.
	for range 2 {
		merge(inTouch, cutOff, started)
	}
	timer.Advance(2 * time.Minute)
	merge(late)
	want := []time.Time{withdrawnAt}
	qt.Assert(t, withdrawals, qt.DeepEquals, map[string][]time.Time{"in touch": want, "cut off": want, "started": want})
}
