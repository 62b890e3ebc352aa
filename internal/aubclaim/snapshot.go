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
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(t.claims.wire())
	return data, oops.In("claims").Wrapf(err, "encode snapshot")
}

// Restore implements aubcontrol.Table.
func (t *Table) Restore(data []byte) error {
	snapshot := &aubwire.ClaimSnapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return oops.In("claims").Wrapf(err, "decode snapshot")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.claims = restoreClaimSet(snapshot)
	return nil
}

func (s *claimSet) wire() *aubwire.ClaimSnapshot {
	snapshot := &aubwire.ClaimSnapshot{ClockNs: int64(s.clock)}
	for _, id := range slices.SortedFunc(maps.Keys(s.entries), ID.compare) {
		snapshot.Entries = append(snapshot.Entries, s.entries[id].wire())
	}
	for _, r := range s.released.attempts() {
		snapshot.Released = append(snapshot.Released, &aubwire.ClaimReleased{
			Attempt:   r.id,
			KeepEndNs: int64(r.expiresAt),
		})
	}
	for _, instance := range slices.Sorted(maps.Keys(s.minIncarnation)) {
		snapshot.Retired = append(snapshot.Retired, &aubwire.ClaimRetired{
			Instance:    instance,
			Incarnation: s.minIncarnation[instance],
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
		HoldEndNs: int64(e.deadline),
		KeepEndNs: int64(e.expiresAt),
	}
}

func restoreClaimSet(snapshot *aubwire.ClaimSnapshot) *claimSet {
	s := newClaimSet()
	s.clock = time.Duration(snapshot.GetClockNs())
	for _, e := range snapshot.GetEntries() {
		s.add(&entry{
			id:        newID(e.GetId()),
			owner:     newAttempt(e.GetOwner()),
			digest:    e.GetDigest(),
			state:     e.GetState(),
			outcome:   e.GetOutcome(),
			deadline:  time.Duration(e.GetHoldEndNs()),
			expiresAt: time.Duration(e.GetKeepEndNs()),
		})
	}
	for _, r := range snapshot.GetReleased() {
		s.released.add(r.GetAttempt(), time.Duration(r.GetKeepEndNs()), len(snapshot.GetReleased()))
	}
	for _, r := range snapshot.GetRetired() {
		s.minIncarnation[r.GetInstance()] = r.GetIncarnation()
	}
	return s
}
