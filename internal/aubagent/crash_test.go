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

// TestAgentCrash stops the agent during a streamed response, with and without a
// restart as the next incarnation. The request must fail as "may have run" and not
// be executed again.
func TestAgentCrash(t *testing.T) {
	for _, restart := range []bool{false, true} {
		t.Run(map[bool]string{false: "no restart", true: "restart"}[restart], func(t *testing.T) {
			f := newSlowEngineFixture(t, 20*time.Millisecond)
			resp, err := f.executor.Execute(f.ctx, f.target, chatRequest("r", "m", "r", true))
			qt.Assert(t, err, qt.IsNil)
			_, err = resp.Next(f.ctx)
			qt.Assert(t, err, qt.IsNil)
			f.grpcServer.Stop()
			if restart {
				f.opts.Incarnation = f.agent.Incarnation() + 1
				f.startAgentAt(t, f.target.Address)
			}
			_, err = readAll(f.ctx, resp)
			checkExecution(t, err, aubapi.ExecutionMayHaveRun)
			qt.Assert(t, f.engine.Stats().Executions["r"], qt.Equals, 1)
		})
	}
}

// TestPlainServiceCrash has a request crash a plain service. The agent must report
// its fingerprint as suspect, refuse it afterwards, and must not suspect a
// request that arrives while the service is down.
func TestPlainServiceCrash(t *testing.T) {
	f := newServiceFixture(t, fastOpts())
	f.service.SetFaults(aubstandin.Faults{PoisonPrompt: "poison"})
	req := serviceRequest("r", http.MethodPost, "/x", []byte("poison"))
	req.Fingerprint = "f"
	_, _, err := f.call(req)
	failed := requireCrash(t, err)
	qt.Assert(t, failed.Execution, qt.Equals, aubapi.ExecutionMayHaveRun)
	qt.Assert(t, failed.Suspects, qt.DeepEquals, []string{"f"})

	repeated := serviceRequest("r2", http.MethodPost, "/x", []byte("poison"))
	repeated.Fingerprint = "f"
	_, _, err = f.call(repeated)
	checkExecution(t, err, aubapi.ExecutionNotRun)
	var refused *aubexecution.FailedError
	qt.Assert(t, err, qt.ErrorAs, &refused)
	qt.Assert(t, refused.Reason, qt.Equals, aubwire.FailureReason_FAILURE_REASON_POISON)

	// A request sent while the service is down can't have caused the crash.
	unrelated := serviceRequest("r3", http.MethodPost, "/x", []byte("unrelated"))
	unrelated.Fingerprint = "g"
	_, _, err = f.call(unrelated)
	checkExecution(t, err, aubapi.ExecutionNotRun)
	qt.Assert(t, requireCrash(t, err).Suspects, qt.HasLen, 0)
	qt.Assert(t, f.agent.Report().GetPoisoned(), qt.DeepEquals, []string{"f"})
}

// TestEngineProcessCrash has a request crash an engine that then refuses connections.
// The agent must detect the crash and report the request's fingerprint as poisoned.
func TestEngineProcessCrash(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprintf("stream %v", stream), func(t *testing.T) {
			var f *fixture
			f = newEngineFixture(t, aubstandin.EngineOpts{
				Items:   []aubengine.Item{readyItem("m", gib)},
				OnCrash: func() { _ = f.backendServer.Listener.Close() },
			}, fastOpts())
			f.awaitReady(t, "m")
			f.engine.SetFaults(aubstandin.Faults{PoisonPrompt: "poison"})
			_, _, err := f.call(chatRequest("r", "m", "poison", stream))
			checkExecution(t, err, aubapi.ExecutionMayHaveRun)
			qt.Assert(t, requireCrash(t, err).Suspects, qt.DeepEquals, []string{"poison"})
			qt.Assert(t, f.agent.Report().GetPoisoned(), qt.DeepEquals, []string{"poison"})
		})
	}
}
