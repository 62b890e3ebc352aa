package aubresume_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubresume"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// modelRefresh is the time between two commits of a version that is registered.
	modelRefresh = 30 * time.Second
	// callIDSize is the size of a request's id in bytes.
	callIDSize = 36
)

// cost counts commits to the replicated log and the size of their commands.
type cost struct{ commits, bytes int }

func (c *cost) add(message proto.Message) {
	c.commits++
	c.bytes += proto.Size(message)
}

// modelLog is what the replicated log holds for each way that needs one. It survives restarts of
// everything.
type modelLog struct {
	software     *aubresume.SoftwareTable
	refreshedAt  map[string]time.Duration
	softwareCost cost
	origins      map[string]string
	batch        *aubwire.RegistryRequest
	originCost   cost
	// restartedAt is the time of the last restart of everything.
	restartedAt time.Duration
	isRestarted bool
}

func newModelLog() modelLog {
	return modelLog{
		software: aubresume.NewSoftwareTable(), refreshedAt: make(map[string]time.Duration),
		origins: make(map[string]string), batch: &aubwire.RegistryRequest{},
	}
}

// addOrigins puts origins that are not yet held into the next commit.
func (l *modelLog) addOrigins(origins []*aubwire.StreamOrigin) {
	for _, origin := range origins {
		if _, ok := l.origins[origin.GetId()]; ok {
			continue
		}
		l.origins[origin.GetId()] = origin.GetSoftware()
		l.batch.Streams = append(l.batch.Streams, &aubwire.StreamOrigin{
			Id: strings.Repeat("x", callIDSize), Service: "s", Software: origin.GetSoftware(),
		})
	}
}

// commitOrigins commits the collected origins.
func (l *modelLog) commitOrigins() {
	if len(l.batch.GetStreams()) > 0 {
		l.originCost.add(l.batch)
		l.batch = &aubwire.RegistryRequest{}
	}
}

// registerEngines commits the versions of the engines that register and are due.
func (m *model) registerEngines() {
	for i, version := range m.engines {
		at, ok := m.log.refreshedAt[version]
		if m.silent[i] || ok && m.now-at < modelRefresh {
			continue
		}
		command := &aubwire.SoftwareCommand{Registered: []*aubwire.SoftwareVersion{{Service: "s", Software: version}}}
		m.log.softwareCost.add(command)
		m.log.refreshedAt[version] = m.now
		// Marshaling a message without required fields does not fail.
		body, _ := proto.Marshal(command)
		m.log.software.Apply(aubcontrol.Command{Clock: m.now, Body: body})
	}
}

// restartEverything kills all relays and control processes and starts them again. Callers come
// back once they run.
func (m *model) restartEverything() {
	newest := slices.Max(m.engines)
	for i, version := range m.engines {
		switch {
		case version == newest:
		case m.scenario.oldStays:
			m.silent[i] = true
		default:
			m.engines[i] = newest
		}
	}
	m.takeUpDelay = restartTime + 2*reportDelay
	for i := range m.relays {
		m.killRelay(i)
	}
	m.takeUpDelay = 0
	for i, c := range m.controls {
		c.isDown = true
		m.after(restartTime, func() { m.startControl(i) })
	}
	m.log.restartedAt, m.log.isRestarted = m.now, true
}

// soleOf returns the only version that the relay has seen and that the control processes it
// reaches state.
func soleOf(m *model, r *modelRelay, committed []*aubwire.SoftwareSeen) (string, bool) {
	answered := 0
	for _, c := range m.controls {
		if m.reaches(r, c) {
			answered++
		}
	}
	own := make([]string, 0, len(r.versions))
	for version := range r.versions {
		own = append(own, version)
	}
	answer := aubresume.Answer{Coverage: aubresume.NewCoverage(answered, len(m.controls)), Software: committed}
	if !answer.Covers(true) {
		return "", false
	}
	return answer.SoleSoftware("s", own)
}

// orElse returns a way that asks the control processes first.
func orElse(next func(m *model, r *modelRelay, began string) (string, bool)) func(*model, *modelRelay, string) (string, bool) {
	return func(m *model, r *modelRelay, began string) (string, bool) {
		if version, ok := controlOrRefused(m, r, began); ok {
			return version, true
		}
		return next(m, r, began)
	}
}

// restartWays are the ways to tell the version of a stream that no running process knows.
var restartWays = []way{
	{name: "what answers state, else any", resolve: ownOrAny},
	{name: "only version seen since the start", resolve: orElse(func(m *model, r *modelRelay, _ string) (string, bool) {
		return soleOf(m, r, nil)
	})},
	{name: "the same, not for 2 min after a restart", resolve: orElse(func(m *model, r *modelRelay, _ string) (string, bool) {
		if m.log.isRestarted && m.now-m.log.restartedAt < 2*time.Minute {
			return "", false
		}
		return soleOf(m, r, nil)
	})},
	{name: "origins of all streams in the log", resolve: orElse(func(m *model, _ *modelRelay, began string) (string, bool) {
		version, ok := m.log.origins[began]
		return version, ok
	})},
	{name: "versions in the log", resolve: orElse(func(m *model, r *modelRelay, _ string) (string, bool) {
		return soleOf(m, r, m.log.software.Seen([]string{"s"}))
	})},
}

var restartScenarios = []scenario{
	{name: "one version", restarts: 15 * time.Second},
	{name: "old versions have left", rollouts: 10 * time.Second, restarts: 15 * time.Second},
	{name: "old versions don't register again", rollouts: 10 * time.Second, restarts: 15 * time.Second, oldStays: true},
	{name: "restarts and relays killed", rollouts: 10 * time.Second, restarts: 25 * time.Second, relayKills: 2 * time.Second},
}

// TestRestartModel compares ways to keep streams at their software version while all relays and
// control processes are killed at once. The last one must mix no streams, and must let those of a
// service with one version go on as the rule without a log does.
func TestRestartModel(t *testing.T) {
	var out strings.Builder
	fmt.Fprintf(&out, "| scenario | way | mixed streams, most | share of resumes that go on, least | commits, most | bytes, most |\n|---|---|---|---|---|---|\n")
	for _, s := range restartScenarios {
		shares := make(map[string]float64)
		for k, w := range restartWays {
			mixed, least, most := 0, 1.0, cost{}
			for seed := range uint64(modelSeeds) {
				m := runModel(s, w, seed)
				mixed, least = max(mixed, m.mixed), min(least, float64(m.resumeBegun)/float64(max(m.resumeTried, 1)))
				switch w.name {
				case "origins of all streams in the log":
					most = cost{max(most.commits, m.log.originCost.commits), max(most.bytes, m.log.originCost.bytes)}
				case "versions in the log":
					most = cost{max(most.commits, m.log.softwareCost.commits), max(most.bytes, m.log.softwareCost.bytes)}
				}
				if k == len(restartWays)-1 {
					qt.Check(t, m.mixed, qt.Equals, 0, qt.Commentf("%s, seed %d", s.name, seed))
				}
			}
			shares[w.name] = least
			fmt.Fprintf(&out, "| %s | %s | %d | %.2f | %d | %d |\n", s.name, w.name, mixed, least, most.commits, most.bytes)
		}
		if s.rollouts == 0 {
			qt.Check(t, shares["versions in the log"], qt.Equals, shares["only version seen since the start"])
		}
	}
	goldie.New(t).Assert(t, "restart_model", []byte(out.String()))
}
