package aubentry

import (
	"context"
	"net/http"
	"time"

	"github.com/auburndale/auburndale/internal/aubpoison"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// call is a request as it is sent to a backend server. It is immutable.
type call struct {
	id        string
	workspace aubapi.Workspace
	// group is the base model or service whose backend servers can run the call.
	group   string
	model   string
	adapter string
	service string

	method string
	path   string
	header http.Header
	body   []byte
	// digest identifies the content of the request, to recognize repeats of it.
	digest []byte
	// parts are the fingerprints of the parts of the prompt that other requests may share.
	parts        []string
	prefixHashes []uint64

	promptTokens int64
	// cost is the number of tokens reserved for the call.
	cost       int64
	idempotent bool
	stream     bool
	hideUsage  bool
	deadline   time.Time
}

// engineName returns the engine's name of the model or adapter; empty for plain
// services.
func (c call) engineName() string {
	if c.adapter != "" {
		return c.adapter
	}
	return c.model
}

// flow returns the flow in which the call counts as demand.
func (c call) flow() flow {
	name := c.engineName()
	if name == "" {
		name = c.service
	}
	return flow{name: name, isAdapter: c.adapter != "", workspace: c.workspace.Name, group: c.group}
}

// fingerprint returns the fingerprint by which crashes of backend servers are attributed
// to requests.
func (c call) fingerprint() string { return aubpoison.Fingerprint(c.digest) }

// fingerprints returns the fingerprint of the call and those of its prompt parts.
func (c call) fingerprints() []string { return append([]string{c.fingerprint()}, c.parts...) }

// execute runs a call and charges it to its workspace's allowance.
func (h *Handler) execute(ctx context.Context, ex *exchange, c call) error {
	ex.timing.flow = c.flow()
	h.deps.Demand.RecordArrival(ex.timing.flow)
	if err := h.deps.Poison.CheckBlocked(c.id, c.fingerprints()...); err != nil {
		return refuse(problemPoison).WithRetryAfter(err.RetryAfter)
	}
	settle, err := h.reserve(ctx, c)
	if err != nil {
		return err
	}
	outcome := h.runAttempts(ctx, ex, c)
	settle(outcome.chargedTokens(c))
	return outcome.err
}

// reserve reserves the call's cost in its workspace's allowance. Settle replaces it
// by the tokens used. Calls of open routes have no workspace and reserve nothing.
func (h *Handler) reserve(ctx context.Context, c call) (settle func(used int64), err error) {
	if c.workspace.Name == "" {
		return func(int64) {}, nil
	}
	reservation, err := h.deps.Limiter.Reserve(ctx, c.workspace.Name, c.cost)
	if err != nil {
		return nil, mapLimitError(err)
	}
	return reservation.Settle, nil
}

// outcome is the result of a call or of one attempt.
type outcome struct {
	err error
	// execution says whether the call ran, may have run or did not run; only valid
	// if err is set.
	execution aubapi.Execution
	// failure is the cause of err if the response had begun; nil otherwise.
	failure error
	// tokens is the number of tokens that the engine reported; 0 if none.
	tokens int64
}

// finalOutcome returns the outcome of a call by that of its last attempt. If that attempt did not run,
// the call may still have run in an earlier one.
func finalOutcome(earlier, last outcome) outcome {
	if earlier.err != nil && last.err != nil && last.execution == aubapi.ExecutionNotRun {
		return earlier
	}
	return last
}

// chargedTokens returns the tokens that the call is charged: none if it was not run,
// the usage if it is known, else the reserved cost.
func (o outcome) chargedTokens(c call) int64 {
	switch {
	case o.err != nil && o.execution == aubapi.ExecutionNotRun:
		return 0
	case o.tokens > 0:
		return o.tokens
	default:
		return c.cost
	}
}
