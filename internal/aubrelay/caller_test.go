package aubrelay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCallerThatClosesItsSendingSideGetsNoEmptyResponse guards against "200 OK" without a body or
// a signature for a caller that half-closes its connection before the response.
func TestCallerThatClosesItsSendingSideGetsNoEmptyResponse(t *testing.T) {
	for _, body := range []string{"body", "bo"} {
		fixture := newRelayFixture(t, "b1")
		fixture.setBehaviors(stallUntilCanceled)
		conn, err := net.Dial("tcp", fixture.server.Listener.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		fmt.Fprintf(conn, "POST /write/x HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: 1\r\n%s: key\r\nContent-Length: 4\r\n\r\n%s", headerID, headerKey, body)
		time.Sleep(50 * time.Millisecond)
		tcpConn, _ := conn.(*net.TCPConn)
		qt.Assert(t, tcpConn.CloseWrite(), qt.IsNil)
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			content, _ := io.ReadAll(resp.Body)
			qt.Check(t, resp.StatusCode >= http.StatusBadRequest, qt.IsTrue, qt.Commentf("%d %q", resp.StatusCode, content))
			_ = resp.Body.Close()
		}
		_ = conn.Close()
	}
}

// TestRoutesMatchThePathAsItWasSent guards against a request that a route runs whose prefix begins only
// the decoded path.
func TestRoutesMatchThePathAsItWasSent(t *testing.T) {
	fixture := newRelayFixture(t, "b1")
	result := fixture.call(http.MethodGet, "/read%2Fx", "1", nil)
	qt.Assert(t, result.status, qt.Equals, http.StatusNotFound)
	qt.Assert(t, fixture.countRuns("1"), qt.Equals, 0)
	qt.Assert(t, fixture.call(http.MethodGet, "/read/x%2Fy", "2", nil).status, qt.Equals, http.StatusOK)
}

// TestBrokenResponseIsResetForHTTP10 guards against a response that broke off and seems complete to a caller without chunks,
// for which it ends with the connection.
func TestBrokenResponseIsResetForHTTP10(t *testing.T) {
	long := func(b *backend, w http.ResponseWriter, r *http.Request) {
		b.recordRun(r)
		b.setHeaders(w, r)
		fmt.Fprint(w, strings.Repeat("x", 2<<20))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	for path, fault := range map[string]behavior{"/stream-once/x": truncateStream, "/write/x": long} {
		fixture := newRelayFixture(t, "b1")
		fixture.removeTimeouts()
		fixture.setBehaviors(fault)
		conn, err := net.Dial("tcp", fixture.server.Listener.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		defer conn.Close()
		fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: 127.0.0.1\r\n%s: 1\r\n%s: key\r\n\r\n", path, headerID, headerKey)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		qt.Assert(t, err, qt.IsNil)
		defer resp.Body.Close()
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
		_, err = io.Copy(io.Discard, resp.Body)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", path))
	}
}
