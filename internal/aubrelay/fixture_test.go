package aubrelay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aublimit"
	"github.com/auburndale/auburndale/internal/auboption"
	"github.com/auburndale/auburndale/internal/aubpoison"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubrelay"
	"github.com/auburndale/auburndale/internal/aubresume"
	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/internal/aubsite"
	"github.com/auburndale/auburndale/internal/aubthrottle"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// Headers of the test protocol.
const (
	headerID        = "Test-Id"
	headerKey       = "Test-Key"
	headerSigned    = "Test-Signed"
	headerNotRun    = "Test-Not-Run"
	headerBackend   = "Test-Backend"
	headerLastEvent = "Test-Last-Event"
	headerWorkspace = "Test-Workspace"
	headerCode      = "Test-Code"
	headerWait      = "Test-Wait"
	headerOutput    = "Test-Output-Tokens"
	headerRateLimit = "Test-Rate-Limit"
	headerResumes   = "Test-Resumes"
	headerLeaving   = "Test-Leaving"
	headerQuiet     = "Test-Quiet"
)

// testProtocol is a minimal aubrelay.Protocol.
type testProtocol struct{}

func (testProtocol) DecodeCall(r *http.Request) (aubrelay.Call, error) {
	call := aubrelay.Call{ID: r.Header.Get(headerID), Key: r.Header.Get(headerKey), LastEventID: aubrelay.NoEventID}
	if call.ID == "" {
		return call, errors.New("no id")
	}
	if tokens, err := strconv.ParseInt(r.Header.Get(headerOutput), 10, 64); err == nil {
		call.OutputTokens = tokens
	}
	if last, err := strconv.ParseInt(r.Header.Get(headerLastEvent), 10, 64); err == nil {
		call.LastEventID, call.Resumes = last, r.Header.Get(headerResumes)
	}
	if wait, err := time.ParseDuration(r.Header.Get(headerWait)); err == nil {
		call.Timeout = wait
	}
	return call, nil
}

func (testProtocol) EncodeAttempt(header http.Header, attempt aubrelay.Attempt) {
	header.Del(headerKey)
	header.Set(headerBackend, attempt.Backend)
	header.Set(headerWorkspace, attempt.Workspace)
	header.Del(headerLastEvent)
	if attempt.LastEventID != aubrelay.NoEventID {
		header.Set(headerLastEvent, strconv.FormatInt(attempt.LastEventID, 10))
	}
}

func (testProtocol) DecodeResponse(status int, header http.Header) aubrelay.BackendResponse {
	isMisdirected := status == http.StatusMisdirectedRequest
	resp := aubrelay.BackendResponse{
		CallID: header.Get(headerID), Signed: header.Get(headerSigned) != "",
		NotRun: isMisdirected || header.Get(headerNotRun) != "", Misdirected: isMisdirected,
	}
	if limit, err := strconv.ParseFloat(header.Get(headerRateLimit), 64); err == nil {
		resp.RateLimit = auboption.Some(limit)
	}
	resp.Leaving = header.Get(headerLeaving) != ""
	resp.RetryAfter, _ = time.ParseDuration(header.Get(headerQuiet))
	return resp
}

func (testProtocol) WriteRefusal(w http.ResponseWriter, _ string, refusal aubrelay.Refusal) {
	w.Header().Set(headerCode, string(refusal.Code))
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", refusal.RetryAfter.String())
	}
	w.WriteHeader(refusal.Status)
}

// behavior handles one request at a stand-in backend server.
type behavior func(b *backend, w http.ResponseWriter, r *http.Request)

// backend is a stand-in backend server. It handles each request with the next of its
// behaviors, and with respondOK when none is left.
type backend struct {
	id     string
	server *httptest.Server

	mu        sync.Mutex
	behaviors []behavior
	// runs holds the ids of the requests that started to run.
	runs    []string
	headers []http.Header
	// requests holds method, URI and body of each request.
	requests []string
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	b.mu.Lock()
	handle := respondOK
	if len(b.behaviors) > 0 {
		handle, b.behaviors = b.behaviors[0], b.behaviors[1:]
	}
	b.headers = append(b.headers, r.Header.Clone())
	b.requests = append(b.requests, r.Method+" "+r.RequestURI+" "+string(body))
	b.mu.Unlock()
	handle(b, w, r)
}

// recordRun records that the request started to run.
func (b *backend) recordRun(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = append(b.runs, r.Header.Get(headerID))
}

// setHeaders sets the headers of a valid response.
func (b *backend) setHeaders(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerID, r.Header.Get(headerID))
	w.Header().Set(headerSigned, b.id)
}

func respondOK(b *backend, w http.ResponseWriter, r *http.Request) {
	b.recordRun(r)
	b.setHeaders(w, r)
	if strings.HasPrefix(r.URL.Path, "/stream") {
		writeEvents(w, firstEventID(r), finalEventID+1)
		return
	}
	fmt.Fprintf(w, "answer to %s", r.Header.Get(headerID))
}

// finalEventID is the id of the last event of every complete stream.
const finalEventID = 4

// firstEventID returns the id of the first event that the request asks for.
func firstEventID(r *http.Request) int {
	if last, err := strconv.Atoi(r.Header.Get(headerLastEvent)); err == nil {
		return last + 1
	}
	return 0
}

func writeEvents(w http.ResponseWriter, from, to int) {
	for i := from; i < to; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

func completeStream() string {
	var stream strings.Builder
	for i := range finalEventID + 1 {
		fmt.Fprintf(&stream, "id: %d\ndata: %d\n\n", i, i)
	}
	return stream.String()
}

// refuseNotRun states that the request did not run. Backend servers name the request in each
// response.
func refuseNotRun(_ *backend, w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerID, r.Header.Get(headerID))
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func respondError(b *backend, w http.ResponseWriter, r *http.Request) {
	b.recordRun(r)
	b.setHeaders(w, r)
	w.WriteHeader(http.StatusInternalServerError)
}

// dropResponse closes the connection without a response.
func dropResponse(b *backend, _ http.ResponseWriter, r *http.Request) {
	b.recordRun(r)
	panic(http.ErrAbortHandler)
}

func respondToAnother(b *backend, w http.ResponseWriter, r *http.Request) {
	b.recordRun(r)
	b.setHeaders(w, r)
	w.Header().Set(headerID, "another")
	fmt.Fprint(w, "answer to another")
}

func respondUnsigned(b *backend, w http.ResponseWriter, r *http.Request) {
	b.recordRun(r)
	w.Header().Set(headerID, r.Header.Get(headerID))
	fmt.Fprint(w, "answer")
}

func truncateBody(b *backend, w http.ResponseWriter, r *http.Request) {
	b.recordRun(r)
	b.setHeaders(w, r)
	w.Header().Set("Content-Length", "100")
	fmt.Fprint(w, "half of an ans")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func respondGarbage(b *backend, w http.ResponseWriter, r *http.Request) {
	b.recordRun(r)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprint(conn, "not an HTTP response\r\n\r\n")
}

// respondTwice sends a second response on the same connection.
func respondTwice(b *backend, w http.ResponseWriter, r *http.Request) {
	b.recordRun(r)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	text := "answer to " + r.Header.Get(headerID)
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: x\r\nContent-Length: %d\r\n\r\n%s",
		headerID, r.Header.Get(headerID), headerSigned, len(text), text)
	fmt.Fprint(conn, response+response)
	time.Sleep(100 * time.Millisecond)
}

// truncateStream closes the connection within an event.
func truncateStream(b *backend, w http.ResponseWriter, r *http.Request) {
	b.recordRun(r)
	b.setHeaders(w, r)
	writeEvents(w, firstEventID(r), 2)
	fmt.Fprint(w, "id: 2\nda")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func skipEvent(b *backend, w http.ResponseWriter, r *http.Request) {
	b.recordRun(r)
	b.setHeaders(w, r)
	writeEvents(w, 0, 2)
	writeEvents(w, 3, finalEventID+1)
}

func repeatEvent(b *backend, w http.ResponseWriter, r *http.Request) {
	b.recordRun(r)
	b.setHeaders(w, r)
	writeEvents(w, 0, 2)
	writeEvents(w, 1, finalEventID+1)
}

func stallUntilCanceled(b *backend, _ http.ResponseWriter, r *http.Request) {
	b.recordRun(r)
	<-r.Context().Done()
}

// relayFixture is a relay with stand-in backend servers.
type relayFixture struct {
	t        *testing.T
	backends map[string]*backend
	registry *aubregistry.Registry
	server   *httptest.Server
	site     *siteSource
	handler  *aubrelay.Handler
	logs     *observer.ObservedLogs
	scope    tally.TestScope
	poison   *aubpoison.Table
	// streams holds the origins that control processes know, coverage is how many of them
	// answer.
	streams  map[string]*aubwire.StreamOrigin
	coverage aubresume.Coverage
	// committed holds the software versions that control processes state.
	committed []*aubwire.SoftwareSeen
	// regions holds the regions of the zones.
	regions map[string]string
	// hasZoneDrains is set once the relay knows the drained zones.
	hasZoneDrains atomic.Bool
	// isOutdated is set while the relay may not know the newest incarnations.
	isOutdated atomic.Bool
	// bytesRead counts what the relay has read from backend servers.
	bytesRead atomic.Int64
	// examineDelay, in nanoseconds, delays the crash detector.
	examineDelay atomic.Int64
	// examined counts the dials of the crash detector.
	examined atomic.Int64
	// onMeasure is called between the choice of a backend server and the decision whether it has
	// room; nil for none.
	onMeasure atomic.Pointer[func()]
	// dialBackend replaces the dial of connections for requests; nil for that of a usual one.
	dialBackend atomic.Pointer[func(ctx context.Context, network, address string) (net.Conn, error)]
}

// countingConn adds the bytes that are read from a connection to a counter.
type countingConn struct {
	net.Conn
	bytesRead *atomic.Int64
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytesRead.Add(int64(n))
	return n, err
}

// dial opens a connection whose bytes are counted.
func (fixture *relayFixture) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if dial := fixture.dialBackend.Load(); dial != nil {
		return (*dial)(ctx, network, address)
	}
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, bytesRead: &fixture.bytesRead}, nil
}

// dialToExamine is the dial of the crash detector, which begins after examineDelay.
func (fixture *relayFixture) dialToExamine(ctx context.Context, network, address string) (net.Conn, error) {
	time.Sleep(time.Duration(fixture.examineDelay.Load()))
	defer fixture.examined.Add(1)
	return fixture.dial(ctx, network, address)
}

// siteSource is an aubrelay.SiteSource that the test sets.
type siteSource struct {
	mu   sync.Mutex
	site *aubsite.Site
	// newest is the number of the newest announced configuration.
	newest uint64
	// outdatedFor is how long ago it was announced.
	outdatedFor time.Duration
}

func (s *siteSource) OutdatedFor(number uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number >= s.newest {
		return 0
	}
	return s.outdatedFor
}

func (s *siteSource) IsNewest(number uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return number >= s.newest
}

func (s *siteSource) Site() *aubsite.Site {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.site
}

// routeTimeout is the timeout of most routes. unhurriedTimeout is one that no request of a test
// without a stalled attempt reaches, also beside other load.
const (
	routeTimeout     = 400 * time.Millisecond
	unhurriedTimeout = 30 * time.Second
)

// newSite returns a configuration with one route for each kind of test request. The
// route nowhere has a service without backend servers.
func newSite(t *testing.T, timeout time.Duration) *aubsite.Site {
	target := []aubsite.Target{{Service: "s", Weight: 1}}
	route := func(name string, kind aubsite.RouteKind, change func(*aubsite.Route)) aubsite.Route {
		r := aubsite.Route{
			Name: name, Host: "127.0.0.1", Prefix: "/" + name + "/", Kind: kind, Timeout: timeout,
			Objective: time.Second, Targets: target, MaxAttempts: 2,
		}
		if change != nil {
			change(&r)
		}
		return r
	}
	site, err := aubsite.New(aubsite.Spec{
		Number:   1,
		Services: []aubsite.Service{{Name: "s"}, {Name: "none"}},
		Routes: []aubsite.Route{
			route("read", aubsite.KindIdempotent, nil),
			route("write", aubsite.KindNonIdempotent, nil),
			route("stream", aubsite.KindStream, func(r *aubsite.Route) { r.Resumable = true }),
			route("stream-once", aubsite.KindStream, nil),
			route("long-stream", aubsite.KindStream, func(r *aubsite.Route) { r.Resumable, r.Timeout = true, 2*time.Second }),
			route("long-stream-once", aubsite.KindStream, func(r *aubsite.Route) { r.Timeout = 2 * time.Second }),
			route("open", aubsite.KindIdempotent, func(r *aubsite.Route) { r.Anonymous = true }),
			route("nowhere", aubsite.KindIdempotent, func(r *aubsite.Route) { r.Targets = []aubsite.Target{{Service: "none", Weight: 1}} }),
		},
		Workspaces: []aubsite.Workspace{
			{Name: "w", Keys: []string{"key"}},
			{Name: "small", Keys: []string{"small"}, Rate: 1, Burst: 1},
		},
	})
	qt.Assert(t, err, qt.IsNil)
	return site
}

// coldTime and coldRate are how long backend servers are cold after a start, if they say so, and
// the requests per second that they tolerate then.
const (
	coldTime = 1500 * time.Millisecond
	coldRate = 4.0
)

// newRelayFixture starts a relay and the named backend servers, which state no software
// version.
func newRelayFixture(t *testing.T, names ...string) *relayFixture {
	versions := make(map[string]string)
	for _, name := range names {
		versions[name] = ""
	}
	return newRelayFixtureWithSoftware(t, versions)
}

// newRelayFixtureWithSoftware starts a relay and backend servers with the software versions.
func newRelayFixtureWithSoftware(t *testing.T, versions map[string]string) *relayFixture {
	return newRelayFixtureWithWrites(t, versions, aubrelay.WriteOpts{})
}

// newRelayFixtureWithWrites also bounds what slow callers hold.
func newRelayFixtureWithWrites(t *testing.T, versions map[string]string, writes aubrelay.WriteOpts) *relayFixture {
	core, logs := observer.New(zap.InfoLevel)
	scope := tally.NewTestScope("", nil)
	common := aubcommon.NewCommon(aubtimer.NewReal()).WithLog(zap.New(core)).WithMetrics(scope)
	fixture := &relayFixture{
		t: t, logs: logs, scope: scope, backends: make(map[string]*backend), site: &siteSource{site: newSite(t, routeTimeout)},
		registry: aubregistry.NewRegistry(common, time.Minute),
	}
	for i, name := range slices.Sorted(maps.Keys(versions)) {
		b := &backend{id: name}
		b.server = httptest.NewServer(b)
		t.Cleanup(b.server.Close)
		fixture.backends[name] = b
		fixture.registry.Register(&aubwire.BackendRecord{
			Id: name, Service: "s", Address: b.server.Listener.Addr().String(), StartedMs: int64(i + 1), Sequence: 1,
			State: aubwire.BackendState_BACKEND_STATE_READY, Software: versions[name],
		})
	}
	throttle := aubthrottle.New(common, aubthrottle.Opts{ColdRate: func(string) (time.Duration, float64) { return coldTime, coldRate }})
	fixture.registry.ObserveRegistrations(throttle.ObserveRegistration)
	router, err := aubroute.NewRouter(common, aubroute.RouterOpts{
		Source: fixture.registry, RetryShare: 1, RetryBurst: 1000,
		Throttle: func(member string, incarnation uint64) time.Duration {
			return throttle.Wait(aubthrottle.Backend{Name: member, Incarnation: incarnation})
		},
		RegionOf: func(zone string) string { return fixture.regions[zone] },
	})
	qt.Assert(t, err, qt.IsNil)
	fixture.hasZoneDrains.Store(true)
	fixture.poison = aubpoison.NewTable()
	guard := aubpoison.NewGuard(t.Context(), common, fixture.poison, newApplyFunc(fixture.poison))
	fixture.handler = aubrelay.NewHandler(t.Context(), common, aubrelay.HandlerOpts{
		Protocol: testProtocol{}, Site: fixture.site, ActivationTimeout: activationTimeout, Registry: fixture.registry, Router: router, Demand: aubrelay.NewDemandCounter(common),
		Limiter: aublimit.NewSharedCounters(common, aublimit.CountersOpts{Limits: func(string) (int64, int64, bool) { return 1, 1, true }}),
		CopyRequester: aubrelay.NewCopyRequester(common, fixture.registry, func(context.Context, *aubwire.PlaceRequest) (*aubwire.PlaceResponse, error) {
			return nil, errors.New("no control process")
		}),
		Guard:      guard,
		RegionOf:   func(zone string) string { return fixture.regions[zone] },
		Deferrable: aubsite.NewDeferrableCheck(8),
		LoadAge:    fixture.loadAge,
		Throttle:   throttle, HasZoneDrains: fixture.hasZoneDrains.Load,
		IsCurrent: func() bool { return !fixture.isOutdated.Load() },
		Streams:   aubresume.NewResolver(common, aubresume.NewRecorder(common.Timer), fixture.findStream, fixture.registry.SoftwareVersions),
		Crashes: aubrelay.NewCrashDetector(t.Context(), common, aubrelay.CrashDetectorOpts{
			Registry: fixture.registry, Dial: fixture.dialToExamine, OnCrash: guard.ReportCrash,
		}),
		Dial: fixture.dial, Writes: writes,
	})
	fixture.server = httptest.NewServer(fixture.handler)
	t.Cleanup(fixture.server.Close)
	return fixture
}

// loadAge is the LoadAge of a relay without others.
func (fixture *relayFixture) loadAge() (time.Duration, bool) {
	if onMeasure := fixture.onMeasure.Load(); onMeasure != nil {
		(*onMeasure)()
	}
	return 0, true
}

func (fixture *relayFixture) findStream(_ context.Context, callID string, _ []string) aubresume.Answer {
	return aubresume.Answer{Origin: fixture.streams[callID], Coverage: fixture.coverage, Software: fixture.committed}
}

// newApplyFunc returns a function that applies commands to the table at once.
func newApplyFunc(table *aubpoison.Table) aubpoison.ApplyFunc {
	startedAt := time.Now()
	var index atomic.Uint64
	return func(_ context.Context, command *aubwire.PoisonCommand) (*aubwire.PoisonResult, error) {
		body, err := proto.Marshal(command)
		if err != nil {
			return nil, err
		}
		result := &aubwire.PoisonResult{}
		err = proto.Unmarshal(table.Apply(aubcontrol.Command{Index: index.Add(1), Clock: time.Since(startedAt), Body: body}), result)
		return result, err
	}
}

// removeTimeouts gives the routes the timeout unhurriedTimeout.
func (fixture *relayFixture) removeTimeouts() {
	fixture.site.mu.Lock()
	defer fixture.site.mu.Unlock()
	fixture.site.site = newSite(fixture.t, unhurriedTimeout)
}

// setBehaviors sets how every backend server handles its next requests.
func (fixture *relayFixture) setBehaviors(behaviors ...behavior) {
	for _, b := range fixture.backends {
		b.mu.Lock()
		b.behaviors = append([]behavior(nil), behaviors...)
		b.mu.Unlock()
	}
}

// countRuns returns how often the request ran on all backend servers together.
func (fixture *relayFixture) countRuns(id string) int {
	n := 0
	for _, b := range fixture.backends {
		b.mu.Lock()
		for _, run := range b.runs {
			if run == id {
				n++
			}
		}
		b.mu.Unlock()
	}
	return n
}

// callResult is the response that a caller received.
type callResult struct {
	status int
	header http.Header
	body   string
	// isBroken is set if there was no response or an incomplete one.
	isBroken bool
}

// maxKeptBytes is the part of a response's body that a caller keeps.
const maxKeptBytes = 4 << 20

// call sends a request with the id and a valid key; change may modify it.
func (fixture *relayFixture) call(method, path, id string, change func(*http.Request)) callResult {
	fixture.t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, fixture.server.URL+path, strings.NewReader("body of "+id))
	qt.Assert(fixture.t, err, qt.IsNil)
	req.Header.Set(headerID, id)
	req.Header.Set(headerKey, "key")
	if change != nil {
		change(req)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callResult{isBroken: true}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxKeptBytes))
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	return callResult{status: resp.StatusCode, header: resp.Header, body: string(body), isBroken: err != nil}
}
