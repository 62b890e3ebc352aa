package aubagent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/semaphore"
	"google.golang.org/grpc"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubengine"
	"github.com/auburndale/auburndale/internal/aubthrottle"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// drainPollInterval is the time between two checks in Drain whether all executions have
// finished.
const drainPollInterval = 20 * time.Millisecond

// Agent runs requests and orders on one backend server.
type Agent struct {
	aubwire.UnimplementedAgentServer

	ctx        context.Context
	common     aubcommon.Common
	opts       AgentOpts
	client     *aubengine.Client
	controller *engineController
	attempts   *attemptRegistry
	crashes    *crashTracker
	throttle   *aubthrottle.Throttle
	// slots has one slot for each running request, MaxRunning in total. A
	// request that must run alone takes all of them.
	slots   *semaphore.Weighted
	running atomic.Int32
	// draining is set once the agent refuses new requests and load orders.
	draining atomic.Bool

	// mu guards sessions.
	mu       sync.Mutex
	sessions map[*session]struct{}
}

// NewAgent starts an agent that runs until ctx ends. It fails only if the data
// folder can't be used.
func NewAgent(ctx context.Context, common aubcommon.Common, opts AgentOpts) (*Agent, error) {
	opts = opts.withDefaults()
	common = common.WithPart("agent")
	client := aubengine.NewClient(ctx, common, aubengine.ClientOpts{URL: opts.backendURL()})
	controller, err := newEngineController(ctx, common, opts, client)
	if err != nil {
		return nil, oops.In("agent").Wrapf(err, "start the agent")
	}
	attempts, err := newAttemptRegistry(maxFinishedAttempts)
	if err != nil {
		return nil, oops.In("agent").Wrapf(err, "start the agent")
	}
	crashes, err := newCrashTracker(common.Timer)
	if err != nil {
		return nil, oops.In("agent").Wrapf(err, "start the agent")
	}
	a := &Agent{
		ctx:        ctx,
		common:     common,
		opts:       opts,
		client:     client,
		controller: controller,
		attempts:   attempts,
		crashes:    crashes,
		throttle:   aubthrottle.New(common, aubthrottle.Opts{}),
		slots:      semaphore.NewWeighted(int64(opts.MaxRunning)),
		sessions:   make(map[*session]struct{}),
	}
	ticks := common.Timer.Subscribe(ctx, opts.Heartbeat/ticksPerHeartbeat)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticks:
				a.tick(common.Timer.Now())
			}
		}
	}()
	return a, nil
}

// Register registers the agent's gRPC service.
func (a *Agent) Register(r grpc.ServiceRegistrar) { aubwire.RegisterAgentServer(r, a) }

// Incarnation returns the agent's incarnation, a number that grows with every start.
func (a *Agent) Incarnation() uint64 { return a.controller.incarnation }

// Draining reports whether the agent is shutting down and refuses new work.
func (a *Agent) Draining() bool { return a.draining.Load() }

// Done returns a channel that is closed once the agent's context has ended and
// the agent no longer writes to its data folder.
func (a *Agent) Done() <-chan struct{} { return a.controller.done }

// Report returns the state of the backend server for the agent's announcements.
func (a *Agent) Report() *aubwire.BackendReport {
	suspects, poisoned := a.crashes.activeFingerprints()
	report := &aubwire.BackendReport{
		Engine:   a.opts.engine(),
		Services: a.opts.Services,
		Running:  a.running.Load(),
		Suspects: suspects,
		Poisoned: poisoned,

		LimitWaitMs: a.throttle.Wait(a.throttledBackend()).Milliseconds(),
	}
	if a.opts.engine() {
		a.controller.fillReport(report)
	}
	return report
}

// throttledBackend identifies the backend server in the throttle. Its limit holds over a
// restart until an answer says otherwise.
func (a *Agent) throttledBackend() aubthrottle.Backend {
	return aubthrottle.Backend{Name: a.opts.Name}
}

// Order implements the agent's gRPC service. It executes a load or unload order.
func (a *Agent) Order(ctx context.Context, req *aubwire.OrderRequest) (*aubwire.OrderResponse, error) {
	if !a.opts.engine() {
		return &aubwire.OrderResponse{
			Outcome: aubwire.OrderOutcome_ORDER_OUTCOME_FAILED,
			Detail:  "backend server is no engine",
		}, nil
	}
	if a.draining.Load() && req.GetAction() == aubwire.OrderAction_ORDER_ACTION_LOAD {
		return a.controller.respond(aubwire.OrderOutcome_ORDER_OUTCOME_FAILED, "agent is leaving"), nil
	}
	resp := a.controller.execute(ctx, req)
	a.common.Metrics.Tagged(map[string]string{"outcome": resp.GetOutcome().String()}).Counter("orders").Inc(1)
	return resp, nil
}

// Drain shuts the agent down gracefully: it refuses new requests as not run and
// waits until every execution has finished and its response was acknowledged or
// has expired. It returns the context's error if ctx ends first.
func (a *Agent) Drain(ctx context.Context) error {
	a.draining.Store(true)
	for a.attempts.size() > 0 {
		if err := aubtimer.Wait(ctx, a.common.Timer, drainPollInterval); err != nil {
			return err
		}
	}
	return nil
}

// tick checks every execution and wakes every session, which then sends due
// heartbeats and detects an unresponsive caller.
func (a *Agent) tick(now time.Time) {
	for _, exec := range a.attempts.list() {
		a.tickExecution(exec, now)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for s := range a.sessions {
		s.wake()
	}
}

// tickExecution enforces the deadline, cancels an execution without a caller,
// retires a finished one and detects a stalled backend connection.
func (a *Agent) tickExecution(exec *execution, now time.Time) {
	if !exec.deadline.IsZero() && !now.Before(exec.deadline) {
		exec.cancel(errTimeout)
	}
	since, detached := exec.detachedSince()
	if detached && now.Sub(since) >= a.opts.Linger {
		exec.abandon(errAbandoned)
	}
	if exec.canRetire(now, a.opts.Linger) {
		a.attempts.retire(exec)
		return
	}
	exec.watchdog.tick(now, a.opts.BackendStallTimeout)
}
