package aubexecution

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

const (
	defaultHeartbeat      = time.Second
	silenceHeartbeats     = 3
	ticksPerHeartbeat     = 4
	defaultConnectTimeout = 2 * time.Second
)

// ExecutorOpts configures an executor.
type ExecutorOpts struct {
	// Dial returns a connection to an agent's address.
	Dial func(address string) (*grpc.ClientConn, error)
	// Heartbeat is the interval of messages to the agent; 0 means 1 s.
	Heartbeat time.Duration
	// Silence is how long an agent may send nothing; 0 means 3 heartbeats.
	Silence time.Duration
	// ConnectTimeout bounds the establishment of a connection; 0 means 2 s.
	ConnectTimeout time.Duration
}

// Target is one incarnation of an agent.
type Target struct {
	Name        string
	Address     string
	Incarnation uint64
}

// Request is one attempt of a request.
type Request struct {
	RequestID string
	// Attempt counts the sends of one request, from 1.
	Attempt uint32
	Method  string
	// Path with the raw query.
	Path   string
	Header http.Header
	// Body is read once; nil for none.
	Body io.Reader
	// Model names the model or adapter for engines.
	Model string
	// Service names the plain service; empty for engines.
	Service    string
	Idempotent bool
	Stream     bool
	// HideUsage drops the usage chunk that the caller did not ask for.
	HideUsage bool
	Priority  int
	// Timeout is the remaining time to the deadline; 0 means none.
	Timeout time.Duration
	// Fingerprint of the content, for poison requests.
	Fingerprint string
	// Alone runs the request with no other on its backend server.
	Alone bool
}

// Executor runs requests on agents.
type Executor struct {
	ctx    context.Context
	common aubcommon.Common
	opts   ExecutorOpts
	pool   *pool

	mu        sync.Mutex
	responses map[*Answer]struct{}
}

// NewExecutor returns an executor whose connections end with ctx.
func NewExecutor(ctx context.Context, common aubcommon.Common, opts ExecutorOpts) *Executor {
	if opts.Heartbeat == 0 {
		opts.Heartbeat = defaultHeartbeat
	}
	if opts.Silence == 0 {
		opts.Silence = silenceHeartbeats * opts.Heartbeat
	}
	if opts.ConnectTimeout == 0 {
		opts.ConnectTimeout = defaultConnectTimeout
	}
	e := &Executor{
		ctx:       ctx,
		common:    common.WithPart("execution"),
		opts:      opts,
		pool:      newPool(opts.Dial),
		responses: make(map[*Answer]struct{}),
	}
	ticks := common.Timer.Subscribe(ctx, opts.Heartbeat/ticksPerHeartbeat)
	go func() {
		defer e.pool.close()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticks:
				e.tick(common.Timer.Now())
			}
		}
	}()
	return e
}

// Execute sends the request to the target and returns once the head of its
// answer is there. The answer ends with ctx; the agent is then told to cancel
// the work. Errors are *FailedError.
func (e *Executor) Execute(ctx context.Context, target Target, req Request) (*Answer, error) {
	first, remaining, err := readFirstChunk(req.Body)
	if err != nil {
		return nil, &FailedError{
			Execution: aubapi.ExecutionNotRun,
			Reason:    aubwire.FailureReason_FAILURE_REASON_INCOMPLETE,
			Detail:    "request body is not whole",
		}
	}
	r := newResponse(e, target, req, first, remaining)
	e.add(r)
	r.start(ctx)
	if err := r.awaitHead(ctx); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

func (e *Executor) add(r *Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.responses[r] = struct{}{}
}

func (e *Executor) remove(r *Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.responses, r)
}

// tick looks after deadlines, heartbeats and silent connections.
func (e *Executor) tick(now time.Time) {
	e.mu.Lock()
	responses := make([]*Answer, 0, len(e.responses))
	for r := range e.responses {
		responses = append(responses, r)
	}
	e.mu.Unlock()
	for _, r := range responses {
		r.tick(now)
	}
}
