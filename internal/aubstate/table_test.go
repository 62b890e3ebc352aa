package aubstate_test

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubstate"
	"github.com/auburndale/auburndale/internal/aubstate/aubcodec"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

func newTable() *aubstate.ConfigTable {
	return aubstate.NewConfigTable(aubcommon.NewCommon(aubtimer.NewReal()))
}

func apply(t testing.TB, table *aubstate.ConfigTable, ticket aubapi.Ticket) aubapi.TicketOutcome {
	t.Helper()
	body, err := aubcodec.EncodeTicket(ticket)
	qt.Assert(t, err, qt.IsNil)
	outcome, err := aubcodec.DecodeOutcome(table.Apply(aubcontrol.Command{Body: body}))
	qt.Assert(t, err, qt.IsNil)
	return outcome
}

func workspaceTicket(number uint64, rate int64, names ...string) aubapi.Ticket {
	ticket := aubapi.Ticket{Number: number}
	for _, name := range names {
		ticket.Workspaces = append(ticket.Workspaces, aubapi.Workspace{Name: name, Rate: rate, Burst: 10})
	}
	return ticket
}

func modelTicket(number uint64, name string, workspaces ...string) aubapi.Ticket {
	return aubapi.Ticket{Number: number, Models: []aubapi.Model{{Name: name, MemoryBytes: 1, Workspaces: workspaces}}}
}

func removal(number uint64, kind aubapi.Kind, name string) aubapi.Ticket {
	return aubapi.Ticket{Number: number, Remove: []aubapi.ObjectID{{Kind: kind, Name: name}}}
}

// step is one ticket of a scenario with its expected outcome.
type step struct {
	ticket  aubapi.Ticket
	status  aubapi.TicketStatus
	version uint64
}

func TestTicketScenarios(t *testing.T) {
	const (
		accepted   = aubapi.TicketAccepted
		conflict   = aubapi.TicketConflict
		superseded = aubapi.TicketSuperseded
		invalid    = aubapi.TicketInvalid
	)
	cases := []struct {
		name  string
		steps []step
	}{
		{"a resend after later tickets gets the first outcome", []step{
			{workspaceTicket(1, 1, "a"), accepted, 1},
			{workspaceTicket(2, 2, "a"), accepted, 2},
			{workspaceTicket(1, 1, "a"), accepted, 1},
		}},
		{"of two tickets with the same number the first committed wins", []step{
			{workspaceTicket(5, 1, "a"), accepted, 1},
			{workspaceTicket(5, 2, "a"), conflict, 0},
			{workspaceTicket(5, 1, "a"), accepted, 1},
			{workspaceTicket(5, 2, "a"), conflict, 0},
		}},
		{"the order of objects does not change the content", []step{
			{workspaceTicket(5, 1, "a", "b"), accepted, 1},
			{workspaceTicket(5, 1, "b", "a"), accepted, 1},
		}},
		{"a number below the last one of any object supersedes the ticket", []step{
			{workspaceTicket(9, 1, "a"), accepted, 1},
			{workspaceTicket(8, 1, "a", "b"), superseded, 0},
			{workspaceTicket(7, 1, "b"), accepted, 2},
			{workspaceTicket(8, 1, "a", "b"), superseded, 0},
		}},
		{"a removed object keeps its last number", []step{
			{workspaceTicket(3, 1, "a"), accepted, 1},
			{removal(5, aubapi.KindWorkspace, "a"), accepted, 2},
			{workspaceTicket(4, 1, "a"), superseded, 0},
			{workspaceTicket(6, 1, "a"), accepted, 3},
		}},
		{"an invalid ticket keeps its outcome when the missing object is added", []step{
			{modelTicket(2, "m", "a"), invalid, 0},
			{workspaceTicket(1, 1, "a"), accepted, 1},
			{modelTicket(2, "m", "a"), invalid, 0},
			{modelTicket(3, "m", "a"), accepted, 2},
		}},
		{"removing a referenced object is invalid", []step{
			{workspaceTicket(1, 1, "a"), accepted, 1},
			{modelTicket(2, "m", "a"), accepted, 2},
			{removal(3, aubapi.KindWorkspace, "a"), invalid, 0},
			{removal(4, aubapi.KindModel, "m"), accepted, 3},
			{removal(5, aubapi.KindWorkspace, "a"), accepted, 4},
		}},
		{"a ticket with invalid content does not use up its number", []step{
			{workspaceTicket(1, 0, "a"), invalid, 0},
			{workspaceTicket(1, 1, "a"), accepted, 1},
		}},
		{"removing an unknown object is invalid", []step{{removal(1, aubapi.KindRoute, "r"), invalid, 0}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newTable()
			for i, s := range c.steps {
				outcome := apply(t, table, s.ticket)
				qt.Assert(t, outcome.Status, qt.Equals, s.status, qt.Commentf("step %d: %v", i, outcome.Faults))
				qt.Assert(t, outcome.Version, qt.Equals, s.version, qt.Commentf("step %d", i))
				qt.Assert(t, len(outcome.Faults) > 0, qt.Equals, s.status != accepted)
			}
		})
	}
}

func TestExampleTicketIsAccepted(t *testing.T) {
	data, err := os.ReadFile("../../examples/tickets/1.yaml")
	qt.Assert(t, err, qt.IsNil)
	ticket, err := aubapi.DecodeTicket(data, aubapi.FormatYAML)
	qt.Assert(t, err, qt.IsNil)
	outcome := apply(t, newTable(), ticket)
	qt.Assert(t, outcome, qt.DeepEquals, aubapi.TicketOutcome{Number: 1, Status: aubapi.TicketAccepted, Version: 1})
}

func TestChangedNotifiesOnNewerVersion(t *testing.T) {
	table := newTable()
	changed := table.Changed(0)
	apply(t, table, workspaceTicket(1, 1, "a"))
	<-changed
	<-table.Changed(0)
	select {
	case <-table.Changed(1):
		t.Fatal("notified without a newer version")
	default:
	}
}
