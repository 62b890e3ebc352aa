package aubqueue

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// activeTimeout is how long a workspace counts as active after its last request.
	recentTime = 10 * time.Second
	// loadTimeConstant is the time constant of the exponential decay of a
	// workspace's load.
	loadMemory = 2 * time.Second
	// overShareFactor is the multiple of its fair share above which a workspace
	// counts as over its share; random clusters of requests stay below it.
	loudFactor = 1.5
	// minAssessInterval is the minimum time between two assessments of the workspaces.
	assessEvery = 100 * time.Millisecond
	// reserveFactor scales the reserve: the reserved slots are reserveFactor times
	// the square root of the slots that the workspaces within their share need.
	reserveSpread = 1.75
)

// workspaceTable holds the load of the workspaces that used one group recently.
type tenants struct {
	known      map[string]*tenant
	assessedAt time.Time
	// reservedSlots is the number of slots that workspaces over their fair share
	// may not use.
	reserve int
}

// workspaceLoad is the load of one workspace on one group.
type tenant struct {
	weight  int64
	running int
	waiting int
	seenAt  time.Time
	// arrivedCost is the cost of past requests in tokens, decayed until decayedAt.
	arrived   float64
	decayedAt time.Time
	// neededSlots is the number of slots that serve the load without waiting.
	places float64
	// isOverShare is set when the load exceeds the fair share.
	loud bool
}

func newTenants() *tenants { return &tenants{known: make(map[string]*tenant)} }

// enqueue counts a request that starts to wait.
func (t *tenants) arrive(item Item, now time.Time) {
	x, ok := t.known[item.Workspace]
	if !ok {
		t.sweep(now)
		x = &tenant{decayedAt: now}
		t.known[item.Workspace] = x
	}
	x.decay(now)
	x.arrived += float64(max(item.Cost, 1))
	x.weight = max(item.Weight, 1)
	x.waiting++
	x.seenAt = now
}

// dequeue counts a waiting request that was removed without being started.
func (t *tenants) leave(item Item) { t.known[item.Workspace].waiting-- }

// start counts a waiting request that was started.
func (t *tenants) start(item Item) {
	x := t.known[item.Workspace]
	x.waiting--
	x.running++
}

// finish counts a request that ended.
func (t *tenants) finish(item Item) { t.known[item.Workspace].running-- }

func (t *tenants) isLoud(workspace string) bool {
	x, ok := t.known[workspace]
	return ok && x.loud
}

// assess marks the workspaces over their fair share and sets the number of reserved
// slots. Running requests are not preempted: without a reserve a workspace within
// its share would wait for a slot whenever the others fill the capacity. Fair
// shares are max-min: the part of its weighted share that a workspace doesn't need
// is divided among the workspaces that need more.
func (t *tenants) assess(now time.Time, capacity, most int, secondsPerCost float64) {
	if now.Sub(t.assessedAt) < assessEvery && !t.assessedAt.IsZero() {
		return
	}
	t.assessedAt = now
	active := make([]*tenant, 0, len(t.known))
	weights := int64(0)
	for _, x := range t.known {
		x.loud = false
		if !x.isActive(now) {
			continue
		}
		x.decay(now)
		x.places = x.arrived / loadMemory.Seconds() * secondsPerCost
		active = append(active, x)
		weights += x.weight
	}
	slices.SortFunc(active, func(a, b *tenant) int {
		return cmp.Compare(a.places*float64(b.weight), b.places*float64(a.weight))
	})
	quiet, left := 0.0, float64(capacity-most)
	for _, x := range active {
		share := left * float64(x.weight) / float64(weights)
		x.loud = x.places > loudFactor*share
		if !x.loud {
			quiet += x.places
			left -= x.places
			weights -= x.weight
		}
	}
	t.reserve = min(int(math.Ceil(reserveSpread*math.Sqrt(quiet))), most)
}

func (x *tenant) decay(now time.Time) {
	elapsed := now.Sub(x.decayedAt)
	if elapsed > 0 {
		x.arrived *= math.Exp(-elapsed.Seconds() / loadMemory.Seconds())
		x.decayedAt = now
	}
}

func (x *tenant) isActive(now time.Time) bool {
	return x.running+x.waiting > 0 || now.Sub(x.seenAt) < recentTime
}

// sweep deletes workspaces that are not active.
func (t *tenants) sweep(now time.Time) {
	for name, x := range t.known {
		if !x.isActive(now) {
			delete(t.known, name)
		}
	}
}
