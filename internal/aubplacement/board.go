package aubplacement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// minResidenceTime is how long a copy stays before it may be unloaded for another
	// item's gain, and how long an item isn't brought back after its unload.
	minResidenceTime = 2 * time.Minute
	// minIdleTime is how long nobody must have called an item before its last copy
	// may make room for an item that callers wait for.
	minIdleTime = 10 * time.Second
	// reservationTTL is how long room is kept for an item.
	reservationTTL = 30 * time.Second
)

// planBuilder is the working copy of a snapshot while a plan is made. Loads take
// memory at once; unloads free none, since only the engine's confirmation does.
type planBuilder struct {
	snapshot      Snapshot
	items         map[Key]Item
	servers       []*serverState
	serversByName map[string]*serverState
	// serversByItem lists the backend servers that hold or load an item, leaving ones left out.
	serversByItem map[Key][]*serverState
	demand        map[Key]ItemDemand
	// lastUnloadAt is when each item was last lastUnloadAt anywhere.
	lastUnloadAt       map[Key]time.Duration
	modelLoadBudget    int
	adapterLoadBudget  int
	meanLatenessWeight float64
	plan               Plan
}

// serverState is one backend server on the board.
type serverState struct {
	backend   Backend
	freeBytes int64
	residents map[Key]aubwire.Residency
	// reservedBytes is the part of free that is kept for items.
	reservedBytes map[Key]int64
	// load is the demand, in requests in flight, that falls to the backend server.
	load float64
	// weightedLoad is the load with the weight of its workspaces.
	weightedLoad float64
}

func newPlanBuilder(s Snapshot) *planBuilder {
	b := &planBuilder{
		snapshot:          s,
		items:             make(map[Key]Item, len(s.Items)),
		serversByName:     make(map[string]*serverState, len(s.Backends)),
		serversByItem:     make(map[Key][]*serverState, len(s.Items)),
		demand:            s.Demand.Items,
		lastUnloadAt:      make(map[Key]time.Duration),
		modelLoadBudget:   s.ModelLoads,
		adapterLoadBudget: s.AdapterLoads,
	}
	b.computeMeanLatenessWeight()
	for _, item := range s.Items {
		b.items[item.Key] = item
	}
	for k, m := range s.Moves {
		if m.Action == ActionUnload {
			b.lastUnloadAt[k.Item] = max(b.lastUnloadAt[k.Item], m.At)
		}
	}
	for _, backend := range s.Backends {
		b.addServer(backend)
	}
	slices.SortFunc(b.servers, func(x, y *serverState) int { return cmp.Compare(x.backend.Name, y.backend.Name) })
	for _, server := range b.servers {
		for _, key := range sortedKeys(server.residents) {
			if isReadyOrLoading(server.residents[key]) && !server.backend.Leaving {
				b.serversByItem[key] = append(b.serversByItem[key], server)
			}
		}
	}
	for _, intent := range s.Intents {
		b.retainReservation(intent)
	}
	return b
}

func (b *planBuilder) addServer(backend Backend) {
	server := &serverState{
		backend:       backend,
		freeBytes:     backend.MemoryBytes - backend.UsedBytes,
		residents:     maps.Clone(backend.Residents),
		reservedBytes: make(map[Key]int64),
	}
	if server.residents == nil {
		server.residents = make(map[Key]aubwire.Residency)
	}
	b.servers = append(b.servers, server)
	b.serversByName[backend.Name] = server
}

// retainReservation carries an intent over while it is still wanted.
func (b *planBuilder) retainReservation(intent Intent) {
	server := b.serversByName[intent.Backend]
	_, known := b.items[intent.Item]
	if server == nil || !known || server.backend.Leaving || intent.Until <= b.snapshot.Now {
		return
	}
	if _, isResident := server.residents[intent.Item]; isResident {
		return
	}
	server.reservedBytes[intent.Item] = intent.Bytes
	b.plan.Intents = append(b.plan.Intents, intent)
}

// reserve keeps room on the backend server for an item whose load must wait.
func (b *planBuilder) reserve(server *serverState, item Item) {
	if _, ok := server.reservedBytes[item.Key]; ok {
		return
	}
	server.reservedBytes[item.Key] = item.MemoryBytes
	b.plan.Intents = append(b.plan.Intents, Intent{
		Backend: server.backend.Name,
		Item:    item.Key,
		Bytes:   item.MemoryBytes,
		Until:   b.snapshot.Now + reservationTTL,
	})
}

// freeBytesFor returns the memory that the item could take, without what is kept for others.
func (server *serverState) freeBytesFor(key Key) int64 {
	free := server.freeBytes
	for reservedFor, bytes := range server.reservedBytes {
		if reservedFor != key {
			free -= bytes
		}
	}
	return free
}

// eligible reports whether the item could be loaded there, memory apart.
func (b *planBuilder) eligible(server *serverState, item Item) bool {
	if server.backend.Leaving || server.backend.Busy {
		return false
	}
	if _, isResident := server.residents[item.Key]; isResident {
		return false
	}
	return !item.Key.Adapter || server.residents[item.base()] == aubwire.Residency_RESIDENCY_READY
}

// fits reports whether the item can be loaded there now.
func (b *planBuilder) fits(server *serverState, item Item) bool {
	return b.eligible(server, item) && server.freeBytesFor(item.Key) >= item.MemoryBytes
}

// mayLoad reports whether the weight store or the adapter limit allows a load now.
func (b *planBuilder) mayLoad(item Item) bool {
	if item.Key.Adapter {
		return b.adapterLoadBudget > 0
	}
	return b.modelLoadBudget > 0
}

// planLoad puts a planLoad on the plan and on the board.
func (b *planBuilder) planLoad(server *serverState, item Item, reason Reason) {
	if item.Key.Adapter {
		b.adapterLoadBudget--
	} else {
		b.modelLoadBudget--
	}
	server.freeBytes -= item.MemoryBytes
	delete(server.reservedBytes, item.Key)
	b.plan.Intents = slices.DeleteFunc(b.plan.Intents, func(i Intent) bool {
		return i.Backend == server.backend.Name && i.Item == item.Key
	})
	server.residents[item.Key] = aubwire.Residency_RESIDENCY_LOADING
	b.serversByItem[item.Key] = append(b.serversByItem[item.Key], server)
	b.addOrder(ActionLoad, server, item, reason)
}

// planUnload puts an planUnload on the plan. The memory is not free yet.
func (b *planBuilder) planUnload(server *serverState, item Item, reason Reason) {
	server.residents[item.Key] = aubwire.Residency_RESIDENCY_UNLOADING
	b.serversByItem[item.Key] = slices.DeleteFunc(slices.Clone(b.serversByItem[item.Key]), func(other *serverState) bool { return other == server })
	b.addOrder(ActionUnload, server, item, reason)
}

func (b *planBuilder) addOrder(action Action, server *serverState, item Item, reason Reason) {
	b.plan.Orders = append(b.plan.Orders, Order{
		Action:      action,
		Item:        item,
		Backend:     server.backend.Name,
		Incarnation: server.backend.Incarnation,
		Reason:      reason,
	})
}

// orderedWithin reports whether the action was given for the item within d.
func (b *planBuilder) orderedWithin(server *serverState, key Key, action Action, d time.Duration) bool {
	m, ok := b.snapshot.Moves[MoveKey{Backend: server.backend.Name, Item: key}]
	return ok && m.Action == action && b.snapshot.Now-m.At < d
}

// unloadedWithin reports whether the item was unloaded anywhere within d.
func (b *planBuilder) unloadedWithin(key Key, d time.Duration) bool {
	at, ok := b.lastUnloadAt[key]
	return ok && b.snapshot.Now-at < d
}

// copiesByZone counts the copies of the item by zone.
func (b *planBuilder) copiesByZone(key Key) map[string]int {
	zones := make(map[string]int)
	for _, server := range b.serversByItem[key] {
		zones[server.backend.Zone]++
	}
	return zones
}

// isReadyOrLoading reports whether the state is or becomes a copy that answers.
func isReadyOrLoading(r aubwire.Residency) bool {
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
