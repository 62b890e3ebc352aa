package aubrelay_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubpoison"
)

// respondUnframed returns a behavior that sends a response with neither a length nor chunks,
// which ends with its connection.
func respondUnframed(body string) behavior {
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		b.recordRun(r)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: b\r\nConnection: close\r\n\r\n%s", headerID, r.Header.Get(headerID), headerSigned, body)
	}
}

// TestUnframedStreamWithoutEventsIsNotComplete guards against a crash before the first event that looks like a complete stream.
func TestUnframedStreamWithoutEventsIsNotComplete(t *testing.T) {
	for _, test := range []struct {
		name, path, body string
		status, runs     int
		isBroken         bool
		wantBody         string
	}{
		{name: "complete", path: "/stream/x", body: completeStream(), status: 200, runs: 1, wantBody: completeStream()},
		{name: "no event", path: "/stream/x", status: 200, runs: 2, wantBody: completeStream()},
		{name: "no event, not resumable", path: "/stream-once/x", status: 502, runs: 1},
		{name: "ends within an event", path: "/stream/x", body: "id: 0\ndata: 0\n\nid: 1\nda", status: 200, runs: 2, wantBody: completeStream()},
		{name: "ends within an event, not resumable", path: "/stream-once/x", body: "id: 0\ndata: 0\n\nid: 1\nda", status: 200, runs: 1, isBroken: true, wantBody: "id: 0\ndata: 0\n\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newRelayFixture(t, "b1", "b2")
			var isAnswered atomic.Bool
			fixture.setBehaviors(func(b *backend, w http.ResponseWriter, r *http.Request) {
				if isAnswered.Swap(true) {
					respondOK(b, w, r)
					return
				}
				respondUnframed(test.body)(b, w, r)
			})
			result := fixture.call(http.MethodPost, test.path, "1", nil)
			qt.Check(t, result.status, qt.Equals, test.status)
			qt.Check(t, result.isBroken, qt.Equals, test.isBroken)
			qt.Check(t, result.body, qt.Equals, test.wantBody)
			qt.Check(t, fixture.countRuns("1"), qt.Equals, test.runs)
		})
	}
}

// TestUnframedStreamOfACrashedBackendServerClearsNothing guards against a crash between two events that counts as an answer.
func TestUnframedStreamOfACrashedBackendServerClearsNothing(t *testing.T) {
	for _, test := range []struct {
		name         string
		crashes      bool
		examineDelay time.Duration
		wantCrashes  int
	}{
		{name: "runs on", wantCrashes: 0},
		{name: "crashed", crashes: true, wantCrashes: 2},
		// The answer arrives before the first crash is noticed.
		{name: "runs on, examined late", examineDelay: 100 * time.Millisecond, wantCrashes: 0},
		{name: "crashed, examined late", crashes: true, examineDelay: 100 * time.Millisecond, wantCrashes: 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newRelayFixture(t, "b1", "b2")
			fixture.removeTimeouts()
			fixture.examineDelay.Store(int64(test.examineDelay))
			// From now on it refuses connections.
			crash := func(b *backend) { b.server.Listener.Close() }
			var runs atomic.Int64
			fixture.setBehaviors(func(b *backend, w http.ResponseWriter, r *http.Request) {
				if runs.Add(1) == 1 {
					crash(b)
					dropResponse(b, w, r)
				}
				if test.crashes {
					crash(b)
				}
				respondUnframed(completeStream())(b, w, r)
			})
			result := fixture.call(http.MethodPost, "/stream/x", "1", nil)
			qt.Assert(t, result.body, qt.Equals, completeStream())
			fingerprint := aubpoison.Fingerprint(aubpoison.RequestDigest("w", http.MethodPost, fixture.server.Listener.Addr().String()+"/stream/x", []byte("body of 1")))
			status := fixture.poison.Status(fingerprint)
			// Both lost connections are examined before the final state is checked.
			for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && (status.Crashes != test.wantCrashes || fixture.examined.Load() < 2); {
				time.Sleep(10 * time.Millisecond)
				status = fixture.poison.Status(fingerprint)
			}
			time.Sleep(200 * time.Millisecond)
			qt.Assert(t, fixture.poison.Status(fingerprint).Crashes, qt.Equals, test.wantCrashes)
		})
	}
}
