package aubqueue

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// recentTime is how long a workspace counts as active after its last request.
	recentTime = 10 * time.Second
	// loadMemory is the time constant of a workspace's load.
	loadMemory = 2 * time.Second
	// loudFactor is how far above its fair share a workspace has to be to be loud,
	// so that the chance clustering of requests does not make it so.
	loudFactor = 1.5
	// assessEvery is the least time between two assessments of the workspaces.
	assessEvery = 100 * time.Millisecond
	// reserveSpread is how many square roots of the quiet workspaces' load, in
	// places, are kept free for them.
	reserveSpread = 1.75
)

// tenants are the workspaces that used one group lately.
type tenants struct {
	known      map[string]*tenant
	assessedAt time.Time
	// reserve is the number of places that loud workspaces leave free.
	reserve int
}

type tenant struct {
	weight  int64
	running int
	waiting int
	seenAt  time.Time
	// arrived is the cost of past requests, decayed by loadMemory until decayedAt.
	arrived   float64
	decayedAt time.Time
	// places is the load in places: what runs at once if nothing waits.
	places float64
	// loud workspaces ask for more than their fair share.
	loud bool
}

func newTenants() *tenants { return &tenants{known: make(map[string]*tenant)} }

// arrive notes a request that waits.
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

// leave notes a request that waits no longer and was not started.
func (t *tenants) leave(item Item) { t.known[item.Workspace].waiting-- }

// start notes a request that waited and runs now.
func (t *tenants) start(item Item) {
	x := t.known[item.Workspace]
	x.waiting--
	x.running++
}

// finish notes a request that ran.
func (t *tenants) finish(item Item) { t.known[item.Workspace].running-- }

func (t *tenants) isLoud(workspace string) bool {
	x, ok := t.known[workspace]
	return ok && x.loud
}

// assess finds the loud workspaces and the reserve that the quiet ones need: as
// running requests are not taken back, a quiet one would else wait for a place
// whenever loud ones fill the capacity. The fair share is max-min: what quiet
// workspaces leave of an equal part by weight is shared by the loud ones.
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

// sweep drops workspaces that are not active.
func (t *tenants) sweep(now time.Time) {
	for name, x := range t.known {
		if !x.isActive(now) {
			delete(t.known, name)
		}
	}
}
