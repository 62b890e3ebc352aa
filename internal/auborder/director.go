package auborder

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubsite"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// engineCallTimeout bounds one try of an order, or one report, and orderTries the tries.
	engineCallTimeout = 250 * time.Millisecond
	maxOrderAttempts  = 3
	// maxStoreTokens bounds the loads from the weight store that begin together.
	maxStoreTokens = 3.0
	// unloadNoticeTime is how long relays get to stop sending before a model is dropped.
	unloadNoticeTime = 100 * time.Millisecond
	// stepInterval is the time between two looks at the operations in progress.
	stepInterval = 50 * time.Millisecond
	// operationTimeout is the time after which an order in progress is looked into
	// without regard to its outcome.
	operationTimeout = 20 * time.Second
	// operationsPerLoad is the number of orders in progress for each load: an unload often
	// comes before it, and loads of kept weights need no place at the store.
	operationsPerLoad = 3
	// copyRequestTTL is how long a question for a copy counts as waiting callers.
	copyRequestTTL = 5 * time.Second
)

// DirectorOpts are the parts of a director.
type DirectorOpts struct {
	// Holder names this process in its orders.
	Holder     string
	Engine     Engine
	Leadership aubcontrol.Leadership
	Registry   *aubregistry.Registry
	Loads      *aubregistry.Loads
	// Site returns the configuration in force, nil before the first.
	Site func() *aubsite.Site
	// Interval between two plans.
	Interval time.Duration
	// Handover is the time without orders at the start of a term.
	Handover time.Duration
	// Forward asks the leader in place of this process.
	Forward func(ctx context.Context, req *aubwire.PlaceRequest) (*aubwire.PlaceResponse, error)
}

// Director gives the orders while its process leads.
//
// Lock order: the mutexes of one engine, then mu.
type Director struct {
	common aubcommon.Common
	opts   DirectorOpts
	wake   chan struct{}
	// tasks are the orders and reports under way.
	tasks sync.WaitGroup

	mu          sync.Mutex
	engines     map[string]*engineState
	term        uint64
	termSince   time.Time
	demandMeter *demandMeter
	// storeTokens is the number of loads from the weight storeTokens that may begin.
	storeTokens     float64
	storeRefilledAt time.Time
	// copyRequestedAt holds when callers last waited for a model without a copy.
	copyRequestedAt map[string]time.Time
}

// NewDirector returns a director that plans until ctx ends.
func NewDirector(ctx context.Context, common aubcommon.Common, opts DirectorOpts) *Director {
	d := newDirector(common, opts)
	planTicks := common.Timer.Subscribe(ctx, opts.Interval)
	stepTicks := common.Timer.Subscribe(ctx, stepInterval)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-stepTicks:
				d.runNextSteps(ctx)
			case <-planTicks:
				d.runCycle(ctx)
			case <-d.wake:
				d.runCycle(ctx)
			}
		}
	}()
	return d
}

// newDirector returns a director that doesn't plan by itself.
func newDirector(common aubcommon.Common, opts DirectorOpts) *Director {
	return &Director{
		common:          common.WithPart("director"),
		opts:            opts,
		wake:            make(chan struct{}, 1),
		engines:         make(map[string]*engineState),
		demandMeter:     newDemandMeter(),
		copyRequestedAt: make(map[string]time.Time),
	}
}

// runCycle observes demand and, while leading, settles and gives orders.
func (d *Director) runCycle(ctx context.Context) {
	now := d.common.Timer.Now()
	site := d.opts.Site()
	d.mu.Lock()
	d.demandMeter.observe(now, d.opts.Loads.Demand())
	isActing := d.checkLeadership(now)
	d.mu.Unlock()
	if !isActing || site == nil {
		return
	}
	for _, service := range site.Services() {
		if service.Engine != nil {
			d.planService(ctx, now, service)
		}
	}
}

// checkLeadership reports whether this process may give orders; the caller holds mu.
func (d *Director) checkLeadership(now time.Time) bool {
	term, ok := d.opts.Leadership.Leading()
	if !ok {
		d.term = 0
		return false
	}
	if term != d.term {
		d.term, d.termSince = term, now
		d.storeTokens, d.storeRefilledAt = 0, now
		clear(d.engines)
		d.common.Log.Info("Leadership of the engines begins.", zap.Uint64("term", term))
	}
	return now.Sub(d.termSince) >= d.opts.Handover
}

// planService plans for the engines of one service and begins the moves.
func (d *Director) planService(ctx context.Context, now time.Time, service aubsite.Service) {
	engines := d.syncEngines(now, service)
	for _, e := range engines {
		d.runNextStep(ctx, e)
	}
	for _, move := range Plan(d.snapshot(now, service, engines)) {
		if e := engines[move.Engine]; e != nil {
			d.startMove(ctx, e, move)
		}
	}
}

// runNextSteps does what the engines with operations in progress need next.
func (d *Director) runNextSteps(ctx context.Context) {
	d.mu.Lock()
	isActing := d.checkLeadership(d.common.Timer.Now())
	d.mu.Unlock()
	if !isActing {
		return
	}
	for _, e := range d.allEngines() {
		d.runNextStep(ctx, e)
	}
}

// syncEngines follows the registry and returns the engines of the service that can
// take orders.
func (d *Director) syncEngines(now time.Time, service aubsite.Service) map[string]*engineState {
	records := d.opts.Registry.Records()
	engines := make(map[string]*engineState)
	known := make(map[string]bool)
	d.mu.Lock()
	for _, record := range records {
		if record.GetState() != aubwire.BackendState_BACKEND_STATE_READY {
			continue
		}
		known[record.GetId()] = true
		if record.GetService() != service.Name {
			continue
		}
		e := d.engines[record.GetId()]
		if e == nil || e.startedMs != record.GetStartedMs() {
			e = newEngineState(record)
			d.engines[record.GetId()] = e
		}
		engines[record.GetId()] = e
	}
	for id := range d.engines {
		if !known[id] {
			delete(d.engines, id)
		}
	}
	d.mu.Unlock()
	for _, record := range records {
		if e := engines[record.GetId()]; e != nil {
			e.mu.Lock()
			e.applyRecord(now, record)
			e.mu.Unlock()
		}
	}
	return engines
}
