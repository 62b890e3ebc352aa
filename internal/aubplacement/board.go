package aubplacement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// minResidence is how long a copy stays before it may be unloaded for another
	// item's gain, and how long an item isn't brought back after its unload.
	minResidence = 2 * time.Minute
	// idleTime is how long nobody must have called an item before its last copy
	// may make room for an item that callers wait for.
	idleTime = 10 * time.Second
	// intentTime is how long room is kept for an item.
	intentTime = 30 * time.Second
)

// board is the working copy of a snapshot while a plan is made. Loads take
// memory at once; unloads free none, since only the engine's confirmation does.
type board struct {
	snapshot Snapshot
	items    map[Key]Item
	backends []*slot
	byName   map[string]*slot
	// byItem lists the backend servers that hold or load an item, leaving ones left out.
	byItem map[Key][]*slot
	demand map[Key]ItemDemand
	// unloaded is when each item was last unloaded anywhere.
	unloaded     map[Key]time.Duration
	modelLoads   int
	adapterLoads int
	meanLateness float64
	plan         Plan
}

// slot is one backend server on the board.
type slot struct {
	backend   Backend
	free      int64
	residents map[Key]aubwire.Residency
	// reserved is the part of free that is kept for items.
	reserved map[Key]int64
	// load is the demand, in requests in flight, that falls to the backend server.
	load float64
	// value is the load with the weight of its workspaces.
	value float64
}

func newBoard(s Snapshot) *board {
	b := &board{
		snapshot:     s,
		items:        make(map[Key]Item, len(s.Items)),
		byName:       make(map[string]*slot, len(s.Backends)),
		byItem:       make(map[Key][]*slot, len(s.Items)),
		demand:       s.Demand.Items,
		unloaded:     make(map[Key]time.Duration),
		modelLoads:   s.ModelLoads,
		adapterLoads: s.AdapterLoads,
	}
	b.measureLateness()
	for _, item := range s.Items {
		b.items[item.Key] = item
	}
	for k, m := range s.Moves {
		if m.Action == ActionUnload {
			b.unloaded[k.Item] = max(b.unloaded[k.Item], m.At)
		}
	}
	for _, backend := range s.Backends {
		b.addBackend(backend)
	}
	slices.SortFunc(b.backends, func(x, y *slot) int { return cmp.Compare(x.backend.Name, y.backend.Name) })
	for _, sl := range b.backends {
		for _, key := range sortedKeys(sl.residents) {
			if holds(sl.residents[key]) && !sl.backend.Leaving {
				b.byItem[key] = append(b.byItem[key], sl)
			}
		}
	}
	for _, intent := range s.Intents {
		b.keepIntent(intent)
	}
	return b
}

func (b *board) addBackend(backend Backend) {
	sl := &slot{
		backend:   backend,
		free:      backend.MemoryBytes - backend.UsedBytes,
		residents: maps.Clone(backend.Residents),
		reserved:  make(map[Key]int64),
	}
	if sl.residents == nil {
		sl.residents = make(map[Key]aubwire.Residency)
	}
	b.backends = append(b.backends, sl)
	b.byName[backend.Name] = sl
}

// keepIntent carries an intent over while it is still wanted.
func (b *board) keepIntent(intent Intent) {
	sl := b.byName[intent.Backend]
	_, known := b.items[intent.Item]
	if sl == nil || !known || sl.backend.Leaving || intent.Until <= b.snapshot.Now {
		return
	}
	if _, there := sl.residents[intent.Item]; there {
		return
	}
	sl.reserved[intent.Item] = intent.Bytes
	b.plan.Intents = append(b.plan.Intents, intent)
}

// reserve keeps room on the backend server for an item whose load must wait.
func (b *board) reserve(sl *slot, item Item) {
	if _, ok := sl.reserved[item.Key]; ok {
		return
	}
	sl.reserved[item.Key] = item.MemoryBytes
	b.plan.Intents = append(b.plan.Intents, Intent{
		Backend: sl.backend.Name,
		Item:    item.Key,
		Bytes:   item.MemoryBytes,
		Until:   b.snapshot.Now + intentTime,
	})
}

// room returns the memory that the item could take, without what is kept for others.
func (sl *slot) room(key Key) int64 {
	room := sl.free
	for other, bytes := range sl.reserved {
		if other != key {
			room -= bytes
		}
	}
	return room
}

// open reports whether the item could be loaded there, memory apart.
func (b *board) open(sl *slot, item Item) bool {
	if sl.backend.Leaving || sl.backend.Busy {
		return false
	}
	if _, there := sl.residents[item.Key]; there {
		return false
	}
	return !item.Key.Adapter || sl.residents[item.base()] == aubwire.Residency_RESIDENCY_READY
}

// fits reports whether the item can be loaded there now.
func (b *board) fits(sl *slot, item Item) bool {
	return b.open(sl, item) && sl.room(item.Key) >= item.MemoryBytes
}

// mayLoad reports whether the weight store or the adapter limit allows a load now.
func (b *board) mayLoad(item Item) bool {
	if item.Key.Adapter {
		return b.adapterLoads > 0
	}
	return b.modelLoads > 0
}

// load puts a load on the plan and on the board.
func (b *board) load(sl *slot, item Item, reason Reason) {
	if item.Key.Adapter {
		b.adapterLoads--
	} else {
		b.modelLoads--
	}
	sl.free -= item.MemoryBytes
	delete(sl.reserved, item.Key)
	b.plan.Intents = slices.DeleteFunc(b.plan.Intents, func(i Intent) bool {
		return i.Backend == sl.backend.Name && i.Item == item.Key
	})
	sl.residents[item.Key] = aubwire.Residency_RESIDENCY_LOADING
	b.byItem[item.Key] = append(b.byItem[item.Key], sl)
	b.order(ActionLoad, sl, item, reason)
}

// unload puts an unload on the plan. The memory is not free yet.
func (b *board) unload(sl *slot, item Item, reason Reason) {
	sl.residents[item.Key] = aubwire.Residency_RESIDENCY_UNLOADING
	b.byItem[item.Key] = slices.DeleteFunc(slices.Clone(b.byItem[item.Key]), func(other *slot) bool { return other == sl })
	b.order(ActionUnload, sl, item, reason)
}

func (b *board) order(action Action, sl *slot, item Item, reason Reason) {
	b.plan.Orders = append(b.plan.Orders, Order{
		Action:      action,
		Item:        item,
		Backend:     sl.backend.Name,
		Incarnation: sl.backend.Incarnation,
		Reason:      reason,
	})
}

// movedWithin reports whether the action was given for the item within d.
func (b *board) movedWithin(sl *slot, key Key, action Action, d time.Duration) bool {
	m, ok := b.snapshot.Moves[MoveKey{Backend: sl.backend.Name, Item: key}]
	return ok && m.Action == action && b.snapshot.Now-m.At < d
}

// unloadedWithin reports whether the item was unloaded anywhere within d.
func (b *board) unloadedWithin(key Key, d time.Duration) bool {
	at, ok := b.unloaded[key]
	return ok && b.snapshot.Now-at < d
}

// zones counts the copies of the item by zone.
func (b *board) zones(key Key) map[string]int {
	zones := make(map[string]int)
	for _, sl := range b.byItem[key] {
		zones[sl.backend.Zone]++
	}
	return zones
}

// holds reports whether the state is or becomes a copy that answers.
func holds(r aubwire.Residency) bool {
	return r == aubwire.Residency_RESIDENCY_READY || r == aubwire.Residency_RESIDENCY_LOADING
}

func sortedKeys(residents map[Key]aubwire.Residency) []Key {
	return slices.SortedFunc(maps.Keys(residents), compareKeys)
}

func compareKeys(a, b Key) int {
	if c := cmp.Compare(a.Name, b.Name); c != 0 {
		return c
	}
	if a.Adapter == b.Adapter {
		return 0
	}
	if b.Adapter {
		return -1
	}
	return 1
}
