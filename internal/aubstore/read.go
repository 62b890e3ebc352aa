package aubstore

import (
	"fmt"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// readAll reads and verifies all records. The identity is nil for a new store.
func readAll(tx *bbolt.Tx) (*aubwire.DiskIdentity, State, error) {
	state := State{HardState: &aubwire.HardState{}}
	meta := tx.Bucket(metaBucket)
	log := tx.Bucket(logBucket)
	if meta == nil && log == nil {
		return nil, state, nil
	}
	if meta == nil || log == nil {
		return nil, state, &CorruptError{Detail: "a bucket is missing"}
	}
	identity := &aubwire.DiskIdentity{}
	if err := decode(identityKey, meta.Get(identityKey), identity); err != nil {
		return nil, state, err
	}
	if err := decode(hardStateKey, meta.Get(hardStateKey), state.HardState); err != nil {
		return nil, state, err
	}
	var err error
	if state.Snapshot, err = readSnapshot(tx); err != nil {
		return nil, state, err
	}
	if state.Entries, err = readEntries(log, state.Snapshot); err != nil {
		return nil, state, err
	}
	return identity, state, verifySummary(meta, state)
}

// verifySummary compares the state with the stored summary. This detects records
// that are missing because part of a page was lost.
func verifySummary(meta *bbolt.Bucket, state State) error {
	want := &aubwire.StoreSummary{}
	if err := decode(summaryKey, meta.Get(summaryKey), want); err != nil {
		return err
	}
	if !proto.Equal(want, summarize(state)) {
		return &CorruptError{Detail: "records are missing"}
	}
	return nil
}

// summarize returns the summary that is stored next to the state's records.
func summarize(state State) *aubwire.StoreSummary {
	s := &aubwire.StoreSummary{
		HasSnapshot:   state.Snapshot != nil,
		SnapshotIndex: state.Snapshot.GetIndex(),
		Entries:       uint64(len(state.Entries)),
	}
	if n := len(state.Entries); n > 0 {
		s.LastIndex = state.Entries[n-1].GetIndex()
		s.LastTerm = state.Entries[n-1].GetTerm()
	}
	return s
}

// readSnapshot returns the last snapshot, or nil if there is none.
func readSnapshot(tx *bbolt.Tx) (*aubwire.LogSnapshot, error) {
	record := tx.Bucket(metaBucket).Get(snapshotKey)
	if record == nil {
		return nil, nil
	}
	snap := &aubwire.LogSnapshot{}
	if err := decode(snapshotKey, record, snap); err != nil {
		return nil, err
	}
	return snap, nil
}

// readEntries returns all log entries. They must be contiguous and leave no gap
// after the snapshot.
func readEntries(log *bbolt.Bucket, snap *aubwire.LogSnapshot) ([]*aubwire.LogEntry, error) {
	var entries []*aubwire.LogEntry
	err := log.ForEach(func(key, record []byte) error {
		e := &aubwire.LogEntry{}
		if err := decode(key, record, e); err != nil {
			return err
		}
		if n := len(entries); n > 0 && e.GetIndex() != entries[n-1].GetIndex()+1 {
			return &CorruptError{Detail: fmt.Sprintf("log has a gap before entry %d", e.GetIndex())}
		}
		entries = append(entries, e)
		return nil
	})
	if err != nil {
		return nil, err
	}
	if len(entries) > 0 && entries[0].GetIndex() > snap.GetIndex()+1 {
		return nil, &CorruptError{Detail: fmt.Sprintf("log has a gap between the snapshot and entry %d", entries[0].GetIndex())}
	}
	return entries, nil
}
