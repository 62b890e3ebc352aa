package aubentry_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubstandin"
)

// limitedCalls is the number of calls in a row to a limited backend server.
const limitedCalls = 20

// callChat makes one call and returns its status.
func callChat(t *testing.T, f *fixture) (status int, retryAfter string) {
	resp, err := http.DefaultClient.Do(newRequest(t, f, http.MethodPost, chatPath, keyAlpha, chatBody("small", "")))
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("Retry-After")
}

// TestCallsAboveRateLimitAreRefusedAtOnce limits the only engine of a model.
func TestCallsAboveRateLimitAreRefusedAtOnce(t *testing.T) {
	f := newFixture(t, fixtureOpts{})
	f.awaitBackends(t)
	f.engines[0].SetFaults(aubstandin.Faults{RateLimit: 0.5})
	startedAt := time.Now()
	served := 0
	for range limitedCalls {
		status, retryAfter := callChat(t, f)
		if status == http.StatusOK {
			served++
			continue
		}
		qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, retryAfter, qt.Not(qt.Equals), "")
	}
	elapsed := time.Since(startedAt)
	qt.Assert(t, elapsed < 4*time.Second, qt.IsTrue, qt.Commentf("%s", elapsed))
	qt.Assert(t, served <= 3, qt.IsTrue, qt.Commentf("%d served", served))
	qt.Assert(t, f.engines[0].Stats().Executions, qt.HasLen, served)
}

// TestCallsAboveRateLimitGoElsewhere limits one of two engines of a model.
func TestCallsAboveRateLimitGoElsewhere(t *testing.T) {
	f := newFixture(t, fixtureOpts{engines: 2})
	f.awaitBackends(t)
	f.engines[0].SetFaults(aubstandin.Faults{RateLimit: 0.5})
	for range limitedCalls {
		status, _ := callChat(t, f)
		qt.Assert(t, status, qt.Equals, http.StatusOK)
	}
	limited := len(f.engines[0].Stats().Executions)
	qt.Assert(t, limited <= 3, qt.IsTrue, qt.Commentf("%d calls reached the limited engine", limited))
}

// TestCallsToQuietEngineAreRefusedAtOnce has the only engine of a model turn a call away and
// ask for quiet. Later calls don't reach it until the end.
func TestCallsToQuietEngineAreRefusedAtOnce(t *testing.T) {
	f := newFixture(t, fixtureOpts{})
	f.awaitBackends(t)
	f.engines[0].SetFaults(aubstandin.Faults{QuietMS: 2000})
	callChat(t, f)
	// The engine would now serve calls, so that one which reaches it shows.
	f.engines[0].SetFaults(aubstandin.Faults{})
	startedAt := time.Now()
	for range limitedCalls {
		status, retryAfter := callChat(t, f)
		qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, retryAfter, qt.Not(qt.Equals), "")
	}
	elapsed := time.Since(startedAt)
	qt.Assert(t, elapsed < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", elapsed))
	qt.Assert(t, f.engines[0].Stats().Executions, qt.HasLen, 0)
	time.Sleep(2500*time.Millisecond - elapsed)
	status, _ := callChat(t, f)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
}
