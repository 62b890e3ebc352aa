package aubcontrol

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubconsensus"
	"github.com/auburndale/auburndale/internal/aubstore"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// RestoreOpts says from what a site starts again after it lost a majority of its
// disks. No replica of the site may run.
type RestoreOpts struct {
	Member  string
	Address string
	// DataDir is a survivor's folder, or an empty one when a snapshot is given.
	DataDir string
	// Snapshot is what ExportSnapshot returned; nil means to go on from the data folder.
	Snapshot []byte
	// AcceptLoss must be set: commands that only the lost disks held are lost.
	AcceptLoss bool
}

// RestoreReport says what a restore went on from.
type RestoreReport struct {
	// Index is the last log entry that the restored site holds.
	Index uint64
	// ClusterID is the new identity of the site; older folders do not fit it.
	ClusterID string
}

// Restore makes one replica the only voter of a new site. The other replicas then
// start on empty folders and are taken in one after another.
func Restore(common aubcommon.Common, opts RestoreOpts) (RestoreReport, error) {
	if !opts.AcceptLoss {
		return RestoreReport{}, &RestoreError{Reason: "the loss of what only the lost disks held must be accepted"}
	}
	disk, err := aubstore.Open(common, aubstore.Opts{DataDir: opts.DataDir, Member: opts.Member})
	if err != nil {
		return RestoreReport{}, &StorageError{Err: err}
	}
	defer disk.Close()
	self := aubconsensus.Peer{Name: opts.Member, Address: opts.Address}
	result, err := restoreDisk(disk, self, opts.Snapshot)
	if err != nil {
		return RestoreReport{}, &RestoreError{Reason: "the folder can't be used", Err: err}
	}
	return RestoreReport{Index: result.Index, ClusterID: result.ClusterID}, nil
}

func restoreDisk(disk aubconsensus.Disk, self aubconsensus.Peer, encodedExport []byte) (aubconsensus.Restored, error) {
	if encodedExport == nil {
		return aubconsensus.RestoreSurvivor(disk, self)
	}
	export := &aubwire.StoreExport{}
	if err := proto.Unmarshal(encodedExport, export); err != nil {
		return aubconsensus.Restored{}, err
	}
	return aubconsensus.RestoreExport(disk, self, export)
}

// ExportSnapshot returns the whole state applied here, for Restore. Confirm first
// to hold everything that was committed until now.
func (r *Replica) ExportSnapshot(ctx context.Context) ([]byte, error) {
	snap, err := r.node.ExportSnapshot(ctx)
	if err != nil {
		return nil, &StorageError{Err: err}
	}
	return proto.Marshal(&aubwire.StoreExport{Snapshot: snap})
}

// ExportSnapshot returns everything that a stopped replica's folder holds, for
// Restore.
func ExportSnapshot(common aubcommon.Common, dataDir, member string) ([]byte, error) {
	disk, err := aubstore.Open(common, aubstore.Opts{DataDir: dataDir, Member: member})
	if err != nil {
		return nil, &StorageError{Err: err}
	}
	defer disk.Close()
	export, err := aubconsensus.ExportDisk(disk)
	if err != nil {
		return nil, &RestoreError{Reason: "the folder can't be exported", Err: err}
	}
	return proto.Marshal(export)
}
