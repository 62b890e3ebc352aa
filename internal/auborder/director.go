package auborder

import (
	"context"
	"math"
	"slices"
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
	// orderTimeout bounds one order or report.
	orderTimeout = 500 * time.Millisecond
	// storeBurst bounds the loads from the weight store that begin together.
	storeBurst = 3.0
	// markTime is how long relays get to stop sending before a model is dropped.
	markTime = 300 * time.Millisecond
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
// Lock order: the mutex of one engine, then mu. Only the former is held while an
// order is under way.
type Director struct {
	common aubcommon.Common
	opts   DirectorOpts
	wake   chan struct{}

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
	ticks := common.Timer.Subscribe(ctx, opts.Interval)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticks:
			case <-d.wake:
			}
			d.round(ctx)
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

// direct plans for the engines of one service and gives the orders.
func (d *Director) direct(ctx context.Context, now time.Time, service aubsite.Service) {
	engines := d.sync(now, service)
	var settled sync.WaitGroup
	for _, e := range engines {
		settled.Go(func() { d.settle(ctx, e) })
	}
	settled.Wait()
	snapshot := d.snapshot(now, service, engines)
	for _, move := range Plan(snapshot) {
		if e := engines[move.Engine]; e != nil {
			d.begin(ctx, e, move)
		}
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

// settle reads the state of an engine whose sequence is not known or whose order
// may have ended.
func (d *Director) settle(ctx context.Context, e *engineState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := d.common.Timer.Now()
	if e.operation != nil && e.operation.marked && !e.operation.ordered {
		if now.Sub(e.operation.at) >= markTime {
			d.order(ctx, e, Order{Action: ActionUnload, Model: e.operation.model})
		}
		return
	}
	isDue := !e.known || e.operation != nil
	if !isDue || now.Sub(e.orderedAt) < reportLag {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := d.opts.Engine.Report(ctx, e.record)
	if err != nil {
		d.common.Log.Info("Engine gave no report.", zap.String("backend_server", e.record.GetId()), zap.Error(err))
		return
	}
	before := e.operation
	e.takeReport(report)
	if before != nil && (e.operation == nil || now.Sub(before.at) > operationLimit) {
		d.finish(e, before)
	}
}

// finish ends an operation; the caller holds the engine's mutex.
func (d *Director) finish(e *engineState, op *operation) {
	e.operation = nil
	if held := e.models[op.model]; held != nil {
		held.state = CopyReady
	}
	if op.action == ActionUnload {
		d.mark(e, nil)
	}
	d.common.Log.Info("Order ended.",
		zap.String("backend_server", e.record.GetId()), zap.Stringer("action", op.action), zap.String("model", op.model),
		zap.Int64("sequence", e.sequence), zap.Duration("took", d.common.Timer.Now().Sub(op.at)))
}

// mark tells the relays which models of an engine are about to be dropped.
func (d *Director) mark(e *engineState, models []string) {
	revision := d.common.Timer.Now().UnixNano()
	d.opts.Registry.SetUnloading(e.record.GetId(), models, revision)
}

// begin carries out a planned move.
func (d *Director) begin(ctx context.Context, e *engineState, move Move) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := d.common.Timer.Now()
	if e.operation != nil || !e.known {
		return
	}
	if move.Action == ActionUnload {
		e.operation = &operation{action: ActionUnload, model: move.Model, at: now, marked: true}
		if held := e.models[move.Model]; held != nil {
			held.state = CopyUnloading
		}
		d.mark(e, []string{move.Model})
		return
	}
	if move.FromStore {
		d.mu.Lock()
		d.store--
		d.mu.Unlock()
	}
	e.operation = &operation{action: ActionLoad, model: move.Model, at: now, takes: move.Takes, fromStore: move.FromStore}
	d.order(ctx, e, Order{Action: ActionLoad, Model: move.Model})
}

// order sends an order for a model and notes its outcome; the caller holds the
// engine's mutex.
func (d *Director) order(ctx context.Context, e *engineState, order Order) {
	outcome := d.send(ctx, e, order)
	op := e.operation
	switch outcome {
	case OutcomeAccepted:
		op.ordered = true
		if order.Action == ActionLoad {
			e.models[order.Model] = &modelCopy{state: CopyLoading, adapters: make(map[string]time.Time)}
		}
	case OutcomeHolds:
		op.ordered = true
		if order.Action == ActionLoad {
			e.models[order.Model] = &modelCopy{state: CopyReady, adapters: make(map[string]time.Time)}
		} else {
			delete(e.models, order.Model)
		}
	default:
		d.finish(e, op)
	}
}

// send sends one order while the lease holds. The caller holds the engine's mutex.
func (d *Director) send(ctx context.Context, e *engineState, order Order) Outcome {
	d.mu.Lock()
	term := d.term
	d.mu.Unlock()
	if leading, ok := d.opts.Leadership.Leading(); !ok || leading != term || !e.known {
		return OutcomeRefused
	}
	order.Holder, order.Fence, order.Sequence = d.opts.Holder, term, e.sequence
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	outcome, err := d.opts.Engine.Order(ctx, e.record, order)
	e.orderedAt = d.common.Timer.Now()
	switch outcome {
	case OutcomeAccepted:
		e.sequence++
		e.uncertain = nil
	case OutcomeHolds:
		// An adapter without requests is dropped at once, which counts as an order.
		if order.Action == ActionUnload && order.Adapter != "" {
			e.sequence++
		}
	case OutcomeUnknown:
		e.known = false
		if order.Action == ActionLoad && order.Adapter == "" {
			e.uncertain = append(e.uncertain, order.Model)
		}
	case OutcomeConflict, OutcomeRefused:
		e.known = false
	}
	d.common.Metrics.Tagged(map[string]string{"action": order.Action.String(), "outcome": outcome.String()}).Counter("orders").Inc(1)
	d.common.Log.Info("Order given.",
		zap.String("backend_server", e.record.GetId()), zap.Int64("started_ms", e.record.GetStartedMs()),
		zap.Stringer("action", order.Action), zap.String("model", order.Model), zap.String("adapter", order.Adapter),
		zap.Uint64("fence", order.Fence), zap.Int64("expected_sequence", order.Sequence),
		zap.Stringer("outcome", outcome), zap.Error(err))
	return outcome
}

// snapshot gathers what the planner needs.
func (d *Director) snapshot(now time.Time, service aubsite.Service, engines map[string]*engineState) Snapshot {
	models := modelsOf(service.Engine)
	loads := d.opts.Loads.InFlight()
	d.mu.Lock()
	d.refillStore(now, service.Engine.LoadsPerSecond)
	atOnce := loadsAtOnce(service.Engine)
	s := Snapshot{StoreLoads: int(d.store), StoreAtOnce: atOnce, Orders: ordersForLoad * atOnce}
	for _, m := range service.Engine.Models {
		name := aubregistry.ModelName(service.Name, m.Name)
		s.Models = append(s.Models, ModelView{
			Name: m.Name, Megabytes: m.Megabytes, Work: d.meter.work[name], Requests: d.meter.requests[name],
			LoadTime: m.LoadTime, KeptLoadTime: m.DiskLoadTime,
			Waiting: now.Sub(d.wanted[name]) < wantedMemory,
		})
	}
	d.mu.Unlock()
	for id, e := range engines {
		e.mu.Lock()
		s.Engines = append(s.Engines, e.view(service.Engine, models, loads[id]))
		e.mu.Unlock()
	}
	slices.SortFunc(s.Engines, func(a, b EngineView) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return s
}

// refillStore lets further loads begin; the caller holds mu.
func (d *Director) refillStore(now time.Time, perSecond float64) {
	d.store = min(d.store+perSecond*now.Sub(d.storeAt).Seconds(), storeBurst)
	d.storeAt = now
}

// loadsAtOnce is the number of loads that the weight store begins while one lasts.
// With more in progress each takes longer.
func loadsAtOnce(engine *aubsite.Engine) int {
	var sum time.Duration
	for _, m := range engine.Models {
		sum += m.LoadTime
	}
	mean := sum.Seconds() / float64(max(len(engine.Models), 1))
	return max(int(math.Round(engine.LoadsPerSecond*mean)), 1)
}

func modelsOf(engine *aubsite.Engine) map[string]aubsite.Model {
	models := make(map[string]aubsite.Model, len(engine.Models))
	for _, m := range engine.Models {
		models[m.Name] = m
	}
	return models
}
