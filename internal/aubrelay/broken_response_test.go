package aubrelay_test

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// refuse returns a behavior that states that the request did not run, in the bytes of a response.
func refuse(response string, isReset bool) behavior {
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		head := fmt.Sprintf("HTTP/1.1 503 x\r\n%s: %s\r\n%s: 1\r\n", headerID, r.Header.Get(headerID), headerNotRun)
		truncatedResponse(head+response, isReset)(b, w, r)
	}
}

// TestBrokenRefusalPromisesNothing guards against the belief that a request did not run, by a refusal that was not received whole.
func TestBrokenRefusalPromisesNothing(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		isReset  bool
		isWhole  bool
	}{
		"whole":                   {response: "Content-Length: 3\r\n\r\nbye", isWhole: true},
		"whole, no body":          {response: "Content-Length: 0\r\n\r\n", isWhole: true},
		"whole, chunks":           {response: "Transfer-Encoding: chunked\r\n\r\n3\r\nbye\r\n0\r\n\r\n", isWhole: true},
		"whole, up to the end":    {response: "\r\nbye", isWhole: true},
		"shorter than its length": {response: "Content-Length: 4\r\n\r\nbye"},
		"no last chunk":           {response: "Transfer-Encoding: chunked\r\n\r\n3\r\nbye\r\n"},
		"malformed chunk":         {response: "Transfer-Encoding: chunked\r\n\r\nx\r\nbye\r\n0\r\n\r\n"},
		"malformed trailer":       {response: "Transfer-Encoding: chunked\r\n\r\n0\r\nBad Name: x\r\n\r\n"},
		"up to a reset":           {response: "\r\nbye", isReset: true},
		"space in a name":         {response: "Bad Name: x\r\nContent-Length: 0\r\n\r\n"},
		"too long":                {response: "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000)},
	} {
		t.Run(name, func(t *testing.T) {
			for path, isRepeatable := range responsePaths {
				fixture := newRelayFixture(t, "b1", "b2")
				fixture.removeTimeouts()
				fixture.setBehaviors(inOrder(refuse(test.response, test.isReset), respondOK), respondOK)
				result := fixture.call(http.MethodPost, path, "1", nil)
				if test.isWhole || isRepeatable {
					qt.Check(t, result.status, qt.Equals, http.StatusOK, qt.Commentf("%s: %+v", path, result))
					continue
				}
				checkNoAnswer(t, path, result)
				qt.Check(t, fixture.countRuns("1"), qt.Equals, 1)
			}
		})
	}
}

// TestStalledRefusalPromisesNothing guards against a refusal whose end doesn't come that holds the request up.
func TestStalledRefusalPromisesNothing(t *testing.T) {
	fixture := newRelayFixture(t, "b1", "b2")
	fixture.removeTimeouts()
	stalled := func(b *backend, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "4")
		refuseNotRun(b, w, r)
		fmt.Fprint(w, "bye")
		_ = http.NewResponseController(w).Flush()
		stallUntilCanceled(b, w, r)
	}
	fixture.setBehaviors(inOrder(stalled, respondOK), respondOK)
	startedAt := time.Now()
	checkNoAnswer(t, "/write/x", fixture.call(http.MethodPost, "/write/x", "1", nil))
	qt.Check(t, time.Since(startedAt) < unhurriedTimeout/2, qt.IsTrue)
}

// brokenResponses are responses that leave their connection open, with their faults.
var brokenResponses = map[string]struct{ response, fault string }{
	"status":        {"HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n", "invalid_status"},
	"field name":    {"HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 0\r\n\r\n", "malformed_head"},
	"length":        {"HTTP/1.1 200 OK\r\nContent-Length: 1, 2\r\n\r\n", "malformed_head"},
	"coding":        {"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "faulty_framing"},
	"chunk":         {"HTTP/1.1 200 OK\r\nHEAD\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", "malformed_body"},
	"trailer":       {"HTTP/1.1 200 OK\r\nHEAD\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nBad Name: x\r\n\r\n", "malformed_body"},
	"informational": {strings.Repeat("HTTP/1.1 103 x\r\n\r\n", 7), "malformed_head"},
}

// TestConnectionOfABrokenResponseIsClosed guards against a connection that carries a request after a broken response, and checks
// that the response is logged and counted.
func TestConnectionOfABrokenResponseIsClosed(t *testing.T) {
	for name, test := range brokenResponses {
		t.Run(name, func(t *testing.T) {
			fixture := newRelayFixture(t, "b1")
			fixture.removeTimeouts()
			isClosed := make(chan bool, 1)
			fixture.setBehaviors(func(b *backend, w http.ResponseWriter, r *http.Request) {
				b.recordRun(r)
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				head := fmt.Sprintf("%s: %s\r\n%s: b", headerID, r.Header.Get(headerID), headerSigned)
				fmt.Fprint(conn, strings.Replace(test.response, "HEAD", head, 1))
				_ = conn.SetReadDeadline(time.Now().Add(connTimeout))
				_, err = bufio.NewReader(conn).ReadByte()
				isClosed <- err != nil && !isTimeout(err)
			})
			checkNoAnswer(t, name, fixture.call(http.MethodPost, "/write/x", "1", nil))
			select {
			case closed := <-isClosed:
				qt.Check(t, closed, qt.IsTrue)
			case <-time.After(2 * connTimeout):
				t.Fatal("the request has not arrived")
			}
			qt.Check(t, fixture.countBroken(test.fault), qt.Equals, int64(1))
			lines := fixture.logs.FilterMessage("Response is broken.").All()
			qt.Assert(t, lines, qt.HasLen, 1)
			fields := lines[0].ContextMap()
			qt.Check(t, fields["fault"], qt.Equals, any(test.fault))
			qt.Check(t, fields["request_id"], qt.Equals, any("1"))
			qt.Check(t, fields["backend_server"], qt.Equals, any("b1"))
			qt.Check(t, fields["error"], qt.Not(qt.Equals), any(""))
		})
	}
}

// isTimeout reports whether the error is a passed deadline.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// countBroken returns the number of broken responses with the fault.
func (fixture *relayFixture) countBroken(fault string) int64 {
	for _, counter := range fixture.scope.Snapshot().Counters() {
		if counter.Name() == "relay.broken_responses" && counter.Tags()["fault"] == fault {
			return counter.Value()
		}
	}
	return 0
}

// TestSoundAndMissingResponsesAreNotBroken guards against counts of broken responses for callers that leave, requests that time out and
// connections that end without a response.
func TestSoundAndMissingResponsesAreNotBroken(t *testing.T) {
	fixture := newRelayFixture(t, "b1")
	fixture.setBehaviors(respondOK, respondError, refuseNotRun, dropResponse, stallUntilCanceled)
	for i, path := range []string{"/write/x", "/write/x", "/write/x", "/write/x", "/write/x"} {
		fixture.call(http.MethodPost, path, fmt.Sprint(i), nil)
	}
	qt.Check(t, fixture.logs.FilterMessage("Response is broken.").Len(), qt.Equals, 0)
}
