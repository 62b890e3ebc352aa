package aubplacement

import (
	"cmp"
	"slices"
)

// LeastRecentlyUsed loads an item when a caller waits for it and unloads the least
// recently requested items to free memory. It is the baseline that MarginalAttainment
// is compared with.
type LeastRecentlyUsed struct{}

// Plan implements Planner.
func (LeastRecentlyUsed) Plan(s Snapshot) Plan {
	b := newPlanBuilder(s)
	b.unloadRemovedItems()
	for _, item := range b.itemsWithoutCopy() {
		if b.demand[item.Key].Waiting == 0 {
			continue
		}
		if server := b.serverWithMostFreeMemory(item); server != nil {
			b.loadOrReserve(server, item, ReasonDemand)
			continue
		}
		if !b.evictLeastRecentlyUsed(item) {
			b.plan.Unplaced = append(b.plan.Unplaced, item.Key)
		}
	}
	return b.plan
}

// evictLeastRecentlyUsed unloads the least recently requested copies that free enough
// memory for the item. It reports whether memory is being freed.
func (b *planBuilder) evictLeastRecentlyUsed(item Item) bool {
	var (
		best    *serverState
		victims []Item
	)
	for _, server := range b.servers {
		if !b.eligible(server, item) {
			continue
		}
		if server.reservedBytes[item.Key] > 0 && b.hasUnloadInProgress(server) {
			return true
		}
		evicted, ok := b.leastRecentlyUsedVictims(server, item)
		if ok && (best == nil || b.latestArrival(evicted) < b.latestArrival(victims)) {
			best, victims = server, evicted
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

// leastRecentlyUsedVictims returns the least recently requested copies that together
// free enough memory.
func (b *planBuilder) leastRecentlyUsedVictims(server *serverState, item Item) ([]Item, bool) {
	shortfall := item.MemoryBytes - server.freeBytesFor(item.Key)
	candidates := b.evictionCandidates(server, item, b.isIdle)
	slices.SortFunc(candidates, func(x, y Item) int {
		return cmp.Or(
			cmp.Compare(b.demand[x.Key].LastArrival, b.demand[y.Key].LastArrival),
			compareKeys(x.Key, y.Key),
		)
	})
	for i, victim := range candidates {
		shortfall -= victim.MemoryBytes
		if shortfall <= 0 {
			return candidates[:i+1], true
		}
	}
	return nil, false
}

// latestArrival returns the latest arrival of a request for any of the items.
func (b *planBuilder) latestArrival(items []Item) int64 {
	var latest int64
	for _, item := range items {
		latest = max(latest, int64(b.demand[item.Key].LastArrival))
	}
	return latest
}
