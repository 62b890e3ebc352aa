package aubplacement

import (
	"cmp"
	"slices"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// reach loads every item that has no copy, those that callers wait for first.
func (b *board) reach() {
	missing := b.missing()
	for _, item := range missing {
		b.place(item)
	}
}

// oversubscribed reports whether one copy of each item doesn't fit at once, by
// putting the largest first where it fits. Only then may a last copy make room.
func (b *board) oversubscribed() bool {
	room := make([]int64, 0, len(b.backends))
	for _, sl := range b.backends {
		if !sl.backend.Leaving {
			room = append(room, sl.backend.MemoryBytes)
		}
	}
	items := slices.Clone(b.snapshot.Items)
	slices.SortFunc(items, func(x, y Item) int { return cmp.Compare(y.MemoryBytes, x.MemoryBytes) })
	for _, item := range items {
		i := slices.IndexFunc(room, func(bytes int64) bool { return bytes >= item.MemoryBytes })
		if i < 0 {
			return true
		}
		room[i] -= item.MemoryBytes
	}
	return false
}

// missing returns the items without a copy, most urgent first. Among equals the
// largest come first, which packs best.
func (b *board) missing() []Item {
	var missing []Item
	for _, item := range b.snapshot.Items {
		if len(b.byItem[item.Key]) == 0 {
			missing = append(missing, item)
		}
	}
	slices.SortStableFunc(missing, func(x, y Item) int {
		dx, dy := b.demand[x.Key], b.demand[y.Key]
		return cmp.Or(
			cmp.Compare(dy.Waiting, dx.Waiting),
			cmp.Compare(dy.total(), dx.total()),
			cmp.Compare(y.MemoryBytes, x.MemoryBytes),
			compareKeys(x.Key, y.Key),
		)
	})
	return missing
}

// place loads the item where there is room, or else makes room.
func (b *board) place(item Item) {
	if sl := b.roomiest(item); sl != nil {
		b.loadOrReserve(sl, item, ReasonUnreachable)
		return
	}
	if b.makeRoom(item, b.surplus) || b.shift(item) {
		return
	}
	if b.demand[item.Key].Waiting > 0 && b.oversubscribed() && b.makeRoom(item, b.idle) {
		return
	}
	b.plan.Unplaced = append(b.plan.Unplaced, item.Key)
}

func (b *board) loadOrReserve(sl *slot, item Item, reason Reason) {
	if b.mayLoad(item) {
		b.load(sl, item, reason)
		return
	}
	b.reserve(sl, item)
}

// roomiest returns the backend server with the most room that the item fits on.
func (b *board) roomiest(item Item) *slot {
	var best *slot
	for _, sl := range b.backends {
		if !b.fits(sl, item) {
			continue
		}
		if best == nil || sl.room(item.Key) > best.room(item.Key) {
			best = sl
		}
	}
	return best
}

// makeRoom unloads the copies that lose least, among those that the filter
// admits, on the backend server where least is lost. It reports whether room is
// made or on its way.
func (b *board) makeRoom(item Item, admits func(*slot, Item) bool) bool {
	var (
		best     *slot
		victims  []Item
		bestLoss float64
	)
	for _, sl := range b.backends {
		if !b.open(sl, item) {
			continue
		}
		if sl.reserved[item.Key] > 0 && b.unloading(sl) {
			return true
		}
		found, loss, ok := b.victims(sl, item, admits)
		if ok && (best == nil || loss < bestLoss) {
			best, victims, bestLoss = sl, found, loss
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

// unloading reports whether memory is about to become free on the backend server.
func (b *board) unloading(sl *slot) bool {
	for _, state := range sl.residents {
		if state == aubwire.Residency_RESIDENCY_UNLOADING {
			return true
		}
	}
	return false
}

// victims returns the copies to unload for the item, and the loss. Models make
// room for models and adapters for adapters.
func (b *board) victims(sl *slot, item Item, admits func(*slot, Item) bool) ([]Item, float64, bool) {
	need := item.MemoryBytes - sl.room(item.Key)
	found := b.candidates(sl, item, admits)
	slices.SortFunc(found, func(x, y Item) int {
		return cmp.Or(
			cmp.Compare(b.groupLoss(sl, x), b.groupLoss(sl, y)),
			cmp.Compare(b.demand[x.Key].LastArrival, b.demand[y.Key].LastArrival),
			compareKeys(x.Key, y.Key),
		)
	})
	var loss float64
	for i, victim := range found {
		need -= victim.MemoryBytes
		loss += b.groupLoss(sl, victim)
		if need <= 0 {
			return found[:i+1], loss, true
		}
	}
	return nil, 0, false
}

// candidates returns the ready copies of the item's sort on the backend server
// that the filter admits together with the adapters on top of them.
func (b *board) candidates(sl *slot, item Item, admits func(*slot, Item) bool) []Item {
	var found []Item
	for key, state := range sl.residents {
		resident, known := b.items[key]
		if !known || key.Adapter != item.Key.Adapter || state != aubwire.Residency_RESIDENCY_READY {
			continue
		}
		refused := func(member Item) bool { return !admits(sl, member) }
		if admits(sl, resident) && !slices.ContainsFunc(b.adaptersOf(sl, resident), refused) {
			found = append(found, resident)
		}
	}
	return found
}

// adaptersOf returns the adapters on the backend server that need the model.
func (b *board) adaptersOf(sl *slot, model Item) []Item {
	if model.Key.Adapter {
		return nil
	}
	var adapters []Item
	for _, key := range sortedKeys(sl.residents) {
		if key.Adapter && b.items[key].Base == model.Key.Name {
			adapters = append(adapters, b.items[key])
		}
	}
	return adapters
}

// groupLoss is the loss with the copy and the adapters on top of it.
func (b *board) groupLoss(sl *slot, item Item) float64 {
	loss := b.loss(sl, item)
	for _, adapter := range b.adaptersOf(sl, item) {
		loss += b.loss(sl, adapter)
	}
	return loss
}

// surplus admits copies whose item has a ready copy elsewhere.
func (b *board) surplus(sl *slot, item Item) bool {
	return !sl.backend.Busy && b.survivor(sl, item.Key) != nil
}

// idle admits copies of items that nobody asked for lately, even the last one.
// It serves callers that wait while not everything can be resident at once.
func (b *board) idle(sl *slot, item Item) bool {
	d := b.demand[item.Key]
	if sl.backend.Busy || d.Waiting > 0 {
		return false
	}
	return b.snapshot.Now-d.LastArrival >= idleTime && !b.movedWithin(sl, item.Key, ActionLoad, idleTime)
}

// survivor returns another backend server with a ready copy, fenced ones first.
func (b *board) survivor(sl *slot, key Key) *slot {
	var found *slot
	for _, other := range b.byItem[key] {
		if other == sl || other.residents[key] != aubwire.Residency_RESIDENCY_READY {
			continue
		}
		if other.backend.Fenced {
			return other
		}
		found = other
	}
	return found
}

// evict unloads a copy. When another copy takes over, that one is confirmed
// under the present fencing number first: a late order of an earlier leader
// could unload it otherwise.
func (b *board) evict(sl *slot, item Item) {
	other := b.survivor(sl, item.Key)
	if other != nil && !other.backend.Fenced {
		b.confirm(other, item)
		return
	}
	adapters := b.adaptersOf(sl, item)
	for _, adapter := range adapters {
		if sl.residents[adapter.Key] == aubwire.Residency_RESIDENCY_READY {
			b.evict(sl, adapter)
		}
	}
	// The model itself follows once its adapters are gone.
	if len(adapters) == 0 {
		b.unload(sl, item, ReasonRoom)
	}
}

func (b *board) confirm(sl *slot, item Item) {
	if sl.backend.Busy {
		return
	}
	b.order(ActionConfirm, sl, item, ReasonConfirm)
}

// shift starts a second copy, elsewhere, of an item whose only copy stands in
// the way, so that the first can be unloaded after.
func (b *board) shift(item Item) bool {
	for _, sl := range b.backends {
		if !b.open(sl, item) {
			continue
		}
		need := item.MemoryBytes - sl.room(item.Key)
		for _, key := range sortedKeys(sl.residents) {
			if key == item.base() {
				continue
			}
			blocking, known := b.items[key]
			if !known || blocking.MemoryBytes < need || !holds(sl.residents[key]) || key.Adapter != item.Key.Adapter {
				continue
			}
			if len(b.byItem[key]) > 1 {
				// Its other copy still loads: wait for it.
				return true
			}
			to := b.roomiest(blocking)
			if to == nil {
				continue
			}
			b.reserve(sl, item)
			b.loadOrReserve(to, blocking, ReasonRoom)
			return true
		}
	}
	return false
}
