package aubrelay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubrelay"
)

// drain begins a shutdown that load balancers notice after the delay and that ends requests after the run time.
func (fixture *relayFixture) drain(delay, runTime time.Duration) {
	now := time.Now()
	fixture.handler.Drain(aubrelay.DrainOpts{NoticedAt: now.Add(delay), EndsAt: now.Add(delay + runTime)})
}

// TestLateRequestsAreRefusedBeforeTheyRun guards against a request that is passed on although its deadline is
// after the end of the shutdown.
func TestLateRequestsAreRefusedBeforeTheyRun(t *testing.T) {
	const runTime = 300 * time.Millisecond
	for _, test := range []struct {
		name string
		path string
		// delay is what is left of the balancers' delay, wait the caller's timeout.
		delay  time.Duration
		wait   string
		tokens string
		status int
	}{
		{name: "in the delay", path: "/write/x", delay: 2 * time.Second, status: 200},
		{name: "in the delay, idempotent", path: "/read/x", delay: 2 * time.Second, status: 200},
		{name: "in the delay, stream", path: "/stream-once/x", delay: 2 * time.Second, tokens: "10", status: 200},
		{name: "in the delay, long stream", path: "/stream-once/x", delay: 2 * time.Second, tokens: "100", status: 503},
		{name: "after the delay", path: "/write/x", status: 503},
		{name: "after the delay, idempotent", path: "/read/x", status: 503},
		{name: "after the delay, short timeout", path: "/write/x", wait: "250ms", status: 200},
		{name: "after the delay, stream", path: "/stream-once/x", tokens: "1", status: 503},
		{name: "after the delay, resumable stream", path: "/long-stream/x", tokens: "1", status: 503},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newRelayFixture(t, "b1")
			fixture.drain(test.delay, runTime)
			result := fixture.call(http.MethodPost, test.path, "1", func(r *http.Request) {
				r.Header.Set(headerWait, test.wait)
				r.Header.Set(headerOutput, test.tokens)
			})
			qt.Assert(t, result.status, qt.Equals, test.status)
			if test.status == http.StatusOK {
				qt.Assert(t, fixture.countRuns("1"), qt.Equals, 1)
				return
			}
			qt.Check(t, result.header.Get(headerCode), qt.Equals, "shutting_down")
			qt.Check(t, result.header.Get("Retry-After"), qt.Not(qt.Equals), "")
			qt.Check(t, fixture.countRuns("1"), qt.Equals, 0)
			qt.Check(t, fixture.logs.FilterMessage("Request is refused for the shutdown.").Len(), qt.Equals, 1)
		})
	}
}

// TestLateBodyIsRefusedBeforeItRuns guards against a request that is judged by the arrival of its head.
func TestLateBodyIsRefusedBeforeItRuns(t *testing.T) {
	for _, test := range []struct {
		name string
		// rest is sent after the delay; the end of the shutdown ends the wait for a body that has none.
		rest string
	}{
		{"late body", "dy"},
		{"body without an end", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newRelayFixture(t, "b1")
			fixture.removeTimeouts()
			fixture.drain(100*time.Millisecond, 2*time.Second)
			conn, err := net.Dial("tcp", fixture.server.Listener.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer conn.Close()
			fmt.Fprintf(conn, "POST /write/x HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: 1\r\n%s: key\r\nContent-Length: 4\r\n\r\nbo", headerID, headerKey)
			time.Sleep(200 * time.Millisecond)
			_, _ = io.WriteString(conn, test.rest)
			if test.rest == "" {
				fixture.handler.End()
			}
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			qt.Assert(t, err, qt.IsNil)
			defer resp.Body.Close()
			qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			qt.Check(t, resp.Header.Get(headerCode), qt.Equals, "shutting_down")
			qt.Check(t, resp.Close, qt.IsTrue)
			qt.Check(t, fixture.countRuns("1"), qt.Equals, 0)
		})
	}
}

// beginStream sends two events and then nothing.
func beginStream(b *backend, w http.ResponseWriter, r *http.Request) {
	b.recordRun(r)
	b.setHeaders(w, r)
	writeEvents(w, 0, 2)
	<-r.Context().Done()
}

// TestShutdownEndsRequestsWithAnAnswer guards against running requests that get no response, and against
// streams that seem complete.
func TestShutdownEndsRequestsWithAnAnswer(t *testing.T) {
	for _, test := range []struct {
		name     string
		path     string
		behavior behavior
		status   int
		code     string
		isBroken bool
	}{
		{name: "may have run", path: "/write/x", behavior: stallUntilCanceled, status: 504, code: "ended_at_shutdown"},
		{name: "may have run, idempotent", path: "/read/x", behavior: stallUntilCanceled, status: 504, code: "ended_at_shutdown"},
		{name: "silent stream", path: "/stream-once/x", behavior: stallUntilCanceled, status: 504, code: "ended_at_shutdown"},
		{name: "begun stream", path: "/stream-once/x", behavior: beginStream, status: 200, isBroken: true},
		{name: "begun resumable stream", path: "/stream/x", behavior: beginStream, status: 200, isBroken: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newRelayFixture(t, "b1", "b2")
			fixture.removeTimeouts()
			fixture.setBehaviors(test.behavior)
			ended := make(chan callResult, 1)
			go func() { ended <- fixture.call(http.MethodPost, test.path, "1", nil) }()
			for fixture.countRuns("1") == 0 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(50 * time.Millisecond)
			fixture.drain(0, time.Second)
			fixture.handler.End()
			select {
			case result := <-ended:
				qt.Check(t, result.status, qt.Equals, test.status)
				qt.Check(t, result.header.Get(headerCode), qt.Equals, test.code)
				qt.Check(t, result.isBroken, qt.Equals, test.isBroken)
			case <-time.After(time.Second):
				t.Fatal("request is not ended")
			}
			qt.Check(t, fixture.countRuns("1"), qt.Equals, 1)
			qt.Check(t, fixture.logs.FilterMessage("Request is ended by the shutdown.").Len(), qt.Equals, 1)
		})
	}
}

// TestShutdownRefusesWhatDidNotRun guards against a request without a connection to a backend server that
// ends as if it may have run.
func TestShutdownRefusesWhatDidNotRun(t *testing.T) {
	fixture := newRelayFixture(t, "b1")
	fixture.removeTimeouts()
	dialing := make(chan struct{}, 1)
	blocked := func(ctx context.Context, _, _ string) (net.Conn, error) {
		dialing <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	fixture.dialBackend.Store(&blocked)
	ended := make(chan callResult, 1)
	go func() { ended <- fixture.call(http.MethodPost, "/write/x", "1", nil) }()
	<-dialing
	fixture.drain(0, time.Second)
	fixture.handler.End()
	result := <-ended
	qt.Check(t, result.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, result.header.Get(headerCode), qt.Equals, "shutting_down")
	qt.Check(t, fixture.countRuns("1"), qt.Equals, 0)
}

// TestRefusedSendIsNotRepeatedLate guards against a request that came late and is sent again when a backend
// server did not run it, and against one that came in time and is not.
func TestRefusedSendIsNotRepeatedLate(t *testing.T) {
	for _, test := range []struct {
		name   string
		isLate bool
		status int
	}{
		{"in time", false, 200},
		{"late", true, 503},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newRelayFixture(t, "b1", "b2")
			fixture.removeTimeouts()
			now := time.Now()
			fixture.setBehaviors(func(b *backend, w http.ResponseWriter, r *http.Request) {
				opts := aubrelay.DrainOpts{NoticedAt: time.Now(), EndsAt: time.Now().Add(5 * time.Second)}
				if test.isLate {
					opts.NoticedAt = now
				}
				fixture.handler.Drain(opts)
				for _, other := range fixture.backends {
					other.mu.Lock()
					other.behaviors = nil
					other.mu.Unlock()
				}
				refuseNotRun(b, w, r)
			})
			result := fixture.call(http.MethodPost, "/write/x", "1", nil)
			qt.Check(t, result.status, qt.Equals, test.status)
		})
	}
}

// TestEachResponseOfTheShutdownClosesItsConnection guards against callers that send another request on the
// connection.
func TestEachResponseOfTheShutdownClosesItsConnection(t *testing.T) {
	for _, path := range []string{"/read/x", "/stream/x", "/nowhere/x", "/none/x"} {
		fixture := newRelayFixture(t, "b1")
		conn, err := net.Dial("tcp", fixture.server.Listener.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		defer conn.Close()
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		reader := bufio.NewReader(conn)
		for _, isDraining := range []bool{false, true} {
			if isDraining {
				fixture.drain(2*time.Second, time.Second)
			}
			fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: 1\r\n%s: key\r\n\r\n", path, headerID, headerKey)
			resp, err := http.ReadResponse(reader, nil)
			qt.Assert(t, err, qt.IsNil)
			_, err = io.Copy(io.Discard, resp.Body)
			qt.Assert(t, err, qt.IsNil)
			_ = resp.Body.Close()
			qt.Check(t, resp.Close, qt.Equals, isDraining, qt.Commentf("%s", strings.TrimSuffix(path, "x")))
		}
	}
}

// TestShutdownRefusesWhatWouldWaitForRoom guards against requests that queue for an engine while the process
// shuts down.
func TestShutdownRefusesWhatWouldWaitForRoom(t *testing.T) {
	fixture := newAdmissionFixture(t)
	fixture.setBehaviors(repeated(slowServer(1500*time.Millisecond), 200)...)
	for i := range admissionSlots {
		go fixture.call(http.MethodGet, "/urgent/x", fmt.Sprintf("running-%d", i), nil)
	}
	time.Sleep(50 * time.Millisecond)
	fixture.drain(2*time.Second, 5*time.Second)
	startedAt := time.Now()
	result := fixture.call(http.MethodGet, "/deferrable/x", "late", nil)
	qt.Check(t, time.Since(startedAt) < 200*time.Millisecond, qt.IsTrue)
	qt.Check(t, result.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, result.header.Get(headerCode), qt.Equals, "shutting_down")
	qt.Check(t, fixture.countRuns("late"), qt.Equals, 0)
}
