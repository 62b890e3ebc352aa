package aubconsensus

import (
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubstore"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// restoredTermStep is added to the last term, so that a restored cluster's terms
// are above those of the old one.
const restoredTermStep = 1 << 20

// RestoreError reports why a restore or an export is refused.
type RestoreError struct {
	Reason string
}

// Error implements error.
func (e *RestoreError) Error() string { return "restore refused: " + e.Reason }

// RestoreResult is the last index and the id of a restored cluster.
type RestoreResult struct {
	Index     uint64
	ClusterID string
}

// RestoreFromDisk makes the replica on the disk the only voter of a new cluster
// that continues from everything the disk holds. Entries that only the lost
// disks held are lost. No node may be running on the disk.
func RestoreFromDisk(disk Disk, self Peer) (RestoreResult, error) {
	state, err := disk.Load()
	if err != nil {
		return RestoreResult{}, err
	}
	if state.Snapshot == nil {
		return RestoreResult{}, &RestoreError{Reason: "the data folder holds no cluster"}
	}
	return restoreAsSoleVoter(disk, self, state)
}

// RestoreFromExport starts a new cluster with one voter from an export, on an empty
// disk. Entries committed after the export are lost.
func RestoreFromExport(disk Disk, self Peer, export *aubwire.StoreExport) (RestoreResult, error) {
	state, err := disk.Load()
	if err != nil {
		return RestoreResult{}, err
	}
	if state.Snapshot != nil {
		return RestoreResult{}, &RestoreError{Reason: "the data folder holds a cluster already"}
	}
	if export.GetSnapshot() == nil {
		return RestoreResult{}, &RestoreError{Reason: "the export is empty"}
	}
	state.Snapshot = export.GetSnapshot()
	state.Entries = export.GetEntries()
	return restoreAsSoleVoter(disk, self, state)
}

// restoreAsSoleVoter appends a membership entry with this replica as the only
// voter. Earlier memberships get the new cluster id too: a joining replica
// passes through them while it catches up, and under the old id it would ignore
// its leader's messages.
func restoreAsSoleVoter(disk Disk, self Peer, state aubstore.State) (RestoreResult, error) {
	log, err := newMemoryLog(state)
	if err != nil {
		return RestoreResult{}, err
	}
	members := restoredMembership(disk, self)
	data, err := proto.Marshal(members)
	if err != nil {
		return RestoreResult{}, err
	}
	u, err := rewriteClusterID(state, members.GetClusterId())
	if err != nil {
		return RestoreResult{}, err
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
	return RestoreResult{Index: index, ClusterID: members.GetClusterId()}, disk.Save(u)
}

// rewriteClusterID returns the update that replaces the cluster id in the
// snapshot and in every membership entry.
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

// ExportDisk returns the snapshot and entries on the disk of a stopped node.
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
