package aubrelay_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubrelay"
	"github.com/auburndale/auburndale/internal/aubsite"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// admissionSlots are the slots of the stand-in backend server.
const admissionSlots = 2

// newAdmissionFixture starts a relay that admits requests by their objectives and a backend server
// with slots. The objectives of its routes differ by a factor of 16.
func newAdmissionFixture(t *testing.T) *relayFixture {
	fixture := newRelayFixture(t, "b1")
	target := []aubsite.Target{{Service: "s", Weight: 1}}
	site, err := aubsite.New(aubsite.Spec{
		Number: 2, Services: []aubsite.Service{{Name: "s"}},
		Routes: []aubsite.Route{
			{
				Name: "urgent", Host: "127.0.0.1", Prefix: "/urgent/", Kind: aubsite.KindIdempotent, Timeout: 5 * time.Second,
				Objective: 250 * time.Millisecond, Targets: target, MaxAttempts: 1,
			},
			{
				Name: "deferrable", Host: "127.0.0.1", Prefix: "/deferrable/", Kind: aubsite.KindIdempotent, Timeout: 10 * time.Second,
				Objective: 4 * time.Second, Priority: 2, Targets: target, MaxAttempts: 1,
			},
		},
		Workspaces: []aubsite.Workspace{{Name: "w", Keys: []string{"key"}}},
	})
	qt.Assert(t, err, qt.IsNil)
	fixture.site.mu.Lock()
	fixture.site.site, fixture.site.newest = site, 2
	fixture.site.mu.Unlock()
	fixture.registry.Register(&aubwire.BackendRecord{
		Id: "b1", Service: "s", Address: fixture.backends["b1"].server.Listener.Addr().String(), StartedMs: 1, Sequence: 2,
		State: aubwire.BackendState_BACKEND_STATE_READY, Slots: admissionSlots,
	})
	return fixture
}

// slowServer runs admissionSlots requests at a time, each for the duration.
func slowServer(duration time.Duration) behavior {
	slots := make(chan struct{}, admissionSlots)
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		slots <- struct{}{}
		defer func() { <-slots }()
		time.Sleep(duration)
		respondOK(b, w, r)
	}
}

// repeated returns the behavior n times.
func repeated(handle behavior, n int) []behavior {
	behaviors := make([]behavior, n)
	for i := range behaviors {
		behaviors[i] = handle
	}
	return behaviors
}

// TestRequestThatWouldBeLateIsRefused guards against requests that wait at a full backend server
// until they are late. The refusal must come at once and the request must not run.
func TestRequestThatWouldBeLateIsRefused(t *testing.T) {
	fixture := newAdmissionFixture(t)
	fixture.setBehaviors(repeated(slowServer(100*time.Millisecond), 200)...)
	for i := range 5 {
		qt.Assert(t, fixture.call(http.MethodGet, "/urgent/x", fmt.Sprintf("idle-%d", i), nil).status, qt.Equals, http.StatusOK)
	}
	var refused, late atomic.Int64
	var group sync.WaitGroup
	for i := range 20 {
		group.Go(func() {
			id, startedAt := fmt.Sprintf("burst-%d", i), time.Now()
			result := fixture.call(http.MethodGet, "/urgent/x", id, nil)
			elapsed := time.Since(startedAt)
			switch {
			case result.header.Get(headerCode) == "objective_unreachable":
				refused.Add(1)
				qt.Check(t, result.status, qt.Equals, http.StatusServiceUnavailable)
				qt.Check(t, result.header.Get("Retry-After") != "", qt.IsTrue)
				qt.Check(t, fixture.countRuns(id), qt.Equals, 0)
			case elapsed > 250*time.Millisecond:
				late.Add(1)
			}
		})
		time.Sleep(2 * time.Millisecond)
	}
	group.Wait()
	// Four of the twenty can be answered within the objective. The rest is refused.
	qt.Check(t, refused.Load() >= 14, qt.IsTrue, qt.Commentf("%d refused", refused.Load()))
	qt.Check(t, late.Load() <= 2, qt.IsTrue, qt.Commentf("%d late", late.Load()))
}

// TestDeferrableRequestWaitsForRoom guards against deferrable requests that take the places of
// urgent ones, and against ones that are lost while they wait.
func TestDeferrableRequestWaitsForRoom(t *testing.T) {
	fixture := newAdmissionFixture(t)
	fixture.setBehaviors(repeated(slowServer(150*time.Millisecond), 200)...)
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			result := fixture.call(http.MethodGet, "/deferrable/x", fmt.Sprintf("d-%d", i), nil)
			qt.Check(t, result.status, qt.Equals, http.StatusOK)
		})
	}
	time.Sleep(50 * time.Millisecond)
	fixture.backends["b1"].mu.Lock()
	sent := len(fixture.backends["b1"].requests)
	fixture.backends["b1"].mu.Unlock()
	qt.Check(t, sent <= admissionSlots+1, qt.IsTrue, qt.Commentf("%d sent at once", sent))
	group.Wait()
}

// TestSimultaneousRequestsShareFreeSlots guards against requests that are sent to the same free slot
// because each of them saw the backend server before the others were sent. Urgent ones then wait there
// behind deferrable ones.
func TestSimultaneousRequestsShareFreeSlots(t *testing.T) {
	const callers = 12
	fixture := newAdmissionFixture(t)
	blocked := make(chan struct{})
	fixture.setBehaviors(repeated(func(b *backend, w http.ResponseWriter, r *http.Request) {
		<-blocked
		respondOK(b, w, r)
	}, callers)...)
	var measured atomic.Int64
	allMeasured := make(chan struct{})
	onMeasure := func() {
		if measured.Add(1) == callers {
			close(allMeasured)
		}
		<-allMeasured
	}
	fixture.onMeasure.Store(&onMeasure)
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			result := fixture.call(http.MethodGet, "/deferrable/x", fmt.Sprintf("d-%d", i), nil)
			qt.Check(t, result.status, qt.Equals, http.StatusOK)
		})
	}
	<-allMeasured
	time.Sleep(100 * time.Millisecond)
	fixture.backends["b1"].mu.Lock()
	sent := len(fixture.backends["b1"].requests)
	fixture.backends["b1"].mu.Unlock()
	qt.Check(t, sent, qt.Equals, admissionSlots)
	close(blocked)
	group.Wait()
}

// TestWaitEndsWithTheCallerAndTheProcess guards against requests that wait on after their caller
// has left or although the process shuts down.
func TestWaitEndsWithTheCallerAndTheProcess(t *testing.T) {
	fixture := newAdmissionFixture(t)
	fixture.setBehaviors(repeated(slowServer(1500*time.Millisecond), 200)...)
	for i := range admissionSlots {
		go fixture.call(http.MethodGet, "/urgent/x", fmt.Sprintf("running-%d", i), nil)
	}
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	left := make(chan callResult, 1)
	go func() {
		left <- fixture.call(http.MethodGet, "/deferrable/x", "left", func(r *http.Request) { *r = *r.WithContext(ctx) })
	}()
	drained := make(chan callResult, 1)
	go func() { drained <- fixture.call(http.MethodGet, "/deferrable/x", "drained", nil) }()
	time.Sleep(100 * time.Millisecond)
	cancel()
	qt.Check(t, (<-left).isBroken, qt.IsTrue)
	startedAt := time.Now()
	fixture.handler.Drain(aubrelay.DrainOpts{NoticedAt: startedAt.Add(time.Second), EndsAt: startedAt.Add(time.Second)})
	result := <-drained
	qt.Check(t, time.Since(startedAt) < 200*time.Millisecond, qt.IsTrue)
	qt.Check(t, result.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, result.header.Get(headerCode), qt.Equals, "shutting_down")
	qt.Check(t, fixture.countRuns("left")+fixture.countRuns("drained"), qt.Equals, 0)
}
