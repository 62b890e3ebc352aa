package aubincarnation_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubincarnation"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	ready    = aubwire.BackendState_BACKEND_STATE_READY
	draining = aubwire.BackendState_BACKEND_STATE_DRAINING
	gone     = aubwire.BackendState_BACKEND_STATE_GONE
)

func incarnation(id, service string, started, sequence int64, state aubwire.BackendState) *aubwire.Incarnation {
	return &aubwire.Incarnation{Id: id, Service: service, StartedMs: started, Sequence: sequence, State: state}
}

func command(t testing.TB, index uint64, clock time.Duration, isUnlisted bool, i *aubwire.Incarnation) aubcontrol.Command {
	body, err := proto.Marshal(&aubwire.IncarnationCommand{Incarnation: i, Unlisted: isUnlisted})
	qt.Assert(t, err, qt.IsNil)
	return aubcontrol.Command{Index: index, Clock: clock, Body: body}
}

func isHeld(t testing.TB, result []byte) bool {
	decoded := &aubwire.IncarnationResult{}
	qt.Assert(t, proto.Unmarshal(result, decoded), qt.IsNil)
	return decoded.GetHeld()
}

// TestTableIsDeterministic applies random commands to two tables, one of which is restored from a snapshot
// in between, and compares both with the latest start and state of each backend server. It guards against
// replicas that diverge, and against a late command that takes something back.
func TestTableIsDeterministic(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		uninterrupted, restored := aubincarnation.NewTable(), aubincarnation.NewTable()
		type want struct {
			started int64
			state   aubwire.BackendState
		}
		wanted := make(map[aubincarnation.Key]want)
		steps := rapid.IntRange(1, 30).Draw(rt, "steps")
		restoreAt := rapid.IntRange(0, steps-1).Draw(rt, "restore at")
		for i := range steps {
			drawn := incarnation(
				rapid.SampledFrom([]string{"i1", "i2"}).Draw(rt, "id"), rapid.SampledFrom([]string{"", "s"}).Draw(rt, "service"),
				rapid.Int64Range(0, 3).Draw(rt, "started"), rapid.Int64Range(0, 9).Draw(rt, "sequence"),
				rapid.SampledFrom([]aubwire.BackendState{ready, draining, gone}).Draw(rt, "state"),
			)
			cmd := command(t, uint64(i+1), time.Duration(i)*time.Second, rapid.Bool().Draw(rt, "unlisted"), drawn)
			if !bytes.Equal(uninterrupted.Apply(cmd), restored.Apply(cmd)) {
				rt.Fatal("results differ")
			}
			held := wanted[aubincarnation.KeyOf(drawn)]
			switch {
			case drawn.GetStartedMs() > held.started:
				held = want{drawn.GetStartedMs(), drawn.GetState()}
			case drawn.GetStartedMs() == held.started:
				held.state = max(held.state, drawn.GetState())
			}
			wanted[aubincarnation.KeyOf(drawn)] = held
			if !uninterrupted.Holds(drawn) {
				rt.Fatal("an applied incarnation is not held")
			}
			if i == restoreAt {
				data, err := restored.Snapshot()
				if err != nil {
					rt.Fatal(err)
				}
				restored = aubincarnation.NewTable()
				if err := restored.Restore(data); err != nil {
					rt.Fatal(err)
				}
			}
		}
		first, _ := uninterrupted.Snapshot()
		second, _ := restored.Snapshot()
		if !bytes.Equal(first, second) {
			rt.Fatal("snapshots differ")
		}
		all, _, _ := restored.ChangedSince(0)
		if len(all) != len(wanted) {
			rt.Fatalf("%d incarnations, want %d", len(all), len(wanted))
		}
		for _, got := range all {
			if held := wanted[aubincarnation.KeyOf(got)]; got.GetStartedMs() != held.started || got.GetState() != held.state {
				rt.Fatalf("got %v, want %v", got, held)
			}
		}
	})
}

// TestIncarnationsExpireByTheReplicatedClock guards against a departure that is forgotten while a registration
// may still arrive, and against one that is held for good.
func TestIncarnationsExpireByTheReplicatedClock(t *testing.T) {
	table := aubincarnation.NewTable()
	departed := incarnation("i1", "s", 1, 5, draining)
	table.Apply(command(t, 1, time.Minute, false, departed))
	advance := func(index uint64, clock time.Duration) int {
		table.Apply(command(t, index, clock, false, incarnation("other", "s", int64(index), 1, ready)))
		records, _ := table.Size()
		return records
	}
	qt.Assert(t, advance(2, time.Minute+aubincarnation.Retention/2), qt.Equals, 2)
	qt.Assert(t, table.Holds(departed), qt.IsTrue)
	// It may expire soon in the table of the leader, so the next acknowledgement commits it again.
	advance(3, time.Minute+aubincarnation.Retention/2+time.Second)
	qt.Assert(t, table.Holds(departed), qt.IsFalse)
	table.Apply(command(t, 4, 2*time.Minute+aubincarnation.Retention/2, false, departed))
	qt.Assert(t, table.Holds(departed), qt.IsTrue)
	qt.Assert(t, advance(5, 2*time.Minute+aubincarnation.Retention*3/2), qt.Equals, 2)
	qt.Assert(t, advance(6, 2*time.Minute+aubincarnation.Retention*3/2+time.Second), qt.Equals, 1)
	qt.Assert(t, table.Restore([]byte{0xff}), qt.ErrorMatches, "snapshot of incarnations: .*")
}

// TestFullTableForgetsNoRecentDeparture guards against a table that grows without bound, against the eviction of
// a departure whose late registration may still arrive, and against other writers that leave no room.
func TestFullTableForgetsNoRecentDeparture(t *testing.T) {
	table := aubincarnation.NewTable()
	index := uint64(0)
	fill := func(clock time.Duration, isUnlisted bool) int {
		for count := 0; ; count++ {
			index++
			id := fmt.Sprintf("i%06d-%s", index, strings.Repeat("x", 200))
			if !isHeld(t, table.Apply(command(t, index, clock, isUnlisted, incarnation(id, "s", 1, 1, gone)))) {
				return count
			}
		}
	}
	unlisted := fill(time.Minute, true)
	listed := fill(time.Minute, false)
	qt.Assert(t, listed > 6*unlisted, qt.IsTrue, qt.Commentf("%d and %d", listed, unlisted))
	_, bytes := table.Size()
	qt.Assert(t, bytes <= 512<<10, qt.IsTrue)
	qt.Assert(t, fill(3*time.Minute, false), qt.Equals, 0)
	qt.Assert(t, fill(3*time.Minute+time.Second, false), qt.Equals, listed)
	_, bytes = table.Size()
	qt.Assert(t, bytes <= 512<<10, qt.IsTrue)
}

// commitLog applies commands to a table at once. It implements aubcontrol.Proposer.
type commitLog struct {
	table *aubincarnation.Table

	mu      sync.Mutex
	commits int
	err     error
}

func (l *commitLog) Apply(_ context.Context, _ string, body []byte) (aubcontrol.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return aubcontrol.Result{}, l.err
	}
	l.commits++
	return aubcontrol.Result{Body: l.table.Apply(aubcontrol.Command{Index: uint64(l.commits), Body: body})}, nil
}

// TestIncarnationIsCommittedOnce guards against a commit for each registration of a backend server that leaves,
// and against an acknowledgement of what is not committed.
func TestIncarnationIsCommittedOnce(t *testing.T) {
	log := &commitLog{table: aubincarnation.NewTable()}
	c := aubincarnation.NewCommitter(aubcommon.NewCommon(aubtimer.NewReal()), aubincarnation.CommitterOpts{
		Table: log.table, Proposer: log, NamesService: func(service string) bool { return service == "s" },
	})
	log.err = errors.New("no leader")
	err := c.Ensure(t.Context(), incarnation("i1", "s", 1, 1, draining))
	qt.Assert(t, err, qt.ErrorMatches, `incarnation of backend server "i1" is not committed: no leader`)
	log.err = nil
	var group sync.WaitGroup
	for sequence := range int64(20) {
		group.Go(func() { qt.Check(t, c.Ensure(t.Context(), incarnation("i1", "s", 1, sequence, draining)), qt.IsNil) })
	}
	group.Wait()
	committed := log.commits
	qt.Assert(t, c.Ensure(t.Context(), incarnation("i1", "s", 1, 30, draining)), qt.IsNil)
	qt.Assert(t, log.commits, qt.Equals, committed)
	qt.Assert(t, c.Ensure(t.Context(), incarnation("i1", "s", 1, 30, gone)), qt.IsNil)
	qt.Assert(t, log.commits, qt.Equals, committed+1)
	err = c.Ensure(t.Context(), incarnation(strings.Repeat("x", 1<<20), "s", 1, 1, gone))
	qt.Assert(t, err, qt.ErrorMatches, ".*the table is full")
}
