package aubrelay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aublimit"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/internal/aubsite"
)

const (
	// defaultTimeout applies if the caller declares no timeout. The route's timeout
	// limits it.
	defaultPatience = time.Minute
	// maxBodyBytes limits a request body; it equals the platform's limit.
	maxBody = 4 << 20
	// defaultRetryAfter applies to refusals whose cause may be resolved within a second.
	retrySoon = 500 * time.Millisecond
	// startupRetryAfter applies while this instance waits for its first configuration.
	// It is slightly more than the time that all control processes need to start.
	retryStarted = time.Second
	// drainRetryAfter applies while this instance shuts down and another instance can
	// serve the request immediately.
	retryElsewhere = 20 * time.Millisecond
	// fullBatchFirstEvent is the time to the first event of a stream on an engine with a
	// full batch, fullBatchTokenTime the time for each further token.
	slowFirstEvent = time.Second
	slowTokenTime  = 20 * time.Millisecond
)

// Parts are the dependencies of a handler.
type Parts struct {
	Protocol Protocol
	Site     Source
	Limiter  aublimit.Policy[aublimit.Reservation]
	Router   *aubroute.Router
	Registry *aubregistry.Registry
	Demand   *Demand
	// CopyRequester requests a copy of a model or adapter that no backend server holds.
	Copies *Copies
	// Dial opens connections to backend servers.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Handler serves the HTTP requests of callers.
type Handler struct {
	common    aubcommon.Common
	parts     Parts
	transport http.RoundTripper
	metrics   metrics
	running   atomic.Int64
	// shutdownAt is when the process shuts down; nil before Drain.
	endsAt atomic.Pointer[time.Time]
}

// NewHandler returns a handler with its own connections to backend servers.
func NewHandler(common aubcommon.Common, parts Parts) *Handler {
	common = common.WithPart("relay")
	return &Handler{
		common:    common,
		parts:     parts,
		transport: newTransport(parts.Dial),
		metrics:   newMetrics(common.Metrics),
	}
}

// Leave makes the handler refuse new streams that may still run at the time endsAt, when
// the process shuts down.
func (h *Handler) Leave(endsAt time.Time) { h.endsAt.Store(&endsAt) }

// mayOutlastProcess reports whether a stream may still run when the process shuts down.
func (h *Handler) outlives(route aubsite.Route, call Call) bool {
	endsAt := h.endsAt.Load()
	if endsAt == nil || route.Kind != aubsite.KindStream {
		return false
	}
	longest := slowFirstEvent + time.Duration(call.OutputTokens)*slowTokenTime
	return h.common.Timer.Now().Add(longest).After(*endsAt)
}

// Running returns the number of requests in progress.
func (h *Handler) Running() int64 { return h.running.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Add(-1)
	x := &exchange{w: w, r: r, started: h.common.Timer.Now(), lastEvent: NoEvent}
	err := h.serve(x)
	h.finish(x, err)
}

// serve admits a request, reserves its cost and relays it. It returns the whole
// reservation if the request did not run.
func (h *Handler) serve(x *exchange) error {
	x.site = h.parts.Site.Site()
	if x.site == nil {
		return refuse(http.StatusServiceUnavailable, CodeNoConfiguration, retryStarted)
	}
	if err := h.admit(x); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	if err := h.readBody(x); err != nil {
		return err
	}
	reservation, err := h.reserve(ctx, x)
	if err != nil {
		return err
	}
	err = h.relay(ctx, x)
	if !x.mayHaveRun {
		reservation.Settle(0)
	}
	return err
}

// admit decodes a request and sets its route, deadline and workspace.
func (h *Handler) admit(x *exchange) error {
	call, err := h.parts.Protocol.DecodeCall(x.r)
	x.call = call
	if err != nil {
		return &refusedError{refusal: Refusal{Status: http.StatusBadRequest, Code: CodeInvalid}, err: err}
	}
	route, ok := x.site.Route(hostOf(x.r), x.r.URL.Path)
	if !ok {
		return refuse(http.StatusNotFound, CodeNoRoute, 0)
	}
	x.route = route
	if h.outlives(route, call) {
		return refuse(http.StatusServiceUnavailable, CodeLeaving, retryElsewhere)
	}
	x.deadline = x.started.Add(patienceOf(call, route))
	x.lastEvent = call.LastEvent
	if !x.site.HasWorkspaces() {
		return nil
	}
	w, ok := x.site.Holder(call.Key)
	if !ok && !route.Anonymous {
		return refuse(http.StatusUnauthorized, CodeNoKey, 0)
	}
	x.workspace = w
	return nil
}

// timeoutOf returns the caller's timeout, limited by the route's.
func patienceOf(call Call, route aubsite.Route) time.Duration {
	patience := call.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	return min(patience, route.Timeout)
}

// hostOf returns the request's host without the port.
func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

// readBody buffers the complete body, so that later attempts can send it again.
func (h *Handler) readBody(x *exchange) error {
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, maxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, 0)
	case err != nil:
		return &goneError{err: err}
	}
	x.body = body
	return nil
}

// reserve takes the request's cost from the workspace's allowance.
func (h *Handler) reserve(ctx context.Context, x *exchange) (aublimit.Reservation, error) {
	if x.workspace.Name == "" || x.workspace.Rate == 0 {
		return aublimit.Reservation{}, nil
	}
	reservation, err := h.parts.Limiter.Reserve(ctx, x.workspace.Name, costOf(x.workspace, x.call))
	var refused *aublimit.RefusedError
	if errors.As(err, &refused) {
		h.common.Log.Info("Request exceeds its workspace's allowance.",
			zap.String("request_id", x.call.ID), zap.String("workspace", x.workspace.Name),
			zap.Int64("cost", costOf(x.workspace, x.call)), zap.Int64("available", refused.Available),
			zap.Int64("rate", x.workspace.Rate), zap.Int64("burst", x.workspace.Burst),
			zap.Uint64("revision", x.site.Number()), zap.Duration("retry_after", refused.RetryAfter))
		return reservation, refuse(http.StatusTooManyRequests, CodeRateLimited, refused.RetryAfter)
	}
	return reservation, err
}

// costOf returns what the request takes from the workspace's allowance: tokens, or 1 if
// the workspace counts requests.
func costOf(w aubsite.Workspace, call Call) int64 {
	switch {
	case !w.CountsTokens:
		return 1
	case call.HasTokens:
		return call.PromptTokens + call.OutputTokens
	default:
		return w.PlainCost
	}
}

// drawService returns a random service of the route, weighted by its targets.
func serviceOf(route aubsite.Route) string {
	sum := 0
	for _, t := range route.Targets {
		sum += t.Weight
	}
	draw := rand.IntN(sum)
	for _, t := range route.Targets {
		if draw < t.Weight {
			return t.Service
		}
		draw -= t.Weight
	}
	return ""
}
