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
	// defaultPatience bounds a call whose caller and route set no bound.
	defaultPatience = time.Minute
	// maxBody bounds a request body in bytes, as the platform's limit does.
	maxBody = 4 << 20
	// retrySoon is the time to come back after a refusal that the next second may lift.
	retrySoon = 500 * time.Millisecond
	// retryStarted is the time to come back while this instance waits for its first
	// configuration: a little more than all control processes need for a start.
	retryStarted = time.Second
	// retryElsewhere is the time to come back when another instance can serve at once.
	retryElsewhere = 20 * time.Millisecond
	// slowFirstEvent and slowTokenTime are how long a stream takes on an engine with
	// a full batch: until its first event, and for each further token.
	slowFirstEvent = time.Second
	slowTokenTime  = 20 * time.Millisecond
)

// Parts are the parts that a request passes through.
type Parts struct {
	Protocol Protocol
	Site     Source
	Limiter  aublimit.Policy[aublimit.Reservation]
	Router   *aubroute.Router
	Registry *aubregistry.Registry
	Demand   *Demand
	// Copies asks for a copy of a model or adapter that no backend server holds.
	Copies *Copies
	// Dial opens connections to backend servers.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Handler serves callers.
type Handler struct {
	common    aubcommon.Common
	parts     Parts
	transport http.RoundTripper
	metrics   metrics
	running   atomic.Int64
	// endsAt is when the process ends; nil while it stays.
	endsAt atomic.Pointer[time.Time]
}

// NewHandler returns the callers' handler.
func NewHandler(common aubcommon.Common, parts Parts) *Handler {
	common = common.WithPart("relay")
	return &Handler{
		common:    common,
		parts:     parts,
		transport: newTransport(parts.Dial),
		metrics:   newMetrics(common.Metrics),
	}
}

// Leave makes the handler turn new streams away that may last longer than the
// process does.
func (h *Handler) Leave(endsAt time.Time) { h.endsAt.Store(&endsAt) }

// outlives reports whether a call may still run when the process ends.
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

// serve admits a request and relays it.
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

// admit finds the route and the workspace of a request.
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

func patienceOf(call Call, route aubsite.Route) time.Duration {
	patience := call.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	return min(patience, route.Timeout)
}

// hostOf returns the request's host without its port.
func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

// readBody reads the whole body, so that it can be sent again.
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

// serviceOf draws the service of a route by the weights of its targets.
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
