package aubrelay_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// respondLeaving answers and states that the backend server leaves.
func respondLeaving(b *backend, w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerLeaving, "1")
	respondOK(b, w, r)
}

// respondLeavingToAnother states it in an answer to another request.
func respondLeavingToAnother(b *backend, w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerLeaving, "1")
	respondToAnother(b, w, r)
}

// refuseWithQuiet returns a behavior that turns the request away and asks for quiet.
func refuseWithQuiet(quiet time.Duration) behavior {
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerQuiet, quiet.String())
		refuseNotRun(b, w, r)
	}
}

// countRequests returns how many requests have arrived at the backend server.
func (b *backend) countRequests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.requests)
}

// TestLeavingBackendServerGetsNoMoreRequests sends requests of all kinds after one of two
// backend servers has said in an answer that it leaves.
func TestLeavingBackendServerGetsNoMoreRequests(t *testing.T) {
	fixture := newRelayFixture(t, "b1", "b2")
	for _, b := range fixture.backends {
		b.behaviors = []behavior{respondLeaving}
	}
	qt.Assert(t, fixture.call(http.MethodGet, "/read/x", "first", nil).status, qt.Equals, http.StatusOK)
	leaving, other := fixture.backends["b1"], fixture.backends["b2"]
	if other.countRequests() > 0 {
		leaving, other = other, leaving
	}
	other.behaviors = nil
	for i := range 30 {
		for _, path := range []string{"/read/x", "/write/x", "/stream/x", "/stream-once/x"} {
			qt.Assert(t, fixture.call(http.MethodPost, path, fmt.Sprint(path, i), nil).status, qt.Equals, http.StatusOK)
		}
	}
	qt.Assert(t, leaving.countRequests(), qt.Equals, 1)
	reported := fixture.registry.Leaving()
	qt.Assert(t, reported, qt.HasLen, 1)
	qt.Assert(t, reported[0].GetId(), qt.Equals, leaving.id)
}

// TestLastBackendServerThatLeavesIsRefusedAtOnce leaves no other backend server.
func TestLastBackendServerThatLeavesIsRefusedAtOnce(t *testing.T) {
	fixture := newRelayFixture(t, "b1")
	fixture.setBehaviors(respondLeaving)
	qt.Assert(t, fixture.call(http.MethodGet, "/read/x", "first", nil).status, qt.Equals, http.StatusOK)
	startedAt := time.Now()
	result := fixture.call(http.MethodGet, "/read/x", "second", nil)
	qt.Assert(t, result.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, time.Since(startedAt) < 200*time.Millisecond, qt.IsTrue)
	qt.Assert(t, fixture.countRuns("second"), qt.Equals, 0)
}

// TestAnswerToAnotherRequestMarksNoBackendServerAsLeaving takes the header from an answer
// that belongs to another request.
func TestAnswerToAnotherRequestMarksNoBackendServerAsLeaving(t *testing.T) {
	fixture := newRelayFixture(t, "b1")
	fixture.setBehaviors(respondLeavingToAnother)
	fixture.call(http.MethodPost, "/write/x", "first", nil)
	qt.Assert(t, fixture.registry.Leaving(), qt.HasLen, 0)
	qt.Assert(t, fixture.call(http.MethodPost, "/write/x", "second", nil).status, qt.Equals, http.StatusOK)
}

// TestQuietBackendServerGetsNoRequests sends requests while one of two backend servers has
// asked for quiet, and after its end.
func TestQuietBackendServerGetsNoRequests(t *testing.T) {
	const quiet = 600 * time.Millisecond
	fixture := newRelayFixture(t, "b1", "b2")
	asking := fixture.backends["b1"]
	asking.behaviors = []behavior{refuseWithQuiet(quiet)}
	for i := 0; asking.countRequests() == 0; i++ {
		qt.Assert(t, fixture.call(http.MethodPost, "/write/x", fmt.Sprint("before", i), nil).status, qt.Equals, http.StatusOK)
	}
	askedAt := time.Now()
	for i := 0; time.Since(askedAt) < quiet-100*time.Millisecond; i++ {
		qt.Assert(t, fixture.call(http.MethodPost, "/write/x", fmt.Sprint("quiet", i), nil).status, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, asking.countRequests(), qt.Equals, 1)
	time.Sleep(200 * time.Millisecond)
	for i := 0; asking.countRequests() == 1 && i < 100; i++ {
		fixture.call(http.MethodPost, "/write/x", fmt.Sprint("after", i), nil)
	}
	qt.Assert(t, asking.countRequests(), qt.Equals, 2)
}

// TestRequestsToQuietBackendServersAreRefusedAtOnce asks for quiet at the only backend
// server. Callers, the first one included, must not be told to come back before its end.
func TestRequestsToQuietBackendServersAreRefusedAtOnce(t *testing.T) {
	const quiet = 2 * time.Second
	fixture := newRelayFixture(t, "b1")
	fixture.setBehaviors(refuseWithQuiet(quiet))
	startedAt := time.Now()
	advised := make(map[time.Duration]bool)
	for i := range 8 {
		id := fmt.Sprint(i)
		result := fixture.call(http.MethodPost, "/write/x", id, nil)
		elapsed := time.Since(startedAt)
		qt.Assert(t, result.status, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, elapsed < time.Second, qt.IsTrue)
		qt.Assert(t, fixture.countRuns(id), qt.Equals, 0)
		wait, err := time.ParseDuration(result.header.Get("Retry-After"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, elapsed+wait >= quiet, qt.IsTrue, qt.Commentf("%s after %s", wait, elapsed))
		advised[wait.Round(20*time.Millisecond)] = true
	}
	qt.Assert(t, fixture.backends["b1"].countRequests(), qt.Equals, 1)
	qt.Assert(t, len(advised) > 3, qt.IsTrue, qt.Commentf("all callers come back together: %v", advised))
}
