package aubthrottle_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/auboption"
	"github.com/auburndale/auburndale/internal/aubthrottle"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

const (
	modelStep = 5 * time.Millisecond
	// modelTime is the simulated time, modelSeeds the number of runs of each scenario.
	modelTime  = 60 * time.Second
	modelSeeds = 2
	// modelWindow, modelDelay, modelFactor and modelSlack are the platform's bound on the
	// arrivals, which here holds for all relays, also cut off and restarted ones.
	modelWindow = 4 * time.Second
	modelDelay  = 3 * time.Second
	modelFactor = 1.5
	modelSlack  = 5
	// reportInterval is the time between two full reports, pausePerPeer the minimum time
	// between two reports of changes divided by the number of relays.
	reportInterval = 500 * time.Millisecond
	pausePerPeer   = 2 * time.Millisecond
)

var modelBackend = aubthrottle.Backend{Name: "b", Incarnation: 1}

// way is one way to keep the limit.
type way struct {
	name string
	// isExchanging is set if the relays report to each other.
	isExchanging bool
	// heardPeers returns the peers that a relay of the given number counts as heard; nil
	// means that each relay is alone.
	heardPeers func(relays, heard int) int
}

var ways = []way{
	{name: "each relay alone"},
	{name: "equal shares", heardPeers: func(int, int) int { return 0 }},
	{name: "shared counters", isExchanging: true, heardPeers: func(relays, _ int) int { return relays - 1 }},
	{name: "shared counters, part of heard peers", isExchanging: true, heardPeers: func(_, heard int) int { return heard }},
}

// scenario is one kind of simulated day.
type scenario struct {
	name   string
	relays int
	// limitAt returns the limit at a time, 0 for none.
	limitAt func(now time.Duration) float64
	// rate is the number of requests per second at all relays together, of which the share
	// toFirst arrives at the first.
	rate    float64
	toFirst float64
	loss    float64
	// groupOf returns the group of a relay; reports cross no border between groups.
	groupOf func(now time.Duration, relay int) int
	// restartInterval is the time between two restarts of a relay drawn at random.
	restartInterval time.Duration
}

func constant(limit float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return limit }
}

func changing(now time.Duration) float64 {
	limits := []float64{4, 0.5, 0, 1.1, 8, 2}
	return limits[int(now/(10*time.Second))%len(limits)]
}

// cutBetween returns groups that are apart from 15 s to 45 s.
func cutBetween(group func(relay int) int) func(time.Duration, int) int {
	return func(now time.Duration, relay int) int {
		if now > 15*time.Second && now < 45*time.Second {
			return group(relay)
		}
		return 0
	}
}

var scenarios = []scenario{
	{name: "7 relays, 1.1 a second", relays: 7, limitAt: constant(1.1), rate: 6},
	{name: "22 relays, 0.2 a second", relays: 22, limitAt: constant(0.2), rate: 20},
	{name: "22 relays, 1 a second", relays: 22, limitAt: constant(1), rate: 20},
	{name: "22 relays, 10 a second", relays: 22, limitAt: constant(10), rate: 40},
	{name: "60 relays, 2 a second", relays: 60, limitAt: constant(2), rate: 20},
	{name: "demand at one relay", relays: 22, limitAt: constant(2), rate: 10, toFirst: 1},
	{name: "one report in five lost", relays: 22, limitAt: constant(1), rate: 20, loss: 0.2},
	{name: "two halves cut", relays: 8, limitAt: constant(2), rate: 10, groupOf: cutBetween(func(r int) int { return r % 2 })},
	{name: "three zones cut", relays: 9, limitAt: constant(6), rate: 30, groupOf: cutBetween(func(r int) int { return r % 3 })},
	{name: "all relays cut", relays: 7, limitAt: constant(2), rate: 10, groupOf: cutBetween(func(r int) int { return r })},
	{name: "restarts", relays: 7, limitAt: constant(1.1), rate: 10, restartInterval: time.Second},
	{name: "changing limit", relays: 7, limitAt: changing, rate: 10},
}

// modelRelay is one relay.
type modelRelay struct {
	throttle *aubthrottle.Throttle
	// incarnation counts the starts.
	incarnation uint64
	startedAt   time.Duration
	heardAt     []time.Duration
	reportedAt  time.Duration
	hasChange   bool
}

// delivery is a report or an answer on its way.
type delivery struct {
	at     time.Duration
	handle func()
}

// model is the state of one simulation.
type model struct {
	scenario   scenario
	way        way
	rnd        *rand.Rand
	timer      *aubtimer.Manual
	now        time.Duration
	relays     []*modelRelay
	deliveries []delivery
	arrivals   []time.Duration
	// allowed integrates the limit from modelDelay on.
	allowed float64
}

func (m *model) start(i int) {
	r := m.relays[i]
	r.incarnation++
	r.startedAt = m.now
	r.heardAt = make([]time.Duration, m.scenario.relays)
	for k := range r.heardAt {
		r.heardAt[k] = -time.Hour
	}
	opts := aubthrottle.Opts{OnChange: func() { r.hasChange = true }}
	if m.way.heardPeers != nil {
		opts.HeardPeers = func() int { return m.way.heardPeers(m.scenario.relays, m.countHeard(r)) }
	}
	r.throttle = aubthrottle.New(aubcommon.NewCommon(m.timer), opts)
	if m.way.heardPeers != nil {
		r.throttle.SetInstances(m.scenario.relays)
	}
}

func (m *model) countHeard(r *modelRelay) int {
	heard := 0
	for _, at := range r.heardAt {
		if m.now-at <= aubthrottle.PeerTimeout {
			heard++
		}
	}
	return heard
}

func (m *model) group(i int) int {
	if m.scenario.groupOf == nil {
		return 0
	}
	return m.scenario.groupOf(m.now, i)
}

func (m *model) later(delay time.Duration, handle func()) {
	m.deliveries = append(m.deliveries, delivery{at: m.now + delay, handle: handle})
}

// exchange sends the due reports of a relay.
func (m *model) exchange(i int) {
	r := m.relays[i]
	elapsed := m.now - r.reportedAt
	isFull := elapsed >= reportInterval
	if !isFull && (!r.hasChange || elapsed < time.Duration(m.scenario.relays)*pausePerPeer) {
		return
	}
	r.reportedAt, r.hasChange = m.now, false
	limits := r.throttle.Report(isFull)
	incarnation := r.incarnation
	for k, peer := range m.relays {
		if k == i || m.group(i) != m.group(k) || m.rnd.Float64() < m.scenario.loss {
			continue
		}
		peerIncarnation := peer.incarnation
		m.later(time.Millisecond+time.Duration(m.rnd.Int64N(int64(9*time.Millisecond))), func() {
			if peer.incarnation == peerIncarnation {
				peer.heardAt[i] = m.now
				peer.throttle.Merge(fmt.Sprint(i), incarnation, limits)
			}
		})
	}
}

// arrive handles a request at a relay.
func (m *model) arrive(i int) {
	r := m.relays[i]
	if r.throttle.Wait(modelBackend) > 0 || !r.throttle.Take("", modelBackend) {
		return
	}
	m.arrivals = append(m.arrivals, m.now)
	limit := auboption.None[float64]()
	if perSecond := m.scenario.limitAt(m.now); perSecond > 0 {
		limit = auboption.Some(perSecond)
	}
	incarnation := r.incarnation
	m.later(time.Duration(20+m.rnd.IntN(300))*time.Millisecond, func() {
		if r.incarnation == incarnation {
			r.throttle.Observe("", modelBackend, limit)
		}
	})
}

func (m *model) step() {
	m.now += modelStep
	m.timer.Advance(modelStep)
	pending := m.deliveries
	m.deliveries = nil
	for _, d := range pending {
		if d.at <= m.now {
			d.handle()
			continue
		}
		m.deliveries = append(m.deliveries, d)
	}
	if m.way.isExchanging {
		for i := range m.relays {
			m.exchange(i)
		}
	}
	if interval := m.scenario.restartInterval; interval > 0 && m.now%interval == 0 {
		m.start(m.rnd.IntN(m.scenario.relays))
	}
	if m.rnd.Float64() < m.scenario.rate*modelStep.Seconds() {
		relay := m.rnd.IntN(m.scenario.relays)
		if m.rnd.Float64() < m.scenario.toFirst {
			relay = 0
		}
		m.arrive(relay)
	}
	if m.now > modelDelay {
		m.allowed += float64(m.scenario.limitAt(m.now) * modelStep.Seconds())
	}
}

// limitedFor returns how long the limit has existed without a break.
func (m *model) limitedFor(at time.Duration) time.Duration {
	for back := time.Duration(0); back <= at; back += 50 * time.Millisecond {
		if m.scenario.limitAt(at-back) == 0 {
			return back
		}
	}
	return at
}

// judge returns the largest excess over the bound in a window, and the arrivals while
// limited divided by what the limit allowed.
func (m *model) judge() (excess, used float64) {
	excess = math.Inf(-1)
	counted := 0
	for i, at := range m.arrivals {
		if m.limitedFor(at) < modelDelay {
			continue
		}
		counted++
		count, highest := 0, 0.0
		for k := i; k >= 0 && at-m.arrivals[k] <= modelWindow; k-- {
			if m.limitedFor(m.arrivals[k]) >= modelDelay {
				count++
				highest = max(highest, m.scenario.limitAt(m.arrivals[k]))
			}
		}
		highest = max(highest, m.scenario.limitAt(max(at-modelWindow, 0)))
		excess = max(excess, float64(count)-float64(modelFactor*highest*modelWindow.Seconds())-modelSlack)
	}
	return excess, float64(counted) / m.allowed
}

func runModel(s scenario, w way, seed uint64) (excess, used float64) {
	m := &model{scenario: s, way: w, rnd: rand.New(rand.NewPCG(seed, 1)), timer: aubtimer.NewManual(time.Unix(0, 0))}
	for i := range s.relays {
		m.relays = append(m.relays, &modelRelay{reportedAt: -time.Duration(i) * reportInterval / time.Duration(s.relays)})
		m.start(i)
	}
	for m.now < modelTime {
		m.step()
	}
	return m.judge()
}

// TestThrottleModel compares ways to keep the limit of one backend server. The last one must
// keep the platform's bound in every run and use at least half of the limit.
func TestThrottleModel(t *testing.T) {
	var out strings.Builder
	fmt.Fprintf(&out, "| scenario | way | arrivals above the bound, most | part of the limit used |\n|---|---|---|---|\n")
	for _, s := range scenarios {
		for k, w := range ways {
			most, sum := math.Inf(-1), 0.0
			for seed := range uint64(modelSeeds) {
				excess, used := runModel(s, w, seed)
				most, sum = max(most, excess), sum+used
			}
			used := sum / modelSeeds
			fmt.Fprintf(&out, "| %s | %s | %.1f | %.2f |\n", s.name, w.name, most, used)
			if k == len(ways)-1 {
				qt.Check(t, most <= 0, qt.IsTrue, qt.Commentf("%s: %.1f above the bound", s.name, most))
				qt.Check(t, used >= 0.5, qt.IsTrue, qt.Commentf("%s: %.2f used", s.name, used))
			}
		}
	}
	goldie.New(t).Assert(t, "throttle_model", []byte(out.String()))
}
