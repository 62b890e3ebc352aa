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

// Times on the manual clock of the memory tests. Delayed and duplicated orders are
// executed one or three steps after they were sent, within the order lifetime.
const (
	timeStep      = 100 * time.Millisecond
	orderLifetime = 5 * timeStep
	pollInterval  = 10 * time.Millisecond
)

// memoryFixture is a stand-in engine with 100 bytes of memory, whose agent is stopped
// and restarted. The tests check the peak memory that the engine itself records.
type memoryFixture struct {
	t           testing.TB
	timer       *aubtimer.Manual
	common      aubcommon.Common
	engine      *aubstandin.Engine
	opts        aubagent.AgentOpts
	agent       *aubagent.Agent
	cancelAgent context.CancelFunc
	// loadGate, if set, blocks load orders before the engine until it is closed.
	loadGate atomic.Pointer[chan struct{}]
	// failLoadResponses replaces the responses to executed load orders by an error.
	failLoadResponses atomic.Bool
	// fence is that of the current control leader, floor the fence floor of the
	// current agent.
	fence       uint64
	floor       uint64
	incarnation uint64
}

type memoryFixtureOpts struct {
	checksFence bool
	dataDir     string
	loadTime    time.Duration
}

// cleanupRegistrar is implemented by testing.T and by rapid.T.
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
		Name:                "worker-1",
		EngineURL:           server.URL,
		MemoryBytes:         100,
		DataDir:             opts.dataDir,
		EngineChecksFence:   opts.checksFence,
		OrderLifetime:       orderLifetime,
		PollInterval:        pollInterval,
		LoadingPollInterval: pollInterval,
	}
	f.restart()
	return f
}

// interceptLoads applies loadGate and failLoadResponses to load orders.
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

// stop stops the agent and waits for its goroutine, which would otherwise overlap
// with the next agent's.
func (f *memoryFixture) stop() {
	f.cancelAgent()
	<-f.agent.Done()
}

// restart stops the agent and starts its next incarnation, with a fence floor above
// every fence used before.
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
	opts.FenceFloor = fixedFloor(f.floor)
	agent, err := aubagent.NewAgent(ctx, f.common, opts)
	qt.Assert(f.t, err, qt.IsNil)
	f.agent = agent
}

// advance moves the clock forward in steps. In each step the engine executes due
// orders and the agent runs a few cycles.
func (f *memoryFixture) advance(d time.Duration) {
	for ; d > 0; d -= timeStep {
		f.timer.Advance(timeStep)
		f.awaitDueOrders()
		f.runAgentCycles()
	}
}

// awaitDueOrders waits until the engine has executed the delayed orders that are due.
func (f *memoryFixture) awaitDueOrders() {
	eventually(f.t, "due orders executed", func() bool {
		next := f.engine.Stats().NextOrderAt
		return next.IsZero() || next.After(f.timer.Now())
	})
}

// runAgentCycles lets the agent run a few cycles.
func (f *memoryFixture) runAgentCycles() {
	for range 3 {
		time.Sleep(time.Millisecond)
		f.timer.Advance(pollInterval)
		f.awaitDueOrders()
	}
	time.Sleep(time.Millisecond)
}

// sendOrder sends an order to the agent and returns its outcome.
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
		f.advance(timeStep)
	}
	f.t.Fatalf("order for %s never accepted: %v", req.GetName(), outcome)
}

// replaceItem repeats orders to unload one item and load another until the load is
// accepted. The item to unload may also become resident late.
func (f *memoryFixture) replaceItem(oldName, newName string, bytes int64) {
	for range 200 {
		f.sendOrder(unloadOrder(f.fence, oldName))
		if f.sendOrder(loadOrder(f.fence, newName, bytes)) == aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED {
			return
		}
		f.advance(timeStep)
	}
	f.t.Fatalf("load of %s in place of %s never accepted", newName, oldName)
}

func (f *memoryFixture) awaitReady(name string) {
	for range 200 {
		for _, r := range f.agent.Report().GetResident() {
			if r.GetName() == name && r.GetState() == aubwire.Residency_RESIDENCY_READY {
				return
			}
		}
		f.advance(timeStep)
	}
	f.t.Fatalf("%s never ready", name)
}

// checkMemory checks that the engine's memory was never overcommitted.
func (f *memoryFixture) checkMemory() {
	stats := f.engine.Stats()
	qt.Assert(f.t, stats.Overcommitted, qt.IsFalse, qt.Commentf("peak %d of 100", stats.MemoryPeakBytes))
}

// forEachEngineKind runs a test with engines that check or ignore fencing numbers,
// each with and without an order journal.
func forEachEngineKind(t *testing.T, run func(t *testing.T, opts memoryFixtureOpts)) {
	for _, checksFence := range []bool{true, false} {
		for _, withJournal := range []bool{true, false} {
			name := map[bool]string{true: "fence checked", false: "fence ignored"}[checksFence] +
				map[bool]string{true: ", journal", false: ", no journal"}[withJournal]
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				opts := memoryFixtureOpts{checksFence: checksFence, loadTime: timeStep}
				if withJournal {
					opts.dataDir = t.TempDir()
				}
				run(t, opts)
			})
		}
	}
}

// TestMemoryUnderOrderFaults loads a small item, injects a fault into the load order
// for a large one, and then replaces that by another large one. The two large items
// together exceed the memory, so the agent must account for orders that the engine
// may execute late, again, or without a response.
func TestMemoryUnderOrderFaults(t *testing.T) {
	t.Parallel()
	delay := timeStep.Milliseconds()
	tests := []struct {
		name    string
		faults  aubstandin.Faults
		restart bool
		// reload loads the large item again before it is replaced.
		reload bool
	}{
		{name: "order lost", faults: aubstandin.Faults{LoseOrders: 1}},
		{name: "order delayed", faults: aubstandin.Faults{DelayOrders: 1, OrderDelayMS: delay}},
		{name: "two orders delayed", faults: aubstandin.Faults{DelayOrders: 2, OrderDelayMS: delay}},
		{name: "response lost", faults: aubstandin.Faults{LoseOrderResponses: 1}},
		{name: "load fails in the middle", faults: aubstandin.Faults{FailLoads: 1}},
		{
			name:   "load fails and its duplicate is delayed",
			faults: aubstandin.Faults{FailLoads: 1, RepeatOrders: 1, OrderDelayMS: delay},
		},
		{
			name:   "duplicate arrives after the unload",
			faults: aubstandin.Faults{RepeatOrders: 1, OrderDelayMS: 3 * delay},
			reload: true,
		},
		{
			name:    "agent stopped before the order arrives",
			faults:  aubstandin.Faults{DelayOrders: 1, OrderDelayMS: delay},
			restart: true,
		},
		{name: "agent stopped before the response", faults: aubstandin.Faults{LoseOrderResponses: 1}, restart: true},
		{
			name:    "agent stopped and the order duplicated",
			faults:  aubstandin.Faults{RepeatOrders: 1, OrderDelayMS: 3 * delay},
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
				f.advance(orderLifetime)
				f.checkMemory()
			})
		})
	}
}

// TestTwoDelayedOrders delays two load orders and sends no later order, whose higher
// fencing number would make the engine refuse the first one.
func TestTwoDelayedOrders(t *testing.T) {
	forEachEngineKind(t, func(t *testing.T, opts memoryFixtureOpts) {
		f := newMemoryFixture(t, t, opts)
		f.sendUntilAccepted(loadOrder(f.fence, "small", 10))
		f.engine.SetFaults(aubstandin.Faults{DelayOrders: 2, OrderDelayMS: timeStep.Milliseconds()})
		f.sendOrder(loadOrder(f.fence, "large", 60))
		f.runAgentCycles()
		f.sendOrder(loadOrder(f.fence, "other", 60))
		// Small steps make the two orders arrive one after the other.
		for range orderLifetime / pollInterval {
			f.runAgentCycles()
		}
		f.checkMemory()
	})
}

// TestExecutedOrderWithErrorResponse has an engine execute a load order and respond
// with an error. The agent must keep the memory reserved.
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

// TestOrderSlowerThanOrderLifetime blocks an order in transit for longer than the
// order lifetime. The agent must keep the memory reserved meanwhile.
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
		eventually(t, "order in transit", func() bool { return f.agent.Report().GetMemoryUsedBytes() == 70 })
		f.advance(orderLifetime + timeStep)
		qt.Assert(t, f.agent.Report().GetMemoryUsedBytes(), qt.Equals, int64(70))
		release()
		qt.Assert(t, <-outcome, qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED)
		qt.Assert(t, f.sendOrder(loadOrder(f.fence, "other", 60)), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_NO_MEMORY)
		f.awaitReady("large")
		f.checkMemory()
	})
}

// TestUnloadIsResentUntilExecuted loses two unload orders. The agent must keep the
// memory reserved and resend the order until the engine executes it.
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

// TestOrdersOfEarlierLeaders checks that orders with an earlier leader's fence or for
// an earlier incarnation are refused, also after a restart of the agent.
func TestOrdersOfEarlierLeaders(t *testing.T) {
	forEachEngineKind(t, func(t *testing.T, opts memoryFixtureOpts) {
		f := newMemoryFixture(t, t, opts)
		f.sendUntilAccepted(loadOrder(f.fence+1, "first", 50))
		staleFence := f.fence
		qt.Assert(t, f.sendOrder(loadOrder(staleFence, "stale", 50)), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_STALE_FENCE)
		qt.Assert(t, f.sendOrder(unloadOrder(staleFence, "first")), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_STALE_FENCE)
		f.fence++

		previousAgent := f.agent
		f.restart()
		f.sendUntilAccepted(loadOrder(f.fence, "second", 50))
		qt.Assert(t, f.sendOrder(loadOrder(staleFence, "stale", 50)), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_STALE_FENCE)
		misdirected := loadOrder(f.fence, "stale", 50)
		misdirected.AgentIncarnation = previousAgent.Incarnation()
		resp, err := f.agent.Order(context.Background(), misdirected)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.GetOutcome(), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_WRONG_INCARNATION)
		if opts.checksFence {
			// The previous agent continues; only the engine can refuse its order.
			_, err = previousAgent.Order(context.Background(), &aubwire.OrderRequest{
				Fence:            f.fence - 1,
				AgentIncarnation: previousAgent.Incarnation(),
				Action:           aubwire.OrderAction_ORDER_ACTION_LOAD,
				Name:             "stale",
				MemoryBytes:      50,
			})
			qt.Assert(t, err, qt.IsNil)
		}
		f.advance(orderLifetime)
		f.checkMemory()
	})
}

// TestNoOrderAcceptedBeforeFenceFloor checks that the agent refuses orders until it
// knows its fence floor, and orders below the floor after that.
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
		agentOpts.FenceFloor = func(context.Context, uint64) (uint64, error) {
			select {
			case <-floorKnown:
				return 7, nil
			default:
				return 0, errors.New("log unreachable")
			}
		}
		agent, err := aubagent.NewAgent(ctx, f.common, agentOpts)
		qt.Assert(t, err, qt.IsNil)
		f.agent = agent
		f.advance(orderLifetime)
		qt.Assert(t, f.sendOrder(loadOrder(8, "m", 10)), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_NOT_READY)
		close(floorKnown)
		f.advance(2 * orderLifetime)
		qt.Assert(t, f.sendOrder(loadOrder(6, "m", 10)), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_STALE_FENCE)
		f.sendUntilAccepted(loadOrder(8, "m", 10))
	})
}

// TestMemoryNeverOvercommitted applies random orders, faults and restarts, and checks
// after each that the engine's memory was never overcommitted.
func TestMemoryNeverOvercommitted(t *testing.T) {
	t.Parallel()
	for _, checksFence := range []bool{true, false} {
		t.Run(map[bool]string{true: "fence checked", false: "fence ignored"}[checksFence], func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) {
				opts := memoryFixtureOpts{checksFence: checksFence, loadTime: rapid.SampledFrom([]time.Duration{0, timeStep}).Draw(rt, "load time")}
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

// memoryActions returns the random actions; the one without a name is the check that
// rapid runs after each of them.
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
		"restart":             func(*rapid.T) { f.restart() },
		"step":                func(*rapid.T) { f.advance(timeStep) },
		"pass order lifetime": func(*rapid.T) { f.advance(orderLifetime) },
		"faults": func(rt *rapid.T) {
			f.engine.SetFaults(aubstandin.Faults{
				LoseOrders:         faultCount.Draw(rt, "lost"),
				DelayOrders:        faultCount.Draw(rt, "delayed"),
				RepeatOrders:       faultCount.Draw(rt, "duplicated"),
				LoseOrderResponses: faultCount.Draw(rt, "response lost"),
				FailLoads:          faultCount.Draw(rt, "load failed"),
				OrderDelayMS:       timeStep.Milliseconds(),
			})
		},
	}
}
