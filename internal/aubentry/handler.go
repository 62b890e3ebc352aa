// Package aubentry is the surface for callers: it authenticates, limits, queues
// and routes each request, and returns the whole answer or a final refusal.
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
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// Headers that the entry reads or sets.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerReplayed       = "Idempotency-Replayed"
	headerWorkspace      = "X-Workspace"
	maxRequestIDLength   = 128
)

const (
	// claimMargin is how much longer than the call a claim is held.
	claimMargin = 30 * time.Second
	// claimSettleTimeout bounds the commit of a claim's end.
	claimSettleTimeout = 3 * time.Second
	// recheckInterval is the time between two checks of the key of a running stream.
	recheckInterval = time.Second
)

const (
	pathModels     = "/v1/models"
	pathEmbeddings = "/v1/embeddings"
)

var generationPaths = []string{"/v1/chat/completions", "/v1/completions", pathEmbeddings}

// Parts are the parts that a request passes through, in that order.
type Parts struct {
	Config   aubquery.Source
	Auth     *aubauth.Authenticator
	Claims   *aubclaim.Claims
	Limiter  aublimit.Policy[aublimit.Reservation]
	Queue    *aubqueue.Queue
	Router   *aubroute.Router
	Executor *aubexecution.Executor
	Poison   *aubpoison.Register
	Demand   *Demand
	Burn     *aubburn.Tracker
}

// Bounds are the bounds on one request.
type Bounds struct {
	MaxBody        int64
	RequestTimeout time.Duration
	QueueTimeout   time.Duration
	WriteTimeout   time.Duration
	Attempts       int
	// DefaultOutputTokens bounds a model request when neither caller nor model does.
	DefaultOutputTokens int64
}

// Handler serves callers.
type Handler struct {
	common aubcommon.Common
	parts  Parts
	bounds Bounds
	// objectives judge the service levels.
	objectives Objectives
	metrics    metrics
	leaving    atomic.Bool
	running    atomic.Int64
}

// NewHandler returns the callers' handler.
func NewHandler(common aubcommon.Common, parts Parts, bounds Bounds, objectives Objectives) *Handler {
	common = common.WithPart("entry")
	return &Handler{common: common, parts: parts, bounds: bounds, objectives: objectives, metrics: newMetrics(common.Metrics)}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Add(-1)
	x := &exchange{w: w, r: r, id: uuid.NewString(), started: h.common.Timer.Now()}
	w.Header().Set(headerRequestID, x.echoID())
	ctx, cancel := context.WithTimeout(r.Context(), h.bounds.RequestTimeout)
	defer cancel()
	h.finish(x, h.serve(ctx, x))
}

// serve picks the operation by the path. Paths of the API are matched whole, all
// others belong to plain services.
func (h *Handler) serve(ctx context.Context, x *exchange) error {
	if h.leaving.Load() {
		return refuse(problemLeaving)
	}
	path := x.r.URL.Path
	switch {
	case path == pathModels:
		return h.listModels(x)
	case strings.HasPrefix(path, pathModels+"/"):
		return h.showModel(x, strings.TrimPrefix(path, pathModels+"/"))
	case slices.Contains(generationPaths, path):
		return h.callModel(ctx, x)
	default:
		return h.callService(ctx, x)
	}
}

// Leave refuses every new request from now on.
func (h *Handler) Leave() { h.leaving.Store(true) }

// Running returns the number of requests in progress.
func (h *Handler) Running() int64 { return h.running.Load() }

// exchange is one caller's request and its way to answer.
type exchange struct {
	w  http.ResponseWriter
	r  *http.Request
	id string
	// identity is whom the key stands for; zero on open routes.
	identity aubauth.Identity
	// started is the monotonic time of arrival.
	started time.Time
	// written is true once a byte of the answer left.
	written bool
	// record keeps the outcome of a claimed call before the caller gets it; nil otherwise.
	record   func(status int, header http.Header, body []byte)
	recorded bool
	timing   timing
}

// finish answers a failed request. An answer that was begun can't be refused any
// more: its connection is aborted so that the caller sees that it is incomplete.
func (h *Handler) finish(x *exchange, err error) {
	if err == nil {
		h.metrics.answered.Inc(1)
		h.countObjectives(x, nil)
		return
	}
	f := asRefusal(err)
	h.countObjectives(x, f)
	h.metrics.countRefusal(f)
	h.logFailure(x, f, err)
	if x.written {
		panic(http.ErrAbortHandler)
	}
	if errors.Is(x.r.Context().Err(), context.Canceled) {
		return
	}
	writeRefusal(x.w, x.echoID(), f)
}

func (h *Handler) logFailure(x *exchange, f *refusal, err error) {
	fields := []zap.Field{zap.String("request_id", x.id), zap.String("code", f.kind.code), zap.String("execution", string(f.execution))}
	if f.kind == problemInternal {
		h.common.Log.Error("Request failed.", append(fields, zap.Error(err))...)
		return
	}
	h.common.Log.Debug("Refused a request.", fields...)
}

// echoID returns the request id that the caller sees: its own if that is well formed.
func (x *exchange) echoID() string {
	id := x.r.Header.Get(headerRequestID)
	if id == "" || len(id) > maxRequestIDLength {
		return x.id
	}
	for _, c := range id {
		if c <= ' ' || c > '~' {
			return x.id
		}
	}
	return id
}

// asRefusal turns any error into a final answer.
func asRefusal(err error) *refusal {
	var f *refusal
	if errors.As(err, &f) {
		return f
	}
	return refuse(problemInternal)
}

// authenticate returns the workspace that the request's key belongs to.
func (h *Handler) authenticate(x *exchange) (aubapi.Workspace, error) {
	identity, err := h.parts.Auth.Authenticate(aubauth.PresentedKey(x.r.Header))
	if err != nil {
		return aubapi.Workspace{}, turnAuthError(err)
	}
	w, ok := h.parts.Config.Config().Workspace(identity.Workspace)
	if !ok {
		return aubapi.Workspace{}, refuse(problemInvalidKey)
	}
	x.identity = identity
	return w, nil
}
