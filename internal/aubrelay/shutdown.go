package aubrelay

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubsite"
)

const (
	// fullBatchFirstEvent is the time to the first event of a stream on an engine with a
	// full batch, fullBatchTokenTime the time for each further token.
	fullBatchFirstEvent = time.Second
	fullBatchTokenTime  = 20 * time.Millisecond
)

// errShutdown is the cause with which the end of the shutdown ends a request.
var errShutdown = errors.New("process shuts down")

// DrainOpts are the times of a shutdown.
type DrainOpts struct {
	// NoticedAt is when load balancers have noticed the shutdown, so that a refused caller reaches
	// another instance.
	NoticedAt time.Time
	// EndsAt is when End is called.
	EndsAt time.Time
}

// shutdown is the state of the process's shutdown.
type shutdown struct {
	// times is nil before the shutdown.
	times atomic.Pointer[DrainOpts]
	// ended is done once requests no longer run.
	ended context.Context
	end   context.CancelFunc
}

func newShutdown(ctx context.Context) *shutdown {
	s := &shutdown{}
	s.ended, s.end = context.WithCancel(ctx)
	return s
}

func (s *shutdown) hasBegun() bool { return s.times.Load() != nil }

func (s *shutdown) hasEnded() bool { return s.ended.Err() != nil }

// withRequest returns the context of a request with its deadline. It ends with the cause errShutdown at the
// end of the shutdown.
func (s *shutdown) withRequest(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancelDeadline := context.WithDeadline(ctx, deadline)
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.ended, func() { cancel(errShutdown) })
	return ctx, func() {
		stop()
		cancel(nil)
		cancelDeadline()
	}
}

// interruptRead ends reads of a request's body at the end of the shutdown, until the returned function is
// called.
func (s *shutdown) interruptRead(w http.ResponseWriter) func() bool {
	return context.AfterFunc(s.ended, func() { _ = http.NewResponseController(w).SetReadDeadline(interruptTime) })
}

// Drain announces the shutdown of the process. Requests that may not finish before it are refused, those
// that wait for room on an engine at once, and each response closes its connection.
func (h *Handler) Drain(opts DrainOpts) {
	h.shutdown.times.Store(&opts)
	h.admitter.drain()
}

// End ends the requests that still run. Each gets a response, unless its response has begun: that is
// broken off.
func (h *Handler) End() { h.shutdown.end() }

// refuseIfLate refuses a request that has not been sent if it may not finish before the end of the shutdown.
func (h *Handler) refuseIfLate(ex *exchange) error {
	times := h.shutdown.times.Load()
	if times == nil || ex.mayHaveRun {
		return nil
	}
	now := h.common.Timer.Now()
	readAt := ex.readAt
	if readAt.IsZero() {
		readAt = now
	}
	mayEnd := ex.deadline
	if readAt.Before(times.NoticedAt) {
		// Most requests finish long before their deadline, and a refused caller may come back to this instance.
		mayEnd = now.Add(usualDuration(ex.route, ex.call))
	}
	if !mayEnd.After(times.EndsAt) {
		return nil
	}
	return h.refuseLate(ex)
}

// usualDuration returns the time in which a request finishes unless its backend server is too busy for its
// objective.
func usualDuration(route aubsite.Route, call Call) time.Duration {
	if route.Kind == aubsite.KindStream {
		return fullBatchFirstEvent + time.Duration(call.OutputTokens)*fullBatchTokenTime
	}
	return min(route.Objective, timeoutOf(call, route))
}

// refuseLate logs a refusal for the shutdown and returns it.
func (h *Handler) refuseLate(ex *exchange) error {
	now := h.common.Timer.Now()
	left := time.Duration(0)
	if times := h.shutdown.times.Load(); times != nil {
		left = times.EndsAt.Sub(now)
	}
	h.common.Log.Info("Request is refused for the shutdown.",
		zap.String("request_id", ex.call.ID), zap.String("route", ex.route.Name),
		zap.Int64("left_ms", left.Milliseconds()), zap.Int64("deadline_ms", ex.deadline.Sub(now).Milliseconds()),
		zap.Int64("elapsed_ms", now.Sub(ex.startedAt).Milliseconds()), zap.Int("sends", ex.attempts))
	return newRefusal(http.StatusServiceUnavailable, CodeShuttingDown, drainRetryAfter)
}

// endedByShutdown reports whether the end of the shutdown ended the request with the context, and logs that.
func (h *Handler) endedByShutdown(ctx context.Context, ex *exchange) bool {
	if !errors.Is(context.Cause(ctx), errShutdown) {
		return false
	}
	h.common.Log.Warn("Request is ended by the shutdown.",
		zap.String("request_id", ex.call.ID), zap.String("route", ex.route.Name), zap.String("backend_server", ex.backendID),
		zap.Bool("may_have_run", ex.mayHaveRun), zap.Bool("has_begun", ex.headerWritten), zap.Int64("last_event", ex.lastEventID),
		zap.Int64("deadline_ms", ex.deadline.Sub(h.common.Timer.Now()).Milliseconds()))
	return true
}

// closeConnection makes the response that is about to begin the last one of its connection while the process
// shuts down.
func (h *Handler) closeConnection(ex *exchange) {
	if h.shutdown.hasBegun() {
		ex.writer.Header().Set("Connection", "close")
	}
}
