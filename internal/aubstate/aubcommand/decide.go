package aubcommand

import (
	"fmt"

	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// Decision is the outcome of a ticket and its effect on the state.
type Decision struct {
	Outcome aubapi.TicketOutcome
	Digest  ContentDigest
	// ShouldRecord is true when this is the first outcome of the number and must be recorded.
	ShouldRecord bool
	// Accepted is true when Next must become the configuration.
	Accepted bool
	// Change is the ticket's change to the configuration, set when Accepted is true.
	Change aubquery.Change
	// Next is the configuration after the change, set when Accepted is true.
	Next aubquery.Config
}

// Decide returns the decision on the ticket without changing the state.
//
// A ticket that fails CheckTicket does not use up its number: the check gives the
// same result at any time. Every other first outcome of a number must be recorded.
func (s *State) Decide(t aubapi.Ticket) Decision {
	if faults := CheckTicket(t); len(faults) > 0 {
		return refuse(t, aubapi.TicketInvalid, faults...)
	}
	digest := DigestTicket(t)
	if r, ok := s.records.Record(t.Number); ok {
		return decideRepeat(t, digest, r)
	}
	if s.records.BelowRetained(t.Number) {
		return refuse(t, aubapi.TicketSuperseded, aubapi.Fault{
			Path: "number",
			Reason: fmt.Sprintf("%d lies below the numbers whose outcomes are kept; "+
				"if the ticket was decided before, its outcome is no longer kept; see the objects for what is in force", t.Number),
		})
	}
	d := s.decideFirst(t)
	d.Digest = digest
	d.ShouldRecord = true
	return d
}

func (s *State) decideFirst(t aubapi.Ticket) Decision {
	if faults := s.supersededFaults(t); len(faults) > 0 {
		return refuse(t, aubapi.TicketSuperseded, faults...)
	}
	change := changeOf(s.config, t)
	next := s.config.WithChange(change)
	if faults := checkReferences(s.config, next, t); len(faults) > 0 {
		return refuse(t, aubapi.TicketInvalid, faults...)
	}
	return Decision{
		Outcome: aubapi.TicketOutcome{
			Number:  t.Number,
			Status:  aubapi.TicketAccepted,
			Version: change.Objects.Version,
		},
		Accepted: true,
		Change:   change,
		Next:     next,
	}
}

func (s *State) supersededFaults(t aubapi.Ticket) []aubapi.Fault {
	var faults []aubapi.Fault
	for _, id := range TouchedIDs(t) {
		if last := s.lastTicket[id]; t.Number <= last {
			faults = append(faults, aubapi.Fault{
				Path:   "number",
				Reason: fmt.Sprintf("%s %q was last changed by ticket %d; take a higher number", id.Kind, id.Name, last),
			})
		}
	}
	return faults
}

func decideRepeat(t aubapi.Ticket, digest ContentDigest, first TicketRecord) Decision {
	if digest == first.Digest {
		return Decision{Outcome: recordedOutcome(first)}
	}
	return refuse(t, aubapi.TicketConflict, aubapi.Fault{
		Path: "number",
		Reason: fmt.Sprintf("%d was first committed with other content, whose outcome is %s; take another number",
			t.Number, first.Outcome.Status),
	})
}

// recordedOutcome returns the outcome of the record, with a general fault when the
// faults of a refused ticket have been dropped.
func recordedOutcome(r TicketRecord) aubapi.TicketOutcome {
	o := r.Outcome
	if o.Status != aubapi.TicketAccepted && len(o.Faults) == 0 {
		o.Faults = []aubapi.Fault{{Path: "number", Reason: "the ticket was refused when it was first decided; its faults are no longer kept"}}
	}
	return o
}

func refuse(t aubapi.Ticket, status aubapi.TicketStatus, faults ...aubapi.Fault) Decision {
	return Decision{Outcome: aubapi.TicketOutcome{Number: t.Number, Status: status, Faults: faults}}
}
