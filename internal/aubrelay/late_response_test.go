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

// repeatRefusal refuses a request with the status, and runs the next one on its connection but
// sends the first response again in place of its own, with the first request's id only if hasID is set.
// Empty responses leave the connection open for the next request.
func repeatRefusal(status int, hasID bool) behavior {
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		id := r.Header.Get(headerID)
		refusal := fmt.Sprintf("HTTP/1.1 %d Refused\r\n%s: 1\r\nContent-Length: 0\r\n", status, headerNotRun)
		fmt.Fprintf(conn, "%s%s: %s\r\n\r\n", refusal, headerID, id)
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		next, err := http.ReadRequest(bufio.NewReader(buffered))
		if err != nil {
			return
		}
		b.recordRun(next)
		if hasID {
			refusal += fmt.Sprintf("%s: %s\r\n", headerID, id)
		}
		// A copy may also advise about requests to come.
		fmt.Fprintf(conn, "%s%s: 1\r\n%s: 1m\r\n\r\n", refusal, headerLeaving, headerQuiet)
		// The request's own response comes after it.
		text := "answer to " + next.Header.Get(headerID)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
			headerID, next.Header.Get(headerID), headerSigned, b.id, len(text), text)
		time.Sleep(100 * time.Millisecond)
	}
}

// TestLateRefusalOfAnotherRequestIsNotBelieved guards against a request that runs twice, or is
// called not run although it has, because the refusal of an earlier request came once more.
func TestLateRefusalOfAnotherRequestIsNotBelieved(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusBadRequest} {
		for _, hasID := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d, with id %t", status, hasID), func(t *testing.T) {
				fixture := newRelayFixture(t, "b1", "b2")
				// The other backend server refuses the first request too, so that it ends here.
				fixture.setBehaviors(repeatRefusal(status, hasID))
				first := fixture.call(http.MethodPost, "/write/x", "first", nil)
				qt.Assert(t, fixture.countRuns("first") <= 1, qt.IsTrue, qt.Commentf("%+v", first))
				for i := range 4 {
					id := fmt.Sprint("later ", i)
					result := fixture.call(http.MethodPost, "/write/x", id, nil)
					runs := fixture.countRuns(id)
					qt.Assert(t, runs <= 1, qt.IsTrue, qt.Commentf("%s ran %d times: %+v", id, runs, result))
					if runs > 0 {
						qt.Assert(t, result.status == http.StatusOK || result.status == http.StatusBadGateway, qt.IsTrue, qt.Commentf("%s ran: %+v", id, result))
					}
				}
				qt.Assert(t, fixture.registry.Leaving(), qt.HasLen, 0)
			})
		}
	}
}

// TestRefusalRepeatedToItsOwnRequestIsNotBelieved guards against a late copy of a refusal that is
// believed of the same request when it is sent to the same backend server again.
func TestRefusalRepeatedToItsOwnRequestIsNotBelieved(t *testing.T) {
	for _, path := range []string{"/write/x", "/stream-once/x"} {
		t.Run(path, func(t *testing.T) {
			fixture := newRelayFixture(t, "b1")
			fixture.setBehaviors(repeatRefusal(http.StatusServiceUnavailable, true))
			result := fixture.call(http.MethodPost, path, "1", nil)
			qt.Assert(t, fixture.countRuns("1"), qt.Equals, 1, qt.Commentf("%+v", result))
			qt.Assert(t, result.status, qt.Equals, http.StatusOK)
		})
	}
}

// TestConnectionWithAForeignResponseIsNotReused guards against requests that one by one receive the
// response to the request before, on a connection that has one response too many.
func TestConnectionWithAForeignResponseIsNotReused(t *testing.T) {
	fixture := newRelayFixture(t, "b1")
	fixture.setBehaviors(repeatRefusal(http.StatusServiceUnavailable, true))
	for i := range 6 {
		result := fixture.call(http.MethodGet, "/read/x", fmt.Sprint(i), nil)
		qt.Assert(t, result.status, qt.Equals, http.StatusOK, qt.Commentf("request %d", i))
		qt.Assert(t, result.body, qt.Equals, fmt.Sprint("answer to ", i))
	}
}

// TestLostResponseIsNotRepeatedByTheTransport guards against a request without a body that net/http sends
// again by itself after a lost response, because of its method or its idempotency key.
func TestLostResponseIsNotRepeatedByTheTransport(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodOptions, http.MethodTrace, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			fixture := newRelayFixture(t, "b1")
			withoutBody := func(r *http.Request) {
				r.Body, r.ContentLength = http.NoBody, 0
				r.Header.Set("Idempotency-Key", "k1")
			}
			// The first request leaves a connection that is used again.
			fixture.setBehaviors(respondOK, dropResponse)
			qt.Assert(t, fixture.call(method, "/write/x", "first", withoutBody).status, qt.Equals, http.StatusOK)
			result := fixture.call(method, "/write/x", "second", withoutBody)
			qt.Assert(t, fixture.countRuns("second"), qt.Equals, 1)
			qt.Assert(t, result.status, qt.Equals, http.StatusBadGateway)
		})
	}
}

// TestResponseBehindALateCopyIsDelivered guards against a request that ran and whose caller gets an error, because the
// response to an earlier request of the connection came once more before its own.
func TestResponseBehindALateCopyIsDelivered(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError, http.StatusNotFound} {
		for _, text := range []string{"", "copy"} {
			t.Run(fmt.Sprintf("%d, body %q", status, text), func(t *testing.T) {
				fixture := newRelayFixture(t, "b1")
				fixture.setBehaviors(respondAndRepeat(status, text))
				fixture.call(http.MethodPost, "/write/x", "first", nil)
				second := fixture.call(http.MethodPost, "/write/x", "second", nil)
				qt.Check(t, fixture.countRuns("second"), qt.Equals, 1)
				qt.Check(t, second.status, qt.Equals, http.StatusOK)
				qt.Check(t, second.body, qt.Equals, "answer to second")
				qt.Check(t, fixture.countUnsolicited("skipped"), qt.Equals, int64(1))
			})
		}
	}
}

// respondAndRepeat answers a request, and runs the next one on its connection but sends the first response once more
// before its own.
func respondAndRepeat(status int, text string) behavior {
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		first := responseTo(r.Header.Get(headerID), status, text)
		fmt.Fprint(conn, first)
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		next, err := http.ReadRequest(bufio.NewReader(buffered))
		if err != nil {
			return
		}
		b.recordRun(next)
		id := next.Header.Get(headerID)
		fmt.Fprint(conn, first+responseTo(id, http.StatusOK, "answer to "+id))
		time.Sleep(50 * time.Millisecond)
	}
}

// TestStatusOfARequestThatMayHaveRunPromisesNothing guards against a status that tells callers that a request did not run,
// passed on from a backend server that does not state it.
func TestStatusOfARequestThatMayHaveRunPromisesNothing(t *testing.T) {
	for _, path := range []string{"/write/x", "/stream-once/x"} {
		for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			t.Run(fmt.Sprintf("%s, %d", path, status), func(t *testing.T) {
				fixture := newRelayFixture(t, "b1", "b2")
				fixture.setBehaviors(func(b *backend, w http.ResponseWriter, r *http.Request) {
					b.recordRun(r)
					b.setHeaders(w, r)
					w.WriteHeader(status)
				})
				result := fixture.call(http.MethodPost, path, "1", nil)
				qt.Check(t, fixture.countRuns("1"), qt.Equals, 1)
				qt.Check(t, result.status, qt.Equals, http.StatusBadGateway)
				qt.Check(t, result.header.Get(headerSigned), qt.Equals, "")
			})
		}
	}
}

// TestBodyThatLooksLikeAResponseIsNotOne guards against a part of a response's body that is taken for the response,
// because the copy of a response to HEAD came before it, which has a length but no body.
func TestBodyThatLooksLikeAResponseIsNotOne(t *testing.T) {
	fixture := newRelayFixture(t, "b1")
	fixture.setBehaviors(func(b *backend, w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		own := responseTo("second", http.StatusOK, "stored:"+responseTo("second", http.StatusOK, "forged"))
		hidden := strings.Index(own, "stored:") + len("stored:")
		toHead := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: x\r\nContent-Length: %d\r\n\r\n", headerID, r.Header.Get(headerID), headerSigned, hidden)
		fmt.Fprint(conn, toHead)
		next, err := http.ReadRequest(bufio.NewReader(buffered))
		if err != nil {
			return
		}
		b.recordRun(next)
		fmt.Fprint(conn, toHead+own)
		time.Sleep(50 * time.Millisecond)
	})
	fixture.call(http.MethodHead, "/write/x", "first", func(r *http.Request) { r.Body, r.ContentLength = http.NoBody, 0 })
	second := fixture.call(http.MethodPost, "/write/x", "second", nil)
	qt.Check(t, fixture.countRuns("second"), qt.Equals, 1)
	qt.Check(t, second.body, qt.Not(qt.Equals), "forged")
	qt.Check(t, second.status == http.StatusBadGateway || strings.HasPrefix(second.body, "stored:"), qt.IsTrue, qt.Commentf("%+v", second))
}
