package aubcommand

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubstate/aubcodec"
	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// Snapshot encodes the complete state. Equal states have equal snapshots.
func (s *State) Snapshot() ([]byte, error) {
	snap := &aubwire.ConfigSnapshot{
		State:   aubcodec.ConfigToWire(s.config),
		Horizon: s.records.horizon,
		Faulty:  s.records.faulty,
		Records: make([]*aubwire.TicketRecord, 0, len(s.records.byNumber)),
		Numbers: make([]*aubwire.ObjectNumber, 0, len(s.lastTicket)),
	}
	for _, number := range s.records.sortedNumbers() {
		snap.Records = append(snap.Records, recordToWire(s.records.byNumber[number]))
	}
	for id, number := range s.lastTicket {
		snap.Numbers = append(snap.Numbers, &aubwire.ObjectNumber{Id: aubcodec.IDToWire(id), Number: number})
	}
	slices.SortFunc(snap.Numbers, compareNumbers)
	return proto.MarshalOptions{Deterministic: true}.Marshal(snap)
}

// RestoreState decodes a snapshot into a state that records at most maxRecords outcomes.
func RestoreState(maxRecords int, data []byte) (*State, error) {
	var snap aubwire.ConfigSnapshot
	if err := proto.Unmarshal(data, &snap); err != nil {
		return nil, err
	}
	s := NewState(maxRecords)
	s.config = aubcodec.ConfigFromWire(snap.GetState())
	for _, w := range snap.GetRecords() {
		r, err := recordFromWire(w)
		if err != nil {
			return nil, err
		}
		s.records.restore(r)
	}
	s.records.horizon = snap.GetHorizon()
	s.records.faulty = slices.Clone(snap.GetFaulty())
	heap.Init(&s.records.numbers)
	for _, n := range snap.GetNumbers() {
		s.restoreNumber(aubcodec.IDFromWire(n.GetId()), n.GetNumber())
	}
	return s, nil
}

// restore adds a record of a snapshot. The caller restores faulty and initializes the
// heap after the last one.
func (t *TicketRecords) restore(r TicketRecord) {
	t.byNumber[r.Outcome.Number] = r
	t.numbers = append(t.numbers, r.Outcome.Number)
	t.faultBytes += faultBytes(r)
}

func (s *State) restoreNumber(id aubapi.ObjectID, number uint64) {
	s.lastTicket[id] = number
	if !exists(s.config, id) {
		s.removedBy[number] = append(s.removedBy[number], id)
	}
}

func recordToWire(r TicketRecord) *aubwire.TicketRecord {
	return &aubwire.TicketRecord{
		Number:  r.Outcome.Number,
		Digest:  r.Digest[:],
		Status:  string(r.Outcome.Status),
		Version: r.Outcome.Version,
		Faults:  aubcodec.FaultsToWire(r.Outcome.Faults),
	}
}

func recordFromWire(w *aubwire.TicketRecord) (TicketRecord, error) {
	r := TicketRecord{Outcome: aubapi.TicketOutcome{
		Number:  w.GetNumber(),
		Status:  aubapi.TicketStatus(w.GetStatus()),
		Version: w.GetVersion(),
		Faults:  aubcodec.FaultsFromWire(w.GetFaults()),
	}}
	if n := copy(r.Digest[:], w.GetDigest()); n != len(r.Digest) {
		return TicketRecord{}, fmt.Errorf("record of ticket %d has a digest of %d bytes", w.GetNumber(), n)
	}
	return r, nil
}

// compareNumbers orders by kind and name of the object.
func compareNumbers(a, b *aubwire.ObjectNumber) int {
	return cmp.Or(
		cmp.Compare(a.GetId().GetKind(), b.GetId().GetKind()),
		cmp.Compare(a.GetId().GetName(), b.GetId().GetName()),
	)
}
