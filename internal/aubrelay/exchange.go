package aubrelay

import (
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubsite"
)

// exchange is the state of one caller's request until its response is complete. It is
// used by a single goroutine.
type exchange struct {
	w    http.ResponseWriter
	r    *http.Request
	call Call
	site *aubsite.Site
	// route and workspace are zero until the request is admitted.
	route     aubsite.Route
	workspace aubsite.Workspace
	service   string
	body      []byte
	started   time.Time
	deadline  time.Time

	// written is set once the response header was written to the caller.
	written bool
	// status is the HTTP status of the response to the caller.
	status int
	// mayHaveRun is set once a backend server may have started to run the request.
	mayHaveRun bool
	// lastEventID is the id of the last stream event that the caller received.
	lastEvent int64
	// attempts counts the attempts, possibleRuns those that may have run the request.
	sends int
	runs  int
	// backendID is the backend server of the last attempt.
	backend string
	// firstEventTime is the time from the start of an attempt to its first stream event
	// or its complete plain response; 0 before.
	firstEvent time.Duration
	// maxEventGap is the longest time between two events of a stream.
	longestPause time.Duration
	// excludedBackends are the backend servers of earlier attempts.
	excluded []string
}

// refusalError ends a request with a refusal. The cause err may be nil.
type refusedError struct {
	refusal Refusal
	err     error
}

// Error implements error.
func (e *refusedError) Error() string {
	if e.err != nil {
		return string(e.refusal.Code) + ": " + e.err.Error()
	}
	return string(e.refusal.Code)
}

// Unwrap returns the cause.
func (e *refusedError) Unwrap() error { return e.err }

// disconnectedError means that the connection to the caller ended.
type goneError struct{ err error }

// Error implements error.
func (e *goneError) Error() string { return "caller left: " + e.err.Error() }

// Unwrap returns the cause.
func (e *goneError) Unwrap() error { return e.err }

// incompleteResponseError means that a response of which the caller has received a part
// can't be completed.
type brokenError struct{ err error }

// Error implements error.
func (e *brokenError) Error() string { return "answer broke off: " + e.err.Error() }

// Unwrap returns the cause.
func (e *brokenError) Unwrap() error { return e.err }

// newRefusal returns a refusalError without a cause.
func refuse(status int, code RefusalCode, retryAfter time.Duration) error {
	return &refusedError{refusal: Refusal{Status: status, Code: code, RetryAfter: retryAfter}}
}

// finish writes the refusal of a failed request and records its outcome. It aborts
// the connection of an incomplete response, so that the caller can't mistake it for a
// complete one.
func (h *Handler) finish(x *exchange, err error) {
	var refused *refusedError
	var gone *goneError
	outcome := "answered"
	switch {
	case err == nil:
	case errors.As(err, &gone):
		outcome = "caller_left"
	case x.written:
		outcome = "broken_off"
	case errors.As(err, &refused):
		outcome = string(refused.refusal.Code)
		x.status = refused.refusal.Status
		h.parts.Protocol.WriteRefusal(x.w, x.call.ID, refused.refusal)
	default:
		outcome = "internal_error"
		x.status = http.StatusBadGateway
		h.parts.Protocol.WriteRefusal(x.w, x.call.ID, Refusal{Status: http.StatusBadGateway, Code: CodeFailed})
	}
	h.report(x, outcome, err)
	if x.written && err != nil {
		panic(http.ErrAbortHandler)
	}
}

// recordOutcome logs the end of the request and updates its metrics.
func (h *Handler) report(x *exchange, outcome string, err error) {
	elapsed := h.common.Timer.Now().Sub(x.started)
	h.metrics.count(x.route.Name, outcome, x.firstEvent, elapsed)
	fields := []zap.Field{
		zap.String("request_id", x.call.ID),
		zap.String("route", x.route.Name),
		zap.String("service", x.service),
		zap.String("workspace", x.workspace.Name),
		zap.String("model", x.call.Model),
		zap.String("adapter", x.call.Adapter),
		zap.String("outcome", outcome),
		zap.Int("status", x.status),
		zap.String("backend_server", x.backend),
		zap.Int("sends", x.sends),
		zap.Bool("may_have_run", x.mayHaveRun),
		zap.Int64("first_event_ms", x.firstEvent.Milliseconds()),
		zap.Int64("longest_pause_ms", x.longestPause.Milliseconds()),
		zap.Int64("elapsed_ms", elapsed.Milliseconds()),
	}
	if x.site != nil {
		fields = append(fields, zap.Uint64("revision", x.site.Number()))
	}
	if err != nil {
		fields = append(fields, zap.Error(err))
	}
	h.common.Log.Info("Request ended.", fields...)
}
