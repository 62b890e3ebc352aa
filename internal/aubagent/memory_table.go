package aubagent

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/auburndale/auburndale/internal/aubengine"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// Errors for orders that the memory table refuses.
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

// itemRecord is one model or adapter that occupies accelerator memory or may
// occupy it through an order that is still to be executed.
type itemRecord struct {
	itemSpec
	state aubwire.Residency
	// inEngine is set if the engine's newest state lists the item.
	inEngine bool
	// fencingNumber and sentAt belong to the newest load order for the item. Until
	// settled is set, the engine may still execute that order, even repeatedly.
	fencingNumber uint64
	sentAt        time.Time
	settled       bool
	// sending is set until the load order's request to the engine has ended.
	sending bool
	// revision is the table's revision at the newest order for the item. An engine
	// state requested at an earlier revision may not reflect that order.
	revision uint64
	// unloading is set from an unload order until the item is gone from the engine.
	unloading bool
}

// memoryTableOpts configures a memory table.
type memoryTableOpts struct {
	// capacity is the accelerator's memory in bytes.
	capacity int64
	// checksFence is set if the engine refuses orders with old fencing numbers.
	checksFence bool
	// orderLifetime is the time after which a sent order is no longer executed.
	orderLifetime time.Duration
}

// memoryTable accounts for the accelerator memory of items that are resident,
// loading or subject to an order of unknown outcome. It has no lock of its own.
type memoryTable struct {
	opts    memoryTableOpts
	records map[string]*itemRecord
	// revision grows with every order and every confirmed fencing number.
	revision uint64
	// loadsBlockedUntil is when the unknown orders of an earlier incarnation have
	// expired. Load orders are refused until then.
	loadsBlockedUntil time.Time
	// confirmedNumber is the highest fencing number that the engine has confirmed.
	confirmedNumber uint64
}

func newMemoryTable(opts memoryTableOpts) *memoryTable {
	return &memoryTable{opts: opts, records: make(map[string]*itemRecord)}
}

// assumeLoaded reserves the memory of an item whose load order, sent by an earlier
// incarnation, may still be executed.
func (m *memoryTable) assumeLoaded(spec itemSpec, now time.Time) {
	m.records[spec.Name] = &itemRecord{
		itemSpec: spec,
		state:    aubwire.Residency_RESIDENCY_UNKNOWN,
		sentAt:   now,
		revision: m.nextRevision(),
	}
}

// reserve reserves the item's memory before its load order is sent. It reports
// false if no order is needed, because the item is already resident or loading.
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

// undoReserve cancels a reservation whose order was certainly not executed. It
// restores the previous record, which may hold memory for an earlier order.
func (m *memoryTable) undoReserve(name string, previous *itemRecord) {
	if previous != nil {
		m.records[name] = previous
		return
	}
	delete(m.records, name)
}

// finishLoad records that a load order was executed or, if executed is false, that
// its outcome is unknown.
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

// beginUnload marks an item as unloading, so that no request uses it. It reports
// false if the item has no record and needs no order.
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

// undoUnload marks an item as ready again after an unload order that was certainly
// not executed.
func (m *memoryTable) undoUnload(name string) {
	if record, ok := m.records[name]; ok {
		record.unloading = false
		record.state = aubwire.Residency_RESIDENCY_READY
		record.revision = m.nextRevision()
	}
}

// finishUnload records that an unload order was executed or has an unknown outcome.
func (m *memoryTable) finishUnload(name string) {
	if record, ok := m.records[name]; ok {
		record.revision = m.nextRevision()
	}
}

// confirmNumber records that the engine now refuses every lower fencing number.
func (m *memoryTable) confirmNumber(number uint64) {
	if !m.opts.checksFence {
		return
	}
	m.confirmedNumber = max(m.confirmedNumber, number)
	m.nextRevision()
}

// applyState updates the records from a state of the engine. revision and
// confirmedNumber are the table's values when the state was requested.
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

// applyItem updates or adds the record of an item that the engine lists.
func (m *memoryTable) applyItem(item aubengine.Item, revision uint64) {
	record, ok := m.records[item.Name]
	if !ok {
		// The engine executed an order that has no record, or no longer has one.
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

// isSettled reports whether the newest load order of the record could no longer be
// executed when an engine state was requested: at that time the engine had
// confirmed a higher fencing number or, if it ignores them, the order had expired.
func (m *memoryTable) isSettled(record *itemRecord, confirmedNumber uint64, requestedAt time.Time) bool {
	if m.opts.checksFence {
		return record.fencingNumber < confirmedNumber
	}
	return requestedAt.Sub(record.sentAt) >= m.opts.orderLifetime
}

// needsConfirmation reports whether a record can be settled only after the engine
// has confirmed a higher fencing number.
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

// hasTransitions reports whether an item is loading or unloading.
func (m *memoryTable) hasTransitions() bool {
	for _, record := range m.records {
		if record.unloading || record.state == aubwire.Residency_RESIDENCY_LOADING {
			return true
		}
	}
	return false
}

// unloadsToResend returns the names of unloading items that are still in the
// engine, sorted.
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

// isReady reports whether requests may use the item.
func (m *memoryTable) isReady(name string) bool {
	record, ok := m.records[name]
	return ok && record.state == aubwire.Residency_RESIDENCY_READY
}

// hasAdapters reports whether the table has an adapter of the model.
func (m *memoryTable) hasAdapters(model string) bool {
	for _, record := range m.records {
		if record.Adapter && record.Model == model {
			return true
		}
	}
	return false
}

// usedBytes returns the memory of all records.
func (m *memoryTable) usedBytes() int64 {
	var sum int64
	for _, record := range m.records {
		sum += record.Bytes
	}
	return sum
}

// unsettled returns the items whose load order may still be executed, sorted by name.
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

// residents returns the items for announcements, sorted by name.
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

// residency converts an item state of the engine API to that of the agent API.
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
