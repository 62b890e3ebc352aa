package aubrelay

import (
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubsite"
)

// exchange is one caller's request and its way to an answer. One goroutine uses it.
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

	// written is set once the answer's header left.
	written bool
	// status of the answer.
	status int
	// mayHaveRun is set once a backend server may have begun to run the request.
	mayHaveRun bool
	// lastEvent is the last event that the caller holds.
	lastEvent int64
	// sends counts the backend servers that were sent the request, runs those that
	// may have run it.
	sends int
	runs  int
	// backend is the one sent to last.
	backend    string
	firstEvent time.Duration
	// longestPause is the longest time between two events of a stream.
	longestPause time.Duration
	excluded     []string
}

// refusedError ends a request with a refusal.
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

// goneError says that the caller left.
type goneError struct{ err error }

// Error implements error.
func (e *goneError) Error() string { return "caller left: " + e.err.Error() }

// Unwrap returns the cause.
func (e *goneError) Unwrap() error { return e.err }

// brokenError says that an answer that was begun can't be completed.
type brokenError struct{ err error }

// Error implements error.
func (e *brokenError) Error() string { return "answer broke off: " + e.err.Error() }

// Unwrap returns the cause.
func (e *brokenError) Unwrap() error { return e.err }

func refuse(status int, code RefusalCode, retryAfter time.Duration) error {
	return &refusedError{refusal: Refusal{Status: status, Code: code, RetryAfter: retryAfter}}
}

// finish answers a request that failed and writes its line of the log. An answer
// that was begun is aborted, so that it can't be taken for a whole one.
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

// report writes the request's line of the log and its metrics.
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
