package aubentry

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/auburndale/auburndale/internal/aubexecution"
	"github.com/auburndale/auburndale/internal/aubpoison"
	"github.com/auburndale/auburndale/internal/aubqueue"
	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// pickRetryInterval is the time between two attempts to pick a backend server for a
// call that waits for its model to be loaded.
const pickRetryInterval = 20 * time.Millisecond

// runAttempts runs the call in a slot of the queue and retries it while that is safe.
func (h *Handler) runAttempts(ctx context.Context, ex *exchange, c call) outcome {
	slot, err := h.admit(ctx, ex, c)
	if err != nil {
		return outcome{err: err, execution: aubapi.ExecutionNotRun}
	}
	defer slot.Release()
	defer func() {
		if ex.isTrial {
			h.deps.Poison.EndTrial(c.fingerprints()...)
		}
	}()
	var exclude []string
	// earlier is the outcome of the last attempt that may have run; zero if none may have.
	var earlier outcome
	for attempt := uint32(1); ; attempt++ {
		choice, err := h.pickBackend(ctx, ex, c, exclude)
		if err != nil {
			return finalOutcome(earlier, outcome{err: err, execution: aubapi.ExecutionNotRun})
		}
		o := h.runAttempt(ctx, ex, c, choice, attempt)
		if o.err == nil || !h.mayRetry(ctx, ex, c, o, attempt) {
			return finalOutcome(earlier, o)
		}
		if o.execution != aubapi.ExecutionNotRun {
			earlier = o
		}
		h.metrics.retries.Inc(1)
		exclude = append(exclude, choice.Member.Announcement.GetName())
	}
}

// mayRetry reports whether another attempt is safe and within the bounds. There is
// none once the response to the caller has started or ctx has ended. A call that was
// not run may be retried; any other only if it is idempotent and the retry budget
// allows it.
func (h *Handler) mayRetry(ctx context.Context, ex *exchange, c call, o outcome, attempt uint32) bool {
	if ex.responseStarted || ctx.Err() != nil || attempt >= uint32(h.bounds.MaxAttempts) {
		return false
	}
	if o.execution == aubapi.ExecutionNotRun {
		return true
	}
	return c.idempotent && h.deps.Router.AllowRetry(c.service)
}

// admit waits for a slot in the queue of the call's group.
func (h *Handler) admit(ctx context.Context, ex *exchange, c call) (aubqueue.Slot, error) {
	slot, err := h.deps.Queue.Admit(ctx, aubqueue.Item{
		Workspace: c.workspace.Name,
		Weight:    max(c.workspace.Weight, 1),
		Cost:      max(c.cost, 1),
		Group:     c.group,
		Deadline:  ex.arrivedAt.Add(h.bounds.QueueTimeout),
	})
	if err != nil {
		return aubqueue.Slot{}, mapQueueError(err)
	}
	return slot, nil
}

// pickBackend chooses a backend server. If no backend server can run a model call at
// the first attempt, the call waits for its model to be loaded on demand. Plain
// services are never loaded, so their callers get a refusal with Retry-After
// immediately.
func (h *Handler) pickBackend(ctx context.Context, ex *exchange, c call, exclude []string) (aubroute.Choice, error) {
	request := aubroute.Request{
		Model:        c.model,
		Adapter:      c.adapter,
		Service:      c.service,
		PromptTokens: c.promptTokens,
		PrefixHashes: c.prefixHashes,
		Exclude:      exclude,
		RetryBudget:  c.service,
	}
	choice, err := h.deps.Router.Pick(request)
	if err == nil || len(exclude) > 0 || c.service != "" || isRateLimited(err) {
		return choice, mapRouteError(err)
	}
	return h.awaitBackend(ctx, c, request, ex.arrivedAt.Add(h.bounds.QueueTimeout))
}

// awaitBackend picks repeatedly until a load on demand has made a backend server
// ready or the deadline has passed.
func (h *Handler) awaitBackend(ctx context.Context, c call, request aubroute.Request, deadline time.Time) (aubroute.Choice, error) {
	defer h.deps.Demand.BeginWait(c.flow())()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticks := h.common.Timer.Subscribe(ctx, pickRetryInterval)
	for {
		choice, err := h.deps.Router.Pick(request)
		if err == nil {
			return choice, nil
		}
		if isRateLimited(err) || !h.common.Timer.Now().Before(deadline) {
			return aubroute.Choice{}, mapRouteError(err)
		}
		select {
		case <-ctx.Done():
			return aubroute.Choice{}, refuse(problemTimeoutNotRun)
		case <-ticks:
		}
	}
}

// runAttempt runs one attempt on the chosen backend server and delivers its response.
func (h *Handler) runAttempt(ctx context.Context, ex *exchange, c call, choice aubroute.Choice, attempt uint32) outcome {
	if refused := h.admitSuspect(ctx, ex, c); refused != nil {
		return outcome{err: refused, execution: refused.execution}
	}
	choice.Started()
	startedAt := h.common.Timer.Now()
	response, err := h.deps.Executor.Execute(ctx, executionTarget(choice), h.executionRequest(ex, c, attempt))
	if err != nil {
		choice.Finished(aubroute.Outcome{Failure: routeFailure(err), Duration: h.common.Timer.Now().Sub(startedAt)})
		h.reportInterruption(ex, c, startedAt, err)
		return h.failedOutcome(ctx, choice, err)
	}
	defer response.Close()
	o := h.deliver(ctx, ex, c, choice, response, startedAt)
	if o.err != nil {
		h.reportInterruption(ex, c, startedAt, o.failure)
	} else {
		h.deps.Poison.ReportCompletion(c.fingerprints()...)
		ex.isTrial = false
	}
	return o
}

func executionTarget(choice aubroute.Choice) aubexecution.Target {
	a := choice.Member.Announcement
	return aubexecution.Target{Name: a.GetName(), Address: a.GetAddress(), Incarnation: a.GetIncarnation()}
}

func (h *Handler) executionRequest(ex *exchange, c call, attempt uint32) aubexecution.Request {
	return aubexecution.Request{
		RequestID:   c.id,
		Attempt:     attempt,
		Method:      c.method,
		Path:        c.path,
		Header:      c.header,
		Body:        bytes.NewReader(c.body),
		Model:       c.engineName(),
		Service:     c.service,
		Idempotent:  c.idempotent,
		Stream:      c.stream,
		HideUsage:   c.hideUsage,
		Timeout:     c.deadline.Sub(h.common.Timer.Now()),
		Fingerprint: c.fingerprint(),
		Alone:       ex.isTrial || h.deps.Poison.HasSuspect(c.fingerprint()),
	}
}

// failedOutcome converts a failed execution to an outcome. If the backend server
// crashed, it reports the requests that were in flight there.
func (h *Handler) failedOutcome(ctx context.Context, choice aubroute.Choice, err error) outcome {
	var failed *aubexecution.FailedError
	if errors.As(err, &failed) && len(failed.Suspects) > 0 {
		h.deps.Poison.ReportCrash(aubpoison.Crash{Backend: choice.Member.Announcement.GetName(), ID: failed.CrashID, Fingerprints: failed.Suspects})
	}
	refused := mapExecutionError(ctx, err)
	return outcome{err: refused, execution: refused.execution}
}

// reportInterruption reports the call's prompt parts if its backend server crashed while
// it ran the call. The agent, which reports all requests in flight, does not know their
// parts.
func (h *Handler) reportInterruption(ex *exchange, c call, startedAt time.Time, err error) {
	var failed *aubexecution.FailedError
	if !errors.As(err, &failed) || !slices.Contains(failed.Suspects, c.fingerprint()) {
		return
	}
	if len(c.parts) > 0 {
		run := aubpoison.Run{Fingerprints: c.parts, StartedAt: startedAt, EndedAt: h.common.Timer.Now(), IsTrial: ex.isTrial}
		h.deps.Poison.ReportCrash(aubpoison.Crash{ID: failed.CrashID, Runs: []aubpoison.Run{run}})
	}
	ex.isTrial = false
}

// admitSuspect returns a refusal if the call may crash its backend server. It is called
// before each attempt; a trial goes on with the next one.
func (h *Handler) admitSuspect(ctx context.Context, ex *exchange, c call) *refusal {
	if ex.isTrial {
		return nil
	}
	admission, err := h.deps.Poison.Admit(ctx, c.id, c.fingerprints()...)
	var blocked *aubpoison.BlockedError
	if errors.As(err, &blocked) {
		return refuse(problemPoison).WithRetryAfter(blocked.RetryAfter)
	}
	ex.isTrial = admission == aubpoison.AdmissionTrial
	return nil
}
