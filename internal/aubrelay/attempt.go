package aubrelay

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/internal/aubsite"
)

// sendAttempt sends the request to one backend server and writes its response to the
// caller.
func (h *Handler) send(ctx context.Context, x *exchange, choice aubroute.Choice) sendResult {
	member := choice.Member.Announcement
	x.backend = member.GetName()
	x.sends++
	choice.Started()
	started := h.common.Timer.Now()
	// Canceling the context closes the connection, which stops the work of the backend
	// server.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	attempt := Attempt{
		Backend:   member.GetName(),
		Workspace: x.workspace.Name,
		Remaining: x.deadline.Sub(started),
		Priority:  priorityOf(x),
		LastEvent: x.lastEvent,
	}
	var sent atomic.Bool
	resp, err := h.transport.RoundTrip(h.newRequest(ctx, x, member.GetAddress(), attempt, &sent))
	var result sendResult
	if err != nil {
		result = h.failedSend(ctx, choice, sent.Load(), err)
	} else {
		result = h.receive(x, choice, resp, started)
		result.arrived = true
		_ = resp.Body.Close()
	}
	if result.verdict != verdictNotRun {
		x.mayHaveRun = true
		x.runs++
	}
	choice.Finished(aubroute.Outcome{
		FirstToken: x.firstEvent, Duration: h.common.Timer.Now().Sub(started), Failure: result.failure,
	})
	if result.verdict != verdictDone {
		h.logSend(x, choice, result, started)
	}
	return result
}

// logFailedAttempt logs an attempt that was not final.
func (h *Handler) logSend(x *exchange, choice aubroute.Choice, result sendResult, started time.Time) {
	now := h.common.Timer.Now()
	h.common.Log.Info("Send brought no answer.",
		zap.String("request_id", x.call.ID),
		zap.String("backend_server", x.backend),
		zap.String("address", choice.Member.Announcement.GetAddress()),
		zap.Uint64("backend_started_ms", choice.Member.Announcement.GetIncarnation()),
		zap.Int64("record_age_ms", now.Sub(choice.Member.HeardAt).Milliseconds()),
		zap.Bool("not_run", result.verdict == verdictNotRun),
		zap.Int64("last_event", x.lastEvent),
		zap.Int64("elapsed_ms", now.Sub(started).Milliseconds()),
		zap.Error(result.err))
}

// priorityOf returns the priority of a request at its backend server: the default plus
// that of the workspace, or of the route if the workspace sets none.
func priorityOf(x *exchange) int {
	priority := x.route.Priority
	if x.workspace.Priority != nil {
		priority = *x.workspace.Priority
	}
	return min(defaultPriority+priority, maxPriority)
}

// noResponseResult returns the result of an attempt without a response and marks
// a backend server that refused the connection as suspect.
func (h *Handler) failedSend(ctx context.Context, choice aubroute.Choice, sent bool, err error) sendResult {
	result := sendResult{verdict: verdictFailed, failure: aubroute.FailureConnection, arrived: sent, err: err}
	if !sent {
		result.verdict = verdictNotRun
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		h.parts.Registry.Suspect(choice.Member.Announcement.GetName(), int64(choice.Member.Announcement.GetIncarnation()))
	}
	if ctx.Err() != nil {
		result.failure = aubroute.FailureCanceled
	}
	return result
}

// handleResponse checks that a response belongs to the request and is signed, and
// writes it to the caller.
func (h *Handler) receive(x *exchange, choice aubroute.Choice, resp *http.Response, started time.Time) sendResult {
	answer := h.parts.Protocol.DecodeAnswer(resp.StatusCode, resp.Header)
	switch {
	case answer.NotRun:
		h.noteRefusal(x, answer)
		return sendResult{verdict: verdictNotRun, failure: aubroute.FailureRefused, err: &statusError{status: resp.StatusCode}}
	case answer.CallID != x.call.ID:
		return sendResult{verdict: verdictFailed, failure: aubroute.FailureBackend, err: &foreignAnswerError{callID: answer.CallID}}
	case resp.StatusCode < http.StatusMultipleChoices && !answer.Signed:
		return sendResult{verdict: verdictFailed, failure: aubroute.FailureBackend, err: &unsignedError{}}
	case x.route.Kind == aubsite.KindStream && resp.StatusCode == http.StatusOK:
		return h.passStream(x, choice, resp, started)
	}
	return h.passPlain(x, choice, resp, started)
}

// dropMissingCopy removes a model or adapter that the backend server refused as
// misdirected from the registry.
func (h *Handler) noteRefusal(x *exchange, answer Answer) {
	if answer.Misdirected && x.call.Model != "" {
		h.parts.Registry.DropCopy(x.backend, x.call.Model, x.call.Adapter)
	}
}
