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

// Snapshot encodes the whole state.
func (s *State) Snapshot() ([]byte, error) {
	snap := &aubwire.ConfigSnapshot{
		State:   aubcodec.StateToWire(s.config),
		Horizon: s.ledger.horizon,
		Faulty:  s.ledger.faulty,
		Records: make([]*aubwire.TicketRecord, 0, len(s.ledger.records)),
		Numbers: make([]*aubwire.ObjectNumber, 0, len(s.last)),
	}
	for _, number := range s.ledger.sortedNumbers() {
		snap.Records = append(snap.Records, recordToWire(s.ledger.records[number]))
	}
	for id, number := range s.last {
		snap.Numbers = append(snap.Numbers, &aubwire.ObjectNumber{Id: aubcodec.IDToWire(id), Number: number})
	}
	slices.SortFunc(snap.Numbers, compareNumbers)
	return proto.MarshalOptions{Deterministic: true}.Marshal(snap)
}

// RestoreState returns the state that a snapshot holds.
func RestoreState(limit int, data []byte) (*State, error) {
	var snap aubwire.ConfigSnapshot
	if err := proto.Unmarshal(data, &snap); err != nil {
		return nil, err
	}
	s := NewState(limit)
	s.config = aubcodec.StateFromWire(snap.GetState())
	for _, w := range snap.GetRecords() {
		r, err := recordFromWire(w)
		if err != nil {
			return nil, err
		}
		s.ledger.restore(r)
	}
	s.ledger.horizon = snap.GetHorizon()
	s.ledger.faulty = slices.Clone(snap.GetFaulty())
	heap.Init(&s.ledger.numbers)
	for _, n := range snap.GetNumbers() {
		s.restoreNumber(aubcodec.IDFromWire(n.GetId()), n.GetNumber())
	}
	return s, nil
}

func (l *Ledger) restore(r Record) {
	l.records[r.Outcome.Number] = r
	l.numbers = append(l.numbers, r.Outcome.Number)
	l.faultBytes += faultBytes(r)
}

func (s *State) restoreNumber(id aubapi.ObjectID, number uint64) {
	s.last[id] = number
	if !exists(s.config, id) {
		s.removed[number] = append(s.removed[number], id)
	}
}

func recordToWire(r Record) *aubwire.TicketRecord {
	return &aubwire.TicketRecord{
		Number:  r.Outcome.Number,
		Digest:  r.Digest[:],
		Status:  string(r.Outcome.Status),
		Version: r.Outcome.Version,
		Faults:  aubcodec.FaultsToWire(r.Outcome.Faults),
	}
}

func recordFromWire(w *aubwire.TicketRecord) (Record, error) {
	r := Record{Outcome: aubapi.TicketOutcome{
		Number:  w.GetNumber(),
		Status:  aubapi.TicketStatus(w.GetStatus()),
		Version: w.GetVersion(),
		Faults:  aubcodec.FaultsFromWire(w.GetFaults()),
	}}
	if n := copy(r.Digest[:], w.GetDigest()); n != len(r.Digest) {
		return Record{}, fmt.Errorf("record of ticket %d has a digest of %d bytes", w.GetNumber(), n)
	}
	return r, nil
}

func compareNumbers(a, b *aubwire.ObjectNumber) int {
	return cmp.Or(
		cmp.Compare(a.GetId().GetKind(), b.GetId().GetKind()),
		cmp.Compare(a.GetId().GetName(), b.GetId().GetName()),
	)
}
