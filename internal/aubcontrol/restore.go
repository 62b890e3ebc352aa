package aubcontrol

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubconsensus"
	"github.com/auburndale/auburndale/internal/aubstore"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// RestoreOpts selects the state from which a site restarts after it lost a
// majority of its disks. No replica of the site may be running.
type RestoreOpts struct {
	Member  string
	Address string
	// DataDir is the folder of a surviving replica, or an empty one if Snapshot
	// is set.
	DataDir string
	// Snapshot is the result of ExportSnapshot; nil restores from the data
	// folder.
	Snapshot []byte
	// AcceptLoss must be set, because commands that only the lost disks held are
	// lost.
	AcceptLoss bool
}

// RestoreReport is the result of a restore.
type RestoreReport struct {
	// Index is the last log index of the restored site.
	Index uint64
	// ClusterID is the new identity of the site; replicas on older folders can't
	// join it.
	ClusterID string
}

// Restore makes one replica the only voter of a new site. The other replicas
// then start on empty folders and are admitted one after another.
func Restore(common aubcommon.Common, opts RestoreOpts) (RestoreReport, error) {
	if !opts.AcceptLoss {
		return RestoreReport{}, &RestoreError{Reason: "the loss of all data that only the lost disks held must be accepted"}
	}
	disk, err := aubstore.Open(common, aubstore.Opts{DataDir: opts.DataDir, Member: opts.Member})
	if err != nil {
		return RestoreReport{}, &StorageError{Err: err}
	}
	defer disk.Close()
	self := aubconsensus.Peer{Name: opts.Member, Address: opts.Address}
	result, err := restoreDisk(disk, self, opts.Snapshot)
	if err != nil {
		return RestoreReport{}, &RestoreError{Reason: "the data folder can't be used", Err: err}
	}
	return RestoreReport{Index: result.Index, ClusterID: result.ClusterID}, nil
}

func restoreDisk(disk aubconsensus.Disk, self aubconsensus.Peer, encodedExport []byte) (aubconsensus.RestoreResult, error) {
	if encodedExport == nil {
		return aubconsensus.RestoreFromDisk(disk, self)
	}
	export := &aubwire.StoreExport{}
	if err := proto.Unmarshal(encodedExport, export); err != nil {
		return aubconsensus.RestoreResult{}, err
	}
	return aubconsensus.RestoreFromExport(disk, self, export)
}

// ExportSnapshot returns the whole state applied on this replica, for Restore.
// Call Confirm first to include everything committed until now.
func (r *Replica) ExportSnapshot(ctx context.Context) ([]byte, error) {
	snap, err := r.node.ExportSnapshot(ctx)
	if err != nil {
		return nil, &StorageError{Err: err}
	}
	return proto.Marshal(&aubwire.StoreExport{Snapshot: snap})
}

// ExportSnapshot returns everything in the folder of a stopped replica, for
// Restore.
func ExportSnapshot(common aubcommon.Common, dataDir, member string) ([]byte, error) {
	disk, err := aubstore.Open(common, aubstore.Opts{DataDir: dataDir, Member: member})
	if err != nil {
		return nil, &StorageError{Err: err}
	}
	defer disk.Close()
	export, err := aubconsensus.ExportDisk(disk)
	if err != nil {
		return nil, &RestoreError{Reason: "the data folder can't be exported", Err: err}
	}
	return proto.Marshal(export)
}
