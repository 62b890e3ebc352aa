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

// yard is an engine whose agents are killed and restarted. The engine's own
// record of its peak memory is what tests read.
type yard struct {
	t      testing.TB
	timer  *aubtimer.Manual
	common aubcommon.Common
	engine *aubstandin.Engine
	opts   aubagent.AgentOpts
	agent  *aubagent.Agent
	kill   context.CancelFunc
	// held, when set, keeps load orders from the engine until it is closed.
	held atomic.Pointer[chan struct{}]
	// failing has load orders executed and answered by an error.
	failing atomic.Bool
	fence   uint64
	floor   uint64
	started uint64
}

type yardOpts struct {
	checksFence bool
	dataDir     string
	loadTime    time.Duration
}

// cleaner is the part of testing.T that rapid's T has too.
type cleaner interface {
	Cleanup(func())
}

func newYard(t testing.TB, c cleaner, opts yardOpts) *yard {
	ctx, cancel := context.WithCancel(context.Background())
	y := &yard{t: t, timer: aubtimer.NewManual(time.Unix(1000, 0)), fence: 1}
	y.common = aubcommon.NewCommon(y.timer)
	y.engine = aubstandin.NewEngine(ctx, y.common, aubstandin.EngineOpts{
		MemoryBytes: 100,
		LoadTime:    opts.loadTime,
		ChecksFence: opts.checksFence,
	})
	server := httptest.NewServer(y.hold(y.engine.Handler()))
	c.Cleanup(func() {
		y.stop()
		cancel()
		server.Close()
	})
	y.opts = aubagent.AgentOpts{
		Name:              "worker-1",
		EngineURL:         server.URL,
		MemoryBytes:       100,
		DataDir:           opts.dataDir,
		EngineChecksFence: opts.checksFence,
		OrderLifetime:     lifetime,
		Poll:              pollInterval,
		LoadingPoll:       pollInterval,
	}
	y.restart()
	return y
}

func (y *yard) hold(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if y.failing.Load() && r.URL.Path == aubengine.PathLoad {
			next.ServeHTTP(httptest.NewRecorder(), r)
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		if held := y.held.Load(); held != nil && r.URL.Path == aubengine.PathLoad {
			<-*held
		}
		next.ServeHTTP(w, r)
	})
}

// stop ends the agent. In one process, its goroutine has to be waited for.
func (y *yard) stop() {
	y.kill()
	<-y.agent.Done()
}

// restart kills the agent and starts its next incarnation, with a floor above
// every fence that was used.
func (y *yard) restart() {
	if y.kill != nil {
		y.stop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	y.kill = cancel
	y.started++
	y.fence++
	y.floor = y.fence
	opts := y.opts
	opts.Incarnation = y.started
	opts.FloorFence = floorOf(y.floor)
	agent, err := aubagent.NewAgent(ctx, y.common, opts)
	qt.Assert(y.t, err, qt.IsNil)
	y.agent = agent
}

// advance lets late orders arrive and the agent look at its engine.
func (y *yard) advance(d time.Duration) {
	for ; d > 0; d -= step {
		y.timer.Advance(step)
		y.settle()
		y.look()
	}
}

// settle waits until the orders that are due are executed.
func (y *yard) settle() {
	eventually(y.t, "due orders executed", func() bool {
		next := y.engine.Stats().NextOrderAt
		return next.IsZero() || next.After(y.timer.Now())
	})
}

// look gives the agent a few rounds.
func (y *yard) look() {
	for range 3 {
		time.Sleep(time.Millisecond)
		y.timer.Advance(pollInterval)
		y.settle()
	}
	time.Sleep(time.Millisecond)
}

func (y *yard) send(req *aubwire.OrderRequest) aubwire.OrderOutcome {
	req.AgentIncarnation = y.agent.Incarnation()
	resp, err := y.agent.Order(context.Background(), req)
	qt.Assert(y.t, err, qt.IsNil)
	return resp.GetOutcome()
}

// insist sends an order until the agent accepts it, or fails the test.
func (y *yard) insist(req *aubwire.OrderRequest) {
	var outcome aubwire.OrderOutcome
	for range 200 {
		if outcome = y.send(req); outcome == aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED {
			return
		}
		y.advance(step)
	}
	y.t.Fatalf("order for %s never accepted: %v", req.GetName(), outcome)
}

// replace orders an item to go, also when it comes late, until another is accepted.
func (y *yard) replace(old, name string, bytes int64) {
	for range 200 {
		y.send(unloadOrder(y.fence, old))
		if y.send(loadOrder(y.fence, name, bytes)) == aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED {
			return
		}
		y.advance(step)
	}
	y.t.Fatalf("%s never replaced %s", name, old)
}

func (y *yard) awaitReady(name string) {
	for range 200 {
		for _, r := range y.agent.Report().GetResident() {
			if r.GetName() == name && r.GetState() == aubwire.Residency_RESIDENCY_READY {
				return
			}
		}
		y.advance(step)
	}
	y.t.Fatalf("%s never ready", name)
}

func (y *yard) check() {
	stats := y.engine.Stats()
	qt.Assert(y.t, stats.Overcommitted, qt.IsFalse, qt.Commentf("peak %d of 100", stats.MemoryPeak))
}

func eachEngine(t *testing.T, run func(t *testing.T, opts yardOpts)) {
	for _, checks := range []bool{true, false} {
		for _, disk := range []bool{true, false} {
			name := map[bool]string{true: "fence checked", false: "fence ignored"}[checks] +
				map[bool]string{true: ", journal", false: ", no journal"}[disk]
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				opts := yardOpts{checksFence: checks, loadTime: step}
				if disk {
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
		// unload asks for the large item to go before the other one comes.
		unload bool
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
			unload: true,
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
			unload:  true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			eachEngine(t, func(t *testing.T, opts yardOpts) {
				y := newYard(t, t, opts)
				y.insist(loadOrder(y.fence, "small", 10))
				y.engine.SetFaults(test.faults)
				y.send(loadOrder(y.fence, "large", 60))
				if test.restart {
					y.restart()
				}
				for range 2 {
					y.send(loadOrder(y.fence, "other", 60))
					y.look()
				}
				if test.unload {
					y.insist(loadOrder(y.fence, "large", 60))
					y.awaitReady("large")
				}
				y.replace("large", "other", 60)
				y.awaitReady("other")
				y.advance(lifetime)
				y.check()
			})
		})
	}
}

// TestTwoLateOrders has nothing sent after them that would outrank the first.
func TestTwoLateOrders(t *testing.T) {
	eachEngine(t, func(t *testing.T, opts yardOpts) {
		y := newYard(t, t, opts)
		y.insist(loadOrder(y.fence, "small", 10))
		y.engine.SetFaults(aubstandin.Faults{LateOrders: 2, OrderDelayMS: step.Milliseconds()})
		y.send(loadOrder(y.fence, "large", 60))
		y.look()
		y.send(loadOrder(y.fence, "other", 60))
		// In small steps, so that the two arrive one after the other.
		for range lifetime / pollInterval {
			y.look()
		}
		y.check()
	})
}

// TestOrderAnsweredByAnError has an engine execute an order and then fail to say so.
func TestOrderAnsweredByAnError(t *testing.T) {
	eachEngine(t, func(t *testing.T, opts yardOpts) {
		y := newYard(t, t, opts)
		y.insist(loadOrder(y.fence, "small", 10))
		y.failing.Store(true)
		qt.Assert(t, y.send(loadOrder(y.fence, "large", 60)), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_UNCERTAIN)
		y.failing.Store(false)
		qt.Assert(t, y.send(loadOrder(y.fence, "other", 60)), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_NO_MEMORY)
		y.check()
	})
}

// TestOrderSlowerThanItsLifetime holds an order on its way for longer than orders live.
func TestOrderSlowerThanItsLifetime(t *testing.T) {
	eachEngine(t, func(t *testing.T, opts yardOpts) {
		y := newYard(t, t, opts)
		y.insist(loadOrder(y.fence, "small", 10))
		held := make(chan struct{})
		y.held.Store(&held)
		release := sync.OnceFunc(func() {
			y.held.Store(nil)
			close(held)
		})
		defer release()
		outcome := make(chan aubwire.OrderOutcome, 1)
		go func() {
			resp, _ := y.agent.Order(context.Background(), &aubwire.OrderRequest{
				Fence:            y.fence,
				AgentIncarnation: y.agent.Incarnation(),
				Action:           aubwire.OrderAction_ORDER_ACTION_LOAD,
				Name:             "large",
				MemoryBytes:      60,
			})
			outcome <- resp.GetOutcome()
		}()
		eventually(t, "order on its way", func() bool { return y.agent.Report().GetMemoryUsedBytes() == 70 })
		y.advance(lifetime + step)
		qt.Assert(t, y.agent.Report().GetMemoryUsedBytes(), qt.Equals, int64(70))
		release()
		qt.Assert(t, <-outcome, qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED)
		qt.Assert(t, y.send(loadOrder(y.fence, "other", 60)), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_NO_MEMORY)
		y.awaitReady("large")
		y.check()
	})
}

func TestUnloadIsCarriedThrough(t *testing.T) {
	eachEngine(t, func(t *testing.T, opts yardOpts) {
		y := newYard(t, t, opts)
		y.insist(loadOrder(y.fence, "large", 60))
		y.awaitReady("large")
		y.engine.SetFaults(aubstandin.Faults{LoseOrders: 2})
		qt.Assert(t, y.send(unloadOrder(y.fence, "large")), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_UNCERTAIN)
		qt.Assert(t, y.send(loadOrder(y.fence, "other", 60)), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_NO_MEMORY)
		y.insist(loadOrder(y.fence, "other", 60))
		y.awaitReady("other")
		qt.Assert(t, y.engine.Stats().Unloads, qt.Equals, 1)
		y.check()
	})
}

func TestOrdersOfEarlierLeaders(t *testing.T) {
	eachEngine(t, func(t *testing.T, opts yardOpts) {
		y := newYard(t, t, opts)
		y.insist(loadOrder(y.fence+1, "first", 50))
		old := y.fence
		qt.Assert(t, y.send(loadOrder(old, "late", 50)), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_STALE_FENCE)
		qt.Assert(t, y.send(unloadOrder(old, "first")), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_STALE_FENCE)
		y.fence++

		before := y.agent
		y.restart()
		y.insist(loadOrder(y.fence, "second", 50))
		qt.Assert(t, y.send(loadOrder(old, "late", 50)), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_STALE_FENCE)
		toOld := loadOrder(y.fence, "late", 50)
		toOld.AgentIncarnation = before.Incarnation()
		resp, err := y.agent.Order(context.Background(), toOld)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.GetOutcome(), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_WRONG_INCARNATION)
		if opts.checksFence {
			// The agent before wakes up; only the engine can tell.
			_, err = before.Order(context.Background(), &aubwire.OrderRequest{
				Fence:            y.fence - 1,
				AgentIncarnation: before.Incarnation(),
				Action:           aubwire.OrderAction_ORDER_ACTION_LOAD,
				Name:             "late",
				MemoryBytes:      50,
			})
			qt.Assert(t, err, qt.IsNil)
		}
		y.advance(lifetime)
		y.check()
	})
}

func TestNoOrderBeforeTheFloor(t *testing.T) {
	eachEngine(t, func(t *testing.T, opts yardOpts) {
		y := newYard(t, t, opts)
		y.opts.DataDir = ""
		known := make(chan struct{})
		y.stop()
		ctx, cancel := context.WithCancel(context.Background())
		y.kill = cancel
		o := y.opts
		o.Incarnation = 99
		o.FloorFence = func(context.Context, uint64) (uint64, error) {
			select {
			case <-known:
				return 7, nil
			default:
				return 0, errors.New("log not reached")
			}
		}
		agent, err := aubagent.NewAgent(ctx, y.common, o)
		qt.Assert(t, err, qt.IsNil)
		y.agent = agent
		y.advance(lifetime)
		qt.Assert(t, y.send(loadOrder(8, "m", 10)), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_NOT_READY)
		close(known)
		y.advance(2 * lifetime)
		qt.Assert(t, y.send(loadOrder(6, "m", 10)), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_STALE_FENCE)
		y.insist(loadOrder(8, "m", 10))
	})
}

// TestMemoryNeverOvercommitted drives random orders, faults and restarts.
func TestMemoryNeverOvercommitted(t *testing.T) {
	t.Parallel()
	for _, checks := range []bool{true, false} {
		t.Run(map[bool]string{true: "fence checked", false: "fence ignored"}[checks], func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) {
				opts := yardOpts{checksFence: checks, loadTime: rapid.SampledFrom([]time.Duration{0, step}).Draw(rt, "load time")}
				if rapid.Bool().Draw(rt, "journal") {
					opts.dataDir = t.TempDir()
				}
				y := newYard(t, rt, opts)
				y.look()
				rt.Repeat(memoryActions(y))
			})
		})
	}
}

func memoryActions(y *yard) map[string]func(*rapid.T) {
	sizes := map[string]int64{"a": 60, "b": 50, "c": 40, "d": 30}
	names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	count := rapid.IntRange(0, 1)
	return map[string]func(*rapid.T){
		"": func(*rapid.T) { y.check() },
		"load": func(rt *rapid.T) {
			name := names.Draw(rt, "name")
			y.send(loadOrder(y.fence, name, sizes[name]))
		},
		"load again": func(rt *rapid.T) {
			name := names.Draw(rt, "name")
			y.send(loadOrder(y.fence, name, sizes[name]))
		},
		"unload":     func(rt *rapid.T) { y.send(unloadOrder(y.fence, names.Draw(rt, "name"))) },
		"new leader": func(*rapid.T) { y.fence++ },
		"old leader": func(rt *rapid.T) {
			name := names.Draw(rt, "name")
			y.send(loadOrder(y.floor-1, name, sizes[name]))
		},
		"restart": func(*rapid.T) { y.restart() },
		"step":    func(*rapid.T) { y.advance(step) },
		"rest":    func(*rapid.T) { y.advance(lifetime) },
		"faults": func(rt *rapid.T) {
			y.engine.SetFaults(aubstandin.Faults{
				LoseOrders:       count.Draw(rt, "lost"),
				LateOrders:       count.Draw(rt, "late"),
				DoubleOrders:     count.Draw(rt, "doubled"),
				LoseOrderAnswers: count.Draw(rt, "answer lost"),
				FailLoads:        count.Draw(rt, "failing"),
				OrderDelayMS:     step.Milliseconds(),
			})
		},
	}
}
