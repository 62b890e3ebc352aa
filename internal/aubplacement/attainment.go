package aubplacement

import (
	"cmp"
	"math"
	"slices"

	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// maxItemsConsidered and maxServersConsidered bound the candidates for additional
	// copies in one plan.
	maxItemsConsidered   = 8
	maxServersConsidered = 8
	// loadCost is the attainment that a load must gain, as a share of one backend
	// server's capacity.
	loadCost = 0.05
	// evictionCost is the attainment that a load must gain if another copy is unloaded
	// for it, as a share of one backend server's capacity. It keeps noise in the demand
	// from causing loads and unloads.
	evictionCost = 0.15
	// lostRedundancyCost is added for each victim left with fewer copies than its
	// target: until the copy is replaced, the loss of an availability zone may make its
	// callers wait for a load.
	lostRedundancyCost = 0.5
	// minGainLossRatio is the factor by which a gain must exceed the loss that it
	// causes.
	minGainLossRatio = 1.3
	// maxLatenessWeight is the weight of a workspace that always misses its target
	// relative to one that never does.
	maxLatenessWeight = 8.0
	// attainmentExponent is the steepness at which attainment falls with load.
	attainmentExponent = 4
)

// attainment returns the share of responses that meet their target on a backend server,
// with load and capacity in requests in flight. It is one half at capacity.
func attainment(load, capacity float64) float64 {
	if load <= 0 {
		return 1
	}
	return 1 / (1 + math.Pow(load/capacity, attainmentExponent))
}

// expectedLoad returns the requests in flight that the item's forecast demand is
// expected to cause.
func (b *planBuilder) expectedLoad(key Key) float64 {
	d := b.demand[key]
	return d.totalRate() * d.ServiceSeconds * max(d.Forecast, 1)
}

// weightedLoad returns the item's expected load with the objective's workspace weights
// applied.
func (b *planBuilder) weightedLoad(key Key) float64 {
	d := b.demand[key]
	var sum float64
	for workspace, rate := range d.Rate {
		sum += rate * b.workspaceWeight(workspace)
	}
	return sum * d.ServiceSeconds * max(d.Forecast, 1)
}

// workspaceWeight returns the weight of a request of the workspace. The mean over all
// requests is 1, so that the objective doesn't change the cost of a load.
func (b *planBuilder) workspaceWeight(workspace string) float64 {
	if b.snapshot.Objective != ObjectiveWorstServed {
		return 1
	}
	return b.latenessWeight(workspace) / b.meanLatenessWeight
}

// latenessWeight returns a weight from 1 to maxLatenessWeight that grows with the share
// of responses that miss the workspace's target.
func (b *planBuilder) latenessWeight(workspace string) float64 {
	return 1 + (maxLatenessWeight-1)*b.snapshot.Demand.LateShare[workspace]
}

// computeMeanLatenessWeight sets the mean lateness weight over all requests.
func (b *planBuilder) computeMeanLatenessWeight() {
	var sum, rates float64
	for _, d := range b.demand {
		for workspace, rate := range d.Rate {
			sum += rate * b.latenessWeight(workspace)
			rates += rate
		}
	}
	b.meanLatenessWeight = 1
	if rates > 0 {
		b.meanLatenessWeight = sum / rates
	}
}

// distributeLoad divides the load of each item evenly among its copies.
func (b *planBuilder) distributeLoad() {
	for key, servers := range b.serversByItem {
		n := float64(len(servers))
		for _, server := range servers {
			server.load += b.expectedLoad(key) / n
			server.weightedLoad += b.weightedLoad(key) / n
		}
	}
}

// addCopiesForAttainment adds copies that raise attainment by more than they cost.
func (b *planBuilder) addCopiesForAttainment() {
	for _, item := range b.underservedItems() {
		if b.mayLoad(item) && !b.unloadedWithin(item.Key, minResidenceTime) {
			b.addCopy(item)
		}
	}
}

// underservedItems returns the items that lose the most attainment, without those that
// lose less than the cost of a load.
func (b *planBuilder) underservedItems() []Item {
	lostAttainment := make(map[Key]float64)
	var underserved []Item
	for _, item := range b.snapshot.Items {
		servers := b.serversByItem[item.Key]
		if len(servers) == 0 || b.hasLoadingCopy(item.Key) {
			continue
		}
		var sum float64
		for _, server := range servers {
			sum += 1 - attainment(server.load, b.snapshot.Capacity)
		}
		lostAttainment[item.Key] = b.weightedLoad(item.Key) * sum / float64(len(servers))
		if lostAttainment[item.Key] >= loadCost*b.snapshot.Capacity {
			underserved = append(underserved, item)
		}
	}
	slices.SortStableFunc(underserved, func(x, y Item) int {
		return cmp.Or(cmp.Compare(lostAttainment[y.Key], lostAttainment[x.Key]), compareKeys(x.Key, y.Key))
	})
	return underserved[:min(len(underserved), maxItemsConsidered)]
}

// hasLoadingCopy reports whether a copy is loading, whose effect must be visible before
// another copy is added.
func (b *planBuilder) hasLoadingCopy(key Key) bool {
	return slices.ContainsFunc(b.serversByItem[key], func(server *serverState) bool {
		return server.residents[key] == aubwire.Residency_RESIDENCY_LOADING
	})
}

// addCopy loads the item where it gains the most attainment, if the gain exceeds the
// cost.
func (b *planBuilder) addCopy(item Item) {
	var (
		best    *serverState
		victims []Item
		maxGain float64
	)
	for _, server := range b.leastLoadedServers(item) {
		evicted, loss, ok := b.redundantVictims(server, item)
		if !ok {
			continue
		}
		cost := b.requiredGain(evicted)
		if gain := b.attainmentGain(server, item) - minGainLossRatio*loss - cost*b.snapshot.Capacity; gain > maxGain {
			best, victims, maxGain = server, evicted, gain
		}
	}
	switch {
	case best == nil:
	case len(victims) == 0:
		b.planLoad(best, item, ReasonAttainment)
		b.rebalanceLoad(best, item)
	default:
		for _, victim := range victims {
			b.evict(best, victim)
		}
		b.reserve(best, item)
	}
}

// requiredGain returns the attainment that a load must gain if the victims are unloaded
// for it, as a share of one backend server's capacity.
func (b *planBuilder) requiredGain(victims []Item) float64 {
	if len(victims) == 0 {
		return loadCost
	}
	cost := evictionCost
	for _, victim := range victims {
		if len(b.serversByItem[victim.Key]) <= victim.Copies {
			cost += lostRedundancyCost
		}
	}
	return cost
}

// leastLoadedServers returns up to maxServersConsidered backend servers that could load
// the item, least loaded first.
func (b *planBuilder) leastLoadedServers(item Item) []*serverState {
	var eligible []*serverState
	for _, server := range b.servers {
		if b.eligible(server, item) {
			eligible = append(eligible, server)
		}
	}
	slices.SortStableFunc(eligible, func(x, y *serverState) int { return cmp.Compare(x.load, y.load) })
	return eligible[:min(len(eligible), maxServersConsidered)]
}

// redundantVictims returns the redundant copies to unload for the item, none if it fits
// already, and the attainment lost with them. The last result is false if memory can't
// be freed this way or is being freed already.
func (b *planBuilder) redundantVictims(server *serverState, item Item) ([]Item, float64, bool) {
	if b.fits(server, item) {
		return nil, 0, true
	}
	if server.reservedBytes[item.Key] > 0 && b.hasUnloadInProgress(server) {
		return nil, 0, false
	}
	return b.selectVictims(server, item, func(server *serverState, victim Item) bool {
		return victim.Key != item.Key && b.hasRedundantCopy(server, victim) &&
			!b.orderedWithin(server, victim.Key, ActionLoad, minResidenceTime)
	})
}

// attainmentGain returns the attained load gained by one more copy of the item on the
// backend server.
func (b *planBuilder) attainmentGain(server *serverState, item Item) float64 {
	servers := b.serversByItem[item.Key]
	n := float64(len(servers))
	load, weighted := b.expectedLoad(item.Key), b.weightedLoad(item.Key)
	gain := b.attainmentChange(server, load/(n+1), weighted/(n+1))
	for _, other := range servers {
		gain += b.attainmentChange(other, load/(n+1)-load/n, weighted/(n+1)-weighted/n)
	}
	return gain
}

// attainmentLoss returns the attained load lost with the item's copy on the backend
// server.
func (b *planBuilder) attainmentLoss(server *serverState, item Item) float64 {
	servers := b.serversByItem[item.Key]
	n := float64(len(servers))
	load, weighted := b.expectedLoad(item.Key), b.weightedLoad(item.Key)
	if n <= 1 {
		return weighted
	}
	loss := -b.attainmentChange(server, -load/n, -weighted/n)
	for _, other := range servers {
		if other != server {
			loss -= b.attainmentChange(other, load/(n-1)-load/n, weighted/(n-1)-weighted/n)
		}
	}
	return loss
}

// attainmentChange returns how much the attained load of a backend server, which is its
// weighted load times its attainment, changes when load and weighted are added to its
// loads.
func (b *planBuilder) attainmentChange(server *serverState, load, weighted float64) float64 {
	capacity := b.snapshot.Capacity
	before := server.weightedLoad * attainment(server.load, capacity)
	return (server.weightedLoad+weighted)*attainment(server.load+load, capacity) - before
}

// rebalanceLoad divides the item's load among its copies after one was added.
func (b *planBuilder) rebalanceLoad(added *serverState, item Item) {
	n := float64(len(b.serversByItem[item.Key]))
	load, weighted := b.expectedLoad(item.Key), b.weightedLoad(item.Key)
	for _, server := range b.serversByItem[item.Key] {
		if server == added {
			server.load += load / n
			server.weightedLoad += weighted / n
			continue
		}
		server.load -= load/(n-1) - load/n
		server.weightedLoad -= weighted/(n-1) - weighted/n
	}
}
