package aubplacement

import (
	"cmp"
	"slices"
)

// spread loads further copies of items that have fewer than they should, into
// zones without one. It never unloads anything.
func (b *board) spread() {
	for _, item := range b.scarce() {
		if !b.mayLoad(item) {
			continue
		}
		if sl := b.apart(item); sl != nil {
			b.load(sl, item, ReasonZone)
		}
	}
}

// scarce returns the items with a copy but fewer than wished, most called first.
func (b *board) scarce() []Item {
	var scarce []Item
	for _, item := range b.snapshot.Items {
		n := len(b.byItem[item.Key])
		if n > 0 && n+b.snapshot.Lost[item.Key] < item.Copies && !b.unloadedWithin(item.Key, minResidence) {
			scarce = append(scarce, item)
		}
	}
	slices.SortStableFunc(scarce, func(x, y Item) int {
		return cmp.Or(
			cmp.Compare(len(b.byItem[x.Key]), len(b.byItem[y.Key])),
			cmp.Compare(b.demand[y.Key].total(), b.demand[x.Key].total()),
			compareKeys(x.Key, y.Key),
		)
	})
	return scarce
}

// apart returns the best backend server for a further copy: the zone with the
// fewest copies first, then the least load, then the most room.
func (b *board) apart(item Item) *slot {
	zones := b.zones(item.Key)
	var best *slot
	for _, sl := range b.backends {
		if !b.fits(sl, item) {
			continue
		}
		if best == nil || b.betterApart(sl, best, item, zones) {
			best = sl
		}
	}
	return best
}

func (b *board) betterApart(x, y *slot, item Item, zones map[string]int) bool {
	c := cmp.Or(
		cmp.Compare(zones[x.backend.Zone], zones[y.backend.Zone]),
		cmp.Compare(x.load, y.load),
		cmp.Compare(y.room(item.Key), x.room(item.Key)),
	)
	return c < 0
}
