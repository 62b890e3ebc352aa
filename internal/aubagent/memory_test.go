package aubagent_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/auburndale/auburndale/internal/aubagent"
	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubengine"
	"github.com/auburndale/auburndale/internal/aubstandin"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// Manual times of the memory tests. Late and doubled orders are executed one
// step after they were sent, well within their lifetime.
const (
	step         = 100 * time.Millisecond
	lifetime     = 5 * step
	pollInterval = 10 * time.Millisecond
)

// memoryFixture is an engine whose agents are killed and restarted. The engine's own
// record of its peak memory is what tests read.
type memoryFixture struct {
	t           testing.TB
	timer       *aubtimer.Manual
	common      aubcommon.Common
	engine      *aubstandin.Engine
	opts        aubagent.AgentOpts
	agent       *aubagent.Agent
	cancelAgent context.CancelFunc
	// loadGate, when set, keeps load orders from the engine until it is closed.
	loadGate atomic.Pointer[chan struct{}]
	// failLoadResponses has load orders executed and answered by an error.
	failLoadResponses atomic.Bool
	fence             uint64
	floor             uint64
	incarnation       uint64
}

type memoryFixtureOpts struct {
	checksFence bool
	dataDir     string
	loadTime    time.Duration
}

// cleanupRegistrar is the part of testing.T that rapid's T has too.
type cleanupRegistrar interface {
	Cleanup(func())
}

func newMemoryFixture(t testing.TB, registrar cleanupRegistrar, opts memoryFixtureOpts) *memoryFixture {
	ctx, cancel := context.WithCancel(context.Background())
	f := &memoryFixture{t: t, timer: aubtimer.NewManual(time.Unix(1000, 0)), fence: 1}
	f.common = aubcommon.NewCommon(f.timer)
	f.engine = aubstandin.NewEngine(ctx, f.common, aubstandin.EngineOpts{
		MemoryBytes: 100,
		LoadTime:    opts.loadTime,
		ChecksFence: opts.checksFence,
	})
	server := httptest.NewServer(f.interceptLoads(f.engine.Handler()))
	registrar.Cleanup(func() {
		f.stop()
		cancel()
		server.Close()
	})
	f.opts = aubagent.AgentOpts{
		Name:              "worker-1",
		EngineURL:         server.URL,
		MemoryBytes:       100,
		DataDir:           opts.dataDir,
		EngineChecksFence: opts.checksFence,
		OrderLifetime:     lifetime,
		Poll:              pollInterval,
		LoadingPoll:       pollInterval,
	}
	f.restart()
	return f
}

func (f *memoryFixture) interceptLoads(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.failLoadResponses.Load() && r.URL.Path == aubengine.PathLoad {
			next.ServeHTTP(httptest.NewRecorder(), r)
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		if gate := f.loadGate.Load(); gate != nil && r.URL.Path == aubengine.PathLoad {
			<-*gate
		}
		next.ServeHTTP(w, r)
	})
}

// stop ends the agent. In one process, its goroutine has to be waited for.
func (f *memoryFixture) stop() {
	f.cancelAgent()
	<-f.agent.Done()
}

// restart kills the agent and starts its next incarnation, with a floor above
// every fence that was used.
func (f *memoryFixture) restart() {
	if f.cancelAgent != nil {
		f.stop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancelAgent = cancel
	f.incarnation++
	f.fence++
	f.floor = f.fence
	opts := f.opts
	opts.Incarnation = f.incarnation
	opts.FloorFence = fixedFloor(f.floor)
	agent, err := aubagent.NewAgent(ctx, f.common, opts)
	qt.Assert(f.t, err, qt.IsNil)
	f.agent = agent
}

// advance lets late orders arrive and the agent look at its engine.
func (f *memoryFixture) advance(d time.Duration) {
	for ; d > 0; d -= step {
		f.timer.Advance(step)
		f.awaitDueOrders()
		f.runAgentCycles()
	}
}

// awaitDueOrders waits until the orders that are due are executed.
func (f *memoryFixture) awaitDueOrders() {
	eventually(f.t, "due orders executed", func() bool {
		next := f.engine.Stats().NextOrderAt
		return next.IsZero() || next.After(f.timer.Now())
	})
}

// runAgentCycles gives the agent a few rounds.
func (f *memoryFixture) runAgentCycles() {
	for range 3 {
		time.Sleep(time.Millisecond)
		f.timer.Advance(pollInterval)
		f.awaitDueOrders()
	}
	time.Sleep(time.Millisecond)
}

func (f *memoryFixture) sendOrder(req *aubwire.OrderRequest) aubwire.OrderOutcome {
	req.AgentIncarnation = f.agent.Incarnation()
	resp, err := f.agent.Order(context.Background(), req)
	qt.Assert(f.t, err, qt.IsNil)
	return resp.GetOutcome()
}

// sendUntilAccepted sends an order until the agent accepts it, or fails the test.
func (f *memoryFixture) sendUntilAccepted(req *aubwire.OrderRequest) {
	var outcome aubwire.OrderOutcome
	for range 200 {
		if outcome = f.sendOrder(req); outcome == aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED {
			return
		}
		f.advance(step)
	}
	f.t.Fatalf("order for %s never accepted: %v", req.GetName(), outcome)
}

// replaceItem orders an item to go, also when it comes late, until another is accepted.
func (f *memoryFixture) replaceItem(oldName, newName string, bytes int64) {
	for range 200 {
		f.sendOrder(unloadOrder(f.fence, oldName))
		if f.sendOrder(loadOrder(f.fence, newName, bytes)) == aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED {
			return
		}
		f.advance(step)
	}
	f.t.Fatalf("%s never replaced %s", newName, oldName)
}

func (f *memoryFixture) awaitReady(name string) {
	for range 200 {
		for _, r := range f.agent.Report().GetResident() {
			if r.GetName() == name && r.GetState() == aubwire.Residency_RESIDENCY_READY {
				return
			}
		}
		f.advance(step)
	}
	f.t.Fatalf("%s never ready", name)
}

func (f *memoryFixture) checkMemory() {
	stats := f.engine.Stats()
	qt.Assert(f.t, stats.Overcommitted, qt.IsFalse, qt.Commentf("peak %d of 100", stats.MemoryPeak))
}

func forEachEngineKind(t *testing.T, run func(t *testing.T, opts memoryFixtureOpts)) {
	for _, checksFence := range []bool{true, false} {
		for _, withJournal := range []bool{true, false} {
			name := map[bool]string{true: "fence checked", false: "fence ignored"}[checksFence] +
				map[bool]string{true: ", journal", false: ", no journal"}[withJournal]
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				opts := memoryFixtureOpts{checksFence: checksFence, loadTime: step}
				if withJournal {
					opts.dataDir = t.TempDir()
				}
				run(t, opts)
			})
		}
	}
}

// TestMemoryUnderOrderFaults loads a small item, lets a fault strike at the order for
// a large one, then asks for another large one.
func TestMemoryUnderOrderFaults(t *testing.T) {
	t.Parallel()
	delay := step.Milliseconds()
	tests := []struct {
		name    string
		faults  aubstandin.Faults
		restart bool
		// reload asks for the large item to go before the other one comes.
		reload bool
	}{
		{name: "order lost", faults: aubstandin.Faults{LoseOrders: 1}},
		{name: "order late", faults: aubstandin.Faults{LateOrders: 1, OrderDelayMS: delay}},
		{name: "two orders late", faults: aubstandin.Faults{LateOrders: 2, OrderDelayMS: delay}},
		{name: "answer lost", faults: aubstandin.Faults{LoseOrderAnswers: 1}},
		{name: "load fails half way", faults: aubstandin.Faults{FailLoads: 1}},
		{
			name:   "load fails and its double comes late",
			faults: aubstandin.Faults{FailLoads: 1, DoubleOrders: 1, OrderDelayMS: delay},
		},
		{
			name:   "double comes after the unload",
			faults: aubstandin.Faults{DoubleOrders: 1, OrderDelayMS: 3 * delay},
			reload: true,
		},
		{
			name:    "agent killed before the order arrives",
			faults:  aubstandin.Faults{LateOrders: 1, OrderDelayMS: delay},
			restart: true,
		},
		{name: "agent killed before the answer", faults: aubstandin.Faults{LoseOrderAnswers: 1}, restart: true},
		{
			name:    "agent killed and the order doubled",
			faults:  aubstandin.Faults{DoubleOrders: 1, OrderDelayMS: 3 * delay},
			restart: true,
			reload:  true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			forEachEngineKind(t, func(t *testing.T, opts memoryFixtureOpts) {
				f := newMemoryFixture(t, t, opts)
				f.sendUntilAccepted(loadOrder(f.fence, "small", 10))
				f.engine.SetFaults(test.faults)
				f.sendOrder(loadOrder(f.fence, "large", 60))
				if test.restart {
					f.restart()
				}
				for range 2 {
					f.sendOrder(loadOrder(f.fence, "other", 60))
					f.runAgentCycles()
				}
				if test.reload {
					f.sendUntilAccepted(loadOrder(f.fence, "large", 60))
					f.awaitReady("large")
				}
				f.replaceItem("large", "other", 60)
				f.awaitReady("other")
				f.advance(lifetime)
				f.checkMemory()
			})
		})
	}
}

// TestTwoDelayedOrders has nothing sent after them that would outrank the first.
func TestTwoDelayedOrders(t *testing.T) {
	forEachEngineKind(t, func(t *testing.T, opts memoryFixtureOpts) {
		f := newMemoryFixture(t, t, opts)
		f.sendUntilAccepted(loadOrder(f.fence, "small", 10))
		f.engine.SetFaults(aubstandin.Faults{LateOrders: 2, OrderDelayMS: step.Milliseconds()})
		f.sendOrder(loadOrder(f.fence, "large", 60))
		f.runAgentCycles()
		f.sendOrder(loadOrder(f.fence, "other", 60))
		// In small steps, so that the two arrive one after the other.
		for range lifetime / pollInterval {
			f.runAgentCycles()
		}
		f.checkMemory()
	})
}

// TestExecutedOrderWithErrorResponse has an engine execute an order and then fail to say so.
func TestExecutedOrderWithErrorResponse(t *testing.T) {
	forEachEngineKind(t, func(t *testing.T, opts memoryFixtureOpts) {
		f := newMemoryFixture(t, t, opts)
		f.sendUntilAccepted(loadOrder(f.fence, "small", 10))
		f.failLoadResponses.Store(true)
		qt.Assert(t, f.sendOrder(loadOrder(f.fence, "large", 60)), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_UNCERTAIN)
		f.failLoadResponses.Store(false)
		qt.Assert(t, f.sendOrder(loadOrder(f.fence, "other", 60)), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_NO_MEMORY)
		f.checkMemory()
	})
}

// TestOrderSlowerThanOrderLifetime holds an order on its way for longer than orders live.
func TestOrderSlowerThanOrderLifetime(t *testing.T) {
	forEachEngineKind(t, func(t *testing.T, opts memoryFixtureOpts) {
		f := newMemoryFixture(t, t, opts)
		f.sendUntilAccepted(loadOrder(f.fence, "small", 10))
		gate := make(chan struct{})
		f.loadGate.Store(&gate)
		release := sync.OnceFunc(func() {
			f.loadGate.Store(nil)
			close(gate)
		})
		defer release()
		outcome := make(chan aubwire.OrderOutcome, 1)
		go func() {
			resp, _ := f.agent.Order(context.Background(), &aubwire.OrderRequest{
				Fence:            f.fence,
				AgentIncarnation: f.agent.Incarnation(),
				Action:           aubwire.OrderAction_ORDER_ACTION_LOAD,
				Name:             "large",
				MemoryBytes:      60,
			})
			outcome <- resp.GetOutcome()
		}()
		eventually(t, "order on its way", func() bool { return f.agent.Report().GetMemoryUsedBytes() == 70 })
		f.advance(lifetime + step)
		qt.Assert(t, f.agent.Report().GetMemoryUsedBytes(), qt.Equals, int64(70))
		release()
		qt.Assert(t, <-outcome, qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED)
		qt.Assert(t, f.sendOrder(loadOrder(f.fence, "other", 60)), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_NO_MEMORY)
		f.awaitReady("large")
		f.checkMemory()
	})
}

func TestUnloadIsResentUntilExecuted(t *testing.T) {
	forEachEngineKind(t, func(t *testing.T, opts memoryFixtureOpts) {
		f := newMemoryFixture(t, t, opts)
		f.sendUntilAccepted(loadOrder(f.fence, "large", 60))
		f.awaitReady("large")
		f.engine.SetFaults(aubstandin.Faults{LoseOrders: 2})
		qt.Assert(t, f.sendOrder(unloadOrder(f.fence, "large")), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_UNCERTAIN)
		qt.Assert(t, f.sendOrder(loadOrder(f.fence, "other", 60)), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_NO_MEMORY)
		f.sendUntilAccepted(loadOrder(f.fence, "other", 60))
		f.awaitReady("other")
		qt.Assert(t, f.engine.Stats().Unloads, qt.Equals, 1)
		f.checkMemory()
	})
}

func TestOrdersOfEarlierLeaders(t *testing.T) {
	forEachEngineKind(t, func(t *testing.T, opts memoryFixtureOpts) {
		f := newMemoryFixture(t, t, opts)
		f.sendUntilAccepted(loadOrder(f.fence+1, "first", 50))
		staleFence := f.fence
		qt.Assert(t, f.sendOrder(loadOrder(staleFence, "late", 50)), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_STALE_FENCE)
		qt.Assert(t, f.sendOrder(unloadOrder(staleFence, "first")), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_STALE_FENCE)
		f.fence++

		previousAgent := f.agent
		f.restart()
		f.sendUntilAccepted(loadOrder(f.fence, "second", 50))
		qt.Assert(t, f.sendOrder(loadOrder(staleFence, "late", 50)), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_STALE_FENCE)
		misdirected := loadOrder(f.fence, "late", 50)
		misdirected.AgentIncarnation = previousAgent.Incarnation()
		resp, err := f.agent.Order(context.Background(), misdirected)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.GetOutcome(), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_WRONG_INCARNATION)
		if opts.checksFence {
			// The agent before wakes up; only the engine can tell.
			_, err = previousAgent.Order(context.Background(), &aubwire.OrderRequest{
				Fence:            f.fence - 1,
				AgentIncarnation: previousAgent.Incarnation(),
				Action:           aubwire.OrderAction_ORDER_ACTION_LOAD,
				Name:             "late",
				MemoryBytes:      50,
			})
			qt.Assert(t, err, qt.IsNil)
		}
		f.advance(lifetime)
		f.checkMemory()
	})
}

func TestNoOrderAcceptedBeforeFenceFloor(t *testing.T) {
	forEachEngineKind(t, func(t *testing.T, opts memoryFixtureOpts) {
		f := newMemoryFixture(t, t, opts)
		f.opts.DataDir = ""
		floorKnown := make(chan struct{})
		f.stop()
		ctx, cancel := context.WithCancel(context.Background())
		f.cancelAgent = cancel
		agentOpts := f.opts
		agentOpts.Incarnation = 99
		agentOpts.FloorFence = func(context.Context, uint64) (uint64, error) {
			select {
			case <-floorKnown:
				return 7, nil
			default:
				return 0, errors.New("log not reached")
			}
		}
		agent, err := aubagent.NewAgent(ctx, f.common, agentOpts)
		qt.Assert(t, err, qt.IsNil)
		f.agent = agent
		f.advance(lifetime)
		qt.Assert(t, f.sendOrder(loadOrder(8, "m", 10)), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_NOT_READY)
		close(floorKnown)
		f.advance(2 * lifetime)
		qt.Assert(t, f.sendOrder(loadOrder(6, "m", 10)), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_STALE_FENCE)
		f.sendUntilAccepted(loadOrder(8, "m", 10))
	})
}

// TestMemoryNeverOvercommitted drives random orders, faults and restarts.
func TestMemoryNeverOvercommitted(t *testing.T) {
	t.Parallel()
	for _, checksFence := range []bool{true, false} {
		t.Run(map[bool]string{true: "fence checked", false: "fence ignored"}[checksFence], func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) {
				opts := memoryFixtureOpts{checksFence: checksFence, loadTime: rapid.SampledFrom([]time.Duration{0, step}).Draw(rt, "load time")}
				if rapid.Bool().Draw(rt, "journal") {
					opts.dataDir = t.TempDir()
				}
				f := newMemoryFixture(t, rt, opts)
				f.runAgentCycles()
				rt.Repeat(memoryActions(f))
			})
		})
	}
}

func memoryActions(f *memoryFixture) map[string]func(*rapid.T) {
	sizes := map[string]int64{"a": 60, "b": 50, "c": 40, "d": 30}
	names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	faultCount := rapid.IntRange(0, 1)
	return map[string]func(*rapid.T){
		"": func(*rapid.T) { f.checkMemory() },
		"load": func(rt *rapid.T) {
			name := names.Draw(rt, "name")
			f.sendOrder(loadOrder(f.fence, name, sizes[name]))
		},
		"load again": func(rt *rapid.T) {
			name := names.Draw(rt, "name")
			f.sendOrder(loadOrder(f.fence, name, sizes[name]))
		},
		"unload":     func(rt *rapid.T) { f.sendOrder(unloadOrder(f.fence, names.Draw(rt, "name"))) },
		"new leader": func(*rapid.T) { f.fence++ },
		"old leader": func(rt *rapid.T) {
			name := names.Draw(rt, "name")
			f.sendOrder(loadOrder(f.floor-1, name, sizes[name]))
		},
		"restart": func(*rapid.T) { f.restart() },
		"step":    func(*rapid.T) { f.advance(step) },
		"rest":    func(*rapid.T) { f.advance(lifetime) },
		"faults": func(rt *rapid.T) {
			f.engine.SetFaults(aubstandin.Faults{
				LoseOrders:       faultCount.Draw(rt, "lost"),
				LateOrders:       faultCount.Draw(rt, "late"),
				DoubleOrders:     faultCount.Draw(rt, "doubled"),
				LoseOrderAnswers: faultCount.Draw(rt, "answer lost"),
				FailLoads:        faultCount.Draw(rt, "failing"),
				OrderDelayMS:     step.Milliseconds(),
			})
		},
	}
}
