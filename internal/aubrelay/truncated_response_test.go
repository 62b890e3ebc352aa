package aubrelay_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// truncatedResponse returns a behavior that sends a part of a response and ends the connection, by a
// reset or in order.
func truncatedResponse(response string, isReset bool) behavior {
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		b.recordRun(r)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprint(conn, response)
		if tcp, ok := conn.(*net.TCPConn); ok && isReset {
			time.Sleep(time.Millisecond)
			_ = tcp.SetLinger(0)
		}
	}
}

// TestTruncatedResponseIsNotComplete guards against a success with a part of a response whose connection ended within
// it, at any byte.
func TestTruncatedResponseIsNotComplete(t *testing.T) {
	const id = "1"
	head := func(version, fields string) string {
		return fmt.Sprintf("HTTP/%s 200 OK\r\n%s: %s\r\n%s: b\r\n%s\r\n", version, headerID, id, headerSigned, fields)
	}
	chunked := func(body string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body) }
	for _, framing := range []struct {
		name   string
		encode func(body string) string
		// isUnframed is set if the end of the connection in order is that of the response.
		isUnframed bool
	}{
		{name: "length", encode: func(body string) string { return head("1.1", fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body }},
		{name: "length, HTTP 1.0", encode: func(body string) string { return head("1.0", fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body }},
		{name: "chunks", encode: func(body string) string {
			return head("1.1", "Transfer-Encoding: chunked\r\n") + chunked(body) + "\r\n"
		}},
		{name: "chunks with trailer", encode: func(body string) string {
			return head("1.1", "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n") + chunked(body) + "Sum: 1\r\n\r\n"
		}},
		{name: "unframed", encode: func(body string) string { return head("1.1", "Connection: close\r\n") + body }, isUnframed: true},
		{name: "unframed, HTTP 1.0", encode: func(body string) string { return head("1.0", "") + body }, isUnframed: true},
	} {
		for path, repeatable := range map[string]bool{"/read/x": true, "/write/x": false, "/stream/x": true, "/stream-once/x": false} {
			for _, isReset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, reset %t", framing.name, path, isReset), func(t *testing.T) {
					t.Parallel()
					body := "answer to " + id
					if strings.HasPrefix(path, "/stream") {
						body = completeStream()
					}
					response := framing.encode(body)
					end, step := len(response), 1
					if isReset {
						step = 5
					}
					if framing.isUnframed && !isReset {
						end = len(response) - len(body)
					}
					for length := 0; length < end; length += step {
						isReused := length/step%2 == 1
						fixture := newRelayFixture(t, "b1")
						fixture.removeTimeouts()
						behaviors := []behavior{truncatedResponse(response[:length], isReset)}
						if isReused {
							behaviors = append([]behavior{respondOK}, behaviors...)
						}
						fixture.setBehaviors(behaviors...)
						if isReused {
							qt.Assert(t, fixture.call(http.MethodPost, path, "0", nil).status, qt.Equals, http.StatusOK)
						}
						result := fixture.call(http.MethodPost, path, id, nil)
						isError := result.isBroken || result.status == http.StatusBadGateway && result.header.Get(headerSigned) == ""
						runs := fixture.countRuns(id)
						isRetried := runs == 2 && repeatable && result.status == http.StatusOK && result.body == body
						qt.Check(t, runs == 1 && isError || isRetried, qt.IsTrue, qt.Commentf("%d runs, %q: %+v", runs, response[:length], result))
					}
				})
			}
		}
	}
}

// TestErrorWithinAHeadIsNoSuccess guards against a success with the body of an error, which a backend server sent after a part of
// another response's head.
func TestErrorWithinAHeadIsNoSuccess(t *testing.T) {
	response := func(status string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nDate: Sat, 05 Dec 2026 12:00:00 GMT\r\n%s: 1\r\n%s: b\r\nContent-Length: 5\r\n\r\nerror", status, headerID, headerSigned)
	}
	success := response("200 OK")
	for length := range strings.Index(success, "\r\n\r\n") {
		fixture := newRelayFixture(t, "b1")
		fixture.removeTimeouts()
		fixture.setBehaviors(truncatedResponse(success[:length]+response("500 Internal Server Error"), false))
		result := fixture.call(http.MethodPost, "/write/x", "1", nil)
		qt.Check(t, result.status >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("%q: %+v", success[:length], result))
	}
}
