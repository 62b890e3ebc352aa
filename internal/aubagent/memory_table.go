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

// entry is one item that takes memory or may come to take it.
type entry struct {
	itemSpec
	state aubwire.Residency
	// present is whether the engine's newest state shows the item.
	present bool
	// number and sentAt are of the newest load order for the item; while that
	// order is not settled it may still be executed, again too.
	number  uint64
	sentAt  time.Time
	settled bool
	// sending is set while the load order is on its way to the engine.
	sending bool
	// revision is the ledger's at the newest order for the item. A state that
	// was asked for earlier says nothing of it.
	revision uint64
	// unload is set while an unload order is to be carried through.
	unload bool
}

// ledgerOpts configures a ledger.
type ledgerOpts struct {
	capacity    int64
	checksFence bool
	lifetime    time.Duration
}

// ledger counts the accelerator memory that is resident, loading or tied to an
// order of unknown outcome. Its caller holds a lock.
type ledger struct {
	opts     ledgerOpts
	entries  map[string]*entry
	revision uint64
	// settlingUntil is when orders of an earlier incarnation are over; nothing
	// new is loaded before.
	settlingUntil time.Time
	// confirmed is the highest fencing number that the engine confirmed.
	confirmed uint64
}

func newLedger(opts ledgerOpts) *ledger {
	return &ledger{opts: opts, entries: make(map[string]*entry)}
}

// assume counts a load order of an earlier incarnation as executed.
func (l *ledger) assume(spec itemSpec, now time.Time) {
	l.entries[spec.Name] = &entry{
		itemSpec: spec,
		state:    aubwire.Residency_RESIDENCY_UNKNOWN,
		sentAt:   now,
		revision: l.bump(),
	}
}

// reserve counts the item's memory before its load order is sent. It reports
// false when the item needs no order.
func (l *ledger) reserve(spec itemSpec, number uint64, now time.Time) (bool, error) {
	if now.Before(l.settlingUntil) {
		return false, errSettling
	}
	e, known := l.entries[spec.Name]
	if known && e.unload {
		return false, errUnloading
	}
	if known && e.state != aubwire.Residency_RESIDENCY_UNKNOWN {
		return false, nil
	}
	held := int64(0)
	if known {
		held = e.Bytes
		spec.Bytes = max(spec.Bytes, held)
	}
	if l.used()-held+spec.Bytes > l.opts.capacity {
		return false, errNoMemory
	}
	l.entries[spec.Name] = &entry{
		itemSpec: spec,
		state:    aubwire.Residency_RESIDENCY_LOADING,
		number:   number,
		sentAt:   now,
		sending:  true,
		revision: l.bump(),
	}
	return true, nil
}

// loadRefused takes a reservation back whose order was certainly not executed.
// Earlier orders for the same item keep theirs.
func (l *ledger) loadRefused(name string, before *entry) {
	if before != nil {
		l.entries[name] = before
		return
	}
	delete(l.entries, name)
}

// loadSent notes the end of a load order that was or may be executed.
func (l *ledger) loadSent(name string, certain bool, now time.Time) {
	e, ok := l.entries[name]
	if !ok {
		return
	}
	e.sending = false
	e.sentAt = now
	e.revision = l.bump()
	if !certain {
		e.state = aubwire.Residency_RESIDENCY_UNKNOWN
	}
}

// beginUnload stops the use of an item. It reports false when nothing is left to unload.
func (l *ledger) beginUnload(name string) (bool, error) {
	e, ok := l.entries[name]
	switch {
	case !ok:
		return false, nil
	case e.unload:
		return true, nil
	case e.state == aubwire.Residency_RESIDENCY_LOADING:
		return false, errLoading
	case !e.present:
		return false, errAbsent
	}
	e.unload = true
	e.state = aubwire.Residency_RESIDENCY_UNLOADING
	e.revision = l.bump()
	return true, nil
}

// unloadRefused brings an item back whose unload order was certainly not executed.
func (l *ledger) unloadRefused(name string) {
	if e, ok := l.entries[name]; ok {
		e.unload = false
		e.state = aubwire.Residency_RESIDENCY_READY
		e.revision = l.bump()
	}
}

// unloadSent notes the end of an unload order that was or may be executed.
func (l *ledger) unloadSent(name string) {
	if e, ok := l.entries[name]; ok {
		e.revision = l.bump()
	}
}

// fenceConfirmed notes that the engine refuses every lower number from now on.
func (l *ledger) fenceConfirmed(number uint64) {
	if !l.opts.checksFence {
		return
	}
	l.confirmed = max(l.confirmed, number)
	l.bump()
}

// observe takes in a state of the engine that was asked for at the given
// revision and time.
func (l *ledger) observe(state aubengine.State, revision uint64, confirmed uint64, asked time.Time) {
	if state.MemoryBytes > 0 {
		l.opts.capacity = min(l.opts.capacity, state.MemoryBytes)
	}
	seen := make(map[string]bool, len(state.Items))
	for _, item := range state.Items {
		seen[item.Name] = true
		l.observeItem(item, revision)
	}
	for name, e := range l.entries {
		if e.revision > revision || e.sending {
			continue
		}
		e.settled = l.isSettled(e, confirmed, asked)
		if seen[name] {
			continue
		}
		e.present = false
		e.unload = false
		e.state = aubwire.Residency_RESIDENCY_UNKNOWN
		if e.settled {
			delete(l.entries, name)
		}
	}
}

func (l *ledger) observeItem(item aubengine.Item, revision uint64) {
	e, ok := l.entries[item.Name]
	if !ok {
		// An order that was not counted, or whose count ended, was executed.
		e = &entry{revision: revision, settled: true}
		e.itemSpec = itemSpec{Name: item.Name, Model: item.Model, Adapter: item.Adapter}
		l.entries[item.Name] = e
	}
	e.Bytes = max(e.Bytes, item.MemoryBytes)
	if e.revision > revision {
		return
	}
	e.present = true
	e.state = residency(item.State)
	if e.unload {
		e.state = aubwire.Residency_RESIDENCY_UNLOADING
	}
}

// isSettled reports whether the newest load order of the entry can no longer be
// executed after a state that was asked for when the engine had confirmed the
// given number, at the given time.
func (l *ledger) isSettled(e *entry, confirmed uint64, asked time.Time) bool {
	if l.opts.checksFence {
		return e.number < confirmed
	}
	return asked.Sub(e.sentAt) >= l.opts.lifetime
}

// needsFence reports whether a higher number has to be confirmed by the engine
// before an entry can be settled.
func (l *ledger) needsFence() bool {
	if !l.opts.checksFence {
		return false
	}
	for _, e := range l.entries {
		if !e.present && e.number >= l.confirmed {
			return true
		}
	}
	return false
}

// moving reports whether the engine is about to change an item's state.
func (l *ledger) moving() bool {
	for _, e := range l.entries {
		if e.unload || e.state == aubwire.Residency_RESIDENCY_LOADING {
			return true
		}
	}
	return false
}

// stuckUnloads returns the items whose unload order did not reach the engine.
func (l *ledger) stuckUnloads() []string {
	var names []string
	for name, e := range l.entries {
		if e.unload && e.present {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ready reports whether requests may run on the item.
func (l *ledger) ready(name string) bool {
	e, ok := l.entries[name]
	return ok && e.state == aubwire.Residency_RESIDENCY_READY
}

// hasAdapters reports whether an adapter of the model takes or may take memory.
func (l *ledger) hasAdapters(model string) bool {
	for _, e := range l.entries {
		if e.Adapter && e.Model == model {
			return true
		}
	}
	return false
}

// used returns the memory that is counted.
func (l *ledger) used() int64 {
	var sum int64
	for _, e := range l.entries {
		sum += e.Bytes
	}
	return sum
}

// unsettled returns the items whose load order may still be executed.
func (l *ledger) unsettled() []itemSpec {
	var specs []itemSpec
	for _, e := range l.entries {
		if !e.settled {
			specs = append(specs, e.itemSpec)
		}
	}
	slices.SortFunc(specs, func(a, b itemSpec) int { return cmp.Compare(a.Name, b.Name) })
	return specs
}

// residents returns the items for announcements, in order of name.
func (l *ledger) residents() []*aubwire.Resident {
	residents := make([]*aubwire.Resident, 0, len(l.entries))
	for _, e := range l.entries {
		residents = append(residents, &aubwire.Resident{Name: e.Name, Adapter: e.Adapter, State: e.state})
	}
	slices.SortFunc(residents, func(a, b *aubwire.Resident) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return residents
}

func (l *ledger) bump() uint64 {
	l.revision++
	return l.revision
}

func residency(s aubengine.ItemState) aubwire.Residency {
	switch s {
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
