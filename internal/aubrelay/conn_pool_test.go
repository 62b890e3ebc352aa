package aubrelay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// noProtocol reads nothing from headers.
type noProtocol struct{ Protocol }

func (noProtocol) DecodeResponse(int, http.Header) BackendResponse { return BackendResponse{} }

// poolFixture is a pool and a peer that accepts its connections.
type poolFixture struct {
	t        *testing.T
	pool     *connPool
	address  string
	accepted chan net.Conn
}

func newPoolFixture(t *testing.T) *poolFixture {
	common := aubcommon.NewCommon(aubtimer.NewReal())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	f := &poolFixture{t: t, address: listener.Addr().String(), accepted: make(chan net.Conn, 1024)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			f.accepted <- conn
		}
	}()
	f.pool = newConnPool(t.Context(), common.Timer, (&net.Dialer{}).DialContext, newUnsolicitedLog(common, noProtocol{}))
	return f
}

// roundTrip takes a connection and sends a request that the peer answers.
func (f *poolFixture) roundTrip() (*backendConn, net.Conn) {
	conn, err := f.pool.take(f.t.Context(), f.address, nil)
	qt.Assert(f.t, err, qt.IsNil)
	peer := <-f.accepted
	f.t.Cleanup(func() { _ = peer.Close() })
	ctx, cancel := context.WithCancel(f.t.Context())
	f.t.Cleanup(cancel)
	go func() {
		if _, err := http.ReadRequest(bufio.NewReader(peer)); err == nil {
			_, _ = io.WriteString(peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}()
	resp, err := conn.roundTrip(f.newRequest(ctx), "b1", "1")
	qt.Assert(f.t, err, qt.IsNil)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	qt.Assert(f.t, err, qt.IsNil)
	return conn, peer
}

func (f *poolFixture) newRequest(ctx context.Context) *http.Request {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.address+"/", strings.NewReader("x"))
	qt.Assert(f.t, err, qt.IsNil)
	return req
}

// TestConnectionReusedAtOnceIsChecked guards against a connection that is reused before its watch has begun, although
// its peer has closed it or sent more bytes.
func TestConnectionReusedAtOnceIsChecked(t *testing.T) {
	for _, test := range []struct {
		name  string
		spoil func(peer net.Conn)
	}{
		{"closed", func(peer net.Conn) { _ = peer.Close() }},
		{"more bytes", func(peer net.Conn) { _, _ = io.WriteString(peer, "HTTP/1.1 200 OK\r\n\r\n") }},
	} {
		t.Run(test.name, func(t *testing.T) {
			reused := 0
			for range 20 {
				f := newPoolFixture(t)
				conn, peer := f.roundTrip()
				test.spoil(peer)
				time.Sleep(5 * time.Millisecond)
				f.pool.give(conn)
				next, err := f.pool.take(t.Context(), f.address, nil)
				qt.Assert(t, err, qt.IsNil)
				if next == conn {
					reused++
				}
				next.close()
			}
			qt.Assert(t, reused, qt.Equals, 0)
		})
	}
}

// TestEndedRequestIsNotSent guards against a request that a backend server starts to run although its caller has left.
func TestEndedRequestIsNotSent(t *testing.T) {
	f := newPoolFixture(t)
	sent := 0
	for range 200 {
		conn, err := f.pool.take(t.Context(), f.address, nil)
		qt.Assert(t, err, qt.IsNil)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		resp, err := conn.roundTrip(f.newRequest(ctx), "b1", "1")
		if err == nil {
			_ = resp.Body.Close()
		}
		qt.Assert(t, err, qt.IsNotNil)
		conn.close()
		if !conn.conn.endUnsent() {
			sent++
		}
		_ = (<-f.accepted).Close()
	}
	qt.Assert(t, sent, qt.Equals, 0)
}
