package aubplacement

import (
	"cmp"
	"slices"
)

// addRedundantCopies loads further copies of items below their copy target, preferably
// in availability zones without one. It unloads nothing.
func (b *planBuilder) addRedundantCopies() {
	for _, item := range b.itemsBelowCopyTarget() {
		if !b.mayLoad(item) {
			continue
		}
		if server := b.bestServerForCopy(item); server != nil {
			b.planLoad(server, item, ReasonRedundancy)
		}
	}
}

// itemsBelowCopyTarget returns the items with a copy but fewer than their target, those
// with the fewest copies and then the highest rate first.
func (b *planBuilder) itemsBelowCopyTarget() []Item {
	var incomplete []Item
	for _, item := range b.snapshot.Items {
		n := len(b.serversByItem[item.Key])
		if n > 0 && n+b.snapshot.LostCopies[item.Key] < item.Copies && !b.unloadedWithin(item.Key, minResidenceTime) {
			incomplete = append(incomplete, item)
		}
	}
	slices.SortStableFunc(incomplete, func(x, y Item) int {
		return cmp.Or(
			cmp.Compare(len(b.serversByItem[x.Key]), len(b.serversByItem[y.Key])),
			cmp.Compare(b.demand[y.Key].totalRate(), b.demand[x.Key].totalRate()),
			compareKeys(x.Key, y.Key),
		)
	})
	return incomplete
}

// bestServerForCopy returns the best backend server for a further copy: in the
// availability zone with the fewest copies, then with the least load, then with the
// most free memory.
func (b *planBuilder) bestServerForCopy(item Item) *serverState {
	zones := b.copiesByZone(item.Key)
	var best *serverState
	for _, server := range b.servers {
		if !b.fits(server, item) {
			continue
		}
		if best == nil || b.isBetterForCopy(server, best, item, zones) {
			best = server
		}
	}
	return best
}

// isBetterForCopy reports whether x is better than y for a further copy.
func (b *planBuilder) isBetterForCopy(x, y *serverState, item Item, zones map[string]int) bool {
	c := cmp.Or(
		cmp.Compare(zones[x.backend.Zone], zones[y.backend.Zone]),
		cmp.Compare(x.load, y.load),
		cmp.Compare(y.freeBytesFor(item.Key), x.freeBytesFor(item.Key)),
	)
	return c < 0
}
