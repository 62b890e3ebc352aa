package aubagent_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubengine"
	"github.com/auburndale/auburndale/internal/aubexecution"
	"github.com/auburndale/auburndale/internal/aubstandin"
	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// newSlowEngineFixture returns a fixture whose engine waits interToken between
// tokens, with model "m" ready.
func newSlowEngineFixture(t testing.TB, interToken time.Duration) *fixture {
	opts := fastOpts()
	opts.Linger = 2 * heartbeat
	f := newEngineFixture(t, aubstandin.EngineOpts{
		Items:      []aubengine.Item{readyItem("m", gib)},
		InterToken: interToken,
	}, opts)
	f.awaitReady(t, "m")
	return f
}

// TestDrainCompletesRunningStreams drains the agent and stops its server while
// responses are streamed; all of them must be complete.
func TestDrainCompletesRunningStreams(t *testing.T) {
	f := newSlowEngineFixture(t, 10*time.Millisecond)
	const streams = 8
	var wg sync.WaitGroup
	bodies := make([]string, streams)
	errs := make([]error, streams)
	for i := range streams {
		id := fmt.Sprintf("stream %d", i)
		resp, err := f.executor.Execute(f.ctx, f.target, chatRequest(id, "m", id, true))
		qt.Assert(t, err, qt.IsNil)
		wg.Go(func() { bodies[i], errs[i] = readAll(f.ctx, resp) })
	}
	qt.Assert(t, f.agent.Drain(f.ctx), qt.IsNil)
	f.grpcServer.GracefulStop()
	wg.Wait()
	for i := range streams {
		qt.Assert(t, errs[i], qt.IsNil)
		checkComplete(t, bodies[i], fmt.Sprintf("stream %d", i), true)
	}
	qt.Assert(t, f.agent.Draining(), qt.IsTrue)
}

// TestDrainReturnsWhenContextExpires also checks that a draining agent refuses load
// orders.
func TestDrainReturnsWhenContextExpires(t *testing.T) {
	f := newSlowEngineFixture(t, time.Second)
	_, err := f.executor.Execute(f.ctx, f.target, chatRequest("r", "m", "r", true))
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(f.ctx, 50*time.Millisecond)
	defer cancel()
	qt.Assert(t, f.agent.Drain(ctx), qt.ErrorIs, context.DeadlineExceeded)
	resp, err := f.agent.Order(f.ctx, loadOrder(2, "n", 1))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.GetOutcome(), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_FAILED)
}

// TestExecutionAbortedWhenCallerDisconnects ends the caller's interest in a response
// in different ways. The engine must stop its work and the agent free the slot.
func TestExecutionAbortedWhenCallerDisconnects(t *testing.T) {
	tests := []struct {
		name string
		run  func(*fixture, aubexecution.Request)
	}{
		{name: "context canceled", run: func(f *fixture, req aubexecution.Request) {
			ctx, cancel := context.WithCancel(f.ctx)
			_, _ = f.executor.Execute(ctx, f.target, req)
			cancel()
		}},
		{name: "response closed", run: func(f *fixture, req aubexecution.Request) {
			resp, err := f.executor.Execute(f.ctx, f.target, req)
			if err == nil {
				resp.Close()
			}
		}},
		{name: "deadline passed", run: func(f *fixture, req aubexecution.Request) {
			req.Timeout = 100 * time.Millisecond
			_, _, _ = f.call(req)
		}},
		{name: "entry crashed", run: func(f *fixture, req aubexecution.Request) {
			ctx, cancel := context.WithCancel(f.ctx)
			executor := aubexecution.NewExecutor(ctx, f.common, aubexecution.ExecutorOpts{Dial: dial})
			_, _ = executor.Execute(f.ctx, f.target, req)
			cancel()
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newSlowEngineFixture(t, 50*time.Millisecond)
			req := chatRequest("r", "m", "r", true)
			test.run(f, req)
			eventually(t, "work aborted", func() bool { return f.engine.Stats().Aborted == 1 })
			eventually(t, "nothing runs", func() bool { return f.agent.Report().GetRunning() == 0 })
		})
	}
}

// TestPoisonedRequestIsRefused crashes the engine twice with the same fingerprint:
// first together with a healthy request, then alone. The third request with that
// fingerprint must be refused, and the healthy one must not stay suspect.
func TestPoisonedRequestIsRefused(t *testing.T) {
	f := newSlowEngineFixture(t, 20*time.Millisecond)
	f.engine.SetFaults(aubstandin.Faults{PoisonPrompt: "poison"})
	healthy, err := f.executor.Execute(f.ctx, f.target, chatRequest("healthy", "m", "healthy", true))
	qt.Assert(t, err, qt.IsNil)

	_, _, err = f.call(chatRequest("p1", "m", "poison", true))
	first := requireCrash(t, err)
	qt.Assert(t, first.Suspects, qt.DeepEquals, []string{"healthy", "poison"})
	_, err = readAll(f.ctx, healthy)
	second := requireCrash(t, err)
	qt.Assert(t, second.CrashID, qt.Equals, first.CrashID)
	qt.Assert(t, f.agent.Report().GetSuspects(), qt.DeepEquals, []string{"healthy", "poison"})

	f.restartEngine(t)
	_, body, err := f.call(chatRequest("healthy again", "m", "healthy", true))
	qt.Assert(t, err, qt.IsNil)
	checkComplete(t, body, "healthy", true)
	qt.Assert(t, f.agent.Report().GetSuspects(), qt.DeepEquals, []string{"poison"})

	_, _, err = f.call(chatRequest("p2", "m", "poison", true))
	qt.Assert(t, requireCrash(t, err).Suspects, qt.DeepEquals, []string{"poison"})
	f.restartEngine(t)
	_, _, err = f.call(chatRequest("p3", "m", "poison", true))
	checkExecution(t, err, aubapi.ExecutionNotRun)
	qt.Assert(t, f.engine.Stats().Crashes, qt.Equals, 2)
	qt.Assert(t, f.agent.Report().GetPoisoned(), qt.DeepEquals, []string{"poison"})
}

// TestSuspectRunsAlone checks that a suspect waits until no other request runs,
// both if the entry marks it and if the agent itself lists it.
func TestSuspectRunsAlone(t *testing.T) {
	for _, requestedByEntry := range []bool{true, false} {
		t.Run(fmt.Sprintf("requested by entry %v", requestedByEntry), func(t *testing.T) {
			f := newSlowEngineFixture(t, 20*time.Millisecond)
			if !requestedByEntry {
				f.engine.SetFaults(aubstandin.Faults{PoisonPrompt: "poison"})
				suspect, err := f.executor.Execute(f.ctx, f.target, chatRequest("s", "m", "suspect", true))
				qt.Assert(t, err, qt.IsNil)
				_, _, err = f.call(chatRequest("p", "m", "poison", true))
				qt.Assert(t, requireCrash(t, err), qt.IsNotNil)
				_, err = readAll(f.ctx, suspect)
				qt.Assert(t, requireCrash(t, err), qt.IsNotNil)
				f.restartEngine(t)
			}
			tokensBefore := f.engine.Stats().TokensOut
			_, err := f.executor.Execute(f.ctx, f.target, chatRequest("other", "m", "other", true))
			qt.Assert(t, err, qt.IsNil)
			req := chatRequest("r", "m", "suspect", true)
			req.Alone = requestedByEntry
			_, err = f.executor.Execute(f.ctx, f.target, req)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, f.engine.Stats().TokensOut-tokensBefore >= 8, qt.IsTrue)
		})
	}
}

// restartEngine restarts the crashed engine and loads its model again.
func (f *fixture) restartEngine(t testing.TB) {
	f.engine.Restart()
	f.engine.SetFaults(aubstandin.Faults{PoisonPrompt: "poison"})
	eventually(t, "model loaded again", func() bool {
		f.sendOrder(t, loadOrder(9, "m", gib))
		for _, item := range f.agent.Report().GetResident() {
			if item.GetState() == aubwire.Residency_RESIDENCY_READY {
				return f.engine.Stats().MemoryUsedBytes == gib
			}
		}
		return false
	})
}

// requireCrash fails the test unless err reports a crash of the backend server.
func requireCrash(t testing.TB, err error) *aubexecution.FailedError {
	t.Helper()
	var failed *aubexecution.FailedError
	qt.Assert(t, errors.As(err, &failed), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, failed.Reason, qt.Equals, aubwire.FailureReason_FAILURE_REASON_BACKEND_DIED, qt.Commentf("%v", err))
	return failed
}

// TestStreamWithoutEndMark has an engine end a stream without its end mark, on a
// connection that is closed cleanly. The response must not count as complete.
func TestStreamWithoutEndMark(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case aubengine.PathState:
			fmt.Fprint(w, `{"boot":"1","items":[{"name":"m","state":"ready"}]}`)
		case "/v1/chat/completions":
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, "data: {\"id\":\"1\",\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n")
		default:
			http.NotFound(w, r)
		}
	}))
	t.Cleanup(server.Close)
	f := &fixture{ctx: newContext(t), common: newChatFixture(t).common, opts: fastOpts()}
	f.opts.EngineURL = server.URL
	f.startAgent(t)
	f.awaitReady(t, "m")
	_, _, err := f.call(chatRequest("r", "m", "r", true))
	checkExecution(t, err, aubapi.ExecutionMayHaveRun)
}
