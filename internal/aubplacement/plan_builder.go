package aubplacement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// minResidenceTime is how long a copy stays loaded before it may be unloaded to
	// raise another item's attainment, and how long after an unload an item gets no
	// further copies.
	minResidenceTime = 2 * time.Minute
	// minIdleTime is how long an item must have had no requests, and how long ago its
	// copy must have been ordered, before its last copy may be unloaded for an item
	// that callers wait for.
	minIdleTime = 10 * time.Second
	// reservationTTL is how long memory stays reserved for an item.
	reservationTTL = 30 * time.Second
)

// planBuilder is the mutable state of one planning run. A planned load takes memory
// immediately; a planned unload frees none, because only the engine's confirmation
// does.
type planBuilder struct {
	snapshot      Snapshot
	items         map[Key]Item
	servers       []*serverState
	serversByName map[string]*serverState
	// serversByItem lists the backend servers with a ready or loading copy of an item,
	// without draining ones.
	serversByItem map[Key][]*serverState
	demand        map[Key]ItemDemand
	// lastUnloadAt is when each item was last unloaded on any backend server.
	lastUnloadAt       map[Key]time.Duration
	modelLoadBudget    int
	adapterLoadBudget  int
	meanLatenessWeight float64
	plan               Plan
}

// serverState is one backend server during a planning run.
type serverState struct {
	backend   Backend
	freeBytes int64
	residents map[Key]aubwire.Residency
	// reservedBytes is the part of freeBytes that is reserved, by item.
	reservedBytes map[Key]int64
	// load is the demand, in requests in flight, assigned to the backend server.
	load float64
	// weightedLoad is the load with the objective's workspace weights applied.
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
		modelLoadBudget:   s.ModelLoadBudget,
		adapterLoadBudget: s.AdapterLoadBudget,
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
			if isReadyOrLoading(server.residents[key]) && !server.backend.Draining {
				b.serversByItem[key] = append(b.serversByItem[key], server)
			}
		}
	}
	for _, reservation := range s.Reservations {
		b.retainReservation(reservation)
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

// retainReservation keeps a reservation of the previous plan unless it has expired, its
// item is removed or already resident, or its backend server is missing or draining.
func (b *planBuilder) retainReservation(reservation Reservation) {
	server := b.serversByName[reservation.Backend]
	_, known := b.items[reservation.Item]
	if server == nil || !known || server.backend.Draining || reservation.Until <= b.snapshot.Now {
		return
	}
	if _, isResident := server.residents[reservation.Item]; isResident {
		return
	}
	server.reservedBytes[reservation.Item] = reservation.Bytes
	b.plan.Reservations = append(b.plan.Reservations, reservation)
}

// reserve reserves memory on the backend server for an item that can't be loaded yet.
func (b *planBuilder) reserve(server *serverState, item Item) {
	if _, ok := server.reservedBytes[item.Key]; ok {
		return
	}
	server.reservedBytes[item.Key] = item.MemoryBytes
	b.plan.Reservations = append(b.plan.Reservations, Reservation{
		Backend: server.backend.Name,
		Item:    item.Key,
		Bytes:   item.MemoryBytes,
		Until:   b.snapshot.Now + reservationTTL,
	})
}

// freeBytesFor returns the free memory available to the item, without what is reserved
// for other items.
func (server *serverState) freeBytesFor(key Key) int64 {
	free := server.freeBytes
	for reservedFor, bytes := range server.reservedBytes {
		if reservedFor != key {
			free -= bytes
		}
	}
	return free
}

// eligible reports whether the backend server could load the item if it had the memory.
func (b *planBuilder) eligible(server *serverState, item Item) bool {
	if server.backend.Draining || server.backend.OrdersBlocked {
		return false
	}
	if _, isResident := server.residents[item.Key]; isResident {
		return false
	}
	return !item.Key.Adapter || server.residents[item.base()] == aubwire.Residency_RESIDENCY_READY
}

// fits reports whether the item can be loaded on the backend server now.
func (b *planBuilder) fits(server *serverState, item Item) bool {
	return b.eligible(server, item) && server.freeBytesFor(item.Key) >= item.MemoryBytes
}

// mayLoad reports whether the limits of the weight store or of adapter loads allow
// another load now.
func (b *planBuilder) mayLoad(item Item) bool {
	if item.Key.Adapter {
		return b.adapterLoadBudget > 0
	}
	return b.modelLoadBudget > 0
}

// planLoad adds a load to the plan and applies it to the state of the backend server.
func (b *planBuilder) planLoad(server *serverState, item Item, reason Reason) {
	if item.Key.Adapter {
		b.adapterLoadBudget--
	} else {
		b.modelLoadBudget--
	}
	server.freeBytes -= item.MemoryBytes
	delete(server.reservedBytes, item.Key)
	b.plan.Reservations = slices.DeleteFunc(b.plan.Reservations, func(i Reservation) bool {
		return i.Backend == server.backend.Name && i.Item == item.Key
	})
	server.residents[item.Key] = aubwire.Residency_RESIDENCY_LOADING
	b.serversByItem[item.Key] = append(b.serversByItem[item.Key], server)
	b.addOrder(ActionLoad, server, item, reason)
}

// planUnload adds an unload to the plan. The memory stays taken until the engine
// confirms the unload.
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

// orderedWithin reports whether the action is the last one ordered for the item on the
// backend server and was ordered within d.
func (b *planBuilder) orderedWithin(server *serverState, key Key, action Action, d time.Duration) bool {
	m, ok := b.snapshot.Moves[CopyKey{Backend: server.backend.Name, Item: key}]
	return ok && m.Action == action && b.snapshot.Now-m.At < d
}

// unloadedWithin reports whether the item was unloaded on any backend server within d.
func (b *planBuilder) unloadedWithin(key Key, d time.Duration) bool {
	at, ok := b.lastUnloadAt[key]
	return ok && b.snapshot.Now-at < d
}

// copiesByZone counts the copies of the item by availability zone.
func (b *planBuilder) copiesByZone(key Key) map[string]int {
	zones := make(map[string]int)
	for _, server := range b.serversByItem[key] {
		zones[server.backend.Zone]++
	}
	return zones
}

// isReadyOrLoading reports whether the copy is ready or will be once its load ends.
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
