package aubconsensus

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubstore"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// memoryLog holds the entries that are not compacted yet, the memberships by
// index, and the pending disk update with all changes.
type memoryLog struct {
	entries     []*aubwire.LogEntry
	snapIndex   uint64
	snapTerm    uint64
	memberships []indexedMembership
	update      aubstore.Update
}

type indexedMembership struct {
	index uint64
	set   membership
}

func newMemoryLog(state aubstore.State) (*memoryLog, error) {
	l := &memoryLog{entries: state.Entries, snapIndex: state.Snapshot.GetIndex(), snapTerm: state.Snapshot.GetTerm()}
	l.memberships = []indexedMembership{{index: l.snapIndex, set: membership{wire: state.Snapshot.GetMembership()}}}
	for _, e := range l.entries {
		if e.GetIndex() <= l.snapIndex {
			continue
		}
		if err := l.recordMembership(e); err != nil {
			return nil, err
		}
	}
	return l, nil
}

func (l *memoryLog) recordMembership(e *aubwire.LogEntry) error {
	if e.GetKind() != aubwire.EntryKind_ENTRY_KIND_MEMBERSHIP {
		return nil
	}
	wire := &aubwire.Membership{}
	if err := proto.Unmarshal(e.GetData(), wire); err != nil {
		return err
	}
	l.memberships = append(l.memberships, indexedMembership{index: e.GetIndex(), set: membership{wire: wire}})
	return nil
}

// membership returns the newest membership; it is effective once it is in the
// log, before it is committed.
func (l *memoryLog) membership() membership { return l.memberships[len(l.memberships)-1].set }

// membershipIndex returns the index of the newest membership.
func (l *memoryLog) membershipIndex() uint64 { return l.memberships[len(l.memberships)-1].index }

// membershipAt returns the membership that is effective at the index.
func (l *memoryLog) membershipAt(index uint64) membership {
	set := l.memberships[0].set
	for _, m := range l.memberships {
		if m.index <= index {
			set = m.set
		}
	}
	return set
}

func (l *memoryLog) lastIndex() uint64 {
	if n := len(l.entries); n > 0 {
		return max(l.entries[n-1].GetIndex(), l.snapIndex)
	}
	return l.snapIndex
}

func (l *memoryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at the index, or false if it is unknown.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	if e, ok := l.entry(index); ok {
		return e.GetTerm(), true
	}
	if index == l.snapIndex {
		return l.snapTerm, true
	}
	return 0, false
}

func (l *memoryLog) entry(index uint64) (*aubwire.LogEntry, bool) {
	if len(l.entries) == 0 || index < l.entries[0].GetIndex() {
		return nil, false
	}
	i := index - l.entries[0].GetIndex()
	if i >= uint64(len(l.entries)) {
		return nil, false
	}
	return l.entries[i], true
}

// slice returns the entries from the index on, with at most maxBytes of data but
// at least one entry.
func (l *memoryLog) slice(from uint64, maxBytes int) []*aubwire.LogEntry {
	if _, ok := l.entry(from); !ok {
		return nil
	}
	suffix := l.entries[from-l.entries[0].GetIndex():]
	size := 0
	for i, e := range suffix {
		size += len(e.GetData())
		if i > 0 && size > maxBytes {
			return suffix[:i:i]
		}
	}
	return suffix[:len(suffix):len(suffix)]
}

// append adds entries at the end of the log.
func (l *memoryLog) append(entries ...*aubwire.LogEntry) error {
	for _, e := range entries {
		if err := l.recordMembership(e); err != nil {
			return err
		}
	}
	l.entries = append(l.entries, entries...)
	l.update.Entries = append(l.update.Entries, entries...)
	return nil
}

// truncate removes the entries from the index on.
func (l *memoryLog) truncate(from uint64) {
	if e := l.entries; len(e) > 0 && from >= e[0].GetIndex() {
		l.entries = slices.Clone(e[:from-e[0].GetIndex()])
	} else {
		l.entries = nil
	}
	for len(l.memberships) > 1 && l.membershipIndex() >= from {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
	l.update.Entries = slices.DeleteFunc(l.update.Entries, func(e *aubwire.LogEntry) bool { return e.GetIndex() >= from })
	if l.update.TruncateFrom == 0 || from < l.update.TruncateFrom {
		l.update.TruncateFrom = from
	}
}

// compact replaces older entries by a snapshot of the applied state. At most keep entries before it,
// with keepBytes of commands or a single entry, stay for slow followers.
func (l *memoryLog) compact(snap *aubwire.LogSnapshot, keep uint64, keepBytes int) {
	l.setSnapshot(snap)
	if len(l.entries) == 0 {
		return
	}
	first := l.entries[0].GetIndex()
	last, kept := snap.GetIndex(), 0
	for last >= first && snap.GetIndex()-last < keep {
		size := len(l.entries[last-first].GetData())
		if kept > 0 && kept+size > keepBytes {
			break
		}
		kept += max(size, 1)
		last--
	}
	if last < first {
		return
	}
	l.entries = slices.Clone(l.entries[last-first+1:])
	l.update.CompactTo = last
}

// replace replaces the whole log by a received snapshot.
func (l *memoryLog) replace(snap *aubwire.LogSnapshot) {
	l.entries = nil
	l.update.Entries = nil
	l.update.TruncateFrom = 1
	l.memberships = nil
	l.setSnapshot(snap)
}

func (l *memoryLog) setSnapshot(snap *aubwire.LogSnapshot) {
	l.snapIndex = snap.GetIndex()
	l.snapTerm = snap.GetTerm()
	l.update.Snapshot = snap
	retained := []indexedMembership{{index: l.snapIndex, set: membership{wire: snap.GetMembership()}}}
	for _, m := range l.memberships {
		if m.index > l.snapIndex {
			retained = append(retained, m)
		}
	}
	l.memberships = retained
}

// takeUpdate returns the disk update with the changes since the last call.
func (l *memoryLog) takeUpdate() aubstore.Update {
	u := l.update
	l.update = aubstore.Update{}
	return u
}
