package aubrelay_test

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubresume"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// TestOutdatedRelayTakesUpNoStream guards against a stream that goes on at another software version
// because the relay doesn't know that a backend server has started again with it.
func TestOutdatedRelayTakesUpNoStream(t *testing.T) {
	fixture := newRelayFixtureWithSoftware(t, map[string]string{"b1": "v1", "b2": "v2"})
	fixture.coverage = aubresume.CoverageAll
	fixture.streams = map[string]*aubwire.StreamOrigin{"known": {Id: "known", Service: "s", Software: "v2"}}
	fixture.isOutdated.Store(true)
	for i, began := range []string{"known", "unknown", ""} {
		id := fmt.Sprint(i)
		result := fixture.call(http.MethodPost, "/stream/x", id, takeUp(began, 1))
		qt.Assert(t, result.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%q", began))
		qt.Assert(t, result.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		qt.Assert(t, fixture.ranAt(id), qt.HasLen, 0)
	}
	fixture.isOutdated.Store(false)
	result := fixture.call(http.MethodPost, "/stream/x", "later", takeUp("known", 1))
	qt.Assert(t, result.status, qt.Equals, http.StatusOK)
	qt.Assert(t, fixture.ranAt("later"), qt.DeepEquals, []string{"b2"})
}

// TestOutdatedRelayEndsBrokenStream guards against a stream that the relay itself goes on with while
// it may not know the software versions of the backend servers.
func TestOutdatedRelayEndsBrokenStream(t *testing.T) {
	for _, test := range []struct {
		name             string
		atBegin, atBreak bool
	}{
		{"since the begin", true, true},
		{"since the first events", false, true},
		{"at the begin alone", true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newRelayFixtureWithSoftware(t, map[string]string{"b1": "v1", "b2": "v1"})
			fixture.coverage = aubresume.CoverageAll
			fixture.isOutdated.Store(test.atBegin)
			breakOff := func(b *backend, w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(headerLastEvent) != "" {
					respondOK(b, w, r)
					return
				}
				b.recordRun(r)
				b.setHeaders(w, r)
				writeEvents(w, 0, 2)
				fixture.isOutdated.Store(test.atBreak)
				if !test.atBreak {
					// In the meantime another incarnation of the backend server has registered.
					fixture.registry.Register(&aubwire.BackendRecord{
						Id: b.id, Service: "s", Address: b.server.Listener.Addr().String(), StartedMs: 100, Sequence: 1,
						State: aubwire.BackendState_BACKEND_STATE_READY, Software: "v2",
					})
				}
				panic(http.ErrAbortHandler)
			}
			fixture.setBehaviors(breakOff, breakOff)
			result := fixture.call(http.MethodPost, "/stream/x", "begun", nil)
			qt.Assert(t, result.isBroken, qt.IsTrue, qt.Commentf("%+v", result))
			qt.Assert(t, fixture.ranAt("begun"), qt.HasLen, 1)
			if test.atBegin {
				// Nobody can tell at which version it began.
				fixture.isOutdated.Store(false)
				qt.Assert(t, fixture.call(http.MethodPost, "/stream/x", "taken", takeUp("begun", 1)).status, qt.Equals, http.StatusServiceUnavailable)
			}
		})
	}
}
