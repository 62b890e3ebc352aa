package aubrelay

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubbudget"
	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aublimit"
	"github.com/auburndale/auburndale/internal/aubpoison"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubresponse"
	"github.com/auburndale/auburndale/internal/aubresume"
	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/internal/aubsite"
	"github.com/auburndale/auburndale/internal/aubspeed"
	"github.com/auburndale/auburndale/internal/aubthrottle"
)

const (
	// defaultTimeout applies if the caller declares no timeout. The route's timeout
	// limits it.
	defaultTimeout = time.Minute
	// maxBodyBytes limits a request body where the configuration does not; it equals the platform's limit.
	maxBodyBytes = 4 << 20
	// exhaustedRetryAfter applies while requests hold all memory for them.
	exhaustedRetryAfter = 500 * time.Millisecond
	// defaultRetryAfter applies to refusals whose cause may be resolved within a second.
	defaultRetryAfter = 500 * time.Millisecond
	// startupTime is the time in which this instance usually has its first configuration,
	// if the control processes start with it. Callers are told to come back then, spread over
	// startupSpread, but not before minStartupRetryAfter has passed.
	startupTime          = 700 * time.Millisecond
	startupSpread        = 300 * time.Millisecond
	minStartupRetryAfter = 200 * time.Millisecond
	// outdatedRetryAfter applies while a newer configuration is on its way to this
	// instance, which takes a fraction of a second.
	outdatedRetryAfter = 200 * time.Millisecond
	// drainRetryAfter applies while this instance shuts down and another instance can
	// serve the request immediately.
	drainRetryAfter = 20 * time.Millisecond
)

// HandlerOpts configures a handler.
type HandlerOpts struct {
	Protocol Protocol
	Site     SiteSource
	// ActivationTimeout is how long after its announcement a configuration must be active;
	// 0 means any time. The handler refuses all requests after that.
	ActivationTimeout time.Duration
	Limiter           aublimit.Policy[aublimit.Reservation]
	Router            *aubroute.Router
	Registry          *aubregistry.Registry
	Demand            *DemandCounter
	// CopyRequester requests a copy of a model or adapter that no backend server holds.
	CopyRequester *CopyRequester
	// Guard refuses requests that may crash backend servers.
	Guard *aubpoison.Guard
	// Throttle keeps the rate limits that backend servers state.
	Throttle *aubthrottle.Throttle
	// Speeds measures the speed of engines by their streams; nil measures none.
	Speeds *aubspeed.Meter
	// ZoneShare is the part of its objective by which a request may be expected to wait longer
	// in the own zone than in another one, if the configuration has deferrable routes.
	ZoneShare float64
	// Deferrable tells which routes are deferrable; nil means none.
	Deferrable *aubsite.DeferrableCheck
	// RegionOf returns the region of a zone, empty if it has none. Nil means that no zone has one.
	RegionOf func(zone string) string
	// HasZoneDrains reports whether the drained zones are known; until then all requests are
	// refused. Nil means that they are.
	HasZoneDrains func() bool
	// LoadAge returns the age of the peers' loads, false if none is known, and KnownRelays the
	// number of relays last known. Nil means that this relay is the only one.
	LoadAge     func() (time.Duration, bool)
	KnownRelays func() int
	// Streams finds and records where streams began.
	Streams *aubresume.Resolver
	// IsCurrent reports whether the registry holds the newest incarnations of the backend servers; nil
	// means always.
	IsCurrent func() bool
	// Crashes receives the lost connections to backend servers.
	Crashes *CrashDetector
	// Dial opens connections to backend servers.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// ResponseBytes bounds what all buffered responses together hold; 0 means maxBufferedTotal.
	ResponseBytes int64
	// Writes bounds what slow callers hold.
	Writes WriteOpts
}

// Handler serves the HTTP requests of callers.
type Handler struct {
	common  aubcommon.Common
	opts    HandlerOpts
	conns   *connPool
	metrics metrics
	// unsolicited records the responses that belong to no request.
	unsolicited *unsolicitedLog
	broken      *aubresponse.Log
	admitter    *admitter
	unread      *unreadBytes
	buffers     *bufferBudget
	inFlight    atomic.Int64
	startedAt   time.Time
	shutdown    *shutdown
}

// NewHandler returns a handler with its own connections to backend servers, which end with ctx unless a
// request uses them.
func NewHandler(ctx context.Context, common aubcommon.Common, opts HandlerOpts) *Handler {
	common = common.WithPart("relay")
	unsolicited := newUnsolicitedLog(common, opts.Protocol)
	return &Handler{
		common:      common,
		opts:        opts,
		admitter:    newAdmitter(common),
		conns:       newConnPool(ctx, common.Timer, opts.Dial, unsolicited),
		unsolicited: unsolicited,
		broken:      aubresponse.NewLog(common),
		startedAt:   common.Timer.Now(),
		metrics:     newMetrics(common.Metrics),
		unread:      newUnreadBytes(opts.Writes.MaxUnread),
		buffers:     newBufferBudget(cmp.Or(opts.ResponseBytes, maxBufferedTotal)),
		shutdown:    newShutdown(ctx),
	}
}

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	ex := &exchange{writer: w, request: r, startedAt: h.common.Timer.Now(), lastEventID: NoEventID, buffered: bufferShare{budget: h.buffers}}
	defer ex.buffered.release()
	err := h.serve(ex)
	h.finish(ex, err)
}

// serve admits a request, reserves its cost and relays it. It returns the full
// reservation if the request did not run.
func (h *Handler) serve(ex *exchange) error {
	ex.site = h.opts.Site.Site()
	if ex.site == nil || h.opts.HasZoneDrains != nil && !h.opts.HasZoneDrains() {
		uptime := h.common.Timer.Now().Sub(h.startedAt)
		return newRefusal(http.StatusServiceUnavailable, CodeNoConfiguration, startupRetryAfter(uptime, rand.Float64()))
	}
	if timeout := h.opts.ActivationTimeout; timeout > 0 && h.opts.Site.OutdatedFor(ex.site.Number()) > timeout {
		return newRefusal(http.StatusServiceUnavailable, CodeOutdatedConfiguration, outdatedRetryAfter)
	}
	if err := h.admit(ex); err != nil {
		return err
	}
	ctx, cancel := h.shutdown.withRequest(ex.request.Context(), ex.deadline)
	defer cancel()
	if err := h.readBody(ex); err != nil {
		return err
	}
	if err := h.refuseIfLate(ex); err != nil {
		return err
	}
	reservation, err := h.reserve(ctx, ex)
	if err != nil {
		return err
	}
	err = h.relay(ctx, ex)
	if !ex.mayHaveRun {
		reservation.Settle(0)
	}
	return err
}

// startupRetryAfter returns when a caller should come back that was refused because there is
// no configuration yet. Draw is uniformly distributed in [0, 1) and keeps callers apart.
func startupRetryAfter(uptime time.Duration, draw float64) time.Duration {
	return max(startupTime-uptime, minStartupRetryAfter) + time.Duration(draw*float64(startupSpread))
}

// admit decodes a request and sets its route, deadline and workspace.
func (h *Handler) admit(ex *exchange) error {
	call, err := h.opts.Protocol.DecodeCall(ex.request)
	ex.call = call
	if err != nil {
		return &refusalError{refusal: Refusal{Status: http.StatusBadRequest, Code: CodeInvalidRequest}, err: err}
	}
	route, ok := ex.site.Route(hostOf(ex.request), sentPath(ex.request))
	if !ok {
		return h.deny(ex, http.StatusNotFound, CodeNoRoute)
	}
	ex.route = route
	ex.deadline = ex.startedAt.Add(timeoutOf(call, route))
	ex.lastEventID = call.LastEventID
	if err := h.refuseIfLate(ex); err != nil {
		return err
	}
	if !ex.site.HasWorkspaces() {
		return nil
	}
	workspace, ok := ex.site.WorkspaceByKey(call.Key)
	if !ok && !route.Anonymous {
		return h.deny(ex, http.StatusUnauthorized, CodeInvalidKey)
	}
	ex.workspace = workspace
	return nil
}

// deny refuses a request that the active configuration does not allow. Unless that is
// known to be the newest one, the refusal is temporary, because callers don't retry a
// final one.
func (h *Handler) deny(ex *exchange, status int, code RefusalCode) error {
	if h.opts.Site.IsNewest(ex.site.Number()) {
		return newRefusal(status, code, 0)
	}
	return newRefusal(http.StatusServiceUnavailable, CodeOutdatedConfiguration, outdatedRetryAfter)
}

// timeoutOf returns the caller's timeout, limited by the route's.
func timeoutOf(call Call, route aubsite.Route) time.Duration {
	timeout := call.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return min(timeout, route.Timeout)
}

// hostOf returns the request's host without the port.
func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

// sentPath returns the path as the caller sent it. A decoded path may begin with a prefix that the sent
// one does not begin with.
func sentPath(r *http.Request) string {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return r.URL.EscapedPath()
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// readBody buffers the complete body, so that later attempts can send it again, and sets
// the fingerprints. The end of the process's shutdown ends the wait for it.
func (h *Handler) readBody(ex *exchange) error {
	aubbudget.FromContext(ex.request.Context()).EndBodyBy(ex.deadline)
	defer h.shutdown.interruptRead(ex.writer)()
	limit := cmp.Or(ex.site.CallerLimits().MaxBodyBytes, maxBodyBytes)
	body, err := aubbudget.ReadBody(http.MaxBytesReader(ex.writer, ex.request.Body, limit), min(ex.request.ContentLength, limit))
	var tooLarge *http.MaxBytesError
	var exhausted *aubbudget.ExhaustedError
	var late *aubbudget.BodyTimeoutError
	switch {
	case err != nil && h.shutdown.hasEnded():
		return h.refuseLate(ex)
	case errors.As(err, &tooLarge), errors.As(err, &exhausted) && exhausted.IsPermanent:
		return newRefusal(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, 0)
	case errors.As(err, &exhausted):
		return &refusalError{refusal: Refusal{Status: http.StatusServiceUnavailable, Code: CodeMemoryExhausted, RetryAfter: exhaustedRetryAfter}, err: err}
	case errors.As(err, &late) && h.shutdown.hasBegun():
		return h.refuseLate(ex)
	case errors.As(err, &late):
		return &refusalError{refusal: Refusal{Status: http.StatusRequestTimeout, Code: CodeBodyTimeout}, err: err}
	case err != nil:
		return &disconnectedError{err: err}
	}
	ex.body, ex.readAt = body, h.common.Timer.Now()
	ex.fingerprint = aubpoison.Fingerprint(aubpoison.RequestDigest(ex.workspace.Name, ex.request.Method, ex.request.Host+ex.request.URL.RequestURI(), body))
	ex.suspectFingerprints = append([]string{ex.fingerprint}, ex.call.partFingerprints()...)
	return nil
}

// reserve takes the request's cost from the workspace's allowance.
func (h *Handler) reserve(ctx context.Context, ex *exchange) (aublimit.Reservation, error) {
	if ex.workspace.Name == "" || ex.workspace.Rate == 0 {
		return aublimit.Reservation{}, nil
	}
	reservation, err := h.opts.Limiter.Reserve(ctx, ex.workspace.Name, costOf(ex.workspace, ex.call))
	var refusal *aublimit.RefusedError
	if errors.As(err, &refusal) {
		h.common.Log.Info("Request exceeds its workspace's allowance.",
			zap.String("request_id", ex.call.ID), zap.String("workspace", ex.workspace.Name),
			zap.Int64("cost", costOf(ex.workspace, ex.call)), zap.Int64("available", refusal.Available),
			zap.Int64("rate", ex.workspace.Rate), zap.Int64("burst", ex.workspace.Burst),
			zap.Uint64("revision", ex.site.Number()), zap.Duration("retry_after", refusal.RetryAfter))
		return reservation, newRefusal(http.StatusTooManyRequests, CodeRateLimited, refusal.RetryAfter)
	}
	return reservation, err
}

// costOf returns what the request takes from the workspace's allowance: tokens, or 1 if
// the workspace counts requests.
func costOf(workspace aubsite.Workspace, call Call) int64 {
	switch {
	case !workspace.CountsTokens:
		return 1
	case call.HasTokens:
		return call.PromptTokens + call.OutputTokens
	default:
		return workspace.DefaultCost
	}
}

// drawService returns a random service of the route, weighted by its targets.
func drawService(route aubsite.Route) string {
	sum := 0
	for _, t := range route.Targets {
		sum += t.Weight
	}
	remaining := rand.IntN(sum)
	for _, t := range route.Targets {
		if remaining < t.Weight {
			return t.Service
		}
		remaining -= t.Weight
	}
	return ""
}
