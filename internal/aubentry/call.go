package aubentry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/auburndale/auburndale/pkg/aubapi"
)

// fingerprintBytes is the length of a fingerprint before its hex encoding.
const fingerprintBytes = 16

// call is one request on its way to a backend server. It is immutable.
type call struct {
	id        string
	workspace aubapi.Workspace
	// group is the model or service that backend servers are chosen by.
	group   string
	model   string
	adapter string
	service string

	method string
	path   string
	header http.Header
	body   []byte
	// digest identifies the content across repeats.
	digest       []byte
	prefixHashes []uint64

	promptTokens int64
	// cost is the tokens reserved for the call.
	cost       int64
	idempotent bool
	stream     bool
	hideUsage  bool
	deadline   time.Time
}

// engineName returns the name that the engine knows the model or adapter by;
// empty for plain services.
func (c call) engineName() string {
	if c.adapter != "" {
		return c.adapter
	}
	return c.model
}

// flow returns what the call counts as in the demand.
func (c call) flow() flow {
	name := c.engineName()
	if name == "" {
		name = c.service
	}
	return flow{name: name, adapter: c.adapter != "", workspace: c.workspace.Name, group: c.group}
}

// requestDigest identifies the content of a request across its repeats.
func requestDigest(workspace, method, path string, body []byte) []byte {
	digest := sha256.New()
	for _, part := range []string{workspace, method, path} {
		digest.Write([]byte(part))
		digest.Write([]byte{0})
	}
	digest.Write(body)
	return digest.Sum(nil)
}

// fingerprint returns the short form of the digest that backend servers' deaths
// are tied to.
func (c call) fingerprint() string { return hex.EncodeToString(c.digest[:fingerprintBytes]) }

// execute runs a call within the limits of its workspace.
func (h *Handler) execute(ctx context.Context, ex *exchange, c call) error {
	ex.timing.flow = c.flow()
	h.deps.Demand.Arrive(ex.timing.flow)
	if _, refused := h.checkPoison(c); refused != nil {
		return refused
	}
	settle, err := h.reserve(ctx, c)
	if err != nil {
		return err
	}
	outcome := h.runAttempts(ctx, ex, c)
	settle(outcome.chargedTokens(c))
	return outcome.err
}

// reserve takes the call's cost from its workspace's allowance. Calls of open
// routes belong to no workspace.
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

// outcome is how a call ended.
type outcome struct {
	err error
	// execution is what is known of the run when err is set.
	execution aubapi.Execution
	// tokens is the usage that the engine reported; 0 if none.
	tokens int64
}

// chargedTokens returns what the call takes from the allowance: the usage if it is
// known, nothing if it was not run, else all that was reserved.
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
