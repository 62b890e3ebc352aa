package aubrelay_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// respondLimited states a rate limit in the answer.
func respondLimited(b *backend, w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerRateLimit, "0.5")
	respondOK(b, w, r)
}

// TestRequestsAboveRateLimitGoElsewhere limits one of two backend servers.
func TestRequestsAboveRateLimitGoElsewhere(t *testing.T) {
	fixture := newRelayFixture(t, "b1", "b2")
	limited := fixture.backends["b1"]
	for range 100 {
		limited.behaviors = append(limited.behaviors, respondLimited)
	}
	for i := range 60 {
		result := fixture.call(http.MethodGet, "/read/x", fmt.Sprint(i), nil)
		qt.Assert(t, result.status, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, len(limited.runs) <= 2, qt.IsTrue, qt.Commentf("%d runs", len(limited.runs)))
}

// TestRequestsAboveAllRateLimitsAreRefused limits the only backend server.
func TestRequestsAboveAllRateLimitsAreRefused(t *testing.T) {
	fixture := newRelayFixture(t, "b1")
	fixture.setBehaviors(respondLimited, respondLimited, respondOK)
	qt.Assert(t, fixture.call(http.MethodGet, "/read/x", "0", nil).status, qt.Equals, http.StatusOK)
	advised := make([]time.Duration, 0, 3)
	for i := range 3 {
		startedAt := time.Now()
		result := fixture.call(http.MethodPost, "/write/x", fmt.Sprint("refused", i), nil)
		qt.Assert(t, result.status, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, result.header.Get(headerCode), qt.Equals, "backend_server_limited")
		qt.Assert(t, time.Since(startedAt) < 200*time.Millisecond, qt.IsTrue)
		qt.Assert(t, fixture.countRuns(fmt.Sprint("refused", i)), qt.Equals, 0)
		wait, err := time.ParseDuration(result.header.Get("Retry-After"))
		qt.Assert(t, err, qt.IsNil)
		advised = append(advised, wait)
	}
	// The limit allows one request every two seconds.
	qt.Assert(t, advised[0] > time.Second && advised[0] <= 2*time.Second, qt.IsTrue, qt.Commentf("%v", advised))
	qt.Assert(t, advised[2]-advised[1] > 1900*time.Millisecond, qt.IsTrue, qt.Commentf("%v", advised))
	time.Sleep(advised[0])
	qt.Assert(t, fixture.call(http.MethodPost, "/write/x", "returned", nil).status, qt.Equals, http.StatusOK)
	time.Sleep(2 * time.Second)
	qt.Assert(t, fixture.call(http.MethodPost, "/write/x", "ending", nil).status, qt.Equals, http.StatusOK)
	// The last answer stated no limit.
	for i := range 5 {
		qt.Assert(t, fixture.call(http.MethodPost, "/write/x", fmt.Sprint("free", i), nil).status, qt.Equals, http.StatusOK)
	}
}
