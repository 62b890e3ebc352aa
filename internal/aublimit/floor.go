package aublimit

import "github.com/auburndale/auburndale/internal/aubwire"

// floor is a standing share of a workspace's limits.
type floor struct {
	version   uint64
	rateMilli int64
	burst     int64
}

// wholeFloor is what the floors of all zones have together.
func wholeFloor(l limits, floorPerMille int64) floor {
	return floor{
		rateMilli: l.rate * floorPerMille,
		burst:     l.burst * floorPerMille / perMille,
	}
}

// share divides by the number of zones and of instances in the zone.
func (f floor) share(zones, instances int) floor {
	n := int64(max(zones, 1)) * int64(max(instances, 1))
	return floor{rateMilli: f.rateMilli / n, burst: f.burst / n}
}

func (f floor) same(g floor) bool { return f.rateMilli == g.rateMilli && f.burst == g.burst }

func (f floor) wire() *aubwire.LimitFloor {
	return &aubwire.LimitFloor{Version: f.version, RateMilli: f.rateMilli, Burst: f.burst}
}

func newFloor(w *aubwire.LimitFloor) floor {
	return floor{version: w.GetVersion(), rateMilli: w.GetRateMilli(), burst: w.GetBurst()}
}

// larger takes the larger of each part.
func larger(f, g floor) floor {
	return floor{
		version:   max(f.version, g.version),
		rateMilli: max(f.rateMilli, g.rateMilli),
		burst:     max(f.burst, g.burst),
	}
}

// minus returns what f has beyond g, each part by itself and possibly negative.
func (f floor) minus(g floor) floor {
	return floor{rateMilli: f.rateMilli - g.rateMilli, burst: f.burst - g.burst}
}
