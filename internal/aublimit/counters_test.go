package aublimit_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aublimit"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// counterFleet is a set of instances that receive each other's counters with a
// delay.
type counterFleet struct {
	timer     *aubtimer.Manual
	instances []*aublimit.SharedCounters
	// reports holds the counters that each instance sent last.
	reports []map[string]int64
}

const (
	counterRate    = 80_000
	counterBurst   = 80_000
	counterOverrun = 0.1
	counterSlack   = 110_000
	counterWindow  = 8 * time.Second
	counterStep    = 10 * time.Millisecond
)

func newCounterFleet(n int) *counterFleet {
	fleet := &counterFleet{timer: aubtimer.NewManual(time.Unix(0, 0)), reports: make([]map[string]int64, n)}
	for range n {
		counters := aublimit.NewSharedCounters(aubcommon.NewCommon(fleet.timer), aublimit.CountersOpts{
			Limits:  func(string) (int64, int64, bool) { return counterRate, counterBurst, true },
			Overrun: counterOverrun,
			Slack:   counterSlack,
		})
		counters.SetInstances(n)
		fleet.instances = append(fleet.instances, counters)
	}
	return fleet
}

// exchange delivers the reports sent by the previous call and sends new ones. A
// partitioned instance 0 neither sends nor receives.
func (fleet *counterFleet) exchange(isPartitioned bool) {
	for i, instance := range fleet.instances {
		if isPartitioned && i == 0 {
			continue
		}
		sum := int64(0)
		for j, report := range fleet.reports {
			if j != i {
				sum += report["w"]
			}
		}
		instance.UpdatePeers(map[string]int64{"w": sum})
	}
	for i, instance := range fleet.instances {
		if isPartitioned && i == 0 {
			continue
		}
		fleet.reports[i] = instance.SpentTokens()
	}
}

// TestFirstRequestAfterStart requests half of the burst from an instance whose first
// request for the workspace comes 2 s after the first report of its peers. The
// bucket must contain the refill since that report minus the peers' spending.
func TestFirstRequestAfterStart(t *testing.T) {
	for _, test := range []struct {
		name      string
		peerSpent int64
		// admitted reports whether half of the burst must be granted.
		admitted bool
	}{
		{"idle workspace", 0, true},
		{"peers spend the whole rate", counterRate * 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			fleet := newCounterFleet(1)
			const steps = 8
			for i := range steps {
				fleet.instances[0].UpdatePeers(map[string]int64{"w": test.peerSpent * int64(i) / steps})
				fleet.timer.Advance(2 * time.Second / steps)
			}
			_, err := fleet.instances[0].Reserve(context.Background(), "w", counterBurst/2)
			qt.Assert(t, err == nil, qt.Equals, test.admitted, qt.Commentf("%v", err))
		})
	}
}

// TestSharedCountersStayWithinAllowance sends several times the allowance, unevenly
// distributed, to the instances. The tokens spent in any window must not exceed the
// allowance plus the tolerance, and at least 95% of the rate must be used.
func TestSharedCountersStayWithinAllowance(t *testing.T) {
	// Counters are sent with each request; 2 steps are twice their usual delay.
	const interval = 2
	for _, test := range []struct {
		name string
		// factor is the demand as a multiple of the rate; demandFrom is the step at
		// which it starts.
		factor     float64
		demandFrom int
		// partitionedFrom is the step from which instance 0 is partitioned; 0 means
		// never.
		partitionedFrom int
	}{
		{name: "steady at twice the allowance", factor: 2},
		{name: "steady at five times the allowance", factor: 5},
		{name: "burst after no traffic", factor: 8, demandFrom: 500},
		{name: "an instance is partitioned when a burst starts", factor: 8, demandFrom: 500, partitionedFrom: 500},
		{name: "an instance is partitioned under load", factor: 5, partitionedFrom: 1500},
	} {
		t.Run(test.name, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(1, 2))
			fleet := newCounterFleet(8)
			spent := make([]int64, 3000)
			for step := range spent {
				if step%interval == 0 {
					fleet.exchange(test.partitionedFrom > 0 && step >= test.partitionedFrom)
				}
				remainingDemand := 0.0
				if step >= test.demandFrom {
					remainingDemand = test.factor * counterRate * counterStep.Seconds()
				}
				for remainingDemand > 0 {
					cost := int64(1000 + rnd.ExpFloat64()*8000)
					remainingDemand -= float64(cost)
					if remainingDemand < 0 && rnd.Float64() < -remainingDemand/float64(cost) {
						break
					}
					// Instances 0 to 3 each get twice as many requests as the others.
					i := rnd.IntN(12) % len(fleet.instances)
					if i > 7 {
						i = 0
					}
					if _, err := fleet.instances[i].Reserve(context.Background(), "w", cost); err == nil {
						spent[step] += cost
					}
				}
				fleet.timer.Advance(counterStep)
			}
			window := int(counterWindow / counterStep)
			allowed := int64((counterRate*counterWindow.Seconds()+counterBurst)*(1+counterOverrun) + counterSlack)
			maxSpent, sum := int64(0), int64(0)
			for step, tokens := range spent {
				sum += tokens
				if step >= window {
					sum -= spent[step-window]
				}
				maxSpent = max(maxSpent, sum)
			}
			qt.Check(t, maxSpent <= allowed, qt.IsTrue, qt.Commentf("spent %d, allowed %d", maxSpent, allowed))
			qt.Check(t, sum >= int64(0.95*counterRate*counterWindow.Seconds()), qt.IsTrue, qt.Commentf("only %d in the last window", sum))
		})
	}
}

// TestLargeRequestsAreAdmittedUnderOverload sends small and large requests for twice
// the rate. Small requests must not take the whole refill: without an overdraft,
// large ones are refused far more often.
func TestLargeRequestsAreAdmittedUnderOverload(t *testing.T) {
	const small, large = 200, 12000
	rnd := rand.New(rand.NewPCG(3, 4))
	fleet := newCounterFleet(8)
	requested, admitted := map[int64]int{}, map[int64]int{}
	for step := range 3000 {
		if step%2 == 0 {
			fleet.exchange(false)
		}
		// Two small requests for each large one; together twice the rate.
		for remainingDemand := 2.0 * counterRate * counterStep.Seconds(); remainingDemand > 0; {
			cost := int64(small)
			if rnd.IntN(3) == 0 {
				cost = large
			}
			remainingDemand -= float64(cost)
			if remainingDemand < 0 && rnd.Float64() < -remainingDemand/float64(cost) {
				break
			}
			requested[cost]++
			if _, err := fleet.instances[rnd.IntN(len(fleet.instances))].Reserve(context.Background(), "w", cost); err == nil {
				admitted[cost]++
			}
		}
		fleet.timer.Advance(counterStep)
	}
	share := func(cost int64) float64 { return float64(admitted[cost]) / float64(requested[cost]) }
	qt.Assert(t, share(large) >= 0.5*share(small), qt.IsTrue,
		qt.Commentf("admitted share of large requests %.2f, of small ones %.2f", share(large), share(small)))
}
