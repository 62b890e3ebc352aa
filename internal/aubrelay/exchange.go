package aubrelay

import (
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubbudget"
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/auboption"
	"github.com/auburndale/auburndale/internal/aubsite"
	"github.com/auburndale/auburndale/internal/aubtransport"
)

// exchange is the state of one caller's request until its response is complete. It is
// used by a single goroutine.
type exchange struct {
	writer  http.ResponseWriter
	request *http.Request
	call    Call
	site    *aubsite.Site
	// route and workspace are zero until the request is admitted.
	route     aubsite.Route
	workspace aubsite.Workspace
	service   string
	// regions are those in which the request may run; any if there are none.
	regions []string
	body    []byte
	// fingerprint identifies the content of the request; empty until the body is read.
	fingerprint string
	// suspectFingerprints are fingerprint and those of the shared prompt parts.
	suspectFingerprints []string
	// isTrial is set while the request runs as a trial whose outcome is not yet reported.
	isTrial   bool
	startedAt time.Time
	deadline  time.Time
	// readAt is when the whole request had been read; zero before.
	readAt time.Time

	// buffered is what the response holds of the relay's buffers.
	buffered bufferShare
	// headerWritten is set once the response header was written to the caller.
	headerWritten bool
	// status is the HTTP status of the response to the caller.
	status int
	// mayHaveRun is set once a backend server may have started to run the request.
	mayHaveRun bool
	// lastEventID is the id of the last stream event that the caller received.
	lastEventID int64
	// attempts counts the attempts, possibleRuns those in which the request may have run.
	attempts     int
	possibleRuns int
	// backendID is the backend server of the last attempt, software its software version.
	backendID string
	software  string
	// backendStartedMs is when its incarnation started, isUnconfirmed is set if it had not
	// registered since the start of the control process that told of it.
	backendStartedMs int64
	isUnconfirmed    bool
	// requiredSoftware is the software version that the stream has begun at; none while it
	// has no events.
	requiredSoftware auboption.Option[string]
	// firstEventTime is the time from the start of an attempt to its first stream event
	// or its complete plain response; 0 before.
	firstEventTime time.Duration
	// maxEventGap is the longest time between two events of a stream.
	maxEventGap time.Duration
	// usedConns are the connections on which the request may have been sent.
	usedConns []*backendConn
	// excludedBackends are the backend servers of earlier attempts.
	excludedBackends []string
	// admission is nil unless requests are admitted by their objectives.
	admission *admission
	// lostMembers are the backend servers to which the request lost a connection, in order.
	lostMembers []aubmembership.Member
}

// refusalError ends a request with a refusal. The cause err may be nil.
type refusalError struct {
	refusal Refusal
	err     error
}

// Error implements error.
func (e *refusalError) Error() string {
	if e.err != nil {
		return string(e.refusal.Code) + ": " + e.err.Error()
	}
	return string(e.refusal.Code)
}

// Unwrap returns the cause.
func (e *refusalError) Unwrap() error { return e.err }

// disconnectedError means that the connection to the caller ended.
type disconnectedError struct{ err error }

// Error implements error.
func (e *disconnectedError) Error() string { return "caller left: " + e.err.Error() }

// Unwrap returns the cause.
func (e *disconnectedError) Unwrap() error { return e.err }

// incompleteResponseError means that a response of which the caller has received a part
// can't be completed.
type incompleteResponseError struct{ err error }

// Error implements error.
func (e *incompleteResponseError) Error() string { return "answer broke off: " + e.err.Error() }

// Unwrap returns the cause.
func (e *incompleteResponseError) Unwrap() error { return e.err }

// newRefusal returns a refusalError without a cause.
func newRefusal(status int, code RefusalCode, retryAfter time.Duration) error {
	return &refusalError{refusal: Refusal{Status: status, Code: code, RetryAfter: retryAfter}}
}

// finish writes the refusal of a failed request and records its outcome. It aborts
// the connection of an incomplete response, or of none, so that the caller can't mistake it for a
// complete one.
func (h *Handler) finish(ex *exchange, err error) {
	var refusedErr *refusalError
	var disconnected *disconnectedError
	var slow *slowCallerError
	outcome := "answered"
	if !ex.headerWritten {
		h.closeConnection(ex)
		aubbudget.FromContext(ex.request.Context()).Refuse(ex.writer.Header())
	}
	switch {
	case err == nil:
	case errors.As(err, &slow):
		outcome = "caller_too_slow"
	case errors.As(err, &disconnected):
		outcome = "caller_left"
	case ex.headerWritten:
		outcome = "broken_off"
	case errors.As(err, &refusedErr):
		outcome = string(refusedErr.refusal.Code)
		ex.status = refusedErr.refusal.Status
		h.opts.Protocol.WriteRefusal(ex.writer, ex.call.ID, refusedErr.refusal)
	default:
		outcome = "internal_error"
		ex.status = http.StatusBadGateway
		h.opts.Protocol.WriteRefusal(ex.writer, ex.call.ID, Refusal{Status: http.StatusBadGateway, Code: CodeBackendFailed})
	}
	h.recordOutcome(ex, outcome, err)
	isUnanswered := disconnected != nil && !ex.headerWritten
	if err != nil && (ex.headerWritten || isUnanswered) {
		// Without a panic net/http would end the response, or send an empty one with status 200: a caller
		// that has closed only its sending side still reads.
		aubtransport.AbortResponse(ex.writer, ex.request)
	}
}

// recordOutcome logs the end of the request and updates its metrics.
func (h *Handler) recordOutcome(ex *exchange, outcome string, err error) {
	elapsed := h.common.Timer.Now().Sub(ex.startedAt)
	h.metrics.record(ex.route.Name, outcome, ex.firstEventTime, elapsed)
	fields := []zap.Field{
		zap.String("request_id", ex.call.ID),
		zap.String("fingerprint", ex.fingerprint),
		zap.String("route", ex.route.Name),
		zap.String("service", ex.service),
		zap.String("workspace", ex.workspace.Name),
		zap.String("model", ex.call.Model),
		zap.String("adapter", ex.call.Adapter),
		zap.String("outcome", outcome),
		zap.Int("status", ex.status),
		zap.String("backend_server", ex.backendID),
		zap.String("software", ex.software),
		zap.String("resumes", ex.call.Resumes),
		zap.Int64("resumes_after", ex.call.LastEventID),
		zap.Int("sends", ex.attempts),
		zap.Bool("may_have_run", ex.mayHaveRun),
		zap.Int64("first_event_ms", ex.firstEventTime.Milliseconds()),
		zap.Int64("longest_pause_ms", ex.maxEventGap.Milliseconds()),
		zap.Int64("elapsed_ms", elapsed.Milliseconds()),
	}
	if len(ex.regions) > 0 {
		fields = append(fields, zap.Strings("regions", ex.regions))
	}
	if ex.site != nil {
		fields = append(fields, zap.Uint64("revision", ex.site.Number()))
	}
	if err != nil {
		fields = append(fields, zap.Error(err))
	}
	h.common.Log.Info("Request ended.", fields...)
}
