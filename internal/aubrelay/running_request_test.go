package aubrelay_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// respondTwiceLate sends its answer, waits for the next request on the connection and sends
// the first answer once more, as the answer to that one.
func respondTwiceLate(isStream bool) behavior {
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		b.recordRun(r)
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		body, contentType := "answer to "+r.Header.Get(headerID), "text/plain"
		if isStream {
			body, contentType = completeStream(), "text/event-stream"
		}
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s",
			headerID, r.Header.Get(headerID), headerSigned, b.id, contentType, len(body), body)
		fmt.Fprint(conn, response)
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		if next, err := http.ReadRequest(bufio.NewReader(buffered)); err == nil {
			b.recordRun(next)
			fmt.Fprint(conn, response)
		}
	}
}

// TestLateSecondAnswerReachesNobodyElse reuses a connection on which the backend server sends
// an earlier answer again.
func TestLateSecondAnswerReachesNobodyElse(t *testing.T) {
	for _, test := range []struct {
		path         string
		isStream     bool
		isRepeatable bool
	}{
		{path: "/read/x", isRepeatable: true},
		{path: "/write/x"},
		{path: "/stream/x", isStream: true, isRepeatable: true},
		{path: "/stream-once/x", isStream: true},
	} {
		t.Run(test.path, func(t *testing.T) {
			fixture := newRelayFixture(t, "b1")
			fixture.setBehaviors(respondTwiceLate(test.isStream), respondOK)
			qt.Assert(t, fixture.call(http.MethodPost, test.path, "first", nil).status, qt.Equals, http.StatusOK)
			result := fixture.call(http.MethodPost, test.path, "second", nil)
			qt.Assert(t, result.header.Get(headerID), qt.Not(qt.Equals), "first")
			if test.isRepeatable {
				qt.Assert(t, result.status, qt.Equals, http.StatusOK)
				qt.Assert(t, result.header.Get(headerID), qt.Equals, "second")
				return
			}
			// It has run, so the caller must neither get another answer nor be told otherwise.
			qt.Assert(t, result.status, qt.Equals, http.StatusBadGateway)
			qt.Assert(t, fixture.countRuns("second"), qt.Equals, 1)
		})
	}
}

// streamSlowly returns a behavior that sends the events of a stream with a pause before each.
func streamSlowly(pause time.Duration) behavior {
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		b.recordRun(r)
		b.setHeaders(w, r)
		for i := firstEventID(r); i <= finalEventID; i++ {
			time.Sleep(pause)
			writeEvents(w, i, i+1)
		}
	}
}

// streamCalling returns a behavior that sends the events of a stream and calls a function before
// the event with the id.
func streamCalling(id int, call func()) behavior {
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		b.recordRun(r)
		b.setHeaders(w, r)
		for i := firstEventID(r); i <= finalEventID; i++ {
			if i == id {
				call()
			}
			time.Sleep(10 * time.Millisecond)
			writeEvents(w, i, i+1)
		}
	}
}

// trickle sends one event and then a byte now and then until its request is cancelled.
func trickle(b *backend, w http.ResponseWriter, r *http.Request) {
	b.recordRun(r)
	b.setHeaders(w, r)
	writeEvents(w, 0, 1)
	for r.Context().Err() == nil {
		time.Sleep(20 * time.Millisecond)
		if _, err := fmt.Fprint(w, ":"); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// TestSlowStreamIsCompleteAndStalledOneEnds plays a slow but sound stream and one that stalls
// but sends a byte now and then.
func TestSlowStreamIsCompleteAndStalledOneEnds(t *testing.T) {
	for _, path := range []string{"/stream/x", "/stream-once/x"} {
		t.Run("slow"+path, func(t *testing.T) {
			fixture := newRelayFixture(t, "b1")
			fixture.setBehaviors(streamSlowly(60 * time.Millisecond))
			// The route allows more time than the pauses take on a busy machine.
			result := fixture.call(http.MethodPost, strings.Replace(path, "/", "/long-", 1), "1", nil)
			qt.Assert(t, result.isBroken, qt.IsFalse)
			qt.Assert(t, result.body, qt.Equals, completeStream())
			qt.Assert(t, fixture.countRuns("1"), qt.Equals, 1)
		})
		t.Run("stalled"+path, func(t *testing.T) {
			fixture := newRelayFixture(t, "b1", "b2")
			fixture.setBehaviors(trickle, trickle)
			startedAt := time.Now()
			result := fixture.call(http.MethodPost, path, "1", nil)
			qt.Assert(t, time.Since(startedAt) < endlessTimeLimit, qt.IsTrue, qt.Commentf("%s", time.Since(startedAt)))
			qt.Assert(t, result.isBroken, qt.IsTrue)
			qt.Assert(t, fixture.countRuns("1"), qt.Equals, 1)
		})
	}
}

// TestRunningRequestOutlivesItsRegistration lets a backend server count as lost, or as leaving,
// while it runs requests. They must go on, and run nowhere else.
func TestRunningRequestOutlivesItsRegistration(t *testing.T) {
	for name, forget := range map[string]func(fixture *relayFixture){
		"lost":    func(fixture *relayFixture) { fixture.registry.MarkSuspect("b1", 1) },
		"leaving": func(fixture *relayFixture) { fixture.registry.MarkLeaving("another", "b1", 1) },
		"gone":    func(fixture *relayFixture) { fixture.registry.Deregister("b1", 1) },
	} {
		for _, path := range []string{"/stream/x", "/stream-once/x"} {
			t.Run(name+path, func(t *testing.T) {
				fixture := newRelayFixture(t, "b1")
				fixture.setBehaviors(streamCalling(2, func() { forget(fixture) }))
				result := fixture.call(http.MethodPost, path, "1", nil)
				qt.Assert(t, result.isBroken, qt.IsFalse)
				qt.Assert(t, result.body, qt.Equals, completeStream())
				qt.Assert(t, fixture.countRuns("1"), qt.Equals, 1)
			})
		}
	}
}
