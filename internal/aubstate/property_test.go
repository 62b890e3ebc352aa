package aubstate_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/auburndale/auburndale/internal/aubstate"
	"github.com/auburndale/auburndale/internal/aubstate/aubcommand"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

var lookups = []string{"00000000", "11111111"}

var drawName = rapid.SampledFrom([]string{"a", "b", "c"})

// drawTicket draws a ticket from small ranges, so that tickets often share numbers,
// objects and references. Some tickets are invalid by their content alone.
func drawTicket(t *rapid.T) aubapi.Ticket {
	ticket := aubapi.Ticket{Number: rapid.Uint64Range(1, 30).Draw(t, "number")}
	workspaces := rapid.SliceOfNDistinct(drawName, 0, 2, rapid.ID[string]).Draw(t, "workspaces")
	for _, name := range workspaces {
		ticket.Workspaces = append(ticket.Workspaces, aubapi.Workspace{Name: name, Rate: rapid.Int64Range(0, 3).Draw(t, "rate"), Burst: 1})
	}
	if rapid.Bool().Draw(t, "with model") {
		ticket.Models = []aubapi.Model{{
			Name: "m-" + drawName.Draw(t, "model"), MemoryBytes: 1, Workspaces: []string{drawName.Draw(t, "admitted")},
		}}
	}
	for _, name := range rapid.SliceOfNDistinct(drawName, 0, 2, rapid.ID[string]).Draw(t, "keys") {
		ticket.Keys = append(ticket.Keys, aubapi.Key{
			Name: "k-" + name, Workspace: drawName.Draw(t, "owner"), Lookup: rapid.SampledFrom(lookups).Draw(t, "lookup"),
			Salt: strings.Repeat("00", 16), Hash: strings.Repeat("00", 32),
		})
	}
	if rapid.Bool().Draw(t, "with removal") {
		kind := rapid.SampledFrom([]aubapi.Kind{aubapi.KindWorkspace, aubapi.KindModel, aubapi.KindKey}).Draw(t, "kind")
		name := drawName.Draw(t, "removed")
		if kind != aubapi.KindWorkspace {
			name = string(kind[0]) + "-" + name
		}
		ticket.Remove = []aubapi.ObjectID{{Kind: kind, Name: name}}
	}
	return ticket
}

// ticketKey identifies a ticket by number and content.
type ticketKey struct {
	number uint64
	digest aubcommand.ContentDigest
}

// Random and resent tickets are applied on three replicas: one that runs continuously,
// one that is sometimes restored from its snapshot and one that replays the complete log
// at the end. A resent ticket must get its first outcome, versions must only increase and
// all replicas must end in the same state.
func TestOutcomesAreStableOnAllReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		continuous, restored := newTable(), newTable()
		firstOutcomes := make(map[ticketKey]aubapi.TicketOutcome)
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		log := make([]aubapi.Ticket, 0, steps)
		for range steps {
			ticket := drawTicket(t)
			if len(log) > 0 && rapid.IntRange(0, 2).Draw(t, "resend") == 0 {
				ticket = rapid.SampledFrom(log).Draw(t, "resent")
			}
			log = append(log, ticket)
			before := continuous.Config()
			outcome := applyTo(t, continuous, ticket)
			must(t, applyTo(t, restored, ticket), qt.DeepEquals, outcome)
			checkOutcomeIsStable(t, firstOutcomes, ticket, outcome)
			checkVersion(t, before, continuous.Config(), ticket, outcome)
			if rapid.IntRange(0, 4).Draw(t, "restore") == 0 {
				restored = restoredCopy(t, restored)
			}
		}
		replayed := newTable()
		for _, ticket := range log {
			applyTo(t, replayed, ticket)
		}
		want := snapshotOf(t, continuous)
		must(t, snapshotOf(t, restored), qt.DeepEquals, want)
		must(t, snapshotOf(t, replayed), qt.DeepEquals, want)
	})
}

// checkOutcomeIsStable compares the outcome with the first one of the same number and
// content.
func checkOutcomeIsStable(t *rapid.T, firstOutcomes map[ticketKey]aubapi.TicketOutcome, ticket aubapi.Ticket, outcome aubapi.TicketOutcome) {
	key := ticketKey{ticket.Number, aubcommand.DigestTicket(ticket)}
	want, ok := firstOutcomes[key]
	if !ok {
		firstOutcomes[key] = outcome
		return
	}
	must(t, outcome, qt.DeepEquals, want)
}

// checkVersion checks that an accepted ticket increases the version by 1 and is applied,
// and that any other ticket leaves the configuration unchanged.
func checkVersion(t *rapid.T, before, after aubquery.Config, ticket aubapi.Ticket, outcome aubapi.TicketOutcome) {
	if outcome.Status == aubapi.TicketAccepted && outcome.Version == before.Version()+1 {
		must(t, after.Version(), qt.Equals, outcome.Version)
		must(t, after.Digest(), qt.Equals, aubquery.NewConfig(after.Objects()).Digest())
		checkLookups(t, after)
		for _, w := range ticket.Workspaces {
			got, ok := after.Workspace(w.Name)
			must(t, ok && got == w, qt.IsTrue)
		}
		return
	}
	must(t, after.Version(), qt.Equals, before.Version())
	must(t, after.Digest(), qt.Equals, before.Digest())
	must(t, outcome.Version <= before.Version(), qt.IsTrue)
}

// checkLookups checks that each lookup value finds exactly the keys that have it.
func checkLookups(t *rapid.T, cfg aubquery.Config) {
	for _, lookup := range lookups {
		var want []string
		for _, k := range cfg.AllKeys() {
			if k.Lookup == lookup {
				want = append(want, k.Name)
			}
		}
		var got []string
		for _, k := range cfg.Keys(lookup) {
			got = append(got, k.Name)
			stored, _ := cfg.Key(k.Name)
			must(t, k, qt.Equals, stored)
		}
		slices.Sort(got)
		must(t, got, qt.DeepEquals, want)
	}
}

// With few recorded outcomes no ticket may be applied twice: a resent ticket gets its
// first outcome, or a refusal that says that the outcome is no longer kept.
func TestEvictedTicketIsNeverAppliedAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := aubcommand.NewState(4)
		firstOutcomes := make(map[ticketKey]aubapi.TicketOutcome)
		var log []aubapi.Ticket
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			ticket := drawTicket(t)
			if len(log) > 0 && rapid.Bool().Draw(t, "resend") {
				ticket = rapid.SampledFrom(log).Draw(t, "resent")
			}
			log = append(log, ticket)
			state = maybeRestore(t, state)
			key := ticketKey{ticket.Number, aubcommand.DigestTicket(ticket)}
			outcome, _, accepted := state.Execute(ticket)
			want, repeated := firstOutcomes[key]
			if !repeated {
				firstOutcomes[key] = outcome
				continue
			}
			must(t, accepted, qt.IsFalse)
			if outcome.Status != want.Status {
				checkOutcomeEvicted(t, outcome)
			}
		}
	})
}

// checkOutcomeEvicted checks that the ticket was refused because its outcome is no longer kept.
func checkOutcomeEvicted(t *rapid.T, outcome aubapi.TicketOutcome) {
	must(t, outcome.Status, qt.Equals, aubapi.TicketSuperseded)
	must(t, outcome.Faults[0].Reason, qt.Contains, "no longer kept")
}

// maybeRestore sometimes returns the state restored from its snapshot. It checks that
// the restored state has the same snapshot.
func maybeRestore(t *rapid.T, state *aubcommand.State) *aubcommand.State {
	if rapid.IntRange(0, 4).Draw(t, "restore") > 0 {
		return state
	}
	data, err := state.Snapshot()
	must(t, err, qt.IsNil)
	next, err := aubcommand.RestoreState(4, data)
	must(t, err, qt.IsNil)
	reencoded, err := next.Snapshot()
	must(t, err, qt.IsNil)
	must(t, reencoded, qt.DeepEquals, data)
	return next
}

// Tickets below the horizon must stay refused when a restored state may record more
// outcomes than before.
func TestHorizonSurvivesLargerRecordLimit(t *testing.T) {
	state := aubcommand.NewState(2)
	for n := uint64(1); n <= 4; n++ {
		_, _, accepted := state.Execute(workspaceTicket(n, 1, fmt.Sprint("w", n)))
		qt.Assert(t, accepted, qt.IsTrue)
	}
	data, err := state.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	larger, err := aubcommand.RestoreState(8, data)
	qt.Assert(t, err, qt.IsNil)
	outcome, _, accepted := larger.Execute(workspaceTicket(1, 1, "w1"))
	qt.Assert(t, accepted, qt.IsFalse)
	qt.Assert(t, outcome.Faults[0].Reason, qt.Contains, "no longer kept")
	outcome, _, accepted = larger.Execute(workspaceTicket(2, 1, "new"))
	qt.Assert(t, accepted, qt.IsFalse)
	qt.Assert(t, outcome.Status, qt.Equals, aubapi.TicketSuperseded)
}

// The size of the recorded faults is limited. A record whose faults were dropped must
// keep its outcome.
func TestFaultsOfOldRefusalsAreDropped(t *testing.T) {
	state := aubcommand.NewState(aubcommand.MaxRecords)
	invalidTicket := func(n uint64) aubapi.Ticket {
		ticket := aubapi.Ticket{Number: n}
		for i := range 2000 {
			ticket.Models = append(ticket.Models, aubapi.Model{
				Name: fmt.Sprintf("model-%d", i), MemoryBytes: 1, Workspaces: []string{"nowhere"},
			})
		}
		return ticket
	}
	for n := uint64(1); n <= 20; n++ {
		outcome, _, _ := state.Execute(invalidTicket(n))
		qt.Assert(t, outcome.Status, qt.Equals, aubapi.TicketInvalid)
		qt.Assert(t, outcome.Faults, qt.HasLen, 2000)
	}
	oldest, _, _ := state.Execute(invalidTicket(1))
	qt.Assert(t, oldest.Status, qt.Equals, aubapi.TicketInvalid)
	qt.Assert(t, oldest.Faults[0].Reason, qt.Contains, "no longer kept")
	recent, _, _ := state.Execute(invalidTicket(20))
	qt.Assert(t, recent.Faults, qt.HasLen, 2000)
	data, err := state.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(data) < 2*aubcommand.MaxFaultBytes, qt.IsTrue)
}

// restoredCopy returns a table restored from the snapshot of the given one.
func restoredCopy(t *rapid.T, table *aubstate.ConfigTable) *aubstate.ConfigTable {
	next := newTable()
	must(t, next.Restore(snapshotOf(t, table)), qt.IsNil)
	return next
}

func snapshotOf(t *rapid.T, table *aubstate.ConfigTable) []byte {
	data, err := table.Snapshot()
	must(t, err, qt.IsNil)
	return data
}

// must is qt.Assert for rapid tests; rapid.T does not implement testing.TB.
func must(t *rapid.T, got any, checker qt.Checker, args ...any) {
	t.Helper()
	note := func(string, any) {}
	if err := checker.Check(got, args, note); err != nil {
		t.Fatalf("%v: got %v, want %v", err, got, args)
	}
}
