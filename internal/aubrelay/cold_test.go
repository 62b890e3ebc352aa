package aubrelay_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// registerCold registers a backend server of the fixture again, which stays cold for the time.
func (fixture *relayFixture) registerCold(name string, startedMs int64, left time.Duration) {
	fixture.registry.Register(&aubwire.BackendRecord{
		Id: name, Service: "s", Address: fixture.backends[name].server.Listener.Addr().String(), StartedMs: startedMs, Sequence: 2,
		State: aubwire.BackendState_BACKEND_STATE_READY, ColdRemainingMs: left.Milliseconds(),
	})
}

// TestRequestsAboveColdRateGoElsewhere guards against a cold backend server that gets more than
// its rate, and against refusals of what a warm one can take.
func TestRequestsAboveColdRateGoElsewhere(t *testing.T) {
	fixture := newRelayFixture(t, "b1", "b2")
	fixture.registerCold("b1", 1, coldTime)
	startedAt := time.Now()
	for i := 0; time.Since(startedAt) < time.Second; i++ {
		result := fixture.call(http.MethodGet, "/read/x", fmt.Sprint(i), nil)
		qt.Assert(t, result.status, qt.Equals, http.StatusOK)
	}
	runs := len(fixture.backends["b1"].runs)
	qt.Assert(t, runs > 0 && runs <= coldRate, qt.IsTrue, qt.Commentf("%d runs", runs))
}

// TestRequestsAboveAllColdRatesAreRefused guards against callers of a service, all of whose
// backend servers are cold, who wait, or who are told to come back at the wrong time.
func TestRequestsAboveAllColdRatesAreRefused(t *testing.T) {
	fixture := newRelayFixture(t, "b1")
	fixture.registerCold("b1", 1, coldTime)
	startedAt := time.Now()
	result := fixture.call(http.MethodPost, "/write/x", "refused", nil)
	qt.Assert(t, time.Since(startedAt) < 200*time.Millisecond, qt.IsTrue)
	qt.Assert(t, result.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, result.header.Get(headerCode), qt.Equals, "backend_server_limited")
	qt.Assert(t, fixture.countRuns("refused"), qt.Equals, 0)
	wait, err := time.ParseDuration(result.header.Get("Retry-After"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, wait > 0 && wait <= coldTime, qt.IsTrue, qt.Commentf("%s", wait))
	time.Sleep(wait)
	qt.Assert(t, fixture.call(http.MethodPost, "/write/x", "returned", nil).status, qt.Equals, http.StatusOK)
	// The next registration says that the backend server is warm.
	fixture.registry.Register(&aubwire.BackendRecord{
		Id: "b1", Service: "s", Address: fixture.backends["b1"].server.Listener.Addr().String(), StartedMs: 1, Sequence: 3,
		State: aubwire.BackendState_BACKEND_STATE_READY,
	})
	for i := range 10 {
		qt.Assert(t, fixture.call(http.MethodPost, "/write/x", fmt.Sprint("warm", i), nil).status, qt.Equals, http.StatusOK)
	}
}
