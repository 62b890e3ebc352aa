package aubrelay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
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
