package aubprocess

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubbudget"
	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubtransport"
)

// shutdownBound is the time in which a shutdown must end that waits for no request.
const shutdownBound = 3 * time.Second

// shutdownFixture is a server whose responses close their connections once leaving is closed.
type shutdownFixture struct {
	t       *testing.T
	server  *httpServer
	leaving chan struct{}
}

func newShutdownFixture(t *testing.T) *shutdownFixture {
	fixture := &shutdownFixture{t: t, leaving: make(chan struct{})}
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	tcp, _ := l.(*net.TCPListener)
	budget := aubbudget.NewBudget(t.Context(), aubcommon.NewCommon(aubtimer.NewReal()), aubbudget.DetectMachine())
	gate := aubbudget.NewGate(budget, aubbudget.ListenerOpts{
		MaxConnections: 100, Limits: func() aubbudget.Limits { return aubbudget.Limits{HeadTimeout: headerTimeout, IdleTimeout: idleTimeout} },
	})
	fixture.server = newListeningServer(aubtimer.NewReal(), newHTTPServer(aubbudget.NewHandler(fixture), nil), newClosingListener(tcp, gate))
	t.Cleanup(func() { _ = fixture.server.server.Close() })
	return fixture
}

// TestAbortedResponseOfHTTP10IsReset guards against a response that its caller takes for a complete one, because the
// connection ends in an orderly way.
func TestAbortedResponseOfHTTP10IsReset(t *testing.T) {
	fixture := newShutdownFixture(t)
	fixture.serve()
	conn, err := net.Dial("tcp", fixture.server.listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(shutdownBound))
	_, _ = io.WriteString(conn, "GET /abort HTTP/1.0\r\nHost: a\r\n\r\n")
	_, err = io.ReadAll(conn)
	qt.Assert(t, err, qt.ErrorIs, syscall.ECONNRESET)
}

// ServeHTTP answers with the path, that of /slow after 300 ms.
func (fixture *shutdownFixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/abort" {
		aubtransport.AbortResponse(w, r)
	}
	if r.URL.Path == "/slow" {
		time.Sleep(300 * time.Millisecond)
	}
	select {
	case <-fixture.leaving:
		w.Header().Set("Connection", "close")
	default:
	}
	_, _ = io.WriteString(w, r.URL.Path)
}

func (fixture *shutdownFixture) serve() {
	go func() { _ = fixture.server.server.Serve(fixture.server.listener) }()
}

// shutdown begins the shutdown; the returned channel is closed at its end.
func (fixture *shutdownFixture) shutdown() <-chan struct{} {
	close(fixture.leaving)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), 4*shutdownBound)
		defer cancel()
		fixture.server.shutdown(ctx)
	}()
	return done
}

func (fixture *shutdownFixture) dial() *callerConn {
	conn, err := net.Dial("tcp", fixture.server.listener.Addr().String())
	qt.Assert(fixture.t, err, qt.IsNil)
	fixture.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(4 * shutdownBound))
	return &callerConn{conn: conn, reader: bufio.NewReader(conn)}
}

// callerConn is a caller's connection.
type callerConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (c *callerConn) send(text string) { _, _ = io.WriteString(c.conn, text) }

// receive returns the body of the next response and whether it closes the connection.
func (c *callerConn) receive() (body string, isClosed bool, err error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "", false, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), resp.Close, err
}

func request(path string) string { return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path) }

// TestShutdownResetsNoWaitingConnection guards against a listener that closes while connections wait to be
// accepted.
func TestShutdownResetsNoWaitingConnection(t *testing.T) {
	for _, test := range []struct {
		name string
		stop func(*shutdownFixture)
	}{
		{"drain of the listener", func(fixture *shutdownFixture) { fixture.server.listener.drain(t.Context()) }},
		{"shutdown", func(fixture *shutdownFixture) { <-fixture.shutdown() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newShutdownFixture(t)
			conns := make([]*callerConn, 100)
			for i := range conns {
				conns[i] = fixture.dial()
				conns[i].send(request("/waiting"))
			}
			fixture.serve()
			test.stop(fixture)
			for _, conn := range conns {
				body, _, err := conn.receive()
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, body, qt.Equals, "/waiting")
			}
			_, err := net.Dial("tcp", fixture.server.listener.Addr().String())
			qt.Check(t, err, qt.IsNotNil)
		})
	}
}

// TestShutdownAnswersRequestsOnOpenConnections guards against a request that is read and dropped because
// the server shuts down.
func TestShutdownAnswersRequestsOnOpenConnections(t *testing.T) {
	for _, test := range []struct {
		name string
		// before and after are sent before and after the begin of the shutdown.
		before, after string
		isKept        bool
	}{
		{"kept connection", "", request("/late"), true},
		{"connection without a request", "", request("/late"), false},
		{"half of a head on a kept connection", request("/late")[:12], request("/late")[12:], true},
		{"half of a head", request("/late")[:12], request("/late")[12:], false},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newShutdownFixture(t)
			fixture.serve()
			running, late := fixture.dial(), fixture.dial()
			if test.isKept {
				late.send(request("/first"))
				_, isClosed, err := late.receive()
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, isClosed, qt.IsFalse)
			}
			late.send(test.before)
			time.Sleep(20 * time.Millisecond)
			running.send(request("/slow"))
			time.Sleep(20 * time.Millisecond)
			done := fixture.shutdown()
			time.Sleep(200 * time.Millisecond)
			late.send(test.after)
			for _, conn := range []*callerConn{running, late} {
				_, isClosed, err := conn.receive()
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, isClosed, qt.IsTrue)
			}
			<-done
		})
	}
}

// TestShutdownEndsDespiteNewConnections guards against a shutdown that lasts for as long as callers open
// connections.
func TestShutdownEndsDespiteNewConnections(t *testing.T) {
	fixture := newShutdownFixture(t)
	fixture.serve()
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	defer callers.Wait()
	defer cancel()
	for range 4 {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for ctx.Err() == nil {
				time.Sleep(5 * time.Millisecond)
				if resp, err := client.Get("http://" + fixture.server.listener.Addr().String() + "/x"); err == nil {
					_ = resp.Body.Close()
				}
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	select {
	case <-fixture.shutdown():
	case <-time.After(shutdownBound):
		t.Fatal("shutdown did not end")
	}
}

// TestShutdownEndsWithItsContext guards against a shutdown that waits for requests beyond its bound.
func TestShutdownEndsWithItsContext(t *testing.T) {
	fixture := newShutdownFixture(t)
	fixture.serve()
	conn := fixture.dial()
	conn.send(request("/slow"))
	time.Sleep(20 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	startedAt := time.Now()
	fixture.server.shutdown(ctx)
	qt.Assert(t, time.Since(startedAt) < 200*time.Millisecond, qt.IsTrue)
	_, _, err := conn.receive()
	qt.Assert(t, err, qt.IsNotNil)
}
