package aubrelay

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubpoison"
	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/internal/aubsite"
	"github.com/auburndale/auburndale/internal/aubthrottle"
)

// sendAttempt sends the request to one backend server and writes its response to the
// caller.
func (h *Handler) sendAttempt(ctx context.Context, ex *exchange, choice aubroute.Choice) attemptResult {
	announcement := choice.Member.Announcement
	ex.backendID, ex.software = announcement.GetName(), announcement.GetBackend().GetSoftware()
	ex.backendStartedMs, ex.isUnconfirmed = int64(announcement.GetIncarnation()), choice.Member.Unconfirmed
	ex.attempts++
	choice.Started()
	started := h.common.Timer.Now()
	// Canceling the context closes the connection, which stops the work of the backend
	// server.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	attempt := Attempt{
		Backend:     announcement.GetName(),
		Workspace:   ex.workspace.Name,
		Remaining:   ex.deadline.Sub(started),
		Priority:    priorityOf(ex),
		LastEventID: ex.lastEventID,
	}
	resp, conn, err := h.roundTrip(ctx, ex, announcement.GetAddress(), attempt)
	var result attemptResult
	if err != nil {
		result = h.noResponseResult(ctx, choice, err)
	} else {
		result = h.handleResponse(ex, choice, conn, resp, started)
		result.isUnframed = isUnframed(resp)
		result.mayHaveArrived = true
		_ = resp.Body.Close()
		h.release(ex, conn, resp, result)
	}
	if result.outcome != outcomeNotRun {
		ex.mayHaveRun = true
		ex.possibleRuns++
	}
	choice.Finished(aubroute.Outcome{
		FirstToken: ex.firstEventTime, Duration: h.common.Timer.Now().Sub(started), Failure: result.failure,
	})
	h.reportToGuard(ctx, ex, choice, result, started)
	if result.outcome != outcomeFinal {
		h.logFailedAttempt(ex, choice, result, started)
	}
	h.recordBroken(ex, announcement.GetAddress(), resp, result.err)
	return result
}

// reportToGuard reports a complete answer, and a connection that was lost although neither
// the caller left nor the deadline passed.
func (h *Handler) reportToGuard(ctx context.Context, ex *exchange, choice aubroute.Choice, result attemptResult, started time.Time) {
	run := aubpoison.Run{Fingerprints: ex.suspectFingerprints, StartedAt: started, EndedAt: h.common.Timer.Now(), IsTrial: ex.isTrial}
	reportCompletion := func() { h.opts.Guard.ReportCompletion(run.Fingerprints...) }
	isComplete := result.outcome == outcomeFinal && result.err == nil && ex.status < http.StatusMultipleChoices && ex.firstEventTime > 0
	switch {
	case isComplete && !result.isUnframed:
		reportCompletion()
	case isComplete && (len(ex.lostMembers) > 0 || h.opts.Guard.HasSuspect(run.Fingerprints...)):
		// The end of the response may be that of the backend server. After a lost connection the
		// fingerprints may become suspect only later.
		h.reportLoss(ex, choice.Member, InterruptedRequest{RequestID: ex.call.ID, Run: run, OnRunning: reportCompletion})
	case result.mayHaveArrived && result.failure == aubroute.FailureConnection && ctx.Err() == nil:
		h.reportLoss(ex, choice.Member, InterruptedRequest{RequestID: ex.call.ID, Run: run})
	default:
		return
	}
	ex.isTrial = false
}

// reportLoss reports a lost connection after the request's earlier one.
func (h *Handler) reportLoss(ex *exchange, member aubmembership.Member, request InterruptedRequest) {
	if n := len(ex.lostMembers); n > 0 {
		h.opts.Crashes.AddLossAfter(ex.lostMembers[n-1], member, request)
	} else {
		h.opts.Crashes.AddLoss(member, request)
	}
	ex.lostMembers = append(ex.lostMembers, member)
}

// logFailedAttempt logs an attempt that was not final.
func (h *Handler) logFailedAttempt(ex *exchange, choice aubroute.Choice, result attemptResult, started time.Time) {
	now := h.common.Timer.Now()
	h.common.Log.Info("Send brought no answer.",
		zap.String("request_id", ex.call.ID),
		zap.String("fingerprint", ex.fingerprint),
		zap.String("backend_server", ex.backendID),
		zap.String("software", ex.software),
		zap.String("address", choice.Member.Announcement.GetAddress()),
		zap.Uint64("backend_started_ms", choice.Member.Announcement.GetIncarnation()),
		zap.Bool("unconfirmed", ex.isUnconfirmed),
		zap.Int64("record_age_ms", now.Sub(choice.Member.ReceivedAt).Milliseconds()),
		zap.Bool("not_run", result.outcome == outcomeNotRun),
		zap.Int64("last_event", ex.lastEventID),
		zap.Int64("elapsed_ms", now.Sub(started).Milliseconds()),
		zap.Error(result.err))
}

// recordBroken logs and counts the response of an attempt if it is broken; resp is nil if its head is.
func (h *Handler) recordBroken(ex *exchange, address string, resp *http.Response, err error) {
	status := 0
	if resp != nil {
		status = resp.StatusCode
	}
	h.broken.Record(err,
		zap.String("request_id", ex.call.ID),
		zap.String("backend_server", ex.backendID),
		zap.String("address", address),
		zap.Int("status", status),
		zap.Bool("has_begun", ex.headerWritten))
}

// priorityOf returns the priority of a request at its backend server: defaultPriority plus
// that of the workspace, or of the route if the workspace sets none, up to maxPriority.
func priorityOf(ex *exchange) int {
	priority := ex.route.Priority
	if ex.workspace.Priority != nil {
		priority = *ex.workspace.Priority
	}
	return min(defaultPriority+priority, maxPriority)
}

// noResponseResult returns the result of an attempt without a response and marks
// a backend server that refused the connection as suspect.
func (h *Handler) noResponseResult(ctx context.Context, choice aubroute.Choice, err error) attemptResult {
	result := attemptResult{outcome: outcomeFailed, failure: aubroute.FailureConnection, mayHaveArrived: true, err: err}
	var unsent *unsentError
	if errors.As(err, &unsent) {
		result.outcome, result.mayHaveArrived = outcomeNotRun, false
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		h.opts.Registry.MarkSuspect(choice.Member.Announcement.GetName(), int64(choice.Member.Announcement.GetIncarnation()))
	}
	if ctx.Err() != nil {
		result.failure = aubroute.FailureCanceled
	}
	return result
}

// release gives a connection back after a response. The response to this request may follow that
// to another one, so the connection is closed then.
func (h *Handler) release(ex *exchange, conn *backendConn, resp *http.Response, result attemptResult) {
	var foreign *foreignResponseError
	if errors.As(result.err, &foreign) {
		h.unsolicited.record(conn, unsolicitedResponse{outcome: unsolicitedFailed, status: resp.StatusCode, header: resp.Header, awaited: ex.call.ID})
		conn.close()
		return
	}
	h.conns.give(conn)
}

// handleResponse checks that a response belongs to the request and is signed, and
// writes it to the caller. Whatever a response says, it says of the request that it names.
func (h *Handler) handleResponse(ex *exchange, choice aubroute.Choice, conn *backendConn, resp *http.Response, started time.Time) attemptResult {
	decoded := h.opts.Protocol.DecodeResponse(resp.StatusCode, resp.Header)
	if decoded.CallID != ex.call.ID {
		return attemptResult{outcome: outcomeFailed, failure: aubroute.FailureBackend, err: &foreignResponseError{callID: decoded.CallID, status: resp.StatusCode}}
	}
	h.observeAdvice(ex, choice, decoded)
	switch {
	case decoded.NotRun:
		if err := conn.readRefusal(); err != nil {
			return attemptResult{outcome: outcomeFailed, failure: aubroute.FailureConnection, err: err}
		}
		h.dropMissingCopy(ex, decoded)
		if decoded.Misdirected {
			h.opts.Registry.RejectUnconfirmed(ex.call.ID, ex.backendID, ex.backendStartedMs)
		}
		return attemptResult{outcome: outcomeNotRun, failure: aubroute.FailureRefused, err: &statusError{status: resp.StatusCode}}
	case meansNotRun(resp.StatusCode) && !ex.route.Repeatable():
		return attemptResult{outcome: outcomeFailed, failure: aubroute.FailureBackend, err: &unstatedRefusalError{status: resp.StatusCode}}
	case resp.StatusCode < http.StatusOK:
		// No request asks for another protocol.
		return attemptResult{outcome: outcomeFailed, failure: aubroute.FailureBackend, err: &statusError{status: resp.StatusCode}}
	case resp.StatusCode < http.StatusMultipleChoices && !decoded.Signed:
		return attemptResult{outcome: outcomeFailed, failure: aubroute.FailureBackend, err: &unsignedResponseError{}}
	case ex.route.Kind != aubsite.KindStream:
		return h.relayPlain(ex, choice, resp, started)
	case resp.StatusCode == http.StatusOK:
		return h.relayStream(ex, choice, resp, started)
	case ex.headerWritten || ex.lastEventID != NoEventID && resp.StatusCode < http.StatusMultipleChoices:
		// The caller has a part of the stream, which goes on with its next event only.
		return attemptResult{outcome: outcomeFailed, failure: aubroute.FailureBackend, err: &statusError{status: resp.StatusCode}}
	}
	return h.relayPlain(ex, choice, resp, started)
}

// meansNotRun reports whether callers take the status for a promise that their request did not run.
func meansNotRun(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest ||
		status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// observeAdvice passes on what a response to the request says of the requests that its backend
// server wants. Only a signed one ends a limit.
func (h *Handler) observeAdvice(ex *exchange, choice aubroute.Choice, decoded BackendResponse) {
	if decoded.Misdirected {
		return
	}
	_, isLimited := decoded.RateLimit.Get()
	backend := throttledBackend(choice)
	if isLimited || decoded.Signed {
		h.opts.Throttle.Observe(ex.call.ID, backend, decoded.RateLimit)
	}
	if decoded.RetryAfter > 0 {
		h.opts.Throttle.ObserveQuiet(ex.call.ID, backend, decoded.RetryAfter)
	}
	if left, _ := decoded.ColdLeft.Get(); decoded.Signed || left > 0 {
		h.opts.Throttle.ObserveCold(ex.call.ID, backend, decoded.ColdLeft)
	}
	if decoded.Leaving {
		h.opts.Registry.MarkLeaving(ex.call.ID, backend.Name, int64(backend.Incarnation))
	}
}

// throttledBackend returns the incarnation that the choice names.
func throttledBackend(choice aubroute.Choice) aubthrottle.Backend {
	announcement := choice.Member.Announcement
	return aubthrottle.Backend{Name: announcement.GetName(), Incarnation: announcement.GetIncarnation()}
}

// dropMissingCopy removes the request's model or adapter from the backend server's
// record if the backend server refused the request as misdirected.
func (h *Handler) dropMissingCopy(ex *exchange, decoded BackendResponse) {
	if decoded.Misdirected && ex.call.Model != "" {
		h.opts.Registry.DropCopy(ex.backendID, ex.call.Model, ex.call.Adapter)
	}
}
