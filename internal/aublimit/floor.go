package aublimit

import "github.com/auburndale/auburndale/internal/aubwire"

// floor is the part of a workspace's limits that a holder can spend without
// contact to the leader.
type floor struct {
	// version is the log index of the command that offered the floor.
	version uint64
	// rateMilli is in 1/1000 token per second.
	rateMilli int64
	// burst is in tokens.
	burst int64
}

// totalFloor returns the sum of the floors of all zones: floorPerMille of the limits.
func totalFloor(l limits, floorPerMille int64) floor {
	return floor{
		rateMilli: l.rate * floorPerMille,
		burst:     l.burst * floorPerMille / perMille,
	}
}

// instanceShare returns the floor divided by the number of zones and the number
// of instances in the zone.
func (f floor) instanceShare(zones, instances int) floor {
	divisor := int64(max(zones, 1)) * int64(max(instances, 1))
	return floor{rateMilli: f.rateMilli / divisor, burst: f.burst / divisor}
}

// equalLimits reports whether rate and burst are equal; versions are not compared.
func (f floor) equalLimits(other floor) bool {
	return f.rateMilli == other.rateMilli && f.burst == other.burst
}

func (f floor) wire() *aubwire.LimitFloor {
	return &aubwire.LimitFloor{Version: f.version, RateMilli: f.rateMilli, Burst: f.burst}
}

func floorFromWire(message *aubwire.LimitFloor) floor {
	return floor{version: message.GetVersion(), rateMilli: message.GetRateMilli(), burst: message.GetBurst()}
}

// maxFloor returns the maximum of each field.
func maxFloor(f, other floor) floor {
	return floor{
		version:   max(f.version, other.version),
		rateMilli: max(f.rateMilli, other.rateMilli),
		burst:     max(f.burst, other.burst),
	}
}

// minus subtracts the rate and burst of the other floor. The results can be negative.
func (f floor) minus(other floor) floor {
	return floor{rateMilli: f.rateMilli - other.rateMilli, burst: f.burst - other.burst}
}
