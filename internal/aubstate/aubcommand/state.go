package aubcommand

import (
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// State is the complete replicated state of the configuration. It is deterministic:
// the same tickets in the same order give the same state. It is not safe for
// concurrent use.
type State struct {
	config  aubquery.Config
	records *TicketRecords
	// lastTicket holds the number of the last ticket that changed each object. A
	// removed object stays here while the ticket that removed it is recorded.
	lastTicket map[aubapi.ObjectID]uint64
	// removedBy holds the objects that each recorded ticket removed.
	removedBy map[uint64][]aubapi.ObjectID
}

// NewState returns an empty state that records at most maxRecords outcomes.
func NewState(maxRecords int) *State {
	return &State{
		config:     aubquery.NewConfig(aubquery.ConfigObjects{}),
		records:    NewTicketRecords(maxRecords),
		lastTicket: make(map[aubapi.ObjectID]uint64),
		removedBy:  make(map[uint64][]aubapi.ObjectID),
	}
}

// Config returns the configuration after all accepted tickets.
func (s *State) Config() aubquery.Config { return s.config }

// Outcome returns the recorded outcome of the ticket number.
func (s *State) Outcome(number uint64) (aubapi.TicketOutcome, bool) {
	r, ok := s.records.Record(number)
	if !ok {
		return aubapi.TicketOutcome{}, false
	}
	return recordedOutcome(r), true
}

// Execute decides the ticket and applies it when it is accepted. The change is set
// and accepted is true only for a newly accepted ticket, not for a resent one.
func (s *State) Execute(t aubapi.Ticket) (outcome aubapi.TicketOutcome, change aubquery.Change, accepted bool) {
	d := s.Decide(t)
	if !d.ShouldRecord {
		return d.Outcome, aubquery.Change{}, false
	}
	if d.Accepted {
		s.apply(t, d.Next)
	}
	s.record(TicketRecord{Digest: d.Digest, Outcome: d.Outcome})
	return d.Outcome, d.Change, d.Accepted
}

func (s *State) apply(t aubapi.Ticket, next aubquery.Config) {
	s.config = next
	for _, id := range TouchedIDs(t) {
		s.lastTicket[id] = t.Number
	}
	if len(t.Remove) > 0 {
		s.removedBy[t.Number] = t.Remove
	}
}

// record stores the outcome. If that evicts the outcome of another ticket, it also
// drops the entries in lastTicket of the objects which that ticket removed: tickets
// with lower numbers are no longer decided.
func (s *State) record(r TicketRecord) {
	evicted := s.records.Add(r)
	if evicted == 0 {
		return
	}
	for _, id := range s.removedBy[evicted] {
		if s.lastTicket[id] == evicted {
			delete(s.lastTicket, id)
		}
	}
	delete(s.removedBy, evicted)
}

// changeOf returns the change that the ticket makes to the configuration.
func changeOf(cfg aubquery.Config, t aubapi.Ticket) aubquery.Change {
	return aubquery.Change{
		Objects: aubquery.ConfigObjects{
			Version:    cfg.Version() + 1,
			Workspaces: t.Workspaces,
			Keys:       t.Keys,
			Models:     t.Models,
			Adapters:   t.Adapters,
			Routes:     t.Routes,
		},
		Remove: t.Remove,
	}
}
