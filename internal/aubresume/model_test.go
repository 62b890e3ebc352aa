package aubresume_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/auburndale/auburndale/internal/aubresume"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

const (
	modelStep = 20 * time.Millisecond
	// modelTime is the simulated time, modelSeeds the number of runs of each scenario.
	modelTime     = 60 * time.Second
	modelSeeds    = 3
	modelRelays   = 7
	modelControls = 3
	modelEngines  = 12
	// streamRate is the number of new streams per second, breakRate that of breaks of a stream
	// at its engine, which its relay resumes itself.
	streamRate = 40.0
	breakRate  = 0.1
	// reportDelay is the time until a control process holds an origin.
	reportDelay = 30 * time.Millisecond
	// restartTime is the time from a kill to the next start.
	restartTime = 500 * time.Millisecond
	// maxMixed streams may hold events of two versions. Streams that are taken up must go on
	// at least minShare as often as new ones begin.
	maxMixed = 2
	minShare = 0.5
)

// modelRelay is one relay.
type modelRelay struct {
	recorder *aubresume.Recorder
	// reported is the number of the next origin to report to each control process.
	reported [modelControls]uint64
	// told holds the origins that other relays have sent.
	told   map[string]string
	isDown bool
	isCut  bool
	// versions are those that the relay has seen.
	versions map[string]bool
}

// modelControl is one control process.
type modelControl struct {
	table  *aubresume.Table
	isDown bool
	isCut  bool
}

// modelStream is a stream with a caller.
type modelStream struct {
	began   string
	version string
	relay   int
	endsAt  time.Duration
	isMixed bool
}

// model is the state of one simulation.
type model struct {
	scenario scenario
	way      way
	rnd      *rand.Rand
	timer    *aubtimer.Manual
	now      time.Duration
	relays   []*modelRelay
	controls []*modelControl
	engines  []string
	streams  []*modelStream
	later    []delivery
	count    int
	// takeUpDelay is added to the time after which callers take streams up.
	takeUpDelay time.Duration
	// silent marks the engines that run but don't register.
	silent map[int]bool
	log    modelLog

	mixed, newTried, newBegun, resumeTried, resumeBegun int
}

type delivery struct {
	at     time.Duration
	handle func()
}

// way returns the version at which a stream goes on that a caller takes up at the relay, or
// false to refuse it. Any engine of an empty version will do.
type way struct {
	name string
	// pick returns the version for a new stream; nil means any.
	pick    func(m *model, r *modelRelay, began string) string
	resolve func(m *model, r *modelRelay, began string) (version string, ok bool)
}

// byHash returns the version that the hash of the stream's begin chooses among those that the
// relay sees.
func byHash(m *model, r *modelRelay, began string) string {
	best, highest := "", uint64(0)
	for _, version := range m.engines {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(began + version))
		if r.versions[version] && hash.Sum64() >= highest {
			best, highest = version, hash.Sum64()
		}
	}
	return best
}

func ownOrAny(_ *model, r *modelRelay, began string) (string, bool) {
	origin, _ := r.recorder.Find(began)
	return origin.Software, true
}

func ownOrRefused(_ *model, r *modelRelay, began string) (string, bool) {
	origin, ok := r.recorder.Find(began)
	return origin.Software, ok
}

func soleOrRefused(_ *model, r *modelRelay, _ string) (string, bool) {
	for version := range r.versions {
		return version, len(r.versions) == 1
	}
	return "", false
}

func toldOrRefused(_ *model, r *modelRelay, began string) (string, bool) {
	if origin, ok := r.recorder.Find(began); ok {
		return origin.Software, true
	}
	version, ok := r.told[began]
	return version, ok
}

func controlOrRefused(m *model, r *modelRelay, began string) (string, bool) {
	if origin, ok := r.recorder.Find(began); ok {
		return origin.Software, true
	}
	for _, c := range m.controls {
		if m.reaches(r, c) {
			if origin := c.table.Find(began); origin != nil {
				return origin.GetSoftware(), true
			}
		}
	}
	return "", false
}

var ways = []way{
	{name: "any backend server", resolve: func(*model, *modelRelay, string) (string, bool) { return "", true }},
	{name: "own record, else any", resolve: ownOrAny},
	{name: "hash of the begin", pick: byHash, resolve: func(m *model, r *modelRelay, began string) (string, bool) {
		return byHash(m, r, began), true
	}},
	{name: "only version seen, else refused", resolve: soleOrRefused},
	{name: "own record, else refused", resolve: ownOrRefused},
	{name: "all relays told, else refused", resolve: toldOrRefused},
	{name: "control processes told, else refused", resolve: controlOrRefused},
}

// scenario is one kind of simulated day, with the times between two faults.
type scenario struct {
	name         string
	relayKills   time.Duration
	herdKills    time.Duration
	controlKills time.Duration
	relayCuts    time.Duration
	controlCuts  time.Duration
	// rollouts replace a quarter of the engines by those of another version.
	rollouts time.Duration
	// restarts kill all relays and control processes at once. Engines of all versions but the
	// newest leave then, or run on without a registration if oldStays is set.
	restarts time.Duration
	oldStays bool
}

var scenarios = []scenario{
	{name: "one version, relays killed", relayKills: 2 * time.Second},
	{name: "rollouts", rollouts: 10 * time.Second, relayKills: 2 * time.Second},
	{name: "half of the relays killed at once", rollouts: 10 * time.Second, herdKills: 4 * time.Second},
	{name: "control processes killed too", rollouts: 10 * time.Second, relayKills: 2 * time.Second, controlKills: 3 * time.Second},
	{name: "relays cut off", rollouts: 10 * time.Second, relayKills: 2 * time.Second, relayCuts: 5 * time.Second},
	{name: "control processes cut off", rollouts: 5 * time.Second, relayKills: 2 * time.Second, controlCuts: 4 * time.Second},
}

func (m *model) reaches(r *modelRelay, c *modelControl) bool {
	return !r.isDown && !c.isDown && !r.isCut && !c.isCut
}

func (m *model) after(delay time.Duration, handle func()) {
	m.later = append(m.later, delivery{at: m.now + delay, handle: handle})
}

func (m *model) startRelay(r *modelRelay) {
	r.recorder, r.told, r.versions = aubresume.NewRecorder(m.timer), make(map[string]string), make(map[string]bool)
	r.reported, r.isDown = [modelControls]uint64{}, false
}

func (m *model) startControl(i int) {
	c := m.controls[i]
	c.table, c.isDown = aubresume.NewTable(m.timer), false
	for _, r := range m.relays {
		r.reported[i] = 0
	}
}

// killRelay ends the streams of a relay. Their callers take them up elsewhere.
func (m *model) killRelay(i int) {
	r := m.relays[i]
	if r.isDown {
		return
	}
	r.isDown = true
	m.after(restartTime, func() { m.startRelay(r) })
	kept := m.streams[:0]
	for _, s := range m.streams {
		if s.relay != i {
			kept = append(kept, s)
			continue
		}
		m.after(m.takeUpDelay+time.Duration(10+m.rnd.IntN(100))*time.Millisecond, func() { m.takeUp(s) })
	}
	m.streams = kept
}

// engine returns the version of an engine drawn at random, of the version if it is not empty.
func (m *model) engine(version string) (string, bool) {
	for _, i := range m.rnd.Perm(len(m.engines)) {
		if m.silent[i] {
			continue
		}
		if version == "" || m.engines[i] == version {
			return m.engines[i], true
		}
	}
	return "", false
}

func (m *model) begin() {
	relay := m.rnd.IntN(modelRelays)
	r := m.relays[relay]
	m.newTried++
	if r.isDown {
		return
	}
	m.count++
	began := fmt.Sprint(m.count)
	version := ""
	if m.way.pick != nil {
		version = m.way.pick(m, r, began)
	}
	version, ok := m.engine(version)
	if !ok {
		return
	}
	m.newBegun++
	r.recorder.Record(began, aubresume.Origin{Software: version})
	if !r.isCut {
		m.after(modelStep, func() {
			for _, peer := range m.relays {
				if !peer.isDown && !peer.isCut {
					peer.told[began] = version
				}
			}
		})
	}
	m.streams = append(m.streams, &modelStream{
		began: began, version: version, relay: relay, endsAt: m.now + time.Duration(500+m.rnd.IntN(2500))*time.Millisecond,
	})
}

// takeUp goes on with a stream at another relay.
func (m *model) takeUp(s *modelStream) {
	relay := m.rnd.IntN(modelRelays)
	r := m.relays[relay]
	if r.isDown {
		return
	}
	_, hasEngine := m.engine(s.version)
	if hasEngine {
		m.resumeTried++
	}
	version, ok := m.way.resolve(m, r, s.began)
	if !ok {
		return
	}
	version, ok = m.engine(version)
	if !ok {
		return
	}
	if hasEngine {
		m.resumeBegun++
	}
	m.goOn(s, version)
	s.relay = relay
	s.endsAt = max(s.endsAt, m.now+100*time.Millisecond)
	m.streams = append(m.streams, s)
}

func (m *model) goOn(s *modelStream, version string) {
	if version != s.version && !s.isMixed {
		s.isMixed = true
		m.mixed++
	}
}

// report passes the new origins of the relays on to the control processes they reach.
func (m *model) report() {
	for _, r := range m.relays {
		for k, c := range m.controls {
			if !m.reaches(r, c) {
				continue
			}
			origins, next, _ := r.recorder.Since(r.reported[k], 1000)
			r.reported[k] = next
			m.log.addOrigins(origins)
			if len(origins) > 0 {
				table := c.table
				m.after(reportDelay, func() { table.Add(origins) })
			}
		}
		for i, version := range m.engines {
			if !r.isCut && !m.silent[i] {
				r.versions[version] = true
			}
		}
	}
	m.log.commitOrigins()
}

func (m *model) isDue(interval time.Duration) bool {
	return interval > 0 && m.now%interval == 0
}

func (m *model) injectFaults() {
	s := m.scenario
	if m.isDue(s.relayKills) {
		m.killRelay(m.rnd.IntN(modelRelays))
	}
	if m.isDue(s.herdKills) {
		for _, i := range m.rnd.Perm(modelRelays)[:(modelRelays+1)/2] {
			m.killRelay(i)
		}
	}
	if m.isDue(s.controlKills) {
		i := m.rnd.IntN(modelControls)
		m.controls[i].isDown = true
		m.after(restartTime, func() { m.startControl(i) })
	}
	if m.isDue(s.relayCuts) {
		r := m.relays[m.rnd.IntN(modelRelays)]
		r.isCut = true
		m.after(4*time.Second, func() { r.isCut = false })
	}
	if m.isDue(s.controlCuts) {
		c := m.controls[m.rnd.IntN(modelControls)]
		c.isCut = true
		m.after(3*time.Second, func() { c.isCut = false })
	}
	if m.isDue(s.restarts) {
		m.restartEverything()
	}
	if m.isDue(s.rollouts) {
		version := fmt.Sprintf("v%d", m.now/s.rollouts)
		for _, i := range m.rnd.Perm(modelEngines)[:modelEngines/4] {
			m.engines[i] = version
			delete(m.silent, i)
		}
	}
	m.registerEngines()
}

func (m *model) step() {
	m.now += modelStep
	m.timer.Advance(modelStep)
	pending := m.later
	m.later = nil
	for _, d := range pending {
		if d.at <= m.now {
			d.handle()
			continue
		}
		m.later = append(m.later, d)
	}
	m.injectFaults()
	m.report()
	if m.rnd.Float64() < streamRate*modelStep.Seconds() {
		m.begin()
	}
	kept := m.streams[:0]
	for _, s := range m.streams {
		if m.rnd.Float64() < breakRate*modelStep.Seconds() {
			version := s.version
			if m.way.name == ways[0].name {
				version = ""
			}
			if version, ok := m.engine(version); ok {
				m.goOn(s, version)
			}
		}
		if s.endsAt > m.now {
			kept = append(kept, s)
		}
	}
	m.streams = kept
}

func runModel(s scenario, w way, seed uint64) *model {
	m := &model{scenario: s, way: w, rnd: rand.New(rand.NewPCG(seed, 1)), timer: aubtimer.NewManual(time.Unix(0, 0)), silent: make(map[int]bool), log: newModelLog()}
	for range modelEngines {
		m.engines = append(m.engines, "v0")
	}
	for range modelRelays {
		r := &modelRelay{}
		m.startRelay(r)
		m.relays = append(m.relays, r)
	}
	for i := range modelControls {
		m.controls = append(m.controls, &modelControl{})
		m.startControl(i)
	}
	for m.now < modelTime {
		m.step()
	}
	return m
}

// TestResumeModel compares ways to keep a stream at its software version. The last one must
// mix no more streams than the platform allows and let enough of them go on in every run.
func TestResumeModel(t *testing.T) {
	var out strings.Builder
	fmt.Fprintf(&out, "| scenario | way | mixed streams, most | share of resumes that go on, least |\n|---|---|---|---|\n")
	for _, s := range scenarios {
		for k, w := range ways {
			mixed, least := 0, 1.0
			for seed := range uint64(modelSeeds) {
				m := runModel(s, w, seed)
				newShare := float64(m.newBegun) / float64(m.newTried)
				resumeShare := float64(m.resumeBegun) / float64(max(m.resumeTried, 1))
				mixed, least = max(mixed, m.mixed), min(least, resumeShare)
				if k == len(ways)-1 {
					qt.Check(t, m.mixed <= maxMixed, qt.IsTrue, qt.Commentf("%s, seed %d: %d mixed", s.name, seed, m.mixed))
					qt.Check(t, resumeShare >= minShare*newShare, qt.IsTrue, qt.Commentf("%s, seed %d: %.2f", s.name, seed, resumeShare))
				}
			}
			fmt.Fprintf(&out, "| %s | %s | %d | %.2f |\n", s.name, w.name, mixed, least)
		}
	}
	goldie.New(t).Assert(t, "resume_model", []byte(out.String()))
}
