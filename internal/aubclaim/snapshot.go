package aubclaim

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// Snapshot implements aubcontrol.Table.
func (t *Table) Snapshot() ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(t.state.wire())
	return data, oops.In("claims").Wrapf(err, "encode snapshot")
}

// Restore implements aubcontrol.Table.
func (t *Table) Restore(data []byte) error {
	s := &aubwire.ClaimSnapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return oops.In("claims").Wrapf(err, "decode snapshot")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = restoreState(s)
	return nil
}

func (s *state) wire() *aubwire.ClaimSnapshot {
	snapshot := &aubwire.ClaimSnapshot{ClockNs: int64(s.clock)}
	for _, id := range slices.SortedFunc(maps.Keys(s.entries), ID.compare) {
		snapshot.Entries = append(snapshot.Entries, s.entries[id].wire())
	}
	for _, r := range s.released.all() {
		snapshot.Released = append(snapshot.Released, &aubwire.ClaimReleased{
			Attempt:   r.attempt,
			KeepEndNs: int64(r.keepEnd),
		})
	}
	for _, instance := range slices.Sorted(maps.Keys(s.retired)) {
		snapshot.Retired = append(snapshot.Retired, &aubwire.ClaimRetired{
			Instance:    instance,
			Incarnation: s.retired[instance],
		})
	}
	return snapshot
}

func (e *entry) wire() *aubwire.ClaimEntry {
	return &aubwire.ClaimEntry{
		Id:        e.id.wire(),
		Owner:     e.owner.wire(),
		Digest:    e.digest,
		State:     e.state,
		Outcome:   e.outcome,
		HoldEndNs: int64(e.holdEnd),
		KeepEndNs: int64(e.keepEnd),
	}
}

func restoreState(snapshot *aubwire.ClaimSnapshot) *state {
	s := newState()
	s.clock = time.Duration(snapshot.GetClockNs())
	for _, e := range snapshot.GetEntries() {
		s.add(&entry{
			id:      newID(e.GetId()),
			owner:   newAttempt(e.GetOwner()),
			digest:  e.GetDigest(),
			state:   e.GetState(),
			outcome: e.GetOutcome(),
			holdEnd: time.Duration(e.GetHoldEndNs()),
			keepEnd: time.Duration(e.GetKeepEndNs()),
		})
	}
	for _, r := range snapshot.GetReleased() {
		s.released.add(r.GetAttempt(), time.Duration(r.GetKeepEndNs()), len(snapshot.GetReleased()))
	}
	for _, r := range snapshot.GetRetired() {
		s.retired[r.GetInstance()] = r.GetIncarnation()
	}
	return s
}
