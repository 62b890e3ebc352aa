package aubrelay_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubresume"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// takeUp resumes after the event; began may be empty.
func takeUp(began string, lastEvent int) func(*http.Request) {
	return func(r *http.Request) {
		r.Header.Set(headerLastEvent, strconv.Itoa(lastEvent))
		r.Header.Set(headerResumes, began)
	}
}

// ranAt returns the names of the backend servers that ran the request.
func (fixture *relayFixture) ranAt(id string) []string {
	var names []string
	for name, b := range fixture.backends {
		b.mu.Lock()
		for _, run := range b.runs {
			if run == id {
				names = append(names, name)
			}
		}
		b.mu.Unlock()
	}
	return names
}

// TestStreamGoesOnAtItsSoftwareVersion truncates the first attempt of each stream.
func TestStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	versions := map[string]string{"b1": "v1", "b2": "v2", "b3": "v1", "b4": "v2"}
	for i := range 20 {
		fixture := newRelayFixtureWithSoftware(t, versions)
		var hasFailed atomic.Bool
		fixture.setBehaviors(func(b *backend, w http.ResponseWriter, r *http.Request) {
			if hasFailed.Swap(true) {
				respondOK(b, w, r)
				return
			}
			truncateStream(b, w, r)
		})
		id := fmt.Sprint(i)
		result := fixture.call(http.MethodPost, "/stream/x", id, nil)
		qt.Assert(t, result.isBroken, qt.IsFalse)
		qt.Assert(t, result.body, qt.Equals, completeStream())
		names := fixture.ranAt(id)
		qt.Assert(t, names, qt.HasLen, 2)
		qt.Assert(t, versions[names[0]], qt.Equals, versions[names[1]])
	}
}

// TestStreamWithoutItsSoftwareVersionIsBrokenOff truncates every attempt at the only backend
// server of a version.
func TestStreamWithoutItsSoftwareVersionIsBrokenOff(t *testing.T) {
	fixture := newRelayFixtureWithSoftware(t, map[string]string{"b1": "v1", "b2": "v2"})
	fixture.setBehaviors(truncateStream, truncateStream)
	result := fixture.call(http.MethodPost, "/stream/x", "1", nil)
	qt.Assert(t, result.isBroken, qt.IsTrue)
	names := fixture.ranAt("1")
	for _, name := range names {
		qt.Assert(t, name, qt.Equals, names[0])
	}
}

// TestCallerTakesUpStream takes streams up whose origin this relay, a control process or
// nobody knows.
func TestCallerTakesUpStream(t *testing.T) {
	mixed := map[string]string{"b1": "v1", "b2": "v2"}
	const all = aubresume.CoverageAll
	same := map[string]string{"b1": "v1", "b2": "v1"}
	for _, test := range []struct {
		name     string
		versions map[string]string
		began    string
		coverage aubresume.Coverage
		// committed is a version that control processes state beside those seen.
		committed string
		// want is the version that must run the request; empty if it must not run.
		want           string
		wantRetryAfter bool
	}{
		{name: "known to a control process", versions: mixed, began: "known", coverage: all, want: "v2"},
		{name: "known to one of few that answer", versions: mixed, began: "known", want: "v2"},
		{name: "not known", versions: mixed, began: "unknown", coverage: all},
		{name: "not named", versions: mixed, coverage: all},
		{name: "not known to few that answer", versions: mixed, began: "unknown", wantRetryAfter: true},
		{name: "not known, only one version", versions: same, began: "unknown", coverage: all, want: "v1"},
		{name: "not known to most, only one version", versions: same, began: "unknown", coverage: aubresume.CoverageMajority, wantRetryAfter: true},
		{name: "not named, only one version", versions: same, coverage: aubresume.CoverageMajority, want: "v1"},
		{name: "not named, only one version, few answer", versions: same, wantRetryAfter: true},
		{name: "not named, another version committed", versions: same, coverage: all, committed: "v0"},
		{name: "not known, another version committed", versions: same, began: "unknown", coverage: all, committed: "v0"},
		{name: "known, another version committed", versions: mixed, began: "known", coverage: all, committed: "v0", want: "v2"},
		{name: "known, at no version that is left", versions: same, began: "known", coverage: all, wantRetryAfter: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newRelayFixtureWithSoftware(t, test.versions)
			fixture.streams = map[string]*aubwire.StreamOrigin{"known": {Id: "known", Service: "s", Software: "v2"}}
			fixture.coverage = test.coverage
			if test.committed != "" {
				fixture.committed = []*aubwire.SoftwareSeen{{Service: "s", Software: test.committed}}
			}
			for i := range 10 {
				id := fmt.Sprint(i)
				result := fixture.call(http.MethodPost, "/stream/x", id, takeUp(test.began, 1))
				names := fixture.ranAt(id)
				if test.want != "" {
					qt.Assert(t, result.status, qt.Equals, http.StatusOK)
					qt.Assert(t, names, qt.HasLen, 1)
					qt.Assert(t, test.versions[names[0]], qt.Equals, test.want)
					continue
				}
				qt.Assert(t, result.status, qt.Equals, http.StatusServiceUnavailable)
				qt.Assert(t, names, qt.HasLen, 0)
				qt.Assert(t, result.header.Get("Retry-After") != "", qt.Equals, test.wantRetryAfter)
			}
		})
	}
}

// TestCallerTakesUpStreamOfThisRelay begins a stream that breaks off and takes it up.
func TestCallerTakesUpStreamOfThisRelay(t *testing.T) {
	versions := map[string]string{"b1": "v1", "b2": "v2"}
	fixture := newRelayFixtureWithSoftware(t, versions)
	fixture.setBehaviors(truncateStream, truncateStream)
	qt.Assert(t, fixture.call(http.MethodPost, "/stream/x", "began", nil).isBroken, qt.IsTrue)
	began := fixture.ranAt("began")[0]
	fixture.setBehaviors()
	for i := range 10 {
		id := fmt.Sprint(i)
		qt.Assert(t, fixture.call(http.MethodPost, "/stream/x", id, takeUp("began", 1)).status, qt.Equals, http.StatusOK)
		qt.Assert(t, fixture.ranAt(id), qt.DeepEquals, []string{began})
	}
}

// TestStreamOfAnUnconfirmedBackendServerIsNotJoined guards against a stream that began at a
// backend server which may have another version than before a restart of everything: its only
// registered version must not be taken for that of the stream.
func TestStreamOfAnUnconfirmedBackendServerIsNotJoined(t *testing.T) {
	fixture := newRelayFixtureWithSoftware(t, map[string]string{"b1": "v1", "b2": "v1"})
	fixture.coverage = aubresume.CoverageAll
	record := func(id string, startedMs, unconfirmedMs int64) *aubwire.BackendRecord {
		return &aubwire.BackendRecord{
			Id: id, Service: "s", Address: fixture.backends[id].server.Listener.Addr().String(), StartedMs: startedMs, Sequence: 1,
			State: aubwire.BackendState_BACKEND_STATE_READY, Software: "v1", UnconfirmedMs: unconfirmedMs,
		}
	}
	fixture.registry.Deregister("b1", 1)
	fixture.registry.Deregister("b2", 2)
	fixture.registry.Merge([]*aubwire.BackendRecord{record("b1", 10, 3000)})
	fixture.setBehaviors(truncateStream)
	begun := fixture.call(http.MethodPost, "/stream/x", "begun", nil)
	qt.Assert(t, begun.isBroken, qt.IsTrue)
	qt.Assert(t, fixture.ranAt("begun"), qt.DeepEquals, []string{"b1"})
	fixture.registry.Merge([]*aubwire.BackendRecord{record("b2", 20, 0)})
	result := fixture.call(http.MethodPost, "/stream/x", "taken", takeUp("begun", 1))
	qt.Assert(t, result.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, fixture.ranAt("taken"), qt.HasLen, 0)
}
