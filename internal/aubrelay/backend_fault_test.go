package aubrelay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// faultInterval is how many requests a faulty backend server handles for each fault.
	faultInterval = 3
	// faultCalls is the number of requests of a case, and faultCallers how many are sent at a time.
	faultCalls   = 40
	faultCallers = 4
	// longBodyBytes is the size of a body that a backend server answers before it has read it.
	longBodyBytes = 300 << 10
	// idleDelay is the time between a response and bytes on the idle connection.
	idleDelay = 5 * time.Millisecond
	// nextTimeout limits the wait for the next request on a connection.
	nextTimeout = 300 * time.Millisecond
	// lateRunTime is how long after the last response a request could still begin to run.
	lateRunTime = 50 * time.Millisecond
	// connTimeout limits the time for the body of a request.
	connTimeout = 5 * time.Second
	// restDelay is the time between an early response and what follows it.
	restDelay = 10 * time.Millisecond
)

// bodyForm is how a body is framed.
type bodyForm string

const (
	bodyNone       bodyForm = "no body"
	bodyLength     bodyForm = "length"
	bodyChunks     bodyForm = "chunks"
	bodyLong       bodyForm = "long"
	bodyLongChunks bodyForm = "long chunks"
)

// callForms are the bodies of callers' requests.
var callForms = []bodyForm{bodyLength, bodyChunks, bodyNone, bodyLong, bodyLongChunks}

// arrival is a request's arrival at a backend server.
type arrival struct {
	backend string
	// position is the number of earlier requests on the connection.
	position int
	hasRun   bool
}

// runLedger records the arrivals of each request.
type runLedger struct {
	mu       sync.Mutex
	arrivals map[string][]arrival
	faults   int
}

func newRunLedger() *runLedger {
	return &runLedger{arrivals: make(map[string][]arrival)}
}

func (l *runLedger) recordArrival(id string, a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[id] = append(l.arrivals[id], a)
}

// recordRun records that the last arrival of the request at the backend server runs.
func (l *runLedger) recordRun(id, backend string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, a := range slices.Backward(l.arrivals[id]) {
		if a.backend == backend {
			l.arrivals[id][i].hasRun = true
			return
		}
	}
}

// countRuns returns how often the request began to run. The caller holds mu.
func (l *runLedger) countRuns(id string) int {
	n := 0
	for _, a := range l.arrivals[id] {
		if a.hasRun {
			n++
		}
	}
	return n
}

func (l *runLedger) recordFault() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults++
}

// faultyConn is a connection of a faulty backend server.
type faultyConn struct {
	net.Conn
	reader *bufio.Reader
	ledger *runLedger
	// requests is the number of requests that it has carried.
	requests int
}

// backend names the backend server of the connection.
func (c *faultyConn) backend() string { return c.LocalAddr().String() }

// next reads the header of the next request and reports whether there is one in time.
func (c *faultyConn) next() (*http.Request, bool) {
	_ = c.SetReadDeadline(time.Now().Add(nextTimeout))
	r, err := http.ReadRequest(c.reader)
	_ = c.SetReadDeadline(time.Now().Add(connTimeout))
	if err != nil {
		return nil, false
	}
	c.ledger.recordArrival(r.Header.Get(headerID), arrival{backend: c.backend(), position: c.requests})
	c.requests++
	return r, true
}

// begin records that the request runs, if one that is answered with the status does.
func (c *faultyConn) begin(r *http.Request, status int) {
	if isRun(status) {
		c.ledger.recordRun(r.Header.Get(headerID), c.backend())
	}
}

// handle answers the request after its whole body was read.
func (c *faultyConn) handle(r *http.Request, status int, form bodyForm) {
	c.begin(r, status)
	_, _ = io.Copy(io.Discard, r.Body)
	fmt.Fprint(c, encodeResponse(r, status, form))
}

// respond answers the request with a success.
func (c *faultyConn) respond(r *http.Request) { c.handle(r, http.StatusOK, bodyLength) }

// reset ends the connection with a reset.
func (c *faultyConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// isRun reports whether a backend server that answers with the status has run the request.
func isRun(status int) bool {
	return status == http.StatusOK || status == http.StatusInternalServerError
}

// encodeResponse returns the bytes of a response to the request.
func encodeResponse(r *http.Request, status int, form bodyForm) string {
	id := r.Header.Get(headerID)
	var text string
	switch {
	case form == bodyNone:
	case status == http.StatusOK && strings.HasPrefix(r.URL.Path, "/stream"):
		for i := range finalEventID + 1 {
			text += fmt.Sprintf("id: %d\ndata: answer to %s\n\n", i, id)
		}
	default:
		text = "answer to " + id
	}
	header := fmt.Sprintf("HTTP/1.1 %d x\r\n%s: %s\r\n", status, headerID, id)
	if isRun(status) {
		header += headerSigned + ": x\r\n"
	} else {
		header += headerNotRun + ": 1\r\n"
	}
	if form == bodyChunks {
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", header, len(text), text)
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", header, len(text), text)
}

// fault is what a backend server does with a request whose header it has read. It reports whether
// the connection stays open.
type fault func(c *faultyConn, r *http.Request) bool

// faultCase is what the backend servers of a case do.
type faultCase struct {
	backends int
	play     fault
	// refuses is set if they refuse every second of the other requests, with a body of the form refusal.
	refuses bool
	refusal bodyForm
	// hasKey is set if requests carry an idempotency key.
	hasKey bool
}

// startFaultyBackend starts a backend server of the case and returns its address.
func startFaultyBackend(t *testing.T, ledger *runLedger, test faultCase) string {
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var (
		mu     sync.Mutex
		served int
		conns  sync.WaitGroup
	)
	serve := func(c *faultyConn) {
		defer c.Close()
		for {
			r, ok := c.next()
			if !ok {
				return
			}
			mu.Lock()
			served++
			n := served
			mu.Unlock()
			switch {
			case n%faultInterval == 0:
				ledger.recordFault()
				if !test.play(c, r) {
					return
				}
			case test.refuses && n%2 == 0:
				c.handle(r, http.StatusServiceUnavailable, test.refusal)
			default:
				c.respond(r)
			}
		}
	}
	conns.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Go(func() { serve(&faultyConn{Conn: conn, reader: bufio.NewReader(conn), ledger: ledger}) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		conns.Wait()
	})
	return listener.Addr().String()
}

// registerAt registers backend servers at the addresses.
func (fixture *relayFixture) registerAt(addresses []string) {
	for i, address := range addresses {
		fixture.registry.Register(&aubwire.BackendRecord{
			Id: fmt.Sprint("raw", i), Service: "s", Address: address, StartedMs: int64(i + 1), Sequence: 1,
			State: aubwire.BackendState_BACKEND_STATE_READY,
		})
	}
}

// slowReader returns a part of the data for each read, with a pause before the last one.
type slowReader struct {
	data []byte
}

func (s *slowReader) Read(p []byte) (int, error) {
	if len(s.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, s.data[:(len(s.data)+1)/2])
	s.data = s.data[n:]
	if len(s.data) < 2 {
		time.Sleep(time.Millisecond)
	}
	return n, nil
}

// newFaultCall returns the request with the number, each of another form.
func newFaultCall(ctx context.Context, url, id string, n int, hasKey bool) (*http.Request, error) {
	path := "/write/x"
	if n%2 == 1 {
		path = "/stream-once/x"
	}
	var body io.Reader
	text := "body of " + id
	switch form := callForms[n/2%len(callForms)]; form {
	case bodyNone:
	case bodyLength:
		body = strings.NewReader(text)
	case bodyLong:
		body = strings.NewReader(text + strings.Repeat("x", longBodyBytes))
	case bodyChunks:
		body = &slowReader{data: []byte(text)}
	case bodyLongChunks:
		body = &slowReader{data: []byte(text + strings.Repeat("x", longBodyBytes))}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(headerID, id)
	req.Header.Set(headerKey, "key")
	if hasKey {
		req.Header.Set("Idempotency-Key", id)
	}
	return req, nil
}

// callTally records what callers received.
type callTally struct {
	hasKey bool

	mu sync.Mutex
	// results holds the status of each request; 0 if its connection was lost.
	results map[string]int
	// foreign holds the requests with another's response.
	foreign []string
}

// call sends the request with the number and records its response.
func (c *callTally) call(ctx context.Context, client *http.Client, url string, n int) error {
	id := fmt.Sprintf("r%d-", n)
	req, err := newFaultCall(ctx, url, id, n, c.hasKey)
	if err != nil {
		return err
	}
	status, isForeign := 0, false
	if resp, err := client.Do(req); err == nil {
		body, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		status = resp.StatusCode
		isForeign = resp.Header.Get(headerID) != "" && resp.Header.Get(headerID) != id
		isForeign = isForeign || strings.Count(string(body), "answer to ") != strings.Count(string(body), "answer to "+id)
		if status == http.StatusOK && readErr == nil {
			want := 1
			if strings.Contains(req.URL.Path, "stream") {
				want = finalEventID + 1
			}
			isForeign = isForeign || strings.Count(string(body), "answer to "+id) != want
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results[id] = status
	if isForeign {
		c.foreign = append(c.foreign, id)
	}
	return nil
}

// check compares what callers received with what ran.
func (c *callTally) check(t *testing.T, ledger *runLedger) {
	time.Sleep(lateRunTime)
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	var twice, refused []string
	statuses := make(map[int]int)
	for id, status := range c.results {
		statuses[status]++
		runs := ledger.countRuns(id)
		if runs > 1 {
			twice = append(twice, id)
		}
		if runs > 0 && slices.Contains(promiseStatuses, status) {
			refused = append(refused, id)
		}
		if runs > 1 || runs > 0 && slices.Contains(promiseStatuses, status) {
			t.Logf("%s: status %d, arrivals %+v", id, status, ledger.arrivals[id])
		}
	}
	t.Logf("requests=%d faults=%d twice=%d refused=%d foreign=%d statuses=%v",
		len(c.results), ledger.faults, len(twice), len(refused), len(c.foreign), statuses)
	qt.Check(t, twice, qt.HasLen, 0, qt.Commentf("ran more than once"))
	qt.Check(t, refused, qt.HasLen, 0, qt.Commentf("refused, but ran"))
	qt.Check(t, c.foreign, qt.HasLen, 0, qt.Commentf("received the response to another request"))
	qt.Check(t, ledger.faults > 0, qt.IsTrue)
	qt.Check(t, statuses[http.StatusOK] > 0, qt.IsTrue)
}

// promiseStatuses tell callers that their request did not run.
var promiseStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// newFaultClient returns a client whose connections end with the test.
func newFaultClient(t *testing.T) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: faultCallers}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// playFault sends requests to a relay with faulty backend servers and checks the responses.
func playFault(t *testing.T, test faultCase) {
	t.Parallel()
	ledger := newRunLedger()
	addresses := make([]string, 0, test.backends)
	for range test.backends {
		addresses = append(addresses, startFaultyBackend(t, ledger, test))
	}
	fixture := newRelayFixture(t)
	fixture.registerAt(addresses)
	client, received := newFaultClient(t), &callTally{results: make(map[string]int), hasKey: test.hasKey}
	var callers sync.WaitGroup
	for caller := range faultCallers {
		callers.Go(func() {
			for n := caller; n < faultCalls; n += faultCallers {
				qt.Check(t, received.call(t.Context(), client, fixture.server.URL, n), qt.IsNil)
			}
		})
	}
	callers.Wait()
	received.check(t, ledger)
}

// extraPlace is where an extra response comes.
type extraPlace string

const (
	extraAtOnce  extraPlace = "at once"
	extraIdle    extraPlace = "on the idle connection"
	extraBefore  extraPlace = "before the next response"
	extraInstead extraPlace = "instead of the next response"
)

var extraPlaces = []extraPlace{extraAtOnce, extraIdle, extraBefore, extraInstead}

// repeatResponse answers a request and sends the response once more.
func repeatResponse(status int, form bodyForm, place extraPlace) fault {
	return func(c *faultyConn, r *http.Request) bool {
		c.begin(r, status)
		_, _ = io.Copy(io.Discard, r.Body)
		response := encodeResponse(r, status, form)
		if place == extraAtOnce {
			response += response
		}
		fmt.Fprint(c, response)
		switch place {
		case extraAtOnce:
		case extraIdle:
			time.Sleep(idleDelay)
			fmt.Fprint(c, response)
		case extraBefore, extraInstead:
			next, ok := c.next()
			if !ok {
				return false
			}
			c.begin(next, http.StatusOK)
			_, _ = io.Copy(io.Discard, next.Body)
			if place == extraBefore {
				response += encodeResponse(next, http.StatusOK, bodyLength)
			}
			fmt.Fprint(c, response)
		}
		return true
	}
}

// extraStatuses are the statuses of responses that come twice.
var extraStatuses = []int{
	http.StatusOK, http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest,
}

// TestExtraResponseIsTakenForNoOther guards against a request that runs twice, is called refused although it ran, or gets
// another's response, because a backend server sends a response once more.
func TestExtraResponseIsTakenForNoOther(t *testing.T) {
	for _, status := range extraStatuses {
		for _, form := range []bodyForm{bodyNone, bodyLength, bodyChunks} {
			if status == http.StatusOK && form == bodyNone {
				continue
			}
			for i, place := range extraPlaces {
				for _, backends := range []int{1, 2 + i%2} {
					t.Run(fmt.Sprintf("%d, %s, %s, %d", status, form, place, backends), func(t *testing.T) {
						playFault(t, faultCase{backends: backends, play: repeatResponse(status, form, place)})
					})
				}
			}
		}
	}
}

// TestRefusalBehindAnExtraResponseIsNotBelieved guards against a refusal that is taken for the response to a later request,
// because an earlier response came once more on its connection.
func TestRefusalBehindAnExtraResponseIsNotBelieved(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError, http.StatusServiceUnavailable} {
		for _, form := range []bodyForm{bodyNone, bodyLength} {
			if status == http.StatusOK && form == bodyNone {
				continue
			}
			for _, refusal := range []bodyForm{bodyNone, bodyLength} {
				for i, place := range extraPlaces {
					t.Run(fmt.Sprintf("%d, %s, %s, refusals with %s", status, form, place, refusal), func(t *testing.T) {
						playFault(t, faultCase{backends: 2 + i%2, play: repeatResponse(status, form, place), refuses: true, refusal: refusal})
					})
				}
			}
		}
	}
}

// respondUnstated runs a request and answers it with a status that callers take for a refusal.
func respondUnstated(status int, form bodyForm) fault {
	return func(c *faultyConn, r *http.Request) bool {
		c.begin(r, http.StatusOK)
		_, _ = io.Copy(io.Discard, r.Body)
		fmt.Fprint(c, strings.Replace(encodeResponse(r, status, form), headerNotRun+": 1\r\n", "", 1))
		return true
	}
}

// TestUnstatedRefusalPromisesNothing guards against a request that is called refused although it ran, because its backend
// server answered with a status of refusals and did not state that it had not run.
func TestUnstatedRefusalPromisesNothing(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, form := range []bodyForm{bodyNone, bodyLength} {
			t.Run(fmt.Sprintf("%d, %s", status, form), func(t *testing.T) {
				playFault(t, faultCase{backends: 2, play: respondUnstated(status, form)})
			})
		}
	}
}

// earlyEnd is what follows a response that came before the request was read.
type earlyEnd string

const (
	earlyReadsOn earlyEnd = "reads on"
	earlyCloses  earlyEnd = "closes"
	earlyResets  earlyEnd = "resets"
)

// respondEarly answers a request before it has read its body.
func respondEarly(status int, end earlyEnd) fault {
	return func(c *faultyConn, r *http.Request) bool {
		c.begin(r, status)
		fmt.Fprint(c, encodeResponse(r, status, bodyLength))
		time.Sleep(restDelay)
		switch end {
		case earlyCloses:
			return false
		case earlyResets:
			c.reset()
			return false
		case earlyReadsOn:
			_, _ = io.Copy(io.Discard, r.Body)
		}
		return true
	}
}

// TestEarlyResponseLeavesNoRequestRunTwice guards against a request that runs twice, or is called refused although it ran,
// because its backend server answered before it had read the body.
func TestEarlyResponseLeavesNoRequestRunTwice(t *testing.T) {
	for _, status := range extraStatuses {
		for i, end := range []earlyEnd{earlyReadsOn, earlyCloses, earlyResets} {
			t.Run(fmt.Sprintf("%d, %s", status, end), func(t *testing.T) {
				playFault(t, faultCase{backends: 2 + i%2, play: respondEarly(status, end)})
			})
		}
	}
}

// closeFaults are the ways in which a backend server ends a connection.
var closeFaults = map[string]fault{
	"closes after its response": func(c *faultyConn, r *http.Request) bool {
		c.respond(r)
		return false
	},
	"closes while idle": func(c *faultyConn, r *http.Request) bool {
		c.respond(r)
		time.Sleep(time.Millisecond)
		return false
	},
	"resets while idle": func(c *faultyConn, r *http.Request) bool {
		c.respond(r)
		time.Sleep(time.Millisecond)
		c.reset()
		return false
	},
	"closes at the next request, unread": func(c *faultyConn, r *http.Request) bool {
		c.respond(r)
		_ = c.SetReadDeadline(time.Now().Add(nextTimeout))
		_, _ = c.reader.Peek(1)
		return false
	},
	"closes at the next request, run": func(c *faultyConn, r *http.Request) bool {
		c.respond(r)
		if next, ok := c.next(); ok {
			c.begin(next, http.StatusOK)
		}
		return false
	},
	"resets at the next request, run": func(c *faultyConn, r *http.Request) bool {
		c.respond(r)
		if next, ok := c.next(); ok {
			c.begin(next, http.StatusOK)
			_, _ = io.Copy(io.Discard, next.Body)
		}
		c.reset()
		return false
	},
	"closes within the next body, run": func(c *faultyConn, r *http.Request) bool {
		c.respond(r)
		if next, ok := c.next(); ok {
			c.begin(next, http.StatusOK)
			_, _ = io.CopyN(io.Discard, next.Body, longBodyBytes/2)
		}
		return false
	},
	"resets within the first body, run": func(c *faultyConn, r *http.Request) bool {
		c.begin(r, http.StatusOK)
		_, _ = io.CopyN(io.Discard, r.Body, longBodyBytes/2)
		c.reset()
		return false
	},
	"closes within the response": func(c *faultyConn, r *http.Request) bool {
		c.begin(r, http.StatusOK)
		_, _ = io.Copy(io.Discard, r.Body)
		response := encodeResponse(r, http.StatusOK, bodyLength)
		fmt.Fprint(c, response[:len(response)/2])
		return false
	},
}

// TestClosedConnectionLeavesNoRequestRunTwice guards against a request that is sent again, or called refused, although it
// ran on a connection that its backend server closed.
func TestClosedConnectionLeavesNoRequestRunTwice(t *testing.T) {
	for name, play := range closeFaults {
		for backends := 2; backends <= 3; backends++ {
			for _, hasKey := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d, with key %t", name, backends, hasKey), func(t *testing.T) {
					playFault(t, faultCase{backends: backends, play: play, hasKey: hasKey})
				})
			}
		}
	}
}

// TestReplacedRelayLeavesNoRequestRunTwice guards against a request that a stopped relay and its successor both run, or
// that one of them calls refused.
func TestReplacedRelayLeavesNoRequestRunTwice(t *testing.T) {
	plays := map[string]fault{
		"refusals repeated":  repeatResponse(http.StatusServiceUnavailable, bodyNone, extraBefore),
		"successes repeated": repeatResponse(http.StatusOK, bodyLength, extraBefore),
		"connections closed": closeFaults["closes at the next request, run"],
	}
	for name, play := range plays {
		for _, isGraceful := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, graceful %t", name, isGraceful), func(t *testing.T) { playReplacedRelay(t, play, isGraceful) })
		}
	}
}

// playReplacedRelay replaces the relay several times while callers go on. A caller that is cut off sends its next request to
// the successor.
func playReplacedRelay(t *testing.T, play fault, isGraceful bool) {
	t.Parallel()
	const (
		relayCount = 4
		// overlapCalls is how many requests the successor receives before a relay is stopped.
		overlapCalls = 2
	)
	ledger := newRunLedger()
	addresses := []string{startFaultyBackend(t, ledger, faultCase{play: play}), startFaultyBackend(t, ledger, faultCase{play: play})}
	client, received := newFaultClient(t), &callTally{results: make(map[string]int)}
	var (
		mu              sync.RWMutex
		current         string
		callers, relays sync.WaitGroup
	)
	address := func() string {
		mu.RLock()
		defer mu.RUnlock()
		return current
	}
	// startRelay starts a relay as the current one; closing the channel that it returns stops it.
	startRelay := func(number int) chan struct{} {
		ready, stop := make(chan struct{}), make(chan struct{})
		relays.Go(func() {
			t.Run(fmt.Sprint("relay ", number), func(t *testing.T) {
				fixture := newRelayFixture(t)
				fixture.registerAt(addresses)
				mu.Lock()
				current = fixture.server.URL
				mu.Unlock()
				close(ready)
				<-stop
				if isGraceful {
					qt.Check(t, fixture.server.Config.Shutdown(t.Context()), qt.IsNil)
				} else {
					fixture.server.CloseClientConnections()
				}
			})
		})
		<-ready
		return stop
	}
	numbers, stops := make(chan int), make([]chan struct{}, 0, relayCount)
	for range faultCallers {
		callers.Go(func() {
			for n := range numbers {
				qt.Check(t, received.call(t.Context(), client, address(), n), qt.IsNil)
			}
		})
	}
	for number := range relayCount {
		stop := startRelay(number)
		for n := range faultCalls {
			numbers <- number*faultCalls + n
			if n == overlapCalls && number > 0 {
				close(stops[number-1])
			}
		}
		stops = append(stops, stop)
	}
	close(numbers)
	callers.Wait()
	close(stops[relayCount-1])
	relays.Wait()
	received.check(t, ledger)
}
