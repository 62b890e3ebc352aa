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

func slowSite(t testing.TB, interToken time.Duration) *site {
	opts := fastOpts()
	opts.Linger = 2 * heartbeat
	s := newEngineSite(t, aubstandin.EngineOpts{
		Items:      []aubengine.Item{ready("m", gib)},
		InterToken: interToken,
	}, opts)
	s.awaitReady(t, "m")
	return s
}

func TestLeaveCutsNothing(t *testing.T) {
	s := slowSite(t, 10*time.Millisecond)
	const streams = 8
	var wg sync.WaitGroup
	bodies := make([]string, streams)
	errs := make([]error, streams)
	for i := range streams {
		id := fmt.Sprintf("stream %d", i)
		a, err := s.executor.Execute(s.ctx, s.target, chatRequest(id, "m", id, true))
		qt.Assert(t, err, qt.IsNil)
		wg.Go(func() { bodies[i], errs[i] = readAll(s.ctx, a) })
	}
	qt.Assert(t, s.agent.Leave(s.ctx), qt.IsNil)
	s.server.GracefulStop()
	wg.Wait()
	for i := range streams {
		qt.Assert(t, errs[i], qt.IsNil)
		checkWhole(t, bodies[i], fmt.Sprintf("stream %d", i), true)
	}
	qt.Assert(t, s.agent.Leaving(), qt.IsTrue)
}

func TestLeaveEndsWithItsContext(t *testing.T) {
	s := slowSite(t, time.Second)
	_, err := s.executor.Execute(s.ctx, s.target, chatRequest("r", "m", "r", true))
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(s.ctx, 50*time.Millisecond)
	defer cancel()
	qt.Assert(t, s.agent.Leave(ctx), qt.ErrorIs, context.DeadlineExceeded)
	resp, err := s.agent.Order(s.ctx, loadOrder(2, "n", 1))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.GetOutcome(), qt.Equals, aubwire.OrderOutcome_ORDER_OUTCOME_FAILED)
}

// TestCallerGone has the caller leave in different ways; the engine's work ends.
func TestCallerGone(t *testing.T) {
	tests := []struct {
		name string
		run  func(*site, aubexecution.Request)
	}{
		{name: "context ended", run: func(s *site, req aubexecution.Request) {
			ctx, cancel := context.WithCancel(s.ctx)
			_, _ = s.executor.Execute(ctx, s.target, req)
			cancel()
		}},
		{name: "answer closed", run: func(s *site, req aubexecution.Request) {
			a, err := s.executor.Execute(s.ctx, s.target, req)
			if err == nil {
				a.Close()
			}
		}},
		{name: "deadline passed", run: func(s *site, req aubexecution.Request) {
			req.Timeout = 100 * time.Millisecond
			_, _, _ = s.call(req)
		}},
		{name: "entry died", run: func(s *site, req aubexecution.Request) {
			ctx, cancel := context.WithCancel(s.ctx)
			executor := aubexecution.NewExecutor(ctx, s.common, aubexecution.ExecutorOpts{Dial: dial})
			_, _ = executor.Execute(s.ctx, s.target, req)
			cancel()
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := slowSite(t, 50*time.Millisecond)
			req := chatRequest("r", "m", "r", true)
			test.run(s, req)
			eventually(t, "work aborted", func() bool { return s.engine.Stats().Aborted == 1 })
			eventually(t, "nothing runs", func() bool { return s.agent.Report().GetRunning() == 0 })
		})
	}
}

// TestPoisonRequest crashes the engine twice with one fingerprint: together
// with an innocent request, then alone. The third time it is refused.
func TestPoisonRequest(t *testing.T) {
	s := slowSite(t, 20*time.Millisecond)
	s.engine.SetFaults(aubstandin.Faults{PoisonPrompt: "poison"})
	innocent, err := s.executor.Execute(s.ctx, s.target, chatRequest("innocent", "m", "innocent", true))
	qt.Assert(t, err, qt.IsNil)

	_, _, err = s.call(chatRequest("p1", "m", "poison", true))
	first := asDied(t, err)
	qt.Assert(t, first.Suspects, qt.DeepEquals, []string{"innocent", "poison"})
	_, err = readAll(s.ctx, innocent)
	second := asDied(t, err)
	qt.Assert(t, second.DeathID, qt.Equals, first.DeathID)
	qt.Assert(t, s.agent.Report().GetSuspects(), qt.DeepEquals, []string{"innocent", "poison"})

	s.revive(t)
	_, body, err := s.call(chatRequest("innocent again", "m", "innocent", true))
	qt.Assert(t, err, qt.IsNil)
	checkWhole(t, body, "innocent", true)
	qt.Assert(t, s.agent.Report().GetSuspects(), qt.DeepEquals, []string{"poison"})

	_, _, err = s.call(chatRequest("p2", "m", "poison", true))
	qt.Assert(t, asDied(t, err).Suspects, qt.DeepEquals, []string{"poison"})
	s.revive(t)
	_, _, err = s.call(chatRequest("p3", "m", "poison", true))
	checkExecution(t, err, aubapi.ExecutionNotRun)
	qt.Assert(t, s.engine.Stats().Crashes, qt.Equals, 2)
	qt.Assert(t, s.agent.Report().GetPoisoned(), qt.DeepEquals, []string{"poison"})
}

// TestSuspectRunsAlone has a suspect wait until nothing else runs.
func TestSuspectRunsAlone(t *testing.T) {
	for _, asked := range []bool{true, false} {
		t.Run(fmt.Sprintf("asked by the entry %v", asked), func(t *testing.T) {
			s := slowSite(t, 20*time.Millisecond)
			if !asked {
				s.engine.SetFaults(aubstandin.Faults{PoisonPrompt: "poison"})
				with, err := s.executor.Execute(s.ctx, s.target, chatRequest("with", "m", "suspect", true))
				qt.Assert(t, err, qt.IsNil)
				_, _, err = s.call(chatRequest("p", "m", "poison", true))
				qt.Assert(t, asDied(t, err), qt.IsNotNil)
				_, err = readAll(s.ctx, with)
				qt.Assert(t, asDied(t, err), qt.IsNotNil)
				s.revive(t)
			}
			before := s.engine.Stats().TokensOut
			_, err := s.executor.Execute(s.ctx, s.target, chatRequest("other", "m", "other", true))
			qt.Assert(t, err, qt.IsNil)
			req := chatRequest("r", "m", "suspect", true)
			req.Alone = asked
			_, err = s.executor.Execute(s.ctx, s.target, req)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, s.engine.Stats().TokensOut-before >= 8, qt.IsTrue)
		})
	}
}

// revive restarts the engine and loads its model again.
func (s *site) revive(t testing.TB) {
	s.engine.Restart()
	s.engine.SetFaults(aubstandin.Faults{PoisonPrompt: "poison"})
	eventually(t, "model loaded again", func() bool {
		s.order(t, loadOrder(9, "m", gib))
		for _, item := range s.agent.Report().GetResident() {
			if item.GetState() == aubwire.Residency_RESIDENCY_READY {
				return s.engine.Stats().MemoryUsed == gib
			}
		}
		return false
	})
}

func asDied(t testing.TB, err error) *aubexecution.FailedError {
	t.Helper()
	var failed *aubexecution.FailedError
	qt.Assert(t, errors.As(err, &failed), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, failed.Reason, qt.Equals, aubwire.FailureReason_FAILURE_REASON_BACKEND_DIED, qt.Commentf("%v", err))
	return failed
}

// TestStreamWithoutEndMark has an engine close a stream in order, but early.
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
	s := &site{ctx: newContext(t), common: chatSite(t).common, opts: fastOpts()}
	s.opts.EngineURL = server.URL
	s.startAgent(t)
	s.awaitReady(t, "m")
	_, _, err := s.call(chatRequest("r", "m", "r", true))
	checkExecution(t, err, aubapi.ExecutionMayHaveRun)
}
