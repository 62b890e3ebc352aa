package aubagent_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubengine"
	"github.com/auburndale/auburndale/internal/aubexecution"
	"github.com/auburndale/auburndale/internal/aubstandin"
	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// TestAgentDies ends the agent under a stream and brings up its next incarnation.
func TestAgentDies(t *testing.T) {
	for _, restart := range []bool{false, true} {
		t.Run(map[bool]string{false: "for good", true: "and restarts"}[restart], func(t *testing.T) {
			s := slowSite(t, 20*time.Millisecond)
			a, err := s.executor.Execute(s.ctx, s.target, chatRequest("r", "m", "r", true))
			qt.Assert(t, err, qt.IsNil)
			_, err = a.Next(s.ctx)
			qt.Assert(t, err, qt.IsNil)
			s.server.Stop()
			if restart {
				s.opts.Incarnation = s.agent.Incarnation() + 1
				s.startAgentAt(t, s.target.Address)
			}
			_, err = readAll(s.ctx, a)
			checkExecution(t, err, aubapi.ExecutionMayHaveRun)
			qt.Assert(t, s.engine.Stats().Executions["r"], qt.Equals, 1)
		})
	}
}

// TestPlainServiceDies has a request end the service; the agent names it.
func TestPlainServiceDies(t *testing.T) {
	s := newServiceSite(t, fastOpts())
	s.service.SetFaults(aubstandin.Faults{PoisonPrompt: "poison"})
	req := serviceRequest("r", http.MethodPost, "/x", []byte("poison"))
	req.Fingerprint = "f"
	_, _, err := s.call(req)
	failed := asDied(t, err)
	qt.Assert(t, failed.Execution, qt.Equals, aubapi.ExecutionMayHaveRun)
	qt.Assert(t, failed.Suspects, qt.DeepEquals, []string{"f"})

	again := serviceRequest("r2", http.MethodPost, "/x", []byte("poison"))
	again.Fingerprint = "f"
	_, _, err = s.call(again)
	checkExecution(t, err, aubapi.ExecutionNotRun)
	var refused *aubexecution.FailedError
	qt.Assert(t, err, qt.ErrorAs, &refused)
	qt.Assert(t, refused.Reason, qt.Equals, aubwire.FailureReason_FAILURE_REASON_POISON)

	// One that comes while the service is down had no part in its death.
	innocent := serviceRequest("r3", http.MethodPost, "/x", []byte("innocent"))
	innocent.Fingerprint = "g"
	_, _, err = s.call(innocent)
	checkExecution(t, err, aubapi.ExecutionNotRun)
	qt.Assert(t, asDied(t, err).Suspects, qt.HasLen, 0)
	qt.Assert(t, s.agent.Report().GetPoisoned(), qt.DeepEquals, []string{"f"})
}

// TestEngineProcessDies has a request end an engine that then refuses connections.
func TestEngineProcessDies(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprintf("stream %v", stream), func(t *testing.T) {
			var s *site
			s = newEngineSite(t, aubstandin.EngineOpts{
				Items:   []aubengine.Item{ready("m", gib)},
				OnCrash: func() { _ = s.backend.Listener.Close() },
			}, fastOpts())
			s.awaitReady(t, "m")
			s.engine.SetFaults(aubstandin.Faults{PoisonPrompt: "poison"})
			_, _, err := s.call(chatRequest("r", "m", "poison", stream))
			checkExecution(t, err, aubapi.ExecutionMayHaveRun)
			qt.Assert(t, asDied(t, err).Suspects, qt.DeepEquals, []string{"poison"})
			qt.Assert(t, s.agent.Report().GetPoisoned(), qt.DeepEquals, []string{"poison"})
		})
	}
}
