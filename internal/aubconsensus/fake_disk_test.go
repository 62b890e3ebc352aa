package aubconsensus_test

import (
	"errors"
	"slices"
	"sync"

	"github.com/google/uuid"

	"github.com/auburndale/auburndale/internal/aubstore"
	"github.com/auburndale/auburndale/internal/aubwire"
)

var errDisk = errors.New("fake disk: write failed")

// diskFault is what the next write of a disk meets.
type diskFault int

const (
	noFault diskFault = iota
	// crashBeforeSync loses the write; crashAfterSync keeps it. Both stop the replica.
	crashBeforeSync
	crashAfterSync
	// diskFull fails the write and every later one until a restart.
	diskFull
)

// platter is what a fake disk keeps over restarts.
type platter struct {
	mu          sync.Mutex
	id          string
	afterDamage bool
	hard        *aubwire.HardState
	snapshot    *aubwire.LogSnapshot
	entries     []*aubwire.LogEntry
	fault       diskFault
	session     *fakeDisk
}

func newPlatter(afterDamage bool) *platter {
	return &platter{id: uuid.NewString(), hard: &aubwire.HardState{}, afterDamage: afterDamage}
}

// open starts a session; older ones can't write any more.
func (p *platter) open() *fakeDisk {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = noFault
	p.session = &fakeDisk{platter: p}
	return p.session
}

func (p *platter) setFault(f diskFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// fakeDisk is one replica process's access to a platter.
type fakeDisk struct {
	platter *platter
	failed  bool
}

func (d *fakeDisk) DiskID() string    { return d.platter.id }
func (d *fakeDisk) AfterDamage() bool { return d.platter.afterDamage }

func (d *fakeDisk) Load() (aubstore.State, error) {
	p := d.platter
	p.mu.Lock()
	defer p.mu.Unlock()
	return aubstore.State{HardState: p.hard, Snapshot: p.snapshot, Entries: slices.Clone(p.entries)}, nil
}

func (d *fakeDisk) Save(u aubstore.Update) error {
	p := d.platter
	p.mu.Lock()
	defer p.mu.Unlock()
	if d.failed || p.session != d {
		return errDisk
	}
	d.failed = p.fault != noFault
	if p.fault == noFault || p.fault == crashAfterSync {
		p.write(u)
	}
	if d.failed {
		return errDisk
	}
	return nil
}

func (p *platter) write(u aubstore.Update) {
	if u.HardState != nil {
		p.hard = u.HardState
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
	p := d.platter
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.snapshot, nil
}

func (d *fakeDisk) Close() error { return nil }
