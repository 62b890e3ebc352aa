// Package aubentry implements the HTTP API for callers. It authenticates, limits,
// queues and routes each request, and returns the complete response or a refusal.
package aubentry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubauth"
	"github.com/auburndale/auburndale/internal/aubburn"
	"github.com/auburndale/auburndale/internal/aubclaim"
	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubexecution"
	"github.com/auburndale/auburndale/internal/aublimit"
	"github.com/auburndale/auburndale/internal/aubpoison"
	"github.com/auburndale/auburndale/internal/aubqueue"
	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/internal/aubtransport"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// Headers that the entry reads or sets.
const (
	headerRequestID           = "X-Request-Id"
	headerIdempotencyKey      = "Idempotency-Key"
	headerIdempotencyReplayed = "Idempotency-Replayed"
	headerWorkspace           = "X-Workspace"
	maxRequestIDLength        = 128
)

const (
	// claimHoldMargin is the time that a claim is held beyond the deadline of its call.
	claimHoldMargin = 30 * time.Second
	// claimSettleTimeout bounds the commit that ends a claim.
	claimSettleTimeout = 3 * time.Second
	// keyRecheckInterval is the minimum time between two checks of the key of a
	// running stream.
	keyRecheckInterval = time.Second
)

const (
	pathModels     = "/v1/models"
	pathEmbeddings = "/v1/embeddings"
)

var modelCallPaths = []string{"/v1/chat/completions", "/v1/completions", pathEmbeddings}

// Dependencies are the components that the handler uses, in about the order in which a
// request passes through them.
type Dependencies struct {
	Config   aubquery.ConfigSource
	Auth     *aubauth.Authenticator
	Claims   *aubclaim.Claims
	Limiter  aublimit.Policy[aublimit.Reservation]
	Queue    *aubqueue.Queue
	Router   *aubroute.Router
	Executor *aubexecution.Executor
	Poison   *aubpoison.Guard
	Demand   *DemandTracker
	Burn     *aubburn.Tracker
}

// Bounds limit the size, the time and the attempts of one request.
type Bounds struct {
	MaxBodyBytes   int64
	RequestTimeout time.Duration
	QueueTimeout   time.Duration
	WriteTimeout   time.Duration
	MaxAttempts    int
	// DefaultOutputTokens bounds the output of a request whose model sets no bound.
	DefaultOutputTokens int64
}

// Handler serves the requests of callers.
type Handler struct {
	common aubcommon.Common
	deps   Dependencies
	bounds Bounds
	// objectives are the targets that the service levels are measured against.
	objectives Objectives
	metrics    metrics
	// leaving is set when the process begins to shut down, draining when it refuses new requests.
	leaving  atomic.Bool
	draining atomic.Bool
	inFlight atomic.Int64
}

// NewHandler returns a handler for the callers' listener.
func NewHandler(common aubcommon.Common, deps Dependencies, bounds Bounds, objectives Objectives) *Handler {
	common = common.WithPart("entry")
	return &Handler{common: common, deps: deps, bounds: bounds, objectives: objectives, metrics: newMetrics(common.Metrics)}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	ex := &exchange{writer: w, request: r, id: uuid.NewString(), arrivedAt: h.common.Timer.Now()}
	w.Header().Set(headerRequestID, ex.responseRequestID())
	if h.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.bounds.RequestTimeout)
	defer cancel()
	h.finish(ex, h.serve(ctx, ex))
}

// serve dispatches by path. The paths of the OpenAI API are matched exactly or, for
// one model, by prefix; all others belong to plain services.
func (h *Handler) serve(ctx context.Context, ex *exchange) error {
	if h.draining.Load() {
		return refuse(problemShuttingDown)
	}
	path := ex.request.URL.Path
	switch {
	case path == pathModels:
		return h.listModels(ex)
	case strings.HasPrefix(path, pathModels+"/"):
		return h.showModel(ex, strings.TrimPrefix(path, pathModels+"/"))
	case slices.Contains(modelCallPaths, path):
		return h.callModel(ctx, ex)
	default:
		return h.callService(ctx, ex)
	}
}

// Leave makes responses close their connections, so that callers open others to instances that stay.
func (h *Handler) Leave() { h.leaving.Store(true) }

// Drain makes the handler refuse new requests; those in progress continue.
func (h *Handler) Drain() {
	h.Leave()
	h.draining.Store(true)
}

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// exchange is the state of one caller's request and its response.
type exchange struct {
	writer  http.ResponseWriter
	request *http.Request
	id      string
	// identity belongs to the caller's key; zero on open routes.
	identity aubauth.Identity
	// arrivedAt is the monotonic time of arrival.
	arrivedAt time.Time
	// responseStarted is set before the first byte of a result is written.
	responseStarted bool
	// recordOutcome records the outcome of a claimed call before the caller gets it;
	// nil for other calls.
	recordOutcome   func(status int, header http.Header, body []byte)
	outcomeRecorded bool
	timing          timing
	// isTrial is set while the call runs as a trial whose outcome is not yet reported.
	isTrial bool
}

// finish counts the request and writes the refusal of a failed one. If the response
// has already started, it aborts the connection instead, so that the caller sees that
// the response is incomplete.
func (h *Handler) finish(ex *exchange, err error) {
	if err == nil {
		h.metrics.answered.Inc(1)
		h.countObjectives(ex, nil)
		return
	}
	refused := asRefusal(err)
	h.countObjectives(ex, refused)
	h.metrics.countRefusal(refused)
	h.logFailure(ex, refused, err)
	if ex.responseStarted {
		aubtransport.AbortResponse(ex.writer, ex.request)
	}
	if errors.Is(ex.request.Context().Err(), context.Canceled) {
		return
	}
	writeRefusal(ex.writer, ex.responseRequestID(), refused)
}

// logFailure logs an internal error at level error and other refusals at level debug.
func (h *Handler) logFailure(ex *exchange, refused *refusal, err error) {
	fields := []zap.Field{zap.String("request_id", ex.id), zap.String("code", refused.kind.code), zap.String("execution", string(refused.execution))}
	if refused.kind == problemInternal {
		h.common.Log.Error("Request failed.", append(fields, zap.Error(err))...)
		return
	}
	h.common.Log.Debug("Refused a request.", fields...)
}

// responseRequestID returns the request id in the response: the caller's if it is
// well-formed, else the one generated here.
func (ex *exchange) responseRequestID() string {
	id := ex.request.Header.Get(headerRequestID)
	if id == "" || len(id) > maxRequestIDLength {
		return ex.id
	}
	for _, c := range id {
		if c <= ' ' || c > '~' {
			return ex.id
		}
	}
	return id
}

// asRefusal returns err if it is a refusal, else an internal error.
func asRefusal(err error) *refusal {
	var refused *refusal
	if errors.As(err, &refused) {
		return refused
	}
	return refuse(problemInternal)
}

// authenticate returns the workspace of the request's key and sets the identity.
func (h *Handler) authenticate(ex *exchange) (aubapi.Workspace, error) {
	identity, err := h.deps.Auth.Authenticate(aubauth.PresentedKey(ex.request.Header))
	if err != nil {
		return aubapi.Workspace{}, mapAuthError(err)
	}
	workspace, ok := h.deps.Config.Config().Workspace(identity.Workspace)
	if !ok {
		return aubapi.Workspace{}, refuse(problemInvalidKey)
	}
	ex.identity = identity
	return workspace, nil
}
