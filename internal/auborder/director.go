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
	// orderTimeout bounds one try of an order, or one report, and orderTries the tries.
	orderTimeout = 250 * time.Millisecond
	orderTries   = 3
	// storeBurst bounds the loads from the weight store that begin together.
	storeBurst = 3.0
	// markTime is how long relays get to stop sending before a model is dropped.
	markTime = 100 * time.Millisecond
	// attendInterval is the time between two looks at the operations in progress.
	attendInterval = 50 * time.Millisecond
	// operationLimit is the time after which an order in progress is looked into
	// without regard to its outcome.
	operationLimit = 20 * time.Second
	// ordersForLoad is the number of orders in progress for each load: an unload often
	// comes before it, and loads of kept weights need no place at the store.
	ordersForLoad = 3
	// wantedMemory is how long a question for a copy counts as waiting callers.
	wantedMemory = 5 * time.Second
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

	mu        sync.Mutex
	engines   map[string]*engineState
	term      uint64
	leadSince time.Time
	meter     *workMeter
	// store is the number of loads from the weight store that may begin.
	store   float64
	storeAt time.Time
	// wanted holds when callers last waited for a model without a copy.
	wanted map[string]time.Time
}

// NewDirector returns a director that plans until ctx ends.
func NewDirector(ctx context.Context, common aubcommon.Common, opts DirectorOpts) *Director {
	d := newDirector(common, opts)
	rounds := common.Timer.Subscribe(ctx, opts.Interval)
	looks := common.Timer.Subscribe(ctx, attendInterval)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-looks:
				d.attendAll(ctx)
			case <-rounds:
				d.round(ctx)
			case <-d.wake:
				d.round(ctx)
			}
		}
	}()
	return d
}

// newDirector returns a director that doesn't plan by itself.
func newDirector(common aubcommon.Common, opts DirectorOpts) *Director {
	return &Director{
		common:  common.WithPart("director"),
		opts:    opts,
		wake:    make(chan struct{}, 1),
		engines: make(map[string]*engineState),
		meter:   newWorkMeter(),
		wanted:  make(map[string]time.Time),
	}
}

// round observes demand and, while leading, settles and gives orders.
func (d *Director) round(ctx context.Context) {
	now := d.common.Timer.Now()
	site := d.opts.Site()
	d.mu.Lock()
	d.meter.observe(now, d.opts.Loads.Demand())
	isActing := d.lead(now)
	d.mu.Unlock()
	if !isActing || site == nil {
		return
	}
	for _, service := range site.Services() {
		if service.Engine != nil {
			d.direct(ctx, now, service)
		}
	}
}

// lead reports whether this process may give orders; the caller holds mu.
func (d *Director) lead(now time.Time) bool {
	term, ok := d.opts.Leadership.Leading()
	if !ok {
		d.term = 0
		return false
	}
	if term != d.term {
		d.term, d.leadSince = term, now
		d.store, d.storeAt = 0, now
		clear(d.engines)
		d.common.Log.Info("Leadership of the engines begins.", zap.Uint64("term", term))
	}
	return now.Sub(d.leadSince) >= d.opts.Handover
}

// direct plans for the engines of one service and begins the moves.
func (d *Director) direct(ctx context.Context, now time.Time, service aubsite.Service) {
	engines := d.sync(now, service)
	for _, e := range engines {
		d.attend(ctx, e)
	}
	for _, move := range Plan(d.snapshot(now, service, engines)) {
		if e := engines[move.Engine]; e != nil {
			d.begin(ctx, e, move)
		}
	}
}

// attendAll does what the engines with operations in progress need next.
func (d *Director) attendAll(ctx context.Context) {
	d.mu.Lock()
	isActing := d.lead(d.common.Timer.Now())
	d.mu.Unlock()
	if !isActing {
		return
	}
	for _, e := range d.all() {
		d.attend(ctx, e)
	}
}

// sync follows the registry and returns the engines of the service that can
// take orders.
func (d *Director) sync(now time.Time, service aubsite.Service) map[string]*engineState {
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
			e.takeRecord(now, record)
			e.mu.Unlock()
		}
	}
	return engines
}
