package aubplacement

import (
	"cmp"
	"math"
	"slices"

	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// maxGainItems and maxGainBackends bound the moves weighed in one plan.
	maxGainItems    = 8
	maxGainBackends = 8
	// moveCost is what a load must gain, as a share of one backend server's capacity.
	moveCost = 0.05
	// evictionCost is what a load must gain that another copy is unloaded for, as a
	// share of one backend server's capacity. It keeps noise from causing moves.
	evictionCost = 0.15
	// spareCost comes on top for each victim that then has fewer copies than wished:
	// until it has them again, the loss of a zone may make it wait for a load.
	spareCost = 0.5
	// lossFactor is how much more than it loses a move must gain.
	lossFactor = 1.3
	// lateWeight is how much a workspace that misses its target all the time
	// weighs over one that never does.
	lateWeight = 8.0
	// attainmentPower is the steepness at which attainment falls with load.
	attainmentPower = 4
)

// attainment is the share of answers that meet their target on a backend server
// at a load in requests in flight. At the capacity it is a half.
func attainment(load, capacity float64) float64 {
	if load <= 0 {
		return 1
	}
	return 1 / (1 + math.Pow(load/capacity, attainmentPower))
}

// work is the requests in flight that the item's demand is expected to cause.
func (b *board) work(key Key) float64 {
	d := b.demand[key]
	return d.total() * d.ServiceSeconds * max(d.Forecast, 1)
}

// value is the item's work with the weight that the objective gives its workspaces.
func (b *board) value(key Key) float64 {
	d := b.demand[key]
	var sum float64
	for workspace, rate := range d.Rate {
		sum += rate * b.weight(workspace)
	}
	return sum * d.ServiceSeconds * max(d.Forecast, 1)
}

// weight is what a request of the workspace counts.
func (b *board) weight(workspace string) float64 {
	if b.snapshot.Objective != ObjectiveWorstServed {
		return 1
	}
	return 1 + (lateWeight-1)*b.snapshot.Demand.Late[workspace]
}

// spreadLoad shares out the demand of each item to its copies.
func (b *board) spreadLoad() {
	for key, slots := range b.byItem {
		n := float64(len(slots))
		for _, sl := range slots {
			sl.load += b.work(key) / n
			sl.value += b.value(key) / n
		}
	}
}

// gain adds copies where they raise attainment by more than they cost.
func (b *board) gain() {
	for _, item := range b.pressed() {
		if b.mayLoad(item) && !b.unloadedWithin(item.Key, minResidence) {
			b.addCopy(item)
		}
	}
}

// pressed returns the items that lose the most attainment, none below the cost of a move.
func (b *board) pressed() []Item {
	lost := make(map[Key]float64)
	var pressed []Item
	for _, item := range b.snapshot.Items {
		slots := b.byItem[item.Key]
		if len(slots) == 0 || b.loadingCopy(item.Key) {
			continue
		}
		var sum float64
		for _, sl := range slots {
			sum += 1 - attainment(sl.load, b.snapshot.Capacity)
		}
		lost[item.Key] = b.value(item.Key) * sum / float64(len(slots))
		if lost[item.Key] >= moveCost*b.snapshot.Capacity {
			pressed = append(pressed, item)
		}
	}
	slices.SortStableFunc(pressed, func(x, y Item) int {
		return cmp.Or(cmp.Compare(lost[y.Key], lost[x.Key]), compareKeys(x.Key, y.Key))
	})
	return pressed[:min(len(pressed), maxGainItems)]
}

// loadingCopy reports whether a copy is on its way, whose effect must show first.
func (b *board) loadingCopy(key Key) bool {
	return slices.ContainsFunc(b.byItem[key], func(sl *slot) bool {
		return sl.residents[key] == aubwire.Residency_RESIDENCY_LOADING
	})
}

// addCopy loads the item where it gains the most, if that is worth the move.
func (b *board) addCopy(item Item) {
	var (
		best    *slot
		victims []Item
		most    float64
	)
	for _, sl := range b.leastLoaded(item) {
		found, loss, ok := b.roomFor(sl, item)
		if !ok {
			continue
		}
		cost := b.costOf(found)
		if gain := b.gainOf(sl, item) - lossFactor*loss - cost*b.snapshot.Capacity; gain > most {
			best, victims, most = sl, found, gain
		}
	}
	switch {
	case best == nil:
	case len(victims) == 0:
		b.load(best, item, ReasonAttainment)
		b.shareLoad(best, item)
	default:
		for _, victim := range victims {
			b.evict(best, victim)
		}
		b.reserve(best, item)
	}
}

// costOf is what a load must gain when the victims are unloaded for it, as a
// share of one backend server's capacity.
func (b *board) costOf(victims []Item) float64 {
	if len(victims) == 0 {
		return moveCost
	}
	cost := evictionCost
	for _, victim := range victims {
		if len(b.byItem[victim.Key]) <= victim.Copies {
			cost += spareCost
		}
	}
	return cost
}

// leastLoaded returns some backend servers that could take the item, least loaded first.
func (b *board) leastLoaded(item Item) []*slot {
	var open []*slot
	for _, sl := range b.backends {
		if b.open(sl, item) {
			open = append(open, sl)
		}
	}
	slices.SortStableFunc(open, func(x, y *slot) int { return cmp.Compare(x.load, y.load) })
	return open[:min(len(open), maxGainBackends)]
}

// roomFor returns what must be unloaded for the item, nothing when it fits, and the loss.
func (b *board) roomFor(sl *slot, item Item) ([]Item, float64, bool) {
	if b.fits(sl, item) {
		return nil, 0, true
	}
	if sl.reserved[item.Key] > 0 && b.unloading(sl) {
		return nil, 0, false
	}
	return b.victims(sl, item, func(sl *slot, victim Item) bool {
		return victim.Key != item.Key && b.surplus(sl, victim) &&
			!b.movedWithin(sl, victim.Key, ActionLoad, minResidence)
	})
}

// gainOf is the attained work won by one more copy of the item on the backend server.
func (b *board) gainOf(sl *slot, item Item) float64 {
	slots := b.byItem[item.Key]
	n := float64(len(slots))
	work, value := b.work(item.Key), b.value(item.Key)
	gain := b.change(sl, work/(n+1), value/(n+1))
	for _, other := range slots {
		gain += b.change(other, work/(n+1)-work/n, value/(n+1)-value/n)
	}
	return gain
}

// loss is the attained work lost with the copy on the backend server.
func (b *board) loss(sl *slot, item Item) float64 {
	slots := b.byItem[item.Key]
	n := float64(len(slots))
	work, value := b.work(item.Key), b.value(item.Key)
	if n <= 1 {
		return value
	}
	loss := -b.change(sl, -work/n, -value/n)
	for _, other := range slots {
		if other != sl {
			loss -= b.change(other, work/(n-1)-work/n, value/(n-1)-value/n)
		}
	}
	return loss
}

// change is the attained work that a backend server wins by a change of its load.
func (b *board) change(sl *slot, work, value float64) float64 {
	capacity := b.snapshot.Capacity
	before := sl.value * attainment(sl.load, capacity)
	return (sl.value+value)*attainment(sl.load+work, capacity) - before
}

// shareLoad moves the item's load over to its new copy as well.
func (b *board) shareLoad(added *slot, item Item) {
	n := float64(len(b.byItem[item.Key]))
	work, value := b.work(item.Key), b.value(item.Key)
	for _, sl := range b.byItem[item.Key] {
		if sl == added {
			sl.load += work / n
			sl.value += value / n
			continue
		}
		sl.load -= work/(n-1) - work/n
		sl.value -= value/(n-1) - value/n
	}
}
