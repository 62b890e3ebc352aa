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
	log, err := newMemoryLog(state)
	if err != nil {
		return Restored{}, err
	}
	term := state.HardState.GetTerm() + restoredTermStep
	members := restoredMembership(disk, self)
	data, err := proto.Marshal(members)
	if err != nil {
		return Restored{}, err
	}
	index := log.lastIndex() + 1
	err = disk.Save(aubstore.Update{
		HardState: &aubwire.HardState{Term: term},
		Entries: []*aubwire.LogEntry{{
			Index: index,
			Term:  term,
			Kind:  aubwire.EntryKind_ENTRY_KIND_MEMBERSHIP,
			Data:  data,
		}},
	})
	return Restored{Index: index, ClusterID: members.GetClusterId()}, err
}

// RestoreSnapshot starts a new cluster with one voter from a snapshot, on an
// empty disk. What was committed after the snapshot is lost.
func RestoreSnapshot(disk Disk, self Peer, snap *aubwire.LogSnapshot) (Restored, error) {
	state, err := disk.Load()
	if err != nil {
		return Restored{}, err
	}
	if state.Snapshot != nil {
		return Restored{}, &RestoreError{Reason: "the data folder holds a cluster already"}
	}
	term := snap.GetTerm() + restoredTermStep
	members := restoredMembership(disk, self)
	err = disk.Save(aubstore.Update{
		HardState: &aubwire.HardState{Term: term},
		Snapshot: &aubwire.LogSnapshot{
			Index:      snap.GetIndex(),
			Term:       snap.GetTerm(),
			Membership: members,
			Data:       snap.GetData(),
		},
	})
	return Restored{Index: snap.GetIndex(), ClusterID: members.GetClusterId()}, err
}

func restoredMembership(disk Disk, self Peer) *aubwire.Membership {
	return &aubwire.Membership{
		ClusterId: uuid.NewString(),
		Voters:    []*aubwire.ConsensusMember{{DiskId: disk.DiskID(), Name: self.Name, Address: self.Address}},
	}
}
