package aubconsensus

import (
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubstore"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// restoredTermStep keeps the terms of a restored cluster apart from the old ones.
const restoredTermStep = 1 << 20

// RestoreError says why a restore is refused.
type RestoreError struct {
	Reason string
}

// Error implements error.
func (e *RestoreError) Error() string { return "restore refused: " + e.Reason }

// Restored says what a restored cluster goes on from.
type Restored struct {
	Index     uint64
	ClusterID string
}

// RestoreSurvivor makes the replica on the disk the only voter of a new cluster
// that goes on from everything the disk holds. What only the lost disks held is
// lost. The node of the disk must not run.
func RestoreSurvivor(disk Disk, self Peer) (Restored, error) {
	state, err := disk.Load()
	if err != nil {
		return Restored{}, err
	}
	if state.Snapshot == nil {
		return Restored{}, &RestoreError{Reason: "the data folder holds no cluster"}
	}
	return restoreAsSoleVoter(disk, self, state)
}

// RestoreExport starts a new cluster with one voter from an export, on an empty
// disk. What was committed after the export is lost.
func RestoreExport(disk Disk, self Peer, export *aubwire.StoreExport) (Restored, error) {
	state, err := disk.Load()
	if err != nil {
		return Restored{}, err
	}
	if state.Snapshot != nil {
		return Restored{}, &RestoreError{Reason: "the data folder holds a cluster already"}
	}
	if export.GetSnapshot() == nil {
		return Restored{}, &RestoreError{Reason: "the export is empty"}
	}
	state.Snapshot = export.GetSnapshot()
	state.Entries = export.GetEntries()
	return restoreAsSoleVoter(disk, self, state)
}

// restoreAsSoleVoter ends the log by a set of members with this replica as the only voter.
// Every earlier set gets the new cluster's identity: a joining replica passes
// through them and would leave a cluster with another identity than its leader's.
func restoreAsSoleVoter(disk Disk, self Peer, state aubstore.State) (Restored, error) {
	log, err := newMemoryLog(state)
	if err != nil {
		return Restored{}, err
	}
	members := restoredMembership(disk, self)
	data, err := proto.Marshal(members)
	if err != nil {
		return Restored{}, err
	}
	u, err := rewriteClusterID(state, members.GetClusterId())
	if err != nil {
		return Restored{}, err
	}
	index := log.lastIndex() + 1
	term := max(state.HardState.GetTerm(), log.lastTerm()) + restoredTermStep
	u.HardState = &aubwire.HardState{Term: term}
	u.Entries = append(u.Entries, &aubwire.LogEntry{
		Index: index,
		Term:  term,
		Kind:  aubwire.EntryKind_ENTRY_KIND_MEMBERSHIP,
		Data:  data,
	})
	return Restored{Index: index, ClusterID: members.GetClusterId()}, disk.Save(u)
}

// rewriteClusterID returns the update that rewrites the identity of the cluster in
// the snapshot and in every membership entry.
func rewriteClusterID(state aubstore.State, id string) (aubstore.Update, error) {
	snapshot := proto.CloneOf(state.Snapshot)
	if snapshot.GetMembership() != nil {
		snapshot.Membership.ClusterId = id
	}
	u := aubstore.Update{Snapshot: snapshot, Entries: make([]*aubwire.LogEntry, 0, len(state.Entries)+1)}
	for _, e := range state.Entries {
		rewritten, err := rewriteEntryClusterID(e, id)
		if err != nil {
			return aubstore.Update{}, err
		}
		u.Entries = append(u.Entries, rewritten)
	}
	if len(u.Entries) > 0 {
		u.TruncateFrom = u.Entries[0].GetIndex()
	}
	return u, nil
}

func rewriteEntryClusterID(e *aubwire.LogEntry, id string) (*aubwire.LogEntry, error) {
	if e.GetKind() != aubwire.EntryKind_ENTRY_KIND_MEMBERSHIP {
		return e, nil
	}
	members := &aubwire.Membership{}
	if err := proto.Unmarshal(e.GetData(), members); err != nil {
		return nil, err
	}
	members.ClusterId = id
	data, err := proto.Marshal(members)
	if err != nil {
		return nil, err
	}
	rewritten := proto.CloneOf(e)
	rewritten.Data = data
	return rewritten, nil
}

// ExportDisk returns everything that the disk of a stopped node holds.
func ExportDisk(disk Disk) (*aubwire.StoreExport, error) {
	state, err := disk.Load()
	if err != nil {
		return nil, err
	}
	if state.Snapshot == nil {
		return nil, &RestoreError{Reason: "the data folder holds no cluster"}
	}
	return &aubwire.StoreExport{Snapshot: state.Snapshot, Entries: state.Entries}, nil
}

func restoredMembership(disk Disk, self Peer) *aubwire.Membership {
	return &aubwire.Membership{
		ClusterId: uuid.NewString(),
		Voters:    []*aubwire.ConsensusMember{{DiskId: disk.DiskID(), Name: self.Name, Address: self.Address}},
	}
}
