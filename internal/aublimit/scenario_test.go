package aublimit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// usedTokens returns the tokens used from one time until before another.
func (sim *simulation) usedTokens(from, to time.Duration) int64 {
	sum := int64(0)
	for _, e := range sim.events {
		if e.spending != nil && e.at >= from && e.at < to {
			sum += e.spending.used
		}
	}
	return sum
}

// runDemand runs the simulation for a duration. In each step, each of the given
// holders receives requests for the given number of tokens.
func (sim *simulation) runDemand(d, step time.Duration, tokens int64, holders ...*holder) {
	for end := sim.now + d; sim.now < end; {
		sim.advance(step, 1000)
		for _, h := range holders {
			for left := tokens; left > 0; left -= 5 {
				sim.reserve(h, 5)
			}
		}
		for _, h := range sim.holders {
			sim.exchange(h)
			sim.collectWaits(h, false)
		}
	}
}

// TestOverloadAdmitsRate sends five times the rate to all holders. The admitted
// tokens must be at least nine tenths of the rate and never exceed the limits.
func TestOverloadAdmitsRate(t *testing.T) {
	sim := newSimulation(t, 3, leaseParams(300))
	// 3 holders request 500 tokens per second together; the rate is 100.
	sim.runDemand(time.Minute, 100*time.Millisecond, 17, sim.holders...)
	sim.checkLimits()
	qt.Assert(t, sim.usedTokens(10*time.Second, time.Minute) >= 4500, qt.IsTrue)
}

// TestPartitionedZoneServesFloorAndRejoins partitions one zone for 10 hours while
// the others use everything they are granted. The zone must serve at its floor's
// rate, and get the full rate again after the partition without intervention.
func TestPartitionedZoneServesFloorAndRejoins(t *testing.T) {
	const hours = 10 * time.Hour
	longFloors := leaseParams(300)
	longFloors.FloorLease, longFloors.FloorMargin = 12*time.Hour, 5*time.Minute
	sim := newSimulation(t, 3, longFloors)
	sim.runDemand(time.Minute, 100*time.Millisecond, 17, sim.holders...)
	partitioned := sim.holders[2]
	partitioned.losesRequests = true
	partitionedAt := sim.now
	sim.runDemand(hours, 2*time.Second, 40, sim.holders...)
	admitted := int64(0)
	for _, e := range sim.events {
		if e.spending != nil && e.at >= partitionedAt && e.holder == partitioned {
			admitted += e.spending.used
		}
	}
	// The floor of one of three zones is a tenth of the rate, 10 tokens per second.
	floorTokens := int64(hours.Seconds()) * 10
	qt.Assert(t, admitted >= floorTokens*9/10, qt.IsTrue, qt.Commentf("%d of %d", admitted, floorTokens))

	partitioned.losesRequests = false
	rejoinedAt := sim.now
	sim.runDemand(time.Minute, 100*time.Millisecond, 50, partitioned)
	sim.checkLimits()
	// Only the rejoined zone has demand, so it gets the full rate.
	qt.Assert(t, sim.usedTokens(rejoinedAt+10*time.Second, rejoinedAt+time.Minute) >= 4500, qt.IsTrue)
}
