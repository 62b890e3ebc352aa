// Package aubincarnation holds what control processes have acknowledged about incarnations of
// backend servers: their departures, and starts after an earlier incarnation under the same id.
// The replicated table survives the end of all processes, so that a registration which arrives
// late brings no incarnation back.
package aubincarnation

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// TableName is the name of the replicated table.
const TableName = "incarnations"

const (
	// Retention is how long an incarnation is held after its last command: longer than a sender's
	// kernel repeats data that is not acknowledged, about 15 minutes.
	Retention = 16 * time.Minute
	// minRetention is the age from which an incarnation yields to a new one while the table is full.
	// Registrations arrive seconds late.
	minRetention = 2 * time.Minute
	// maxBytes limits the table, maxUnlistedBytes the part of it for services that the configuration
	// does not name.
	maxBytes         = 512 << 10
	maxUnlistedBytes = maxBytes / 8
	// recordOverhead is what a record takes beside its names, in bytes.
	recordOverhead = 64
)

// Key identifies the backend server of an incarnation. Another writer may register under the id of
// a backend server for another service.
type Key struct {
	ID      string
	Service string
}

// KeyOf returns the key of the incarnation.
func KeyOf(incarnation *aubwire.Incarnation) Key {
	return Key{ID: incarnation.GetId(), Service: incarnation.GetService()}
}

func (k Key) size() int { return len(k.ID) + len(k.Service) + recordOverhead }

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Service, b.Service))
}

// Merge returns what is known of a backend server after both statements: that of the later
// incarnation or, for the same one, its latest state. Held may be nil.
func Merge(held, next *aubwire.Incarnation) *aubwire.Incarnation {
	switch {
	case held == nil || next.GetStartedMs() > held.GetStartedMs():
		return next
	case next.GetStartedMs() < held.GetStartedMs() || next.GetState() <= held.GetState() && next.GetSequence() <= held.GetSequence():
		return held
	}
	merged := proto.CloneOf(next)
	merged.State, merged.Sequence = max(held.GetState(), next.GetState()), max(held.GetSequence(), next.GetSequence())
	return merged
}

// record is one entry of the table.
type record struct {
	incarnation *aubwire.Incarnation
	isUnlisted  bool
	// committedAt is the replicated clock of the last command about the incarnation, index the position
	// in the log of its last change.
	committedAt time.Duration
	index       uint64
}

// Table is the replicated table of incarnations.
//
// Lock order: mu is a leaf lock.
type Table struct {
	mu sync.RWMutex
	// clock is the replicated clock at the last applied command.
	clock   time.Duration
	records map[Key]record
	// size and unlistedSize are those of all records and of those of unlisted services, in bytes.
	size         int
	unlistedSize int
	// index is the position in the log of the last change, changed is closed by the next one.
	index   uint64
	changed chan struct{}
}

var _ aubcontrol.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: make(map[Key]record), changed: make(chan struct{})}
}

// Name implements aubcontrol.Table.
func (t *Table) Name() string { return TableName }

// Apply implements aubcontrol.Table. The command is an IncarnationCommand, the result an
// IncarnationResult. A command about an incarnation before the held one changes nothing.
func (t *Table) Apply(cmd aubcontrol.Command) []byte {
	var command aubwire.IncarnationCommand
	if err := proto.Unmarshal(cmd.Body, &command); err != nil || command.GetIncarnation().GetId() == "" {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clock = cmd.Clock
	t.evict(func(r record) bool { return t.clock-r.committedAt > Retention })
	// Marshaling a message without required fields does not fail.
	data, _ := proto.Marshal(&aubwire.IncarnationResult{Held: t.apply(&command, cmd.Index)})
	return data
}

// apply merges a command and reports whether the table has room for it; the caller holds mu.
func (t *Table) apply(command *aubwire.IncarnationCommand, index uint64) bool {
	key := KeyOf(command.GetIncarnation())
	held, isHeld := t.records[key]
	next := record{
		incarnation: Merge(held.incarnation, command.GetIncarnation()), isUnlisted: command.GetUnlisted(), committedAt: t.clock, index: held.index,
	}
	if isHeld && held.incarnation == next.incarnation {
		// A repeated command extends the time for which the record is held. A late one does not.
		if command.GetIncarnation().GetStartedMs() == held.incarnation.GetStartedMs() {
			held.committedAt = t.clock
			t.records[key] = held
		}
		return true
	}
	t.remove(key)
	if !t.hasRoom(key, next.isUnlisted) {
		t.evict(func(r record) bool { return t.clock-r.committedAt > minRetention && r.isUnlisted == next.isUnlisted })
	}
	if !t.hasRoom(key, next.isUnlisted) {
		if isHeld {
			t.add(key, held)
		}
		return false
	}
	next.index = index
	t.add(key, next)
	t.index = index
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// hasRoom reports whether a record with the key fits; the caller holds mu.
func (t *Table) hasRoom(key Key, isUnlisted bool) bool {
	return t.size+key.size() <= maxBytes && (!isUnlisted || t.unlistedSize+key.size() <= maxUnlistedBytes)
}

// add stores a record under a key that has none; the caller holds mu.
func (t *Table) add(key Key, r record) {
	t.records[key] = r
	t.size += key.size()
	if r.isUnlisted {
		t.unlistedSize += key.size()
	}
}

// remove removes the record with the key, if there is one; the caller holds mu.
func (t *Table) remove(key Key) {
	r, ok := t.records[key]
	if !ok {
		return
	}
	delete(t.records, key)
	t.size -= key.size()
	if r.isUnlisted {
		t.unlistedSize -= key.size()
	}
}

// evict removes the records for which the condition holds; the caller holds mu.
func (t *Table) evict(condition func(r record) bool) {
	for key, r := range t.records {
		if condition(r) {
			t.remove(key)
		}
	}
}

// Holds reports whether the table holds the incarnation in the state, or one after it, for at least
// half of Retention from the last command on. A record closer to its end may already have expired in
// the table of the leader.
func (t *Table) Holds(incarnation *aubwire.Incarnation) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	held, ok := t.records[KeyOf(incarnation)]
	if !ok || t.clock-held.committedAt > Retention/2 {
		return false
	}
	return held.incarnation.GetStartedMs() > incarnation.GetStartedMs() ||
		held.incarnation.GetStartedMs() == incarnation.GetStartedMs() && held.incarnation.GetState() >= incarnation.GetState()
}

// ChangedSince returns the incarnations that changed after the position in the log in the order of
// their keys, the position up to which they are complete, and a channel that is closed by the next
// change.
func (t *Table) ChangedSince(index uint64) ([]*aubwire.Incarnation, uint64, <-chan struct{}) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var changed []*aubwire.Incarnation
	for _, r := range t.records {
		if r.index > index {
			changed = append(changed, r.incarnation)
		}
	}
	slices.SortFunc(changed, func(a, b *aubwire.Incarnation) int { return compareKeys(KeyOf(a), KeyOf(b)) })
	return changed, t.index, t.changed
}

// Size returns the number of records and what they take in bytes.
func (t *Table) Size() (records, bytes int) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.records), t.size
}

// Snapshot implements aubcontrol.Table.
func (t *Table) Snapshot() ([]byte, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	snapshot := &aubwire.IncarnationSnapshot{ClockMs: t.clock.Milliseconds(), Index: t.index}
	for _, key := range slices.SortedFunc(maps.Keys(t.records), compareKeys) {
		r := t.records[key]
		snapshot.Records = append(snapshot.Records, &aubwire.IncarnationRecord{
			Incarnation: r.incarnation, Unlisted: r.isUnlisted, CommittedMs: r.committedAt.Milliseconds(), Index: r.index,
		})
	}
	data, err := proto.Marshal(snapshot)
	if err != nil {
		return nil, &SnapshotError{Err: err}
	}
	return data, nil
}

// Restore implements aubcontrol.Table. The error is *SnapshotError.
func (t *Table) Restore(data []byte) error {
	var snapshot aubwire.IncarnationSnapshot
	if err := proto.Unmarshal(data, &snapshot); err != nil {
		return &SnapshotError{Err: err}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clock, t.index = time.Duration(snapshot.GetClockMs())*time.Millisecond, snapshot.GetIndex()
	t.records, t.size, t.unlistedSize = make(map[Key]record, len(snapshot.GetRecords())), 0, 0
	for _, r := range snapshot.GetRecords() {
		t.add(KeyOf(r.GetIncarnation()), record{
			incarnation: r.GetIncarnation(), isUnlisted: r.GetUnlisted(),
			committedAt: time.Duration(r.GetCommittedMs()) * time.Millisecond, index: r.GetIndex(),
		})
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return nil
}
