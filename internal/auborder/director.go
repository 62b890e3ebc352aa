package auborder

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubdrain"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubsite"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// engineCallTimeout bounds one attempt of an order, or one report, and
	// maxOrderAttempts the attempts.
	engineCallTimeout = 250 * time.Millisecond
	maxOrderAttempts  = 3
	// storeBurst is the time whose loads from the weight store may start together, minStoreTokens
	// the number that may in any case.
	storeBurst     = 250 * time.Millisecond
	minStoreTokens = 3.0
	// unloadNoticeTime is how long relays get to stop sending requests before a model
	// is unloaded, beyond the time until all of them have been told.
	unloadNoticeTime = 100 * time.Millisecond
	// stepInterval is the time between two checks of the operations in progress.
	stepInterval = 50 * time.Millisecond
	// operationTimeout is the time after which an operation in progress is ended,
	// whatever the engine reports.
	operationTimeout = 20 * time.Second
	// operationsPerLoad is the number of concurrent operations for each concurrent load
	// from the weight store: an unload often precedes a load, and loads of cached
	// weights don't need the weight store.
	operationsPerLoad = 3
	// copyRequestTTL is how long a request for a copy counts as waiting callers.
	copyRequestTTL = 5 * time.Second
	// maxPlanShare is the part of the time that plans may take. Every operation that ends triggers one.
	maxPlanShare = 0.2
	// reportLeadTime is the time before the end of the handover from which a new leader reads the
	// state of engines.
	reportLeadTime = 1500 * time.Millisecond
)

// DirectorOpts are the options and dependencies of a director.
type DirectorOpts struct {
	// Holder identifies this process in its orders.
	Holder     string
	Engine     Engine
	Leadership aubcontrol.Leadership
	Registry   *aubregistry.Registry
	Loads      *aubregistry.LoadAggregator
	// Site returns the active configuration, nil before the first.
	Site func() *aubsite.Site
	// RegionOf returns the region of a zone, empty if it has none. Nil means that no zone has one.
	RegionOf func(zone string) string
	// Drains returns the drained zones and a channel that is closed at the next change; nil if
	// no zone is ever drained.
	Drains func() (aubdrain.Drains, <-chan struct{})
	// Interval is the time between two plans.
	Interval time.Duration
	// Handover is the time at the start of a term in which no orders are sent.
	Handover time.Duration
	// Forward sends the request to the leader if this process doesn't lead.
	Forward func(ctx context.Context, req *aubwire.PlaceRequest) (*aubwire.PlaceResponse, error)
}

// Director plans the placement on engines and sends the orders while its process leads.
//
// Lock order: the mutexes of one engine, then mu.
type Director struct {
	common aubcommon.Common
	opts   DirectorOpts
	ctx    context.Context
	wake   chan struct{}
	calls  *callSlots
	// adapterLoads joins concurrent requests for the same adapter.
	adapterLoads flights[adapterPlacement]
	// tasks are the orders and reports in progress.
	tasks sync.WaitGroup

	// mu guards the fields below.
	mu        sync.Mutex
	engines   map[string]*engineState
	term      uint64
	termSince time.Time
	// lapsedAt is when the lease was first found to have lapsed in the term; zero while it holds.
	lapsedAt    time.Time
	demandMeter *demandMeter
	// storeTokens is the number of loads from the weight store that may start.
	storeTokens     float64
	storeRefilledAt time.Time
	// copyRequestedAt is when callers last waited for a model without a copy.
	copyRequestedAt map[string]time.Time
	// regionRequests holds, by model, when callers limited to certain regions last waited.
	regionRequests map[string][]regionRequest
	// sizes holds, by service and model, the largest size of a model that engines may hold.
	sizes map[string]map[string]modelSize
}

// NewDirector returns a director that plans until ctx ends.
func NewDirector(ctx context.Context, common aubcommon.Common, opts DirectorOpts) *Director {
	d := newDirector(ctx, common, opts)
	planTicks := common.Timer.Subscribe(ctx, opts.Interval)
	stepTicks := common.Timer.Subscribe(ctx, stepInterval)
	go func() {
		pacer := aubtimer.NewPacer(common.Timer, maxPlanShare)
		var planDue <-chan time.Time
		for {
			drainsChanged := d.drainsChanged()
			select {
			case <-ctx.Done():
				return
			case <-stepTicks:
				d.runNextSteps(ctx)
				continue
			case <-drainsChanged:
			case <-planTicks:
			case <-d.wake:
			case <-planDue:
				planDue = nil
			}
			if wait := pacer.Wait(); wait == 0 {
				pacer.Run(func() { d.runCycle(ctx) })
			} else if planDue == nil {
				planDue = common.Timer.After(ctx, wait)
			}
		}
	}()
	return d
}

// drains returns the drained zones.
func (d *Director) drains() aubdrain.Drains {
	if d.opts.Drains == nil {
		return aubdrain.Drains{}
	}
	drains, _ := d.opts.Drains()
	return drains
}

// drainsChanged returns a channel that is closed at the next change of the drained zones; nil
// if they never change.
func (d *Director) drainsChanged() <-chan struct{} {
	if d.opts.Drains == nil {
		return nil
	}
	_, changed := d.opts.Drains()
	return changed
}

// newDirector returns a director without a goroutine.
func newDirector(ctx context.Context, common aubcommon.Common, opts DirectorOpts) *Director {
	common = common.WithPart("director")
	return &Director{
		common:          common,
		opts:            opts,
		ctx:             ctx,
		calls:           newCallSlots(common, maxEngineCalls),
		wake:            make(chan struct{}, 1),
		engines:         make(map[string]*engineState),
		demandMeter:     newDemandMeter(),
		copyRequestedAt: make(map[string]time.Time),
		regionRequests:  make(map[string][]regionRequest),
		sizes:           make(map[string]map[string]modelSize),
	}
}

// runCycle measures demand and, while leading, plans for every service with engines.
func (d *Director) runCycle(ctx context.Context) {
	now := d.common.Timer.Now()
	defer func() { d.common.Metrics.Timer("cycle_time").Record(d.common.Timer.Now().Sub(now)) }()
	site := d.opts.Site()
	d.mu.Lock()
	d.demandMeter.observe(now, d.opts.Loads.Demand())
	phase := d.checkLeadership(now)
	d.mu.Unlock()
	if site == nil {
		return
	}
	for _, service := range site.Services() {
		if service.Engine == nil {
			continue
		}
		// Only a process that has seen earlier configurations knows what they stated.
		d.noteSizes(service)
		switch phase {
		case phaseOrders:
			d.planService(ctx, now, service)
		case phaseReports:
			d.readStates(ctx, now, service)
		case phaseNone, phaseHandover:
		}
	}
}

// phase is what this process may do as the leader.
type phase int

const (
	// phaseNone is that of a process without the leader's lease.
	phaseNone phase = iota
	// phaseHandover is the time in which the engines may still execute orders of an earlier leader.
	phaseHandover
	// phaseReports is the end of the handover: reports may be read, but no orders are sent.
	phaseReports
	phaseOrders
)

// checkLeadership returns what this process may do, and resets the state at the start of a term; the
// caller holds mu. A lease that lapses and is renewed in the same term leaves the state as it is: no
// other process can have been elected meanwhile.
func (d *Director) checkLeadership(now time.Time) phase {
	term, ok := d.opts.Leadership.Leading()
	if !ok {
		d.noteLapse(now)
		return phaseNone
	}
	switch {
	case term != d.term:
		d.term, d.termSince, d.lapsedAt = term, now, time.Time{}
		d.storeTokens, d.storeRefilledAt = 0, now
		clear(d.engines)
		d.common.Log.Info("Engine leadership started.", zap.Uint64("term", term))
	case !d.lapsedAt.IsZero():
		d.common.Log.Info("Engine leadership resumed.", zap.Uint64("term", term), zap.Duration("lapsed", now.Sub(d.lapsedAt)))
		d.lapsedAt = time.Time{}
	}
	switch remaining := d.handoverRemaining(now); {
	case remaining <= 0:
		return phaseOrders
	case remaining <= reportLeadTime:
		return phaseReports
	}
	return phaseHandover
}

// noteLapse notes that the process does not hold the lease of its last term; the caller holds mu.
func (d *Director) noteLapse(now time.Time) {
	if d.term == 0 || !d.lapsedAt.IsZero() {
		return
	}
	d.lapsedAt = now
	d.common.Metrics.Counter("lease_lapses").Inc(1)
	d.common.Log.Info("Engine leadership lapsed.", zap.Uint64("term", d.term), zap.Int("engine_calls", d.calls.running()))
}

// handoverRemaining returns the time until orders may be sent; the caller holds mu.
func (d *Director) handoverRemaining(now time.Time) time.Duration {
	return d.opts.Handover - now.Sub(d.termSince)
}

// readStates reads the reports of the engines of one service whose state is not known.
func (d *Director) readStates(ctx context.Context, now time.Time, service aubsite.Service) {
	for _, e := range d.syncEngines(now, service) {
		d.runNextStep(ctx, e)
	}
}

// planService plans for the engines of one service and starts the moves.
func (d *Director) planService(ctx context.Context, now time.Time, service aubsite.Service) {
	engines := d.syncEngines(now, service)
	for _, e := range engines {
		d.runNextStep(ctx, e)
	}
	d.forgetSizes(service, engines)
	for _, move := range Plan(d.snapshot(now, service, engines)) {
		if e := engines[move.Engine]; e != nil {
			d.startMove(ctx, e, move)
		}
	}
}

// runNextSteps starts the next step of every engine that needs one.
func (d *Director) runNextSteps(ctx context.Context) {
	d.mu.Lock()
	phase := d.checkLeadership(d.common.Timer.Now())
	d.mu.Unlock()
	if phase != phaseReports && phase != phaseOrders {
		return
	}
	for _, e := range d.allEngines() {
		d.runNextStep(ctx, e)
	}
}

// syncEngines updates the engines from the registry and returns those of the service
// that can take orders.
func (d *Director) syncEngines(now time.Time, service aubsite.Service) map[string]*engineState {
	records := d.opts.Registry.Records()
	engines := make(map[string]*engineState)
	known := make(map[string]bool)
	d.mu.Lock()
	for _, record := range records {
		// The memory of an engine that has not registered since the start is not known.
		if record.GetState() != aubwire.BackendState_BACKEND_STATE_READY || record.GetUnconfirmedMs() > 0 {
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
			if len(record.GetUnloading()) > 0 {
				// An earlier leader announced an unload that it may never have ordered.
				d.publishUnloading(e, nil)
			}
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
