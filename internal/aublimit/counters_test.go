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
type counterSite struct {
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

func newCounterSite(n int) *counterSite {
	s := &counterSite{timer: aubtimer.NewManual(time.Unix(0, 0)), reports: make([]map[string]int64, n)}
	for range n {
		counters := aublimit.NewSharedCounters(aubcommon.NewCommon(s.timer), aublimit.CountersOpts{
			Bounds:  func(string) (int64, int64, bool) { return counterRate, counterBurst, true },
			Overrun: counterOverrun,
			Slack:   counterSlack,
		})
		counters.SetInstances(n)
		s.instances = append(s.instances, counters)
	}
	return s
}

// exchange delivers the reports sent by the previous call and sends new ones. A
// partitioned instance 0 neither sends nor receives.
func (s *counterSite) exchange(isCut bool) {
	for i, instance := range s.instances {
		if isCut && i == 0 {
			continue
		}
		sum := int64(0)
		for j, report := range s.reports {
			if j != i {
				sum += report["w"]
			}
		}
		instance.TakePeers(map[string]int64{"w": sum})
	}
	for i, instance := range s.instances {
		if isCut && i == 0 {
			continue
		}
		s.reports[i] = instance.Uses()
	}
}

// TestFirstRequestAfterStart requests half of the burst from an instance whose first
// request for the workspace comes 2 s after the first report of its peers. The
// bucket must contain the refill since that report minus the peers' spending.
func TestFirstRequestAfterTheStart(t *testing.T) {
	for _, test := range []struct {
		name  string
		peers int64
		// admitted reports whether half of the burst must be granted.
		admits bool
	}{
		{"idle workspace", 0, true},
		{"peers spend the whole rate", counterRate * 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newCounterSite(1)
			const steps = 8
			for i := range steps {
				s.instances[0].TakePeers(map[string]int64{"w": test.peers * int64(i) / steps})
				s.timer.Advance(2 * time.Second / steps)
			}
			_, err := s.instances[0].Reserve(context.Background(), "w", counterBurst/2)
			qt.Assert(t, err == nil, qt.Equals, test.admits, qt.Commentf("%v", err))
		})
	}
}

// TestSharedCountersStayWithinAllowance sends several times the allowance, unevenly
// distributed, to the instances. The tokens spent in any window must not exceed the
// allowance plus the tolerance, and at least 95% of the rate must be used.
func TestSharedCountersKeepTheWindow(t *testing.T) {
	// Counters are sent with each request; 2 steps are twice their usual delay.
	const interval = 2
	for _, test := range []struct {
		name string
		// factor is the demand as a multiple of the rate; demandFrom is the step at
		// which it starts.
		factor float64
		from   int
		// partitionedFrom is the step from which instance 0 is partitioned; 0 means
		// never.
		cut int
	}{
		{name: "steady at twice the allowance", factor: 2},
		{name: "steady at five times the allowance", factor: 5},
		{name: "burst after no traffic", factor: 8, from: 500},
		{name: "an instance is partitioned when a burst starts", factor: 8, from: 500, cut: 500},
		{name: "an instance is partitioned under load", factor: 5, cut: 1500},
	} {
		t.Run(test.name, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(1, 2))
			s := newCounterSite(8)
			spent := make([]int64, 3000)
			for step := range spent {
				if step%interval == 0 {
					s.exchange(test.cut > 0 && step >= test.cut)
				}
				due := 0.0
				if step >= test.from {
					due = test.factor * counterRate * counterStep.Seconds()
				}
				for due > 0 {
					cost := int64(1000 + rnd.ExpFloat64()*8000)
					due -= float64(cost)
					if due < 0 && rnd.Float64() < -due/float64(cost) {
						break
					}
					// Instance 0 gets a third of the requests.
					i := rnd.IntN(12) % len(s.instances)
					if i > 7 {
						i = 0
					}
					if _, err := s.instances[i].Reserve(context.Background(), "w", cost); err == nil {
						spent[step] += cost
					}
				}
				s.timer.Advance(counterStep)
			}
			window := int(counterWindow / counterStep)
			allowed := int64((counterRate*counterWindow.Seconds()+counterBurst)*(1+counterOverrun) + counterSlack)
			most, sum := int64(0), int64(0)
			for step, tokens := range spent {
				sum += tokens
				if step >= window {
					sum -= spent[step-window]
				}
				most = max(most, sum)
			}
			qt.Check(t, most <= allowed, qt.IsTrue, qt.Commentf("spent %d, allowed %d", most, allowed))
			qt.Check(t, sum >= int64(0.95*counterRate*counterWindow.Seconds()), qt.IsTrue, qt.Commentf("only %d in the last window", sum))
		})
	}
}

// TestLargeRequestsAreAdmittedUnderOverload sends small and large requests for twice
// the rate. Small requests must not take the whole refill: without an overdraft,
// large ones are refused far more often.
func TestLargeRequestsAreServedUnderPressure(t *testing.T) {
	const small, large = 200, 12000
	rnd := rand.New(rand.NewPCG(3, 4))
	s := newCounterSite(8)
	asked, served := map[int64]int{}, map[int64]int{}
	for step := range 3000 {
		if step%2 == 0 {
			s.exchange(false)
		}
		// Two small requests for each large one; together twice the rate.
		for due := 2.0 * counterRate * counterStep.Seconds(); due > 0; {
			cost := int64(small)
			if rnd.IntN(3) == 0 {
				cost = large
			}
			due -= float64(cost)
			if due < 0 && rnd.Float64() < -due/float64(cost) {
				break
			}
			asked[cost]++
			if _, err := s.instances[rnd.IntN(len(s.instances))].Reserve(context.Background(), "w", cost); err == nil {
				served[cost]++
			}
		}
		s.timer.Advance(counterStep)
	}
	share := func(cost int64) float64 { return float64(served[cost]) / float64(asked[cost]) }
	qt.Assert(t, share(large) >= 0.5*share(small), qt.IsTrue,
		qt.Commentf("admitted share of large requests %.2f, of small ones %.2f", share(large), share(small)))
}
