package aubrelay_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// uploadBytes is the size of a body that doesn't fit into the buffers of a connection.
	uploadBytes = 3 << 20
	// socketBufferBytes is the size of these buffers at the backend server and at the relay.
	socketBufferBytes = 256 << 10
	// uploadTimeout limits the wait for an event of an upload.
	uploadTimeout = 10 * time.Second
)

// uploadConn is a connection of a backend server that has read the head of a request.
type uploadConn struct {
	*net.TCPConn
	reader  *bufio.Reader
	request *http.Request
	// runs is how often the request has arrived, with this time.
	runs int
}

// reset ends the connection with a reset.
func (c *uploadConn) reset() {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// startUploadBackends starts backend servers that answer a request with the play once they have read its head. It returns their
// addresses.
func startUploadBackends(t *testing.T, ledger *runLedger, n int, play func(c *uploadConn)) []string {
	var conns sync.WaitGroup
	t.Cleanup(conns.Wait)
	addresses := make([]string, 0, n)
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = listener.Close() })
		addresses = append(addresses, listener.Addr().String())
		conns.Go(func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				conns.Go(func() { serveUpload(conn, ledger, play) })
			}
		})
	}
	return addresses
}

// serveUpload has the play answer the request of a connection.
func serveUpload(conn net.Conn, ledger *runLedger, play func(c *uploadConn)) {
	defer conn.Close()
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetReadBuffer(socketBufferBytes)
	_ = tcp.SetDeadline(time.Now().Add(uploadTimeout))
	reader := bufio.NewReader(tcp)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	id := r.Header.Get(headerID)
	ledger.recordArrival(id, arrival{backend: conn.LocalAddr().String()})
	ledger.recordRun(id, conn.LocalAddr().String())
	ledger.mu.Lock()
	runs := ledger.countRuns(id)
	ledger.mu.Unlock()
	play(&uploadConn{TCPConn: tcp, reader: reader, request: r, runs: runs})
}

// uploadText is the body of the response to an upload.
func uploadText(r *http.Request) string {
	if strings.HasPrefix(r.URL.Path, "/stream") {
		return eventsText(firstEventID(r), finalEventID+1)
	}
	return "answer to " + r.Header.Get(headerID)
}

// answerUpload answers the whole request.
func answerUpload(c *uploadConn) {
	_, _ = io.Copy(io.Discard, c.request.Body)
	fmt.Fprint(c, responseParts{}.encode(c.request.Header.Get(headerID), uploadText(c.request)))
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c.reader)
}

// partOf returns the first half of a body, at the end of an event for a stream.
func partOf(body string) string {
	if strings.HasPrefix(body, "id:") {
		return body[:strings.Index(body, "\n\n")+2]
	}
	return body[:len(body)/2]
}

// answerPart answers a request without a length before its body was read, and sends a part of the response's body.
func answerPart(c *uploadConn, version string) {
	parts := responseParts{version: version, framing: "Server: b\r\n"}
	fmt.Fprint(c, parts.encode(c.request.Header.Get(headerID), partOf(uploadText(c.request))))
}

// resetOrder is the order of the events as the connection of an upload is reset.
type resetOrder struct {
	// received is closed once the relay has read the part of the response.
	received chan struct{}
	// told is closed once a write was told of the reset.
	told chan struct{}
}

// orderedConn is a relay's connection whose write is told of a reset before its reads.
type orderedConn struct {
	*net.TCPConn
	order        resetOrder
	onceReceived sync.Once
	onceTold     sync.Once
}

// Read implements net.Conn.
func (c *orderedConn) Read(data []byte) (int, error) {
	select {
	case <-c.order.received:
		select {
		case <-c.order.told:
		case <-time.After(uploadTimeout):
			return 0, errors.New("no write was told of the reset")
		}
	default:
	}
	n, err := c.TCPConn.Read(data)
	c.onceReceived.Do(func() { close(c.order.received) })
	return n, err
}

// Write implements net.Conn.
func (c *orderedConn) Write(data []byte) (int, error) {
	n, err := c.TCPConn.Write(data)
	if err != nil {
		c.onceTold.Do(func() { close(c.order.told) })
	}
	return n, err
}

// dialSmall opens a connection with a small buffer for what is sent.
func dialSmall(ctx context.Context, network, address string) (*net.TCPConn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errors.Join(errors.New("no TCP connection"), conn.Close())
	}
	return tcp, tcp.SetWriteBuffer(socketBufferBytes)
}

// withUpload gives a request a body that doesn't fit into the buffers of a connection.
func withUpload(r *http.Request) {
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", uploadBytes))), uploadBytes
}

// isComplete reports whether the caller got the whole response to an upload.
func (r callResult) isComplete(path, id string) bool {
	want := "answer to " + id
	if strings.HasPrefix(path, "/stream") {
		want = completeStream()
	}
	return r.status == http.StatusOK && !r.isBroken && r.body == want
}

// checkUploadReset checks the result of an upload whose first response was reset.
func checkUploadReset(t *testing.T, ledger *runLedger, path, id string, result callResult) {
	t.Helper()
	ledger.mu.Lock()
	runs := ledger.countRuns(id)
	ledger.mu.Unlock()
	if responsePaths[path] {
		qt.Check(t, runs, qt.Equals, 2, qt.Commentf("%+v", result))
		qt.Check(t, result.isComplete(path, id), qt.IsTrue, qt.Commentf("%+v", result))
		return
	}
	qt.Check(t, runs, qt.Equals, 1, qt.Commentf("%+v", result))
	isError := result.status == http.StatusBadGateway && result.header.Get(headerSigned) == ""
	qt.Check(t, result.isBroken || isError, qt.IsTrue, qt.Commentf("%+v", result))
}

// TestResetDuringAnUploadIsNoEndOfAResponse guards against a part of a response that seems complete: its connection was reset while
// the request was still being written, the write was told of that, and the read found the end of the connection.
func TestResetDuringAnUploadIsNoEndOfAResponse(t *testing.T) {
	for path := range responsePaths {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(version+path, func(t *testing.T) {
				t.Parallel()
				order := resetOrder{received: make(chan struct{}), told: make(chan struct{})}
				ledger := newRunLedger()
				addresses := startUploadBackends(t, ledger, 2, func(c *uploadConn) {
					if c.runs > 1 {
						answerUpload(c)
						return
					}
					answerPart(c, version)
					select {
					case <-order.received:
					case <-time.After(uploadTimeout):
					}
					c.reset()
				})
				fixture := newUploadFixture(t, addresses)
				var isLater sync.Once
				dial := func(ctx context.Context, network, address string) (net.Conn, error) {
					tcp, err := dialSmall(ctx, network, address)
					var conn net.Conn = tcp
					isLater.Do(func() { conn = &orderedConn{TCPConn: tcp, order: order} })
					return conn, err
				}
				fixture.dialBackend.Store(&dial)
				result := fixture.call(http.MethodPost, path, "1", withUpload)
				checkUploadReset(t, ledger, path, "1", result)
			})
		}
	}
}

// TestResetAtAnyMomentOfAnUpload has backend servers reset uploads at several moments, without an order of the reads and writes: the
// first send of each request, or all.
func TestResetAtAnyMomentOfAnUpload(t *testing.T) {
	const parts = 4
	delays := []time.Duration{0, 20 * time.Microsecond, 100 * time.Microsecond, 500 * time.Microsecond, 2 * time.Millisecond, 10 * time.Millisecond}
	for path := range responsePaths {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			var round atomic.Int64
			ledger := newRunLedger()
			addresses := startUploadBackends(t, ledger, 2, func(c *uploadConn) {
				if c.runs > 1 && !strings.HasPrefix(c.request.Header.Get(headerID), "always") {
					answerUpload(c)
					return
				}
				i := int(round.Load())
				_, _ = io.CopyN(io.Discard, c.request.Body, int64(i%parts)*(uploadBytes/parts))
				answerPart(c, "HTTP/1.1")
				time.Sleep(delays[i/parts])
				c.reset()
			})
			for i := range parts * len(delays) {
				round.Store(int64(i))
				// Backend servers that fail again and again would get no requests.
				fixture, id := newUploadFixture(t, addresses), fmt.Sprint(i)
				checkUploadReset(t, ledger, path, id, fixture.call(http.MethodPost, path, id, withUpload))
				result := fixture.call(http.MethodPost, path, fmt.Sprint("always ", i), withUpload)
				isError := result.status == http.StatusBadGateway && result.header.Get(headerSigned) == ""
				qt.Check(t, result.isBroken || isError, qt.IsTrue, qt.Commentf("%+v", result))
			}
		})
	}
}

// TestResetWithinALongResponseIsSeen guards against a response that seems complete to a caller that has received a part of it, as its
// connection is reset while the request is still being written.
func TestResetWithinALongResponseIsSeen(t *testing.T) {
	const rounds = 12
	for _, path := range []string{"/read/x", "/write/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			ledger := newRunLedger()
			fixture := newUploadFixture(t, startUploadBackends(t, ledger, 1, func(c *uploadConn) {
				// More than what a relay holds before it writes to the caller.
				long := strings.Repeat("x", uploadBytes)
				fmt.Fprint(c, responseParts{framing: "Server: b\r\n"}.encode(c.request.Header.Get(headerID), long))
				c.reset()
			}))
			for i := range rounds {
				result := fixture.call(http.MethodPost, path, fmt.Sprint(i), withUpload)
				isError := result.status == http.StatusBadGateway && result.header.Get(headerSigned) == ""
				qt.Check(t, result.isBroken || isError, qt.IsTrue, qt.Commentf("status %d, %d bytes", result.status, len(result.body)))
			}
		})
	}
}

// newUploadFixture starts a relay with backend servers at the addresses.
func newUploadFixture(t *testing.T, addresses []string) *relayFixture {
	fixture := newRelayFixture(t)
	fixture.removeTimeouts()
	fixture.registerAt(addresses)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialSmall(ctx, network, address)
	}
	fixture.dialBackend.Store(&dial)
	return fixture
}

// earlyResponses are ways in which a backend server answers an upload whole before it has read it.
var earlyResponses = map[string]func(c *uploadConn){
	"length, closes": func(c *uploadConn) {
		fmt.Fprint(c, responseParts{}.encode(c.request.Header.Get(headerID), uploadText(c.request)))
	},
	"length, resets": func(c *uploadConn) {
		fmt.Fprint(c, responseParts{}.encode(c.request.Header.Get(headerID), uploadText(c.request)))
		time.Sleep(restDelay)
		c.reset()
	},
	"chunks, resets": func(c *uploadConn) {
		fmt.Fprint(c, responseParts{framing: "Transfer-Encoding: chunked\r\n"}.encode(c.request.Header.Get(headerID), uploadText(c.request)))
		time.Sleep(restDelay)
		c.reset()
	},
	"up to the end, reads on": func(c *uploadConn) {
		fmt.Fprint(c, responseParts{framing: "Connection: close\r\n"}.encode(c.request.Header.Get(headerID), uploadText(c.request)))
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c.reader)
	},
	"up to the end, reads no more": func(c *uploadConn) {
		fmt.Fprint(c, responseParts{framing: "Connection: close\r\n"}.encode(c.request.Header.Get(headerID), uploadText(c.request)))
		_ = c.CloseWrite()
		time.Sleep(restDelay)
	},
	"up to the end, resets after it": func(c *uploadConn) {
		fmt.Fprint(c, responseParts{framing: "Connection: close\r\n"}.encode(c.request.Header.Get(headerID), uploadText(c.request)))
		_ = c.CloseWrite()
		c.reset()
	},
}

// TestEarlyResponseToAnUploadIsDelivered guards against the loss of a response that came whole before the request was read.
func TestEarlyResponseToAnUploadIsDelivered(t *testing.T) {
	for name, play := range earlyResponses {
		for path := range responsePaths {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				ledger := newRunLedger()
				fixture := newRelayFixture(t)
				fixture.removeTimeouts()
				fixture.registerAt(startUploadBackends(t, ledger, 1, play))
				dial := func(ctx context.Context, network, address string) (net.Conn, error) {
					return dialSmall(ctx, network, address)
				}
				fixture.dialBackend.Store(&dial)
				for i := range 10 {
					id := fmt.Sprint(i)
					result := fixture.call(http.MethodPost, path, id, withUpload)
					qt.Check(t, result.isComplete(path, id), qt.IsTrue, qt.Commentf("%+v", result))
					ledger.mu.Lock()
					qt.Check(t, ledger.countRuns(id), qt.Equals, 1)
					ledger.mu.Unlock()
				}
			})
		}
	}
}
