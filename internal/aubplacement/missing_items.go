package aubplacement

import (
	"cmp"
	"slices"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// loadMissingItems loads every item that has no copy, those with waiting callers first.
func (b *planBuilder) loadMissingItems() {
	missing := b.itemsWithoutCopy()
	for _, item := range missing {
		b.placeItem(item)
	}
}

// memoryOversubscribed reports whether memory can't hold one copy of each item, by
// first-fit placement of the largest items first. Only then may the last copy of an
// item be unloaded for another.
func (b *planBuilder) memoryOversubscribed() bool {
	freeBytes := make([]int64, 0, len(b.servers))
	for _, server := range b.servers {
		if !server.backend.Draining {
			freeBytes = append(freeBytes, server.backend.MemoryBytes)
		}
	}
	items := slices.Clone(b.snapshot.Items)
	slices.SortFunc(items, func(x, y Item) int { return cmp.Compare(y.MemoryBytes, x.MemoryBytes) })
	for _, item := range items {
		i := slices.IndexFunc(freeBytes, func(bytes int64) bool { return bytes >= item.MemoryBytes })
		if i < 0 {
			return true
		}
		freeBytes[i] -= item.MemoryBytes
	}
	return false
}

// itemsWithoutCopy returns the items without a copy, most urgent first. Among equally
// urgent ones the largest come first, which packs memory best.
func (b *planBuilder) itemsWithoutCopy() []Item {
	var missing []Item
	for _, item := range b.snapshot.Items {
		if len(b.serversByItem[item.Key]) == 0 {
			missing = append(missing, item)
		}
	}
	slices.SortStableFunc(missing, func(x, y Item) int {
		dx, dy := b.demand[x.Key], b.demand[y.Key]
		return cmp.Or(
			cmp.Compare(dy.Waiting, dx.Waiting),
			cmp.Compare(dy.totalRate(), dx.totalRate()),
			cmp.Compare(y.MemoryBytes, x.MemoryBytes),
			compareKeys(x.Key, y.Key),
		)
	})
	return missing
}

// placeItem loads the item where it fits, or else frees memory for it.
func (b *planBuilder) placeItem(item Item) {
	if server := b.serverWithMostFreeMemory(item); server != nil {
		b.loadOrReserve(server, item, ReasonUnreachable)
		return
	}
	if b.evictFor(item, b.hasRedundantCopy) || b.relocateBlockingCopy(item) {
		return
	}
	if b.demand[item.Key].Waiting > 0 && b.memoryOversubscribed() && b.evictFor(item, b.isIdle) {
		return
	}
	b.plan.Unplaced = append(b.plan.Unplaced, item.Key)
}

// loadOrReserve loads the item, or reserves memory for it while no further load may
// start.
func (b *planBuilder) loadOrReserve(server *serverState, item Item, reason Reason) {
	if b.mayLoad(item) {
		b.planLoad(server, item, reason)
		return
	}
	b.reserve(server, item)
}

// serverWithMostFreeMemory returns the backend server with the most free memory on
// which the item fits, nil if there is none.
func (b *planBuilder) serverWithMostFreeMemory(item Item) *serverState {
	var best *serverState
	for _, server := range b.servers {
		if !b.fits(server, item) {
			continue
		}
		if best == nil || server.freeBytesFor(item.Key) > best.freeBytesFor(item.Key) {
			best = server
		}
	}
	return best
}

// evictFor unloads the evictable copies with the lowest attainment loss, on the backend
// server where that loss is lowest. It reports whether memory is being freed.
func (b *planBuilder) evictFor(item Item, evictable func(*serverState, Item) bool) bool {
	var (
		best     *serverState
		victims  []Item
		bestLoss float64
	)
	for _, server := range b.servers {
		if !b.eligible(server, item) {
			continue
		}
		if server.reservedBytes[item.Key] > 0 && b.hasUnloadInProgress(server) {
			return true
		}
		evicted, loss, ok := b.selectVictims(server, item, evictable)
		if ok && (best == nil || loss < bestLoss) {
			best, victims, bestLoss = server, evicted, loss
		}
	}
	if best == nil {
		return false
	}
	for _, victim := range victims {
		b.evict(best, victim)
	}
	b.reserve(best, item)
	return true
}

// hasUnloadInProgress reports whether the backend server is unloading a copy.
func (b *planBuilder) hasUnloadInProgress(server *serverState) bool {
	for _, state := range server.residents {
		if state == aubwire.Residency_RESIDENCY_UNLOADING {
			return true
		}
	}
	return false
}

// selectVictims returns the copies to unload for the item and the attainment lost with
// them. Only models are unloaded for models, and only adapters for adapters.
func (b *planBuilder) selectVictims(server *serverState, item Item, evictable func(*serverState, Item) bool) ([]Item, float64, bool) {
	shortfall := item.MemoryBytes - server.freeBytesFor(item.Key)
	candidates := b.evictionCandidates(server, item, evictable)
	slices.SortFunc(candidates, func(x, y Item) int {
		return cmp.Or(
			cmp.Compare(b.lossWithAdapters(server, x), b.lossWithAdapters(server, y)),
			cmp.Compare(b.demand[x.Key].LastArrival, b.demand[y.Key].LastArrival),
			compareKeys(x.Key, y.Key),
		)
	})
	var loss float64
	for i, victim := range candidates {
		shortfall -= victim.MemoryBytes
		loss += b.lossWithAdapters(server, victim)
		if shortfall <= 0 {
			return candidates[:i+1], loss, true
		}
	}
	return nil, 0, false
}

// evictionCandidates returns the ready copies of the item's kind on the backend server
// that are evictable together with the adapters that depend on them.
func (b *planBuilder) evictionCandidates(server *serverState, item Item, evictable func(*serverState, Item) bool) []Item {
	var candidates []Item
	for key, state := range server.residents {
		resident, known := b.items[key]
		if !known || key.Adapter != item.Key.Adapter || state != aubwire.Residency_RESIDENCY_READY {
			continue
		}
		notEvictable := func(adapter Item) bool { return !evictable(server, adapter) }
		if evictable(server, resident) && !slices.ContainsFunc(b.adaptersOf(server, resident), notEvictable) {
			candidates = append(candidates, resident)
		}
	}
	return candidates
}

// adaptersOf returns the adapters on the backend server that depend on the model.
func (b *planBuilder) adaptersOf(server *serverState, model Item) []Item {
	if model.Key.Adapter {
		return nil
	}
	var adapters []Item
	for _, key := range sortedKeys(server.residents) {
		if key.Adapter && b.items[key].Base == model.Key.Name {
			adapters = append(adapters, b.items[key])
		}
	}
	return adapters
}

// lossWithAdapters returns the attainment lost with the copy and the adapters that
// depend on it.
func (b *planBuilder) lossWithAdapters(server *serverState, item Item) float64 {
	loss := b.attainmentLoss(server, item)
	for _, adapter := range b.adaptersOf(server, item) {
		loss += b.attainmentLoss(server, adapter)
	}
	return loss
}

// hasRedundantCopy reports whether the backend server's copy may be unloaded because
// the item has a ready copy elsewhere.
func (b *planBuilder) hasRedundantCopy(server *serverState, item Item) bool {
	return !server.backend.OrdersBlocked && b.otherReadyCopy(server, item.Key) != nil
}

// isIdle reports whether the backend server's copy may be unloaded because the item had
// no recent requests, even if it is the last copy. It serves callers that wait while
// memory can't hold every item.
func (b *planBuilder) isIdle(server *serverState, item Item) bool {
	d := b.demand[item.Key]
	if server.backend.OrdersBlocked || d.Waiting > 0 {
		return false
	}
	return b.snapshot.Now-d.LastArrival >= minIdleTime && !b.orderedWithin(server, item.Key, ActionLoad, minIdleTime)
}

// otherReadyCopy returns another backend server with a ready copy, preferably a fenced
// one, nil if there is none.
func (b *planBuilder) otherReadyCopy(server *serverState, key Key) *serverState {
	var unfenced *serverState
	for _, other := range b.serversByItem[key] {
		if other == server || other.residents[key] != aubwire.Residency_RESIDENCY_READY {
			continue
		}
		if other.backend.Fenced {
			return other
		}
		unfenced = other
	}
	return unfenced
}

// evict unloads a copy. If the remaining copy is not fenced, evict only confirms that
// one under the current fencing number, and a later plan unloads this copy: a late
// order of an earlier leader could unload the remaining copy otherwise.
func (b *planBuilder) evict(server *serverState, item Item) {
	remaining := b.otherReadyCopy(server, item.Key)
	if remaining != nil && !remaining.backend.Fenced {
		b.planConfirm(remaining, item)
		return
	}
	adapters := b.adaptersOf(server, item)
	for _, adapter := range adapters {
		if server.residents[adapter.Key] == aubwire.Residency_RESIDENCY_READY {
			b.evict(server, adapter)
		}
	}
	// The model itself is unloaded once its adapters are.
	if len(adapters) == 0 {
		b.planUnload(server, item, ReasonMemory)
	}
}

// planConfirm adds a confirmation to the plan unless the backend server gets no orders.
func (b *planBuilder) planConfirm(server *serverState, item Item) {
	if server.backend.OrdersBlocked {
		return
	}
	b.addOrder(ActionConfirm, server, item, ReasonConfirm)
}

// relocateBlockingCopy starts another copy, elsewhere, of an item whose only copy takes
// the memory needed, so that the first copy can be unloaded afterwards.
func (b *planBuilder) relocateBlockingCopy(item Item) bool {
	for _, server := range b.servers {
		if !b.eligible(server, item) {
			continue
		}
		shortfall := item.MemoryBytes - server.freeBytesFor(item.Key)
		for _, key := range sortedKeys(server.residents) {
			if key == item.base() {
				continue
			}
			blocking, known := b.items[key]
			if !known || blocking.MemoryBytes < shortfall || !isReadyOrLoading(server.residents[key]) || key.Adapter != item.Key.Adapter {
				continue
			}
			if len(b.serversByItem[key]) > 1 {
				// Its other copy is still loading: wait for it.
				return true
			}
			target := b.serverWithMostFreeMemory(blocking)
			if target == nil {
				continue
			}
			b.reserve(server, item)
			b.loadOrReserve(target, blocking, ReasonMemory)
			return true
		}
	}
	return false
}
