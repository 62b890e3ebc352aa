package aubqueue

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// activeTimeout is how long a workspace counts as active after its last request.
	activeTimeout = 10 * time.Second
	// loadTimeConstant is the time constant of the exponential decay of a
	// workspace's load.
	loadTimeConstant = 2 * time.Second
	// overShareFactor is the multiple of its fair share above which a workspace counts
	// as over its share. It is above 1 so that random clusters of requests don't count.
	overShareFactor = 1.5
	// minAssessInterval is the minimum time between two assessments of the workspaces.
	minAssessInterval = 100 * time.Millisecond
	// reserveFactor scales the reserve: the reserved slots are reserveFactor times
	// the square root of the slots that the workspaces within their share need.
	reserveFactor = 1.75
)

// workspaceTable holds the load of the workspaces that used one group recently.
type workspaceTable struct {
	byName     map[string]*workspaceLoad
	assessedAt time.Time
	// reservedSlots is the number of slots that workspaces over their fair share
	// may not use.
	reservedSlots int
}

// workspaceLoad is the load of one workspace on one group.
type workspaceLoad struct {
	weight        int64
	running       int
	waiting       int
	lastArrivalAt time.Time
	// arrivedCost is the cost of past requests in tokens, decayed until decayedAt.
	arrivedCost float64
	decayedAt   time.Time
	// neededSlots is the number of slots that serve the load without waiting.
	neededSlots float64
	// isOverShare is set when the load exceeds the fair share.
	isOverShare bool
}

func newWorkspaceTable() *workspaceTable {
	return &workspaceTable{byName: make(map[string]*workspaceLoad)}
}

// enqueue counts a request that starts to wait.
func (t *workspaceTable) enqueue(item Item, now time.Time) {
	load, ok := t.byName[item.Workspace]
	if !ok {
		t.sweep(now)
		load = &workspaceLoad{decayedAt: now}
		t.byName[item.Workspace] = load
	}
	load.decay(now)
	load.arrivedCost += float64(max(item.Cost, 1))
	load.weight = max(item.Weight, 1)
	load.waiting++
	load.lastArrivalAt = now
}

// dequeue counts a waiting request that was removed without being started.
func (t *workspaceTable) dequeue(item Item) { t.byName[item.Workspace].waiting-- }

// start counts a waiting request that was started.
func (t *workspaceTable) start(item Item) {
	load := t.byName[item.Workspace]
	load.waiting--
	load.running++
}

// finish counts a request that ended.
func (t *workspaceTable) finish(item Item) { t.byName[item.Workspace].running-- }

func (t *workspaceTable) isOverShare(workspace string) bool {
	load, ok := t.byName[workspace]
	return ok && load.isOverShare
}

// assess marks the workspaces over their fair share and sets the number of reserved
// slots. Running requests are not preempted: without a reserve a workspace within
// its share would wait for a slot whenever the others fill the capacity. Fair
// shares are max-min: the part of its weighted share that a workspace doesn't need
// is divided among the workspaces that need more.
func (t *workspaceTable) assess(now time.Time, capacity, maxReserve int, secondsPerCost float64) {
	if now.Sub(t.assessedAt) < minAssessInterval && !t.assessedAt.IsZero() {
		return
	}
	t.assessedAt = now
	active := make([]*workspaceLoad, 0, len(t.byName))
	remainingWeight := int64(0)
	for _, load := range t.byName {
		load.isOverShare = false
		if !load.isActive(now) {
			continue
		}
		load.decay(now)
		load.neededSlots = load.arrivedCost / loadTimeConstant.Seconds() * secondsPerCost
		active = append(active, load)
		remainingWeight += load.weight
	}
	slices.SortFunc(active, func(a, b *workspaceLoad) int {
		return cmp.Compare(a.neededSlots*float64(b.weight), b.neededSlots*float64(a.weight))
	})
	slotsWithinShare, remainingSlots := 0.0, float64(capacity-maxReserve)
	for _, load := range active {
		share := remainingSlots * float64(load.weight) / float64(remainingWeight)
		load.isOverShare = load.neededSlots > overShareFactor*share
		if !load.isOverShare {
			slotsWithinShare += load.neededSlots
			remainingSlots -= load.neededSlots
			remainingWeight -= load.weight
		}
	}
	t.reservedSlots = min(int(math.Ceil(reserveFactor*math.Sqrt(slotsWithinShare))), maxReserve)
}

func (l *workspaceLoad) decay(now time.Time) {
	elapsed := now.Sub(l.decayedAt)
	if elapsed > 0 {
		l.arrivedCost *= math.Exp(-elapsed.Seconds() / loadTimeConstant.Seconds())
		l.decayedAt = now
	}
}

func (l *workspaceLoad) isActive(now time.Time) bool {
	return l.running+l.waiting > 0 || now.Sub(l.lastArrivalAt) < activeTimeout
}

// sweep deletes workspaces that are not active.
func (t *workspaceTable) sweep(now time.Time) {
	for name, load := range t.byName {
		if !load.isActive(now) {
			delete(t.byName, name)
		}
	}
}
