package aubthrottle_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubthrottle"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

const (
	quietModelStep = time.Millisecond
	quietModelTime = 30 * time.Second
	quietSeeds     = 3
	// quietGrace and quietAllowance are the platform's bound: later than quietGrace after an
	// answer, at most quietAllowance requests arrive from a relay until the end.
	quietGrace     = 500 * time.Millisecond
	quietAllowance = 2
	// maxSends limits the sends of one request.
	maxSends = 3
)

// quietWay is one way to act on the demand for quiet.
type quietWay struct {
	name      string
	isHeeded  bool
	isShared  bool
	mayExceed bool
}

var quietWays = []quietWay{
	{name: "ignored", mayExceed: true},
	{name: "shared with all relays", isHeeded: true, isShared: true},
	{name: "each relay alone", isHeeded: true},
}

// quietScenario is one kind of simulated day. Of the servers, askingServers turn away the
// share askingShare of their requests, and each one what is above its capacity.
type quietScenario struct {
	name                   string
	relays, servers        int
	askingServers          int
	askingShare            float64
	quiet                  time.Duration
	rate, serverCapacity   float64
	restartInterval        time.Duration
	freezeInterval, frozen time.Duration
}

var quietScenarios = []quietScenario{
	{name: "one of ten servers turns 40% away", relays: 8, servers: 10, askingServers: 1, askingShare: 0.4, quiet: 2 * time.Second, rate: 100, serverCapacity: 20},
	{name: "a third of the servers turn 30% away", relays: 23, servers: 9, askingServers: 3, askingShare: 0.3, quiet: time.Second, rate: 100, serverCapacity: 20},
	{name: "all servers turn 30% away", relays: 8, servers: 6, askingServers: 6, askingShare: 0.3, quiet: time.Second, rate: 60, serverCapacity: 20},
	{name: "load above all capacity", relays: 8, servers: 6, quiet: 500 * time.Millisecond, rate: 150, serverCapacity: 20},
	{name: "restarts", relays: 8, servers: 10, askingServers: 2, askingShare: 0.5, quiet: 2 * time.Second, rate: 100, serverCapacity: 20, restartInterval: 500 * time.Millisecond},
	{name: "freezes", relays: 8, servers: 10, askingServers: 2, askingShare: 0.5, quiet: 2 * time.Second, rate: 100, serverCapacity: 20, freezeInterval: 3 * time.Second, frozen: time.Second},
}

// quietModel is the state of one simulation.
type quietModel struct {
	scenario   quietScenario
	way        quietWay
	rnd        *rand.Rand
	timer      *aubtimer.Manual
	now        time.Duration
	throttles  []*aubthrottle.Throttle
	frozenTill []time.Duration
	levels     []float64
	// askedAt and quietTill are, by relay and server, the bounds of the current quiet, loud the
	// requests that arrive in it.
	askedAt, quietTill          [][]time.Duration
	loud                        [][]int
	mostLoud                    int
	requests, served, sends     int
	refusedWhileOneServerIsFree int
}

func newQuietModel(s quietScenario, w quietWay, seed uint64) *quietModel {
	m := &quietModel{scenario: s, way: w, rnd: rand.New(rand.NewPCG(seed, 3)), timer: aubtimer.NewManual(time.Unix(0, 0))}
	m.throttles, m.frozenTill, m.levels = make([]*aubthrottle.Throttle, s.relays), make([]time.Duration, s.relays), make([]float64, s.servers)
	for i := range s.relays {
		m.askedAt, m.quietTill, m.loud = append(m.askedAt, make([]time.Duration, s.servers)), append(m.quietTill, make([]time.Duration, s.servers)), append(m.loud, make([]int, s.servers))
		m.start(i)
	}
	return m
}

// start starts a relay that knows nothing; a restart excuses it from earlier quiets.
func (m *quietModel) start(relay int) {
	m.throttles[relay] = aubthrottle.New(aubcommon.NewCommon(m.timer), aubthrottle.Opts{})
	clear(m.quietTill[relay])
}

// arrive handles a request at a server and reports whether it is served.
func (m *quietModel) arrive(relay, server int) bool {
	m.sends++
	if m.now < m.quietTill[relay][server] && m.now-m.askedAt[relay][server] > quietGrace {
		m.loud[relay][server]++
		m.mostLoud = max(m.mostLoud, m.loud[relay][server])
	}
	isTurnedAway := m.levels[server] < 1 || server < m.scenario.askingServers && m.rnd.Float64() < m.scenario.askingShare
	if !isTurnedAway {
		m.levels[server]--
		return true
	}
	if m.now >= m.quietTill[relay][server] {
		m.askedAt[relay][server], m.loud[relay][server] = m.now, 0
	}
	m.quietTill[relay][server] = max(m.quietTill[relay][server], m.now+m.scenario.quiet)
	for i, throttle := range m.throttles {
		if m.way.isHeeded && (i == relay || m.way.isShared) {
			throttle.ObserveQuiet("", modelServer(server), m.scenario.quiet)
		}
	}
	return false
}

func modelServer(i int) aubthrottle.Backend {
	return aubthrottle.Backend{Name: fmt.Sprint(i), Incarnation: 1}
}

// request sends a request to one server after another that its relay may send to.
func (m *quietModel) request(relay int) {
	m.requests++
	var tried []int
	for range maxSends {
		server, isFound := m.choose(relay, tried)
		if !isFound {
			break
		}
		tried = append(tried, server)
		if m.arrive(relay, server) {
			m.served++
			return
		}
	}
	for _, level := range m.levels {
		if level >= 1 {
			m.refusedWhileOneServerIsFree++
			return
		}
	}
}

func (m *quietModel) choose(relay int, tried []int) (server int, isFound bool) {
	for _, i := range m.rnd.Perm(m.scenario.servers) {
		isTried := false
		for _, t := range tried {
			isTried = isTried || t == i
		}
		if !isTried && m.throttles[relay].Take("", modelServer(i)) {
			return i, true
		}
	}
	return 0, false
}

func (m *quietModel) step() {
	m.now += quietModelStep
	m.timer.Advance(quietModelStep)
	for i := range m.levels {
		m.levels[i] = min(m.levels[i]+float64(m.scenario.serverCapacity*quietModelStep.Seconds()), m.scenario.serverCapacity/4)
	}
	if interval := m.scenario.restartInterval; interval > 0 && m.now%interval == 0 {
		m.start(m.rnd.IntN(m.scenario.relays))
	}
	if interval := m.scenario.freezeInterval; interval > 0 && m.now%interval == 0 {
		m.frozenTill[m.rnd.IntN(m.scenario.relays)] = m.now + m.scenario.frozen
	}
	if m.rnd.Float64() < m.scenario.rate*quietModelStep.Seconds() {
		if relay := m.rnd.IntN(m.scenario.relays); m.frozenTill[relay] <= m.now {
			m.request(relay)
		}
	}
}

// TestQuietModel compares ways to act on servers that ask for quiet. The last one must keep
// the platform's bound and serve at least as much as the other one that keeps it.
func TestQuietModel(t *testing.T) {
	var out strings.Builder
	fmt.Fprintf(&out, "| scenario | way | requests in a quiet, most | served | refused while a server had room | sends for each served |\n|---|---|---|---|---|---|\n")
	for _, s := range quietScenarios {
		served := make([]float64, 0, len(quietWays))
		for _, w := range quietWays {
			mostLoud, servedCount, requests, sends, needless := 0, 0, 0, 0, 0
			for seed := range uint64(quietSeeds) {
				m := newQuietModel(s, w, seed)
				for m.now < quietModelTime {
					m.step()
				}
				mostLoud, servedCount, requests = max(mostLoud, m.mostLoud), servedCount+m.served, requests+m.requests
				sends, needless = sends+m.sends, needless+m.refusedWhileOneServerIsFree
			}
			share := float64(servedCount) / float64(requests)
			served = append(served, share)
			fmt.Fprintf(&out, "| %s | %s | %d | %.3f | %.3f | %.2f |\n", s.name, w.name, mostLoud, share, float64(needless)/float64(requests), float64(sends)/float64(servedCount))
			if !w.mayExceed {
				qt.Check(t, mostLoud <= quietAllowance, qt.IsTrue, qt.Commentf("%s, %s: %d requests in a quiet", s.name, w.name, mostLoud))
			}
		}
		qt.Check(t, served[2] >= served[1], qt.IsTrue, qt.Commentf("%s: %v", s.name, served))
	}
	goldie.New(t).Assert(t, "quiet_model", []byte(out.String()))
}
