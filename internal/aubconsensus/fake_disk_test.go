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
func (s *storedDisk) open() *fakeDisk {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = noFault
	s.session = &fakeDisk{stored: s}
	return s.session
}

func (s *storedDisk) setFault(f diskFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// fakeDisk is one session of a replica on a storedDisk.
type fakeDisk struct {
	stored *storedDisk
	failed bool
}

func (d *fakeDisk) DiskID() string    { return d.stored.id }
func (d *fakeDisk) AfterDamage() bool { return d.stored.afterDamage }

func (d *fakeDisk) Load() (aubstore.State, error) {
	stored := d.stored
	stored.mu.Lock()
	defer stored.mu.Unlock()
	return aubstore.State{HardState: stored.hardState, Snapshot: stored.snapshot, Entries: slices.Clone(stored.entries)}, nil
}

func (d *fakeDisk) Save(u aubstore.Update) error {
	stored := d.stored
	stored.mu.Lock()
	defer stored.mu.Unlock()
	if d.failed || stored.session != d {
		return errDiskWrite
	}
	d.failed = stored.fault != noFault
	if stored.fault == noFault || stored.fault == crashAfterSync {
		stored.write(u)
	}
	if d.failed {
		return errDiskWrite
	}
	return nil
}

func (s *storedDisk) write(u aubstore.Update) {
	if u.HardState != nil {
		s.hardState = u.HardState
	}
	if u.Snapshot != nil {
		s.snapshot = u.Snapshot
	}
	s.entries = slices.DeleteFunc(slices.Clone(s.entries), func(e *aubwire.LogEntry) bool {
		return e.GetIndex() <= u.CompactTo || (u.TruncateFrom > 0 && e.GetIndex() >= u.TruncateFrom)
	})
	s.entries = append(s.entries, u.Entries...)
}

func (d *fakeDisk) LoadSnapshot() (*aubwire.LogSnapshot, error) {
	stored := d.stored
	stored.mu.Lock()
	defer stored.mu.Unlock()
	return stored.snapshot, nil
}

func (d *fakeDisk) Close() error { return nil }
