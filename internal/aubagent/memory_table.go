package aubagent

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/auburndale/auburndale/internal/aubengine"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// Refusals of the ledger.
var (
	errNoMemory  = errors.New("not enough free accelerator memory")
	errUnloading = errors.New("item is being unloaded")
	errLoading   = errors.New("item is being loaded")
	errAbsent    = errors.New("item is not resident")
	errSettling  = errors.New("orders of an earlier incarnation may still be executed")
)

// itemSpec identifies a model or adapter and its size.
type itemSpec struct {
	Name    string `json:"name"`
	Model   string `json:"model,omitempty"`
	Adapter bool   `json:"adapter,omitempty"`
	Bytes   int64  `json:"memory_bytes"`
}

// itemRecord is one item that takes memory or may come to take it.
type itemRecord struct {
	itemSpec
	state aubwire.Residency
	// inEngine is whether the engine's newest state shows the item.
	inEngine bool
	// fencingNumber and sentAt are of the newest load order for the item; while that
	// order is not settled it may still be executed, again too.
	fencingNumber uint64
	sentAt        time.Time
	settled       bool
	// sending is set while the load order is on its way to the engine.
	sending bool
	// revision is the ledger's at the newest order for the item. A state that
	// was asked for earlier says nothing of it.
	revision uint64
	// unloading is set while an unloading order is to be carried through.
	unloading bool
}

// memoryTableOpts configures a ledger.
type memoryTableOpts struct {
	capacity      int64
	checksFence   bool
	orderLifetime time.Duration
}

// memoryTable counts the accelerator memory that is resident, loading or tied to an
// order of unknown outcome. Its caller holds a lock.
type memoryTable struct {
	opts     memoryTableOpts
	records  map[string]*itemRecord
	revision uint64
	// loadsBlockedUntil is when orders of an earlier incarnation are over; nothing
	// new is loaded before.
	loadsBlockedUntil time.Time
	// confirmedNumber is the highest fencing number that the engine confirmedNumber.
	confirmedNumber uint64
}

func newMemoryTable(opts memoryTableOpts) *memoryTable {
	return &memoryTable{opts: opts, records: make(map[string]*itemRecord)}
}

// assumeLoaded counts a load order of an earlier incarnation as executed.
func (m *memoryTable) assumeLoaded(spec itemSpec, now time.Time) {
	m.records[spec.Name] = &itemRecord{
		itemSpec: spec,
		state:    aubwire.Residency_RESIDENCY_UNKNOWN,
		sentAt:   now,
		revision: m.nextRevision(),
	}
}

// reserve counts the item's memory before its load order is sent. It reports
// false when the item needs no order.
func (m *memoryTable) reserve(spec itemSpec, number uint64, now time.Time) (bool, error) {
	if now.Before(m.loadsBlockedUntil) {
		return false, errSettling
	}
	record, known := m.records[spec.Name]
	if known && record.unloading {
		return false, errUnloading
	}
	if known && record.state != aubwire.Residency_RESIDENCY_UNKNOWN {
		return false, nil
	}
	previousBytes := int64(0)
	if known {
		previousBytes = record.Bytes
		spec.Bytes = max(spec.Bytes, previousBytes)
	}
	if m.usedBytes()-previousBytes+spec.Bytes > m.opts.capacity {
		return false, errNoMemory
	}
	m.records[spec.Name] = &itemRecord{
		itemSpec:      spec,
		state:         aubwire.Residency_RESIDENCY_LOADING,
		fencingNumber: number,
		sentAt:        now,
		sending:       true,
		revision:      m.nextRevision(),
	}
	return true, nil
}

// undoReserve takes a reservation back whose order was certainly not executed.
// Earlier orders for the same item keep theirs.
func (m *memoryTable) undoReserve(name string, previous *itemRecord) {
	if previous != nil {
		m.records[name] = previous
		return
	}
	delete(m.records, name)
}

// finishLoad notes the end of a load order that was or may be executed.
func (m *memoryTable) finishLoad(name string, executed bool, now time.Time) {
	record, ok := m.records[name]
	if !ok {
		return
	}
	record.sending = false
	record.sentAt = now
	record.revision = m.nextRevision()
	if !executed {
		record.state = aubwire.Residency_RESIDENCY_UNKNOWN
	}
}

// beginUnload stops the use of an item. It reports false when nothing is left to unload.
func (m *memoryTable) beginUnload(name string) (bool, error) {
	record, ok := m.records[name]
	switch {
	case !ok:
		return false, nil
	case record.unloading:
		return true, nil
	case record.state == aubwire.Residency_RESIDENCY_LOADING:
		return false, errLoading
	case !record.inEngine:
		return false, errAbsent
	}
	record.unloading = true
	record.state = aubwire.Residency_RESIDENCY_UNLOADING
	record.revision = m.nextRevision()
	return true, nil
}

// undoUnload brings an item back whose unload order was certainly not executed.
func (m *memoryTable) undoUnload(name string) {
	if record, ok := m.records[name]; ok {
		record.unloading = false
		record.state = aubwire.Residency_RESIDENCY_READY
		record.revision = m.nextRevision()
	}
}

// finishUnload notes the end of an unload order that was or may be executed.
func (m *memoryTable) finishUnload(name string) {
	if record, ok := m.records[name]; ok {
		record.revision = m.nextRevision()
	}
}

// confirmNumber notes that the engine refuses every lower number from now on.
func (m *memoryTable) confirmNumber(number uint64) {
	if !m.opts.checksFence {
		return
	}
	m.confirmedNumber = max(m.confirmedNumber, number)
	m.nextRevision()
}

// applyState takes in a state of the engine that was asked for at the given
// revision and time.
func (m *memoryTable) applyState(state aubengine.State, revision uint64, confirmedNumber uint64, requestedAt time.Time) {
	if state.MemoryBytes > 0 {
		m.opts.capacity = min(m.opts.capacity, state.MemoryBytes)
	}
	listed := make(map[string]bool, len(state.Items))
	for _, item := range state.Items {
		listed[item.Name] = true
		m.applyItem(item, revision)
	}
	for name, record := range m.records {
		if record.revision > revision || record.sending {
			continue
		}
		record.settled = m.isSettled(record, confirmedNumber, requestedAt)
		if listed[name] {
			continue
		}
		record.inEngine = false
		record.unloading = false
		record.state = aubwire.Residency_RESIDENCY_UNKNOWN
		if record.settled {
			delete(m.records, name)
		}
	}
}

func (m *memoryTable) applyItem(item aubengine.Item, revision uint64) {
	record, ok := m.records[item.Name]
	if !ok {
		// An order that was not counted, or whose count ended, was executed.
		record = &itemRecord{revision: revision, settled: true}
		record.itemSpec = itemSpec{Name: item.Name, Model: item.Model, Adapter: item.Adapter}
		m.records[item.Name] = record
	}
	record.Bytes = max(record.Bytes, item.MemoryBytes)
	if record.revision > revision {
		return
	}
	record.inEngine = true
	record.state = residency(item.State)
	if record.unloading {
		record.state = aubwire.Residency_RESIDENCY_UNLOADING
	}
}

// isSettled reports whether the newest load order of the entry can no longer be
// executed after a state that was asked for when the engine had confirmed the
// given number, at the given time.
func (m *memoryTable) isSettled(record *itemRecord, confirmedNumber uint64, requestedAt time.Time) bool {
	if m.opts.checksFence {
		return record.fencingNumber < confirmedNumber
	}
	return requestedAt.Sub(record.sentAt) >= m.opts.orderLifetime
}

// needsConfirmation reports whether a higher number has to be confirmed by the engine
// before an entry can be settled.
func (m *memoryTable) needsConfirmation() bool {
	if !m.opts.checksFence {
		return false
	}
	for _, record := range m.records {
		if !record.inEngine && record.fencingNumber >= m.confirmedNumber {
			return true
		}
	}
	return false
}

// hasTransitions reports whether the engine is about to change an item's state.
func (m *memoryTable) hasTransitions() bool {
	for _, record := range m.records {
		if record.unloading || record.state == aubwire.Residency_RESIDENCY_LOADING {
			return true
		}
	}
	return false
}

// unloadsToResend returns the items whose unload order did not reach the engine.
func (m *memoryTable) unloadsToResend() []string {
	var names []string
	for name, record := range m.records {
		if record.unloading && record.inEngine {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// isReady reports whether requests may run on the item.
func (m *memoryTable) isReady(name string) bool {
	record, ok := m.records[name]
	return ok && record.state == aubwire.Residency_RESIDENCY_READY
}

// hasAdapters reports whether an adapter of the model takes or may take memory.
func (m *memoryTable) hasAdapters(model string) bool {
	for _, record := range m.records {
		if record.Adapter && record.Model == model {
			return true
		}
	}
	return false
}

// usedBytes returns the memory that is counted.
func (m *memoryTable) usedBytes() int64 {
	var sum int64
	for _, record := range m.records {
		sum += record.Bytes
	}
	return sum
}

// unsettled returns the items whose load order may still be executed.
func (m *memoryTable) unsettled() []itemSpec {
	var specs []itemSpec
	for _, record := range m.records {
		if !record.settled {
			specs = append(specs, record.itemSpec)
		}
	}
	slices.SortFunc(specs, func(a, b itemSpec) int { return cmp.Compare(a.Name, b.Name) })
	return specs
}

// residents returns the items for announcements, in order of name.
func (m *memoryTable) residents() []*aubwire.Resident {
	residents := make([]*aubwire.Resident, 0, len(m.records))
	for _, record := range m.records {
		residents = append(residents, &aubwire.Resident{Name: record.Name, Adapter: record.Adapter, State: record.state})
	}
	slices.SortFunc(residents, func(a, b *aubwire.Resident) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return residents
}

func (m *memoryTable) nextRevision() uint64 {
	m.revision++
	return m.revision
}

func residency(state aubengine.ItemState) aubwire.Residency {
	switch state {
	case aubengine.ItemReady:
		return aubwire.Residency_RESIDENCY_READY
	case aubengine.ItemLoading:
		return aubwire.Residency_RESIDENCY_LOADING
	case aubengine.ItemUnloading:
		return aubwire.Residency_RESIDENCY_UNLOADING
	default:
		return aubwire.Residency_RESIDENCY_UNKNOWN
	}
}
