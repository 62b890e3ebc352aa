package aubdrain_test

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubdrain"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

func command(t testing.TB, index uint64, zone string, drained bool) aubcontrol.Command {
	body, err := proto.Marshal(&aubwire.ZoneDrainCommand{Zone: zone, Drained: drained})
	qt.Assert(t, err, qt.IsNil)
	return aubcontrol.Command{Index: index, Body: body}
}

// TestTableIsDeterministic applies random orders to two tables, one of which is restored from a
// snapshot in between, and compares both with a set of zones. It guards against replicas that
// diverge and against repeated orders that change something.
func TestTableIsDeterministic(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		timer := aubtimer.NewManual(time.Unix(0, 0))
		uninterrupted, restored := aubdrain.NewTable(timer), aubdrain.NewTable(timer)
		want := map[string]bool{}
		revision := uint64(0)
		steps := rapid.IntRange(1, 30).Draw(rt, "steps")
		restoreAt := rapid.IntRange(0, steps-1).Draw(rt, "restore at")
		for i := range steps {
			zone, drained := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "zone"), rapid.Bool().Draw(rt, "drained")
			if want[zone] != drained {
				want[zone], revision = drained, uint64(i+1)
			}
			cmd := command(t, uint64(i+1), zone, drained)
			if !bytes.Equal(uninterrupted.Apply(cmd), restored.Apply(cmd)) {
				rt.Fatal("results differ")
			}
			if i == restoreAt {
				data, err := restored.Snapshot()
				if err != nil {
					rt.Fatal(err)
				}
				restored = aubdrain.NewTable(timer)
				if err := restored.Restore(data); err != nil {
					rt.Fatal(err)
				}
			}
		}
		first, _ := uninterrupted.Snapshot()
		second, _ := restored.Snapshot()
		if !bytes.Equal(first, second) {
			rt.Fatalf("snapshots differ: %x, %x", first, second)
		}
		drains, _ := restored.Drains()
		for zone, drained := range want {
			if drains.Contains(zone) != drained || drains.Revision() != revision {
				rt.Fatalf("zone %s: drained %t, want %t; revision %d, want %d", zone, drains.Contains(zone), drained, drains.Revision(), revision)
			}
		}
	})
}

// TestAgeIsKnownOnlyForOrdersCommittedAfterAConfirmedRead guards against a control process that
// was cut off, suspended or restarted and states an old order as a new one.
func TestAgeIsKnownOnlyForOrdersCommittedAfterAConfirmedRead(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(100, 0))
	table := aubdrain.NewTable(timer)
	table.Apply(command(t, 3, "replayed", true))
	table.Confirmed(timer.Now(), 4)
	table.Apply(command(t, 4, "older", true))
	timer.Advance(700 * time.Millisecond)
	table.Apply(command(t, 5, "newer", true))
	timer.Advance(300 * time.Millisecond)
	statement, _ := table.Statement()
	ages := map[string]*int64{}
	for _, d := range statement.GetDrains() {
		ages[d.GetZone()] = d.MaxAgeMs
	}
	qt.Assert(t, ages, qt.DeepEquals, map[string]*int64{"replayed": nil, "older": nil, "newer": proto.Int64(1000)})

	data, err := table.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	wiped := aubdrain.NewTable(timer)
	qt.Assert(t, wiped.Restore(data), qt.IsNil)
	statement, _ = wiped.Statement()
	qt.Assert(t, statement.GetRevision(), qt.Equals, uint64(5))
	for _, d := range statement.GetDrains() {
		qt.Check(t, d.MaxAgeMs, qt.IsNil)
	}
}

// TestTableIsReadWhileItChanges guards against races between the log and the readers.
func TestTableIsReadWhileItChanges(t *testing.T) {
	table := aubdrain.NewTable(aubtimer.NewReal())
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for drains, changed := table.Drains(); drains.Revision() < 200; drains, changed = table.Drains() {
				table.Statement()
				<-changed
			}
		})
	}
	for i := uint64(1); i <= 200; i++ {
		table.Confirmed(time.Now(), i-1)
		table.Apply(command(t, i, "a", i%2 == 1))
	}
	group.Wait()
}

// fakeLog commits commands to a table, or fails.
type fakeLog struct {
	table      *aubdrain.Table
	index      uint64
	err        error
	confirmErr error
}

func (l *fakeLog) Apply(_ context.Context, _ string, body []byte) (aubcontrol.Result, error) {
	if l.err != nil {
		return aubcontrol.Result{}, l.err
	}
	l.index++
	return aubcontrol.Result{Index: l.index, Body: l.table.Apply(aubcontrol.Command{Index: l.index, Body: body})}, nil
}

func (l *fakeLog) Confirm(context.Context) (uint64, error) { return l.index, l.confirmErr }

// TestOrders checks the errors of orders: only a zone that certainly does not exist may end the
// operator's call.
func TestOrders(t *testing.T) {
	for _, test := range []struct {
		name        string
		zone        string
		drained     bool
		knowledge   aubdrain.ZoneKnowledge
		err         error
		confirmErr  error
		wantUnknown bool
		wantErr     bool
	}{
		{name: "known", zone: "a", drained: true, knowledge: aubdrain.ZoneKnown},
		{name: "unknown", zone: "x", drained: true, knowledge: aubdrain.ZoneUnknown, wantUnknown: true, wantErr: true},
		{name: "unknown, withdrawn", zone: "x", knowledge: aubdrain.ZoneUnknown, wantUnknown: true, wantErr: true},
		{name: "unknown without a quorum", zone: "x", knowledge: aubdrain.ZoneUnknown, confirmErr: errors.New("no leader"), wantErr: true},
		{name: "uncertain", zone: "x", drained: true, knowledge: aubdrain.ZoneUncertain, wantErr: true},
		{name: "drained and no longer registered", zone: "held", knowledge: aubdrain.ZoneUnknown},
		{name: "not committed", zone: "a", drained: true, knowledge: aubdrain.ZoneKnown, err: &aubcontrol.NotCommittedError{Reason: "no leader is known"}, wantErr: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			common := aubcommon.NewCommon(aubtimer.NewReal())
			log := &fakeLog{table: aubdrain.NewTable(common.Timer)}
			_, err := log.Apply(t.Context(), "", command(t, 0, "held", true).Body)
			qt.Assert(t, err, qt.IsNil)
			log.err, log.confirmErr = test.err, test.confirmErr
			orders := aubdrain.NewOrders(common, aubdrain.OrdersOpts{
				Table: log.table, Proposer: log, Reader: log, Knowledge: func(string) aubdrain.ZoneKnowledge { return test.knowledge },
			})
			before, _ := log.table.Drains()
			order := orders.Restore
			if test.drained {
				order = orders.Drain
			}
			for range 2 {
				err = order(t.Context(), test.zone)
				var unknown *aubdrain.UnknownZoneError
				qt.Assert(t, errors.As(err, &unknown), qt.Equals, test.wantUnknown)
				qt.Assert(t, err != nil, qt.Equals, test.wantErr, qt.Commentf("%v", err))
				after, _ := log.table.Drains()
				if test.wantErr {
					qt.Assert(t, after.Revision(), qt.Equals, before.Revision())
					continue
				}
				qt.Assert(t, after.Contains(test.zone), qt.Equals, test.drained)
				qt.Assert(t, after.Revision(), qt.Equals, uint64(2), qt.Commentf("a repeated order changes nothing"))
			}
		})
	}
}

// TestOrderOfACallerThatHasLeftIsNotProposed guards against a suspended control process that
// executes a call which its caller has repeated elsewhere and withdrawn since.
func TestOrderOfACallerThatHasLeftIsNotProposed(t *testing.T) {
	common := aubcommon.NewCommon(aubtimer.NewReal())
	log := &fakeLog{table: aubdrain.NewTable(common.Timer)}
	orders := aubdrain.NewOrders(common, aubdrain.OrdersOpts{
		Table: log.table, Proposer: log, Reader: log, Knowledge: func(string) aubdrain.ZoneKnowledge { return aubdrain.ZoneKnown },
	})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	qt.Assert(t, orders.Drain(ctx, "a"), qt.IsNotNil)
	qt.Assert(t, log.index, qt.Equals, uint64(0))
}
