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
	defaultHeartbeat = time.Second
	// silenceHeartbeats is the default of ExecutorOpts.SilenceTimeout, in heartbeats.
	silenceHeartbeats = 3
	// ticksPerHeartbeat is how often in one heartbeat deadlines and timeouts are
	// checked and acknowledgements are sent.
	ticksPerHeartbeat     = 4
	defaultConnectTimeout = 2 * time.Second
)

// ExecutorOpts configures an executor.
type ExecutorOpts struct {
	// Dial returns a connection to an agent's address.
	Dial func(address string) (*grpc.ClientConn, error)
	// Heartbeat bounds the interval between messages to the agent; 0 means 1 s.
	Heartbeat time.Duration
	// SilenceTimeout is the time without a frame from the agent after which its
	// connection is closed; 0 means 3 heartbeats.
	SilenceTimeout time.Duration
	// ConnectTimeout bounds the time to establish a connection; 0 means 2 s.
	ConnectTimeout time.Duration
}

// Target identifies one incarnation of an agent and its address.
type Target struct {
	Name        string
	Address     string
	Incarnation uint64
}

// Request is one attempt to run a request.
type Request struct {
	RequestID string
	// Attempt is the number of the attempt, from 1.
	Attempt uint32
	Method  string
	// Path is the path with its raw query.
	Path   string
	Header http.Header
	// Body is read once, until its end or an error; nil for none.
	Body io.Reader
	// Model is the name of the model or adapter; empty for plain services.
	Model string
	// Service is the name of the plain service; empty for engines.
	Service    string
	Idempotent bool
	Stream     bool
	// HideUsage drops the usage chunk of a stream whose caller did not request it.
	HideUsage bool
	Priority  int
	// Timeout is the time left until the deadline; 0 means no deadline.
	Timeout time.Duration
	// Fingerprint identifies the content of the request, to detect poison requests.
	Fingerprint string
	// Alone runs the request while no other runs on its backend server.
	Alone bool
}

// Executor runs requests on agents.
type Executor struct {
	ctx    context.Context
	common aubcommon.Common
	opts   ExecutorOpts
	pool   *pool

	mu        sync.Mutex
	responses map[*Response]struct{}
}

// NewExecutor returns an executor whose connections are closed when ctx ends.
func NewExecutor(ctx context.Context, common aubcommon.Common, opts ExecutorOpts) *Executor {
	if opts.Heartbeat == 0 {
		opts.Heartbeat = defaultHeartbeat
	}
	if opts.SilenceTimeout == 0 {
		opts.SilenceTimeout = silenceHeartbeats * opts.Heartbeat
	}
	if opts.ConnectTimeout == 0 {
		opts.ConnectTimeout = defaultConnectTimeout
	}
	e := &Executor{
		ctx:       ctx,
		common:    common.WithPart("execution"),
		opts:      opts,
		pool:      newPool(opts.Dial),
		responses: make(map[*Response]struct{}),
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

// Execute sends the request to the target and returns when the head of the
// response has arrived. When ctx ends, so does the response, and the agent receives
// a cancellation. Errors are *FailedError.
func (e *Executor) Execute(ctx context.Context, target Target, req Request) (*Response, error) {
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

func (e *Executor) add(r *Response) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.responses[r] = struct{}{}
}

func (e *Executor) remove(r *Response) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.responses, r)
}

// tick enforces deadlines, sends heartbeats and closes connections without traffic.
func (e *Executor) tick(now time.Time) {
	e.mu.Lock()
	responses := make([]*Response, 0, len(e.responses))
	for r := range e.responses {
		responses = append(responses, r)
	}
	e.mu.Unlock()
	for _, r := range responses {
		r.tick(now)
	}
}
