package aubplacement

import (
	"cmp"
	"slices"
)

// LeastRecentlyUsed loads an item when a caller waits for it, and unloads what
// was called least recently to make room. It is the plain baseline.
type LeastRecentlyUsed struct{}

// Plan implements Planner.
func (LeastRecentlyUsed) Plan(s Snapshot) Plan {
	b := newBoard(s)
	b.discard()
	for _, item := range b.missing() {
		if b.demand[item.Key].Waiting == 0 {
			continue
		}
		if sl := b.roomiest(item); sl != nil {
			b.loadOrReserve(sl, item, ReasonDemand)
			continue
		}
		if !b.unloadOldest(item) {
			b.plan.Unplaced = append(b.plan.Unplaced, item.Key)
		}
	}
	return b.plan
}

// unloadOldest makes room by what was called longest ago.
func (b *board) unloadOldest(item Item) bool {
	var (
		best    *slot
		victims []Item
	)
	for _, sl := range b.backends {
		if !b.open(sl, item) {
			continue
		}
		if sl.reserved[item.Key] > 0 && b.unloading(sl) {
			return true
		}
		found, ok := b.oldest(sl, item)
		if ok && (best == nil || b.newest(found) < b.newest(victims)) {
			best, victims = sl, found
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

// oldest returns the least recently called copies that make room together.
func (b *board) oldest(sl *slot, item Item) ([]Item, bool) {
	need := item.MemoryBytes - sl.room(item.Key)
	found := b.candidates(sl, item, b.idle)
	slices.SortFunc(found, func(x, y Item) int {
		return cmp.Or(
			cmp.Compare(b.demand[x.Key].LastArrival, b.demand[y.Key].LastArrival),
			compareKeys(x.Key, y.Key),
		)
	})
	for i, victim := range found {
		need -= victim.MemoryBytes
		if need <= 0 {
			return found[:i+1], true
		}
	}
	return nil, false
}

// newest returns the latest arrival among the items.
func (b *board) newest(items []Item) int64 {
	var newest int64
	for _, item := range items {
		newest = max(newest, int64(b.demand[item.Key].LastArrival))
	}
	return newest
}
