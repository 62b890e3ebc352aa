package aubentry

import (
	"bytes"
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubexecution"
	"github.com/auburndale/auburndale/internal/aubpoison"
	"github.com/auburndale/auburndale/internal/aubqueue"
	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// pickInterval is the time between two looks for a backend server that can run
// a call whose model is being loaded.
const pickInterval = 20 * time.Millisecond

// sendUntilDone sends the call, and sends it again while that is safe.
func (h *Handler) sendUntilDone(ctx context.Context, x *exchange, c call) outcome {
	slot, err := h.admit(ctx, x, c)
	if err != nil {
		return outcome{err: err, execution: aubapi.ExecutionNotRun}
	}
	defer slot.Release()
	var exclude []string
	for attempt := uint32(1); ; attempt++ {
		choice, err := h.pick(ctx, x, c, exclude)
		if err != nil {
			return outcome{err: err, execution: aubapi.ExecutionNotRun}
		}
		o := h.sendOnce(ctx, x, c, choice, attempt)
		if o.err == nil || !h.maySendAgain(ctx, x, c, o, attempt) {
			return o
		}
		h.metrics.retries.Inc(1)
		exclude = append(exclude, choice.Member.Announcement.GetName())
	}
}

// maySendAgain reports whether another send is safe and within bounds. What was
// not run may always go elsewhere; the rest only if it is idempotent, nothing of
// an answer reached the caller and the retry budget allows it.
func (h *Handler) maySendAgain(ctx context.Context, x *exchange, c call, o outcome, attempt uint32) bool {
	if x.written || ctx.Err() != nil || attempt >= uint32(h.bounds.Attempts) {
		return false
	}
	if o.execution == aubapi.ExecutionNotRun {
		return true
	}
	return c.idempotent && h.parts.Router.AllowRetry("")
}

// admit waits for the call's turn.
func (h *Handler) admit(ctx context.Context, x *exchange, c call) (aubqueue.Slot, error) {
	slot, err := h.parts.Queue.Admit(ctx, aubqueue.Item{
		Workspace: c.workspace.Name,
		Weight:    max(c.workspace.Weight, 1),
		Cost:      max(c.cost, 1),
		Group:     c.group,
		Deadline:  x.started.Add(h.bounds.QueueTimeout),
	})
	if err != nil {
		return aubqueue.Slot{}, turnQueueError(err)
	}
	return slot, nil
}

// pick chooses a backend server. While a known model is not resident anywhere,
// the call waits for it to be loaded on demand; nothing loads a plain service, so
// its callers are told at once when to come back.
func (h *Handler) pick(ctx context.Context, x *exchange, c call, exclude []string) (aubroute.Choice, error) {
	request := aubroute.Request{
		Model:        c.model,
		Adapter:      c.adapter,
		Service:      c.service,
		PromptTokens: c.promptTokens,
		Prefixes:     c.prefixes,
		Exclude:      exclude,
	}
	choice, err := h.parts.Router.Pick(request)
	if err == nil || len(exclude) > 0 || c.service != "" {
		return choice, turnRouteError(err)
	}
	return h.awaitBackend(ctx, c, request, x.started.Add(h.bounds.QueueTimeout))
}

// awaitBackend looks again until a load on demand made a backend server ready.
func (h *Handler) awaitBackend(ctx context.Context, c call, request aubroute.Request, until time.Time) (aubroute.Choice, error) {
	defer h.parts.Demand.Wait(c.flow())()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticks := h.common.Timer.Subscribe(ctx, pickInterval)
	for {
		choice, err := h.parts.Router.Pick(request)
		if err == nil {
			return choice, nil
		}
		if !h.common.Timer.Now().Before(until) {
			return aubroute.Choice{}, turnRouteError(err)
		}
		select {
		case <-ctx.Done():
			return aubroute.Choice{}, refuse(problemTimeoutNotRun)
		case <-ticks:
		}
	}
}

// sendOnce runs one attempt on the chosen backend server.
func (h *Handler) sendOnce(ctx context.Context, x *exchange, c call, choice aubroute.Choice, attempt uint32) outcome {
	verdict, f := h.judge(c)
	if f != nil {
		return outcome{err: f, execution: f.execution}
	}
	choice.Started()
	began := h.common.Timer.Now()
	answer, err := h.parts.Executor.Execute(ctx, targetOf(choice), h.requestOf(c, attempt, verdict))
	if err != nil {
		choice.Finished(aubroute.Outcome{Failure: failureOf(err), Duration: h.common.Timer.Now().Sub(began)})
		return h.failedOutcome(ctx, choice, err)
	}
	defer answer.Close()
	return h.deliver(ctx, x, c, choice, answer, began)
}

func targetOf(choice aubroute.Choice) aubexecution.Target {
	a := choice.Member.Announcement
	return aubexecution.Target{Name: a.GetName(), Address: a.GetAddress(), Incarnation: a.GetIncarnation()}
}

func (h *Handler) requestOf(c call, attempt uint32, verdict aubpoison.Verdict) aubexecution.Request {
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
		Alone:       verdict == aubpoison.VerdictSuspect,
	}
}

// failedOutcome turns a failed execution and tells what ran when its backend
// server died.
func (h *Handler) failedOutcome(ctx context.Context, choice aubroute.Choice, err error) outcome {
	var failed *aubexecution.FailedError
	if errors.As(err, &failed) && len(failed.Suspects) > 0 {
		h.reportDeath(choice, failed)
	}
	f := turnExecutionError(ctx, err)
	return outcome{err: f, execution: f.execution}
}

func (h *Handler) reportDeath(choice aubroute.Choice, failed *aubexecution.FailedError) {
	ctx, cancel := context.WithTimeout(context.Background(), h.bounds.QueueTimeout)
	defer cancel()
	death := aubpoison.Death{Backend: choice.Member.Announcement.GetName(), ID: failed.DeathID, Fingerprints: failed.Suspects}
	if err := h.parts.Poison.Report(ctx, death); err != nil {
		h.common.Log.Warn("Could not report the death of a backend server.", zap.Error(err))
	}
}

// judge returns how a request is run, or the refusal of one that ended two
// backend servers.
func (h *Handler) judge(c call) (aubpoison.Verdict, *refusal) {
	verdict, left := h.parts.Poison.Table().Verdict(c.fingerprint())
	if verdict == aubpoison.VerdictBlocked {
		return verdict, refuse(problemPoison).WithRetryAfter(left)
	}
	return verdict, nil
}
