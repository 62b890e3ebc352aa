package aubthrottle_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubthrottle"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// The simulated backend server starts anew each coldPeriod and is cold for coldTime.
	coldPeriod  = 5 * time.Second
	coldTime    = 3 * time.Second
	coldPeriods = 5
	coldSeeds   = 2
	// coldWindow, coldFactor and coldSlack are the platform's bound on the requests that reach
	// a cold backend server.
	coldWindow = time.Second
	coldFactor = 1.5
	coldSlack  = 5
	// leaseLifetime is how long a relay may hold a leased request.
	leaseLifetime = 500 * time.Millisecond
	// knownInterval is the time between two numbers of relays from a control process.
	knownInterval = 250 * time.Millisecond
)

// coldWay is one way to share the rate. Relays without a throttle use a bucket of a request.
type coldWay struct {
	name string
	// hasThrottle is set for the ways of aubthrottle; share replaces its rule of senders.
	hasThrottle bool
	share       func(perSecond float64, instances int) (int, time.Duration)
	// part returns the part of the rate that a relay without a throttle uses.
	part     func(relays int) float64
	isLeased bool
}

var coldWays = []coldWay{
	{name: "each relay alone", part: func(int) float64 { return 1 }},
	{name: "static shares", part: func(relays int) float64 { return 1 / float64(relays) }},
	{name: "leases from the leader", isLeased: true},
	{name: "one relay for each server", hasThrottle: true, share: func(perSecond float64, _ int) (int, time.Duration) {
		return 1, time.Duration(float64(time.Second) / perSecond)
	}},
	{name: "shared rate, all relays", hasThrottle: true, share: func(_ float64, instances int) (int, time.Duration) { return max(instances, 1), 0 }},
	{name: "shared rate, few senders", hasThrottle: true},
}

// coldScenario is one kind of simulated day.
type coldScenario struct {
	name   string
	relays int
	// perSecond is the cold rate, demand the requests per second at all relays together, of
	// which all arrive at the first relay if isAtFirst is set.
	perSecond, demand float64
	isAtFirst         bool
	// surgeAt is the age of the server at which the demand begins.
	surgeAt time.Duration
	// maxDelay is the longest time on the way of a datagram or a message, loss the share of
	// datagrams that are lost.
	maxDelay time.Duration
	loss     float64
	// groups is the number of groups that are cut off from each other from cutAt to the end of
	// each period.
	groups int
	cutAt  time.Duration
	// restartInterval is the time between two restarts of a relay, freezeInterval that between
	// two freezes of one for frozen. startsTogether is set if all relays start with the server.
	restartInterval, freezeInterval, frozen time.Duration
	startsTogether                          bool
}

var coldScenarios = []coldScenario{
	{name: "4 relays", relays: 4, perSecond: 8, demand: 200, maxDelay: 10 * time.Millisecond},
	{name: "4 relays, 200 ms", relays: 4, perSecond: 8, demand: 200, maxDelay: 200 * time.Millisecond},
	{name: "4 relays, little demand", relays: 4, perSecond: 8, demand: 10, maxDelay: 10 * time.Millisecond},
	{name: "29 relays", relays: 29, perSecond: 8, demand: 400, maxDelay: 10 * time.Millisecond},
	{name: "29 relays, 200 ms", relays: 29, perSecond: 8, demand: 400, maxDelay: 200 * time.Millisecond},
	{name: "29 relays, little demand", relays: 29, perSecond: 8, demand: 30, maxDelay: 10 * time.Millisecond},
	{name: "29 relays, sudden demand", relays: 29, perSecond: 8, demand: 1000, surgeAt: 1800 * time.Millisecond, maxDelay: 50 * time.Millisecond},
	{name: "29 relays, 2 a second", relays: 29, perSecond: 2, demand: 400, maxDelay: 200 * time.Millisecond},
	{name: "29 relays, 40 a second", relays: 29, perSecond: 40, demand: 400, maxDelay: 200 * time.Millisecond},
	{name: "demand at one of 4 relays", relays: 4, perSecond: 8, demand: 100, isAtFirst: true, maxDelay: 10 * time.Millisecond},
	{name: "half of the datagrams lost", relays: 29, perSecond: 8, demand: 400, maxDelay: 50 * time.Millisecond, loss: 0.5},
	{name: "two halves cut", relays: 29, perSecond: 8, demand: 400, maxDelay: 50 * time.Millisecond, groups: 2, cutAt: time.Second},
	{name: "all of 4 relays cut", relays: 4, perSecond: 8, demand: 200, maxDelay: 50 * time.Millisecond, groups: 4, cutAt: time.Second},
	{name: "all of 29 relays cut", relays: 29, perSecond: 8, demand: 400, maxDelay: 50 * time.Millisecond, groups: 29, cutAt: 500 * time.Millisecond},
	{name: "restarts of 4 relays", relays: 4, perSecond: 8, demand: 200, maxDelay: 50 * time.Millisecond, restartInterval: 300 * time.Millisecond},
	{name: "restarts of 29 relays", relays: 29, perSecond: 8, demand: 400, maxDelay: 50 * time.Millisecond, restartInterval: 100 * time.Millisecond},
	{name: "freezes", relays: 29, perSecond: 8, demand: 400, maxDelay: 50 * time.Millisecond, freezeInterval: 200 * time.Millisecond, frozen: 700 * time.Millisecond},
	{name: "4 relays start with the server", relays: 4, perSecond: 8, demand: 200, maxDelay: 50 * time.Millisecond, startsTogether: true},
	{name: "29 relays start with the server", relays: 29, perSecond: 8, demand: 400, maxDelay: 200 * time.Millisecond, startsTogether: true},
}

// coldRelay is one relay.
type coldRelay struct {
	name        string
	throttle    *aubthrottle.Throttle
	incarnation uint64
	startedAt   time.Duration
	frozenUntil time.Duration
	// held are the requests that arrived during a freeze.
	held  int
	heard map[string]time.Duration
	// knows is the incarnation of the backend server that the relay knows.
	knows      uint64
	reportedAt time.Duration
	hasChange  bool
	// level is the bucket of ways without a throttle, refilledAt when it was last filled;
	// leasedUntil is the end of a leased request.
	level       float64
	refilledAt  time.Duration
	leasedUntil time.Duration
	isAsking    bool
}

// coldModel is the state of one simulation.
type coldModel struct {
	scenario   coldScenario
	way        coldWay
	rnd        *rand.Rand
	timer      *aubtimer.Manual
	now        time.Duration
	relays     []*coldRelay
	deliveries []delivery
	arrivals   []time.Duration
	// leaderLevel is the bucket of the leader that grants leases.
	leaderLevel float64
}

// server returns the running incarnation of the backend server and its age.
func (m *coldModel) server() (incarnation uint64, age time.Duration) {
	return uint64(m.now/coldPeriod) + 1, m.now % coldPeriod
}

func (m *coldModel) backend(incarnation uint64) aubthrottle.Backend {
	return aubthrottle.Backend{Name: "b", Incarnation: incarnation}
}

func (m *coldModel) delay() time.Duration {
	return time.Millisecond + time.Duration(m.rnd.Int64N(int64(m.scenario.maxDelay)))
}

// deliver handles a message at a relay after a delay, later if the relay is frozen then and
// not at all if it has restarted.
func (m *coldModel) deliver(r *coldRelay, delay time.Duration, handle func()) {
	incarnation := r.incarnation
	var attempt func()
	attempt = func() {
		switch {
		case r.incarnation != incarnation:
		case r.frozenUntil > m.now:
			m.deliveries = append(m.deliveries, delivery{at: r.frozenUntil, handle: attempt})
		default:
			handle()
		}
	}
	m.deliveries = append(m.deliveries, delivery{at: m.now + delay, handle: attempt})
}

func (m *coldModel) start(r *coldRelay) {
	r.incarnation++
	r.startedAt, r.heard, r.knows, r.level, r.refilledAt, r.leasedUntil, r.isAsking = m.now, make(map[string]time.Duration), 0, 0, m.now, 0, false
	r.throttle = aubthrottle.New(aubcommon.NewCommon(m.timer), aubthrottle.Opts{
		Instance: r.name,
		OnChange: func() { r.hasChange = true },
		ColdRate: func(string) (time.Duration, float64) { return coldTime, m.scenario.perSecond },
		HeardPeers: func() int {
			heard := 0
			for _, at := range r.heard {
				if m.now-at <= aubthrottle.PeerTimeout {
					heard++
				}
			}
			return heard
		},
		PeerNames: func() []string {
			names := make([]string, 0, len(r.heard))
			for name := range r.heard {
				names = append(names, name)
			}
			return names
		},
	})
	if m.way.share != nil {
		r.throttle.SetColdShare(m.way.share)
	}
	m.register(r)
}

// register sends the registration of the running server to a relay.
func (m *coldModel) register(r *coldRelay) {
	incarnation, age := m.server()
	m.deliver(r, m.delay(), func() {
		r.knows = incarnation
		r.throttle.ObserveRegistration(&aubwire.BackendRecord{
			Id: "b", Service: "s", Zone: "z", StartedMs: int64(incarnation), Sequence: 1, State: aubwire.BackendState_BACKEND_STATE_READY,
			ColdRemainingMs: max(coldTime-age, 0).Milliseconds(),
		})
	})
}

// tellNumber sends the number of relays that have reported to the control processes.
func (m *coldModel) tellNumber(r *coldRelay) {
	known := 0
	for _, other := range m.relays {
		if other.incarnation > 0 && m.now-other.startedAt > m.scenario.maxDelay || other == r {
			known++
		}
	}
	if !m.scenario.startsTogether {
		known = m.scenario.relays
	}
	m.deliver(r, m.delay(), func() { r.throttle.SetInstances(known) })
}

func (m *coldModel) isCut(i, k int) bool {
	_, age := m.server()
	return m.scenario.groups > 0 && age >= m.scenario.cutAt && i%m.scenario.groups != k%m.scenario.groups
}

// exchange sends the due reports of a relay.
func (m *coldModel) exchange(i int) {
	r := m.relays[i]
	elapsed := m.now - r.reportedAt
	isFull := elapsed >= reportInterval
	if r.frozenUntil > m.now || !isFull && (!r.hasChange || elapsed < time.Duration(m.scenario.relays)*pausePerPeer) {
		return
	}
	r.reportedAt, r.hasChange = m.now, false
	limits, incarnation := r.throttle.Report(isFull), r.incarnation
	for k, peer := range m.relays {
		if k == i || m.isCut(i, k) || m.rnd.Float64() < m.scenario.loss {
			continue
		}
		m.deliver(peer, m.delay(), func() {
			peer.heard[r.name] = m.now
			peer.throttle.Merge(r.name, incarnation, limits)
		})
	}
}

// lease asks the leader, which is in the first group, for a request.
func (m *coldModel) lease(i int) {
	r := m.relays[i]
	if r.isAsking || m.isCut(0, i) {
		return
	}
	r.isAsking = true
	m.deliver(r, m.delay(), func() {
		isGranted := m.leaderLevel >= 1
		if isGranted {
			m.leaderLevel--
		}
		m.deliver(r, m.delay(), func() {
			r.isAsking = false
			if isGranted {
				r.leasedUntil = m.now + leaseLifetime
			}
		})
	})
}

// due returns the requests of a part of the cold rate in a time. The conversion, as elsewhere
// in these models, keeps the compiler from fusing the product with an addition: that rounds
// once instead of twice and gives other results than the golden files on arm64.
func (m *coldModel) due(elapsed time.Duration, part float64) float64 {
	return float64(m.scenario.perSecond * part * elapsed.Seconds())
}

// mayTake reports whether the relay may send a request, and counts it if so.
func (m *coldModel) mayTake(i int) bool {
	r := m.relays[i]
	switch {
	case m.way.hasThrottle:
		b := m.backend(r.knows)
		return r.throttle.Wait(b) == 0 && r.throttle.Take("", b)
	case m.way.isLeased && m.now < r.leasedUntil:
		r.leasedUntil = 0
		return true
	case m.way.isLeased:
		m.lease(i)
		return false
	}
	r.level = min(r.level+m.due(m.now-r.refilledAt, m.way.part(m.scenario.relays)), 1)
	r.refilledAt = m.now
	if r.level < 1 {
		return false
	}
	r.level--
	return true
}

// request handles a caller's request at a relay.
func (m *coldModel) request(i int) {
	r := m.relays[i]
	if r.frozenUntil > m.now {
		r.held++
		return
	}
	incarnation, age := m.server()
	if r.knows == incarnation && age < coldTime && m.mayTake(i) {
		m.arrivals = append(m.arrivals, m.now+time.Duration(m.rnd.Int64N(int64(10*time.Millisecond))))
	}
}

// disturb restarts and freezes relays.
func (m *coldModel) disturb() {
	_, age := m.server()
	if age == 0 {
		for _, r := range m.relays {
			r.level = 0
			if m.scenario.startsTogether {
				m.start(r)
				continue
			}
			m.register(r)
		}
		m.leaderLevel = 0
	}
	if interval := m.scenario.restartInterval; interval > 0 && m.now%interval == 0 {
		m.start(m.relays[m.rnd.IntN(len(m.relays))])
	}
	if interval := m.scenario.freezeInterval; interval > 0 && m.now%interval == 0 {
		m.relays[m.rnd.IntN(len(m.relays))].frozenUntil = m.now + m.scenario.frozen
	}
}

func (m *coldModel) step() {
	m.now += modelStep
	m.timer.Advance(modelStep)
	m.leaderLevel = min(m.leaderLevel+m.due(modelStep, 1), 1)
	m.disturb()
	for i, r := range m.relays {
		// What was held is handled before the messages of the same time.
		for ; r.held > 0 && r.frozenUntil <= m.now; r.held-- {
			m.request(i)
		}
	}
	pending := m.deliveries
	m.deliveries = nil
	for _, d := range pending {
		if d.at <= m.now {
			d.handle()
			continue
		}
		m.deliveries = append(m.deliveries, d)
	}
	for i, r := range m.relays {
		if m.way.hasThrottle {
			m.exchange(i)
		}
		if m.now%knownInterval == 0 {
			m.tellNumber(r)
		}
	}
	for due := m.scenario.demand * modelStep.Seconds(); due > 0; due-- {
		if _, age := m.server(); m.rnd.Float64() >= due || age < m.scenario.surgeAt {
			break
		}
		relay := m.rnd.IntN(m.scenario.relays)
		if m.scenario.isAtFirst {
			relay = 0
		}
		m.request(relay)
	}
}

// judge returns the largest number of arrivals in a window, and the part of the cold rate that
// was used.
func (m *coldModel) judge() (most int, used float64) {
	slices.Sort(m.arrivals)
	first := 0
	for i, at := range m.arrivals {
		for at-m.arrivals[first] > coldWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, float64(len(m.arrivals)) / (m.scenario.perSecond * coldTime.Seconds() * (coldPeriods - 1))
}

func runColdModel(s coldScenario, w coldWay, seed uint64) (most int, used float64) {
	m := &coldModel{scenario: s, way: w, rnd: rand.New(rand.NewPCG(seed, 5)), timer: aubtimer.NewManual(time.Unix(0, 0))}
	for i := range s.relays {
		r := &coldRelay{name: fmt.Sprint("relay-", i), reportedAt: -time.Duration(i) * reportInterval / time.Duration(s.relays)}
		m.relays = append(m.relays, r)
		m.start(r)
	}
	// In the first period the relays get to know each other.
	for m.now < coldPeriod-modelStep {
		m.step()
	}
	m.arrivals = nil
	for m.now < coldPeriods*coldPeriod {
		m.step()
	}
	return m.judge()
}

// TestColdModel compares ways to share the rate of a backend server that starts cold again and
// again. It guards against relays that together send more than the platform's bound in any
// second, which crashes the backend server. The last way must keep the bound in every run.
func TestColdModel(t *testing.T) {
	var out strings.Builder
	fmt.Fprintf(&out, "| scenario | way | requests in a second, most | bound | part of the cold rate used |\n|---|---|---|---|---|\n")
	for _, s := range coldScenarios {
		bound := int(coldFactor*s.perSecond*coldWindow.Seconds()) + coldSlack
		for k, w := range coldWays {
			most, sum := 0, 0.0
			for seed := range uint64(coldSeeds) {
				count, used := runColdModel(s, w, seed)
				most, sum = max(most, count), sum+used
			}
			fmt.Fprintf(&out, "| %s | %s | %d | %d | %.2f |\n", s.name, w.name, most, bound, sum/coldSeeds)
			if k == len(coldWays)-1 {
				qt.Check(t, most <= bound, qt.IsTrue, qt.Commentf("%s: %d requests in a second, bound %d", s.name, most, bound))
			}
		}
	}
	goldie.New(t).Assert(t, "cold_model", []byte(out.String()))
}
