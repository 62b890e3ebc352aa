package aubbudget

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// serverFixture is an HTTP server within a budget. Its handler reads the body and answers with its length.
type serverFixture struct {
	address string
	budget  *Budget
	gate    *Gate
	// errors receives what reads of bodies fail with.
	errors chan error
}

func newServerFixture(t *testing.T, machine Machine, connections int, limits Limits) *serverFixture {
	return newFixtureWith(t, machine, ListenerOpts{MaxConnections: connections, Limits: func() Limits { return limits }})
}

func newFixtureWith(t *testing.T, machine Machine, opts ListenerOpts) *serverFixture {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	fixture := &serverFixture{budget: NewBudget(ctx, aubcommon.NewCommon(aubtimer.NewReal()), machine), errors: make(chan error, 16)}
	fixture.gate = NewGate(fixture.budget, opts)
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	tcp, _ := l.(*net.TCPListener)
	server := &http.Server{
		Handler: NewHandler(fixture), ConnContext: ConnContext, ConnState: ObserveState,
		ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute,
	}
	go func() { _ = server.Serve(NewListener(tcp, fixture.gate)) }()
	t.Cleanup(func() { _ = server.Close() })
	fixture.address = l.Addr().String()
	return fixture
}

// ServeHTTP implements http.Handler.
func (fixture *serverFixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/refuse" {
		FromContext(r.Context()).Refuse(w.Header())
		w.WriteHeader(http.StatusNotFound)
		return
	}
	data, err := ReadBody(r.Body, r.ContentLength)
	if err != nil {
		FromContext(r.Context()).Refuse(w.Header())
		w.WriteHeader(http.StatusServiceUnavailable)
		fixture.errors <- err
		return
	}
	fmt.Fprint(w, len(data))
}

// exchange sends the text on a new connection and returns what comes until its end.
func (fixture *serverFixture) exchange(t *testing.T, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", fixture.address)
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(conn, text)
	answer, err := io.ReadAll(conn)
	qt.Assert(t, os.IsTimeout(err), qt.IsFalse, qt.Commentf("the connection stays open"))
	return string(answer)
}

var testMachine = Machine{Memory: 200 << 20, Descriptors: 1024}

// TestHeadsWithinTheLimit guards the limits of heads and the connections that they end.
func TestHeadsWithinTheLimit(t *testing.T) {
	fixture := newServerFixture(t, testMachine, 100, Limits{MaxHeadBytes: 1024, HeadTimeout: 300 * time.Millisecond, IdleTimeout: time.Second})
	const line = "POST / HTTP/1.1\r\n"
	const begin = line + "Host: a\r\nConnection: close\r\nContent-Length: 5\r\nX: "
	fill := func(size int) string { return begin + strings.Repeat("x", size-len(begin)+len(line)-2) + "\r\n\r\n" }
	for _, test := range []struct{ name, text, want string }{
		{"largest head", fill(1024) + "12345", "HTTP/1.1 200 "},
		{"one byte more", fill(1025) + "12345", "HTTP/1.1 431 "},
		{"head that stops", fill(1024)[:1000], ""},
		{"line without end", strings.Repeat("x", 4096), "HTTP/1.1 431 "},
		{"nothing", "", ""},
		{"pipelined", strings.Replace(fill(900)+"12345", "Connection: close", "Connection: keep", 1) + fill(900) + "12345", "HTTP/1.1 200 "},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, fixture.exchange(t, test.text), qt.Matches, `(?s)`+strings.ReplaceAll(test.want, ".", `\.`)+".*")
		})
	}
	qt.Assert(t, fixture.budget.heldAfterwards(), qt.Equals, int64(0))
}

// heldAfterwards returns what is held once handlers had time to end.
func (b *Budget) heldAfterwards() int64 {
	for range 100 {
		b.mu.Lock()
		used := b.used
		b.mu.Unlock()
		if used == 0 {
			return 0
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// TestBodyHasATimeToArrive guards against bodies that never end.
func TestBodyHasATimeToArrive(t *testing.T) {
	fixture := newServerFixture(t, testMachine, 100, Limits{BodyTimeout: 200 * time.Millisecond})
	qt.Assert(t, fixture.exchange(t, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n1234"), qt.Matches, `(?s)HTTP/1\.1 503 .*`)
	var late *BodyTimeoutError
	qt.Assert(t, <-fixture.errors, qt.ErrorAs, &late)
}

// TestRequestMayLastLongerThanItsBody guards against a deadline of the body that ends the request.
func TestRequestMayLastLongerThanItsBody(t *testing.T) {
	fixture := newServerFixture(t, testMachine, 100, Limits{HeadTimeout: 100 * time.Millisecond, BodyTimeout: 100 * time.Millisecond, IdleTimeout: time.Second})
	conn, err := net.Dial("tcp", fixture.address)
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	buffer := make([]byte, 4096)
	for range 3 {
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n12345")
		qt.Assert(t, err, qt.IsNil)
		n, err := conn.Read(buffer)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(buffer[:n]), qt.Matches, `(?s)HTTP/1\.1 200 .*`)
		time.Sleep(300 * time.Millisecond)
	}
}

// TestRefusedRequestKeepsItsConnection guards against refusals that cost a caller its connection although its body
// was short, and against ones that wait for a body.
func TestRefusedRequestKeepsItsConnection(t *testing.T) {
	fixture := newServerFixture(t, testMachine, 100, Limits{IdleTimeout: time.Second})
	request := func(path string, size, sent int) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", path, size) + strings.Repeat("b", sent)
	}
	for _, test := range []struct {
		name, text string
		want       int
	}{
		{"short body", request("/refuse", 5, 5) + request("/", 5, 5), 2},
		{"short body that stops", request("/refuse", 5, 4), 1},
		{"long body", request("/refuse", 70000, 70000) + request("/", 5, 5), 1},
		{"long body that stops", request("/refuse", 70000, 1), 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			answer := fixture.exchange(t, test.text)
			qt.Assert(t, strings.Count(answer, "HTTP/1.1 "), qt.Equals, test.want, qt.Commentf("%s", answer))
			qt.Assert(t, answer, qt.Matches, `(?s)HTTP/1\.1 404 .*`)
		})
	}
}

// TestBodyInPiecesIsNotHeldUp guards against receive buffers so small that a client with a body of legal size waits for
// the kernel's timers between its pieces.
func TestBodyInPiecesIsNotHeldUp(t *testing.T) {
	fixture := newServerFixture(t, testMachine, 100, Limits{BodyTimeout: 2 * time.Second})
	const size = 4 << 20
	for _, piece := range []int{1000, 4096, 10000, 64 << 10} {
		conn, err := net.Dial("tcp", fixture.address)
		qt.Assert(t, err, qt.IsNil)
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", size)
		for sent := 0; sent < size; sent += piece {
			if _, err := conn.Write(make([]byte, min(piece, size-sent))); err != nil {
				break
			}
		}
		answer, _ := io.ReadAll(conn)
		qt.Check(t, string(answer), qt.Matches, `(?s)HTTP/1\.1 200 .*`, qt.Commentf("pieces of %d bytes", piece))
		_ = conn.Close()
	}
}

// TestStalledBodyYields guards against stalled bodies that keep a whole one out.
func TestStalledBodyYields(t *testing.T) {
	fixture := newServerFixture(t, Machine{Memory: 5 << 20, Descriptors: 1024}, 100, Limits{})
	fixture.budget.total = 1 << 20
	stalled, err := net.Dial("tcp", fixture.address)
	qt.Assert(t, err, qt.IsNil)
	defer stalled.Close()
	body := strings.Repeat("b", 500<<10)
	text := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", len(body)) + body
	_, err = io.WriteString(stalled, text[:len(text)-1])
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(2 * minEvictAge)
	qt.Assert(t, fixture.exchange(t, text), qt.Matches, `(?s)HTTP/1\.1 200 .*`)
	qt.Assert(t, isExhausted(<-fixture.errors), qt.IsTrue)
	_ = stalled.SetReadDeadline(time.Now().Add(5 * time.Second))
	answer := make([]byte, 12)
	_, err = io.ReadFull(stalled, answer)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(answer), qt.Equals, "HTTP/1.1 503")
}

// TestIdleConnectionYields guards against idle connections that keep a new one out.
func TestIdleConnectionYields(t *testing.T) {
	fixture := newServerFixture(t, testMachine, 4, Limits{})
	for range 10 {
		conn, err := net.Dial("tcp", fixture.address)
		qt.Assert(t, err, qt.IsNil)
		defer conn.Close()
	}
	qt.Assert(t, fixture.exchange(t, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"), qt.Matches, `(?s)HTTP/1\.1 200 .*`)
	fixture.gate.mu.Lock()
	defer fixture.gate.mu.Unlock()
	qt.Assert(t, len(fixture.gate.conns) <= 4, qt.IsTrue)
}

// TestRaisedIdleTimeoutHolds guards against connections that are closed within a limit that was raised while they
// were idle.
func TestRaisedIdleTimeoutHolds(t *testing.T) {
	var timeout atomic.Int64
	timeout.Store(int64(300 * time.Millisecond))
	fixture := newFixtureWith(t, testMachine, ListenerOpts{MaxConnections: 4, Limits: func() Limits { return Limits{IdleTimeout: time.Duration(timeout.Load())} }})
	conn, err := net.Dial("tcp", fixture.address)
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	buffer := make([]byte, 4096)
	for range 2 {
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		qt.Assert(t, err, qt.IsNil)
		_, err = conn.Read(buffer)
		qt.Assert(t, err, qt.IsNil)
		timeout.Store(int64(time.Second))
		time.Sleep(600 * time.Millisecond)
	}
	_, err = conn.Read(buffer)
	qt.Assert(t, err, qt.Equals, io.EOF)
}

// TestInternalConnectionYieldsBeforeItsFirstByte guards against idle clients that keep the site's own processes out,
// and against processes that lose their connections to new ones.
func TestInternalConnectionYieldsBeforeItsFirstByte(t *testing.T) {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	tcp, _ := l.(*net.TCPListener)
	budget := NewBudget(t.Context(), aubcommon.NewCommon(aubtimer.NewReal()), testMachine)
	listener := NewListener(tcp, NewGate(budget, ListenerOpts{MaxConnections: 2, IsInternal: true}))
	defer listener.Close()
	dial := func(text string) net.Conn {
		conn, err := net.Dial("tcp", l.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = conn.Close() })
		_, _ = io.WriteString(conn, text)
		return conn
	}
	process, idle := dial("x"), dial("")
	first, err := listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	_, err = first.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNil)
	for range 2 {
		_, err = listener.Accept()
		qt.Assert(t, err, qt.IsNil)
		dial("")
	}
	_ = idle.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = idle.Read(make([]byte, 1))
	qt.Assert(t, os.IsTimeout(err), qt.IsFalse, qt.Commentf("%v", err))
	_ = process.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err = process.Read(make([]byte, 1))
	qt.Assert(t, os.IsTimeout(err), qt.IsTrue, qt.Commentf("%v", err))
}

// TestRequestThatNeverFits guards against a time to come back for a request that is larger than the budget.
func TestRequestThatNeverFits(t *testing.T) {
	b, timer := newTestBudget(t, 1<<20)
	for _, test := range []struct {
		n    int64
		want bool
	}{{768 << 10, false}, {768<<10 + 1, true}} {
		other := b.newShare(timer.Now())
		qt.Assert(t, other.Grow(smallBytes+1), qt.IsNil)
		var exhausted *ExhaustedError
		qt.Assert(t, b.newShare(timer.Now()).Grow(test.n), qt.ErrorAs, &exhausted)
		qt.Assert(t, exhausted.IsPermanent, qt.Equals, test.want)
		other.release()
	}
}

// FuzzEndOfHead compares the end of a head that arrives in pieces with that of one that arrives whole.
func FuzzEndOfHead(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nA: b\r\n\r\nbody\n\n"), 3)
	f.Add([]byte("GET / HTTP/1.1\nA: b\n\nbody"), 1)
	f.Add([]byte("a\r\n\nb"), 2)
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		size = max(1, size%16)
		whole := endOfHead(data)
		c := &Conn{phase: phaseHead}
		sum := 0
		for piece := range bytes.SplitSeq(bytes.Join(chunks(data, size), []byte{0}), []byte{0}) {
			if c.phase != phaseHead || bytes.IndexByte(data, 0) >= 0 {
				break
			}
			end, _ := c.scan(piece)
			sum += end
		}
		if bytes.IndexByte(data, 0) < 0 && sum != whole {
			t.Fatalf("end at %d in pieces of %d, %d whole", sum, size, whole)
		}
	})
}

// endOfHead returns the number of bytes up to the first empty line after another one, or of all.
func endOfHead(data []byte) int {
	for i, b := range data {
		if b != '\n' {
			continue
		}
		before := bytes.TrimSuffix(data[:i], []byte("\r"))
		if bytes.HasSuffix(before, []byte("\n")) {
			return i + 1
		}
	}
	return len(data)
}

func chunks(data []byte, size int) [][]byte {
	var parts [][]byte
	for len(data) > size {
		parts = append(parts, data[:size])
		data = data[size:]
	}
	return append(parts, data)
}

func TestReadBody(t *testing.T) {
	for _, size := range []int{0, 1, 511, 512, 513, 70000, 4 << 20} {
		text := strings.Repeat("b", size)
		for _, stated := range []int64{-1, int64(size)} {
			data, err := ReadBody(iotest.HalfReader(strings.NewReader(text)), stated)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(data) == text, qt.IsTrue, qt.Commentf("%d bytes, %d stated", size, stated))
			if stated > firstBufferBytes {
				qt.Assert(t, cap(data) <= size+1, qt.IsTrue)
			}
		}
	}
}
