package aubconsensus_test

import (
	"errors"
	"slices"
	"sync"

	"github.com/google/uuid"

	"github.com/auburndale/auburndale/internal/aubstore"
	"github.com/auburndale/auburndale/internal/aubwire"
)

var errDiskWrite = errors.New("fake disk: write failed")

// diskFault is the fault of a disk's next write.
type diskFault int

const (
	noFault diskFault = iota
	// crashBeforeSync loses the write, crashAfterSync keeps it; both stop the
	// replica.
	crashBeforeSync
	crashAfterSync
	// diskFull fails the write and every later one until a restart.
	diskFull
)

// storedDisk is the durable state of a fake disk; it survives restarts.
type storedDisk struct {
	mu          sync.Mutex
	id          string
	afterDamage bool
	hardState   *aubwire.HardState
	snapshot    *aubwire.LogSnapshot
	entries     []*aubwire.LogEntry
	fault       diskFault
	session     *fakeDisk
}

func newStoredDisk(afterDamage bool) *storedDisk {
	return &storedDisk{id: uuid.NewString(), hardState: &aubwire.HardState{}, afterDamage: afterDamage}
}

// open starts a session; sessions opened before can't write any more.
func (p *storedDisk) open() *fakeDisk {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = noFault
	p.session = &fakeDisk{stored: p}
	return p.session
}

func (p *storedDisk) setFault(f diskFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// fakeDisk is one session of a replica on a storedDisk.
type fakeDisk struct {
	stored *storedDisk
	failed bool
}

func (d *fakeDisk) DiskID() string    { return d.stored.id }
func (d *fakeDisk) AfterDamage() bool { return d.stored.afterDamage }

func (d *fakeDisk) Load() (aubstore.State, error) {
	p := d.stored
	p.mu.Lock()
	defer p.mu.Unlock()
	return aubstore.State{HardState: p.hardState, Snapshot: p.snapshot, Entries: slices.Clone(p.entries)}, nil
}

func (d *fakeDisk) Save(u aubstore.Update) error {
	p := d.stored
	p.mu.Lock()
	defer p.mu.Unlock()
	if d.failed || p.session != d {
		return errDiskWrite
	}
	d.failed = p.fault != noFault
	if p.fault == noFault || p.fault == crashAfterSync {
		p.write(u)
	}
	if d.failed {
		return errDiskWrite
	}
	return nil
}

func (p *storedDisk) write(u aubstore.Update) {
	if u.HardState != nil {
		p.hardState = u.HardState
	}
	if u.Snapshot != nil {
		p.snapshot = u.Snapshot
	}
	p.entries = slices.DeleteFunc(slices.Clone(p.entries), func(e *aubwire.LogEntry) bool {
		return e.GetIndex() <= u.CompactTo || (u.TruncateFrom > 0 && e.GetIndex() >= u.TruncateFrom)
	})
	p.entries = append(p.entries, u.Entries...)
}

func (d *fakeDisk) LoadSnapshot() (*aubwire.LogSnapshot, error) {
	p := d.stored
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.snapshot, nil
}

func (d *fakeDisk) Close() error { return nil }
