package aubrelay_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// responseTo returns the bytes of a response to the request with the id.
func responseTo(id string, status int, text string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\n%s: %s\r\n%s: x\r\nContent-Length: %d\r\n\r\n%s", status, headerID, id, headerSigned, len(text), text)
}

// respondThen answers a request, and writes more bytes on its connection after the delay.
func respondThen(delay time.Duration, more func(id string) string) behavior {
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		b.recordRun(r)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		id := r.Header.Get(headerID)
		first := responseTo(id, http.StatusOK, "answer to "+id)
		if delay == 0 {
			first += more(id)
		}
		fmt.Fprint(conn, first)
		if delay > 0 {
			time.Sleep(delay)
			fmt.Fprint(conn, more(id))
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// TestUnsolicitedBytesAreLoggedAndReachNoRequest guards against bytes of an idle connection that are taken for the
// response to the next request, or that leave no trace of the backend server that wrote them.
func TestUnsolicitedBytesAreLoggedAndReachNoRequest(t *testing.T) {
	copyOf := func(status int, text string) func(string) string {
		return func(id string) string { return responseTo(id, status, text) }
	}
	for _, test := range []struct {
		name       string
		delay      time.Duration
		more       func(id string) string
		wantID     string
		wantStatus int64
	}{
		{name: "success, at once", more: copyOf(http.StatusOK, "answer to first"), wantID: "first", wantStatus: 200},
		{name: "error, at once", more: copyOf(http.StatusInternalServerError, "failed"), wantID: "first", wantStatus: 500},
		{name: "refusal, at once", more: copyOf(http.StatusServiceUnavailable, ""), wantID: "first", wantStatus: 503},
		{name: "success, while idle", delay: 30 * time.Millisecond, more: copyOf(http.StatusOK, "answer to first"), wantID: "first", wantStatus: 200},
		{name: "error, while idle", delay: 30 * time.Millisecond, more: copyOf(http.StatusInternalServerError, ""), wantID: "first", wantStatus: 500},
		{name: "no response, while idle", delay: 30 * time.Millisecond, more: func(string) string { return "\x00\x01" }},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newRelayFixture(t, "b1")
			fixture.setBehaviors(respondThen(test.delay, test.more))
			qt.Assert(t, fixture.call(http.MethodPost, "/write/x", "first", nil).status, qt.Equals, http.StatusOK)
			time.Sleep(2*test.delay + 20*time.Millisecond)
			second := fixture.call(http.MethodPost, "/write/x", "second", nil)
			qt.Check(t, second.status, qt.Equals, http.StatusOK)
			qt.Check(t, second.body, qt.Equals, "answer to second")
			lines := fixture.logs.FilterMessage("Response belongs to no request.").All()
			qt.Assert(t, lines, qt.HasLen, 1)
			fields := lines[0].ContextMap()
			qt.Check(t, fields["backend_server"], qt.Equals, "b1")
			qt.Check(t, fields["request_id"], qt.Equals, test.wantID)
			qt.Check(t, fields["status"], qt.Equals, test.wantStatus)
			qt.Check(t, fields["outcome"], qt.Equals, "connection_closed")
			qt.Check(t, fixture.countUnsolicited("connection_closed"), qt.Equals, int64(1))
		})
	}
}

// countUnsolicited returns the counter of unsolicited responses with the outcome.
func (fixture *relayFixture) countUnsolicited(outcome string) int64 {
	for _, counter := range fixture.scope.Snapshot().Counters() {
		if counter.Name() == "relay.unsolicited_responses" && counter.Tags()["outcome"] == outcome {
			return counter.Value()
		}
	}
	return 0
}
