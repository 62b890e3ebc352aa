package aubplacement

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// maxWakesPerInterval bounds the plans that load requests trigger in one interval.
const maxWakesPerInterval = 10

// Placer plans the placement and sends orders while its process leads. Its goroutines
// end with the context given to NewPlacer.
//
// Lock order: mu, then the order table's mutex.
type Placer struct {
	common  aubcommon.Common
	opts    PlacerOpts
	planner Planner[Snapshot, Plan]
	orders  *orderTable
	sender  *sender
	wake    chan struct{}
	started time.Time
	workers sync.WaitGroup

	// mu guards requests and status.
	mu       sync.Mutex
	requests loadRequests
	status   Status

	// The fields below are used by the planning goroutine only.
	forecaster   *Forecaster
	loadLimiter  *rate.Limiter
	reservations []Reservation
	lastPlanAt   time.Time
	term         uint64
	// termFence is the first fencing number of the term, fence the latest.
	termFence uint64
	fence     uint64
}

// Status is the state of the placer after the last plan.
type Status struct {
	Leading bool
	Fence   uint64
	// Unplaced items have no copy, and no memory was found for one.
	Unplaced []Key
	// Unreachable items have no ready copy.
	Unreachable []Key
}

// NewPlacer starts planning; it sends orders only while opts.Leadership reports that
// this process leads. Errors are *OptsError.
func NewPlacer(ctx context.Context, common aubcommon.Common, opts PlacerOpts) (*Placer, error) {
	p, err := newPlacer(common, opts)
	if err != nil {
		return nil, err
	}
	p.sender.start(ctx, &p.workers)
	ticks := common.Timer.Subscribe(ctx, p.opts.Interval)
	p.workers.Go(func() { p.run(ctx, ticks) })
	return p, nil
}

// newPlacer returns a placer without goroutines.
func newPlacer(common aubcommon.Common, opts PlacerOpts) (*Placer, error) {
	opts = opts.withDefaults()
	if err := opts.check(); err != nil {
		return nil, err
	}
	planner, err := NewPlanner(opts.Policy)
	if err != nil {
		return nil, err
	}
	common = common.WithPart("placement")
	orders := newOrderTable()
	return &Placer{
		common:      common,
		opts:        opts,
		planner:     planner,
		orders:      orders,
		sender:      newSender(common, opts, orders),
		wake:        make(chan struct{}, 1),
		started:     common.Timer.Now(),
		requests:    make(loadRequests),
		forecaster:  NewForecaster(),
		loadLimiter: rate.NewLimiter(rate.Limit(opts.LoadRate), opts.LoadConcurrency),
	}, nil
}

// RequestLoad registers a caller that waits for a load of the item and triggers a plan.
// It may be repeated.
func (p *Placer) RequestLoad(item Key) {
	p.mu.Lock()
	p.requests[item] = p.common.Timer.Now()
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Status returns the status after the last plan.
func (p *Placer) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status
}

// Wait blocks until the goroutines have ended with their context.
func (p *Placer) Wait() { p.workers.Wait() }

func (p *Placer) run(ctx context.Context, ticks <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		case <-p.wake:
			if p.common.Timer.Now().Sub(p.lastPlanAt) < p.opts.Interval/maxWakesPerInterval {
				continue
			}
		}
		p.lastPlanAt = p.common.Timer.Now()
		p.runCycle(ctx)
	}
}

// runCycle makes one plan and queues its orders.
func (p *Placer) runCycle(ctx context.Context) {
	now := p.common.Timer.Now()
	view := p.opts.Members.View()
	demand := p.currentDemand(now, view)
	if !p.checkLeadership(now) {
		return
	}
	s := p.snapshot(now, view, demand)
	plan := p.planner.Plan(s)
	p.reservations = plan.Reservations
	p.publishStatus(s, plan)
	orders := append(p.orders.unloadsToResend(now), plan.Orders...)
	if len(orders) == 0 || !p.ensureFence(ctx, view, orders) {
		return
	}
	for _, order := range orders {
		p.enqueue(now, view, order)
	}
}

// checkLeadership reports whether this process leads and has collected the members. A
// new term starts without knowledge of earlier orders.
func (p *Placer) checkLeadership(now time.Time) bool {
	term, ok := p.opts.Leadership.Leading()
	if ok && term != p.term {
		p.term = term
		p.termFence = 0
		p.fence = 0
		p.reservations = nil
		p.orders.clear()
	}
	if !ok {
		p.term = 0
		p.setStatus(Status{})
	}
	return ok && now.Sub(p.started) >= p.opts.SettleTime
}

func (p *Placer) currentDemand(now time.Time, view aubmembership.View) Demand {
	if p.opts.Demand != nil {
		return p.opts.Demand()
	}
	return p.forecaster.Observe(p.elapsed(now), view)
}

// elapsed returns the time since the start, which is the clock of the planner's
// snapshots.
func (p *Placer) elapsed(now time.Time) time.Duration { return now.Sub(p.started) }

func (p *Placer) snapshot(now time.Time, view aubmembership.View, demand Demand) Snapshot {
	items := itemsOf(p.opts.Config.Config())
	demand = demand.resolveAdapters(items)
	p.mu.Lock()
	p.requests.addTo(now, p.elapsed(now), demand)
	p.mu.Unlock()
	s := Snapshot{
		Now:          p.elapsed(now),
		Items:        items,
		Demand:       demand,
		LostCopies:   lostCopies(now, view, p.opts.LostGracePeriod),
		Objective:    p.opts.Objective,
		Capacity:     p.opts.Capacity,
		Moves:        p.orders.recentMoves(p.elapsed(now)),
		Reservations: p.reservations,
	}
	for _, m := range view.Role(aubwire.Role_ROLE_AGENT) {
		if m.Announcement.GetBackend().GetEngine() {
			s.Backends = append(s.Backends, p.orders.applyPending(now, m, backendOf(m, p.termFence)))
		}
	}
	models, adapters := countLoading(s.Backends)
	s.ModelLoadBudget = max(min(int(p.loadLimiter.TokensAt(now)), p.opts.LoadConcurrency-models), 0)
	s.AdapterLoadBudget = max(p.opts.AdapterLimit-adapters, 0)
	return s
}

// ensureFence acquires a new fencing number unless the current one is of this term and
// above the floors of the orders. It reports whether the orders may be sent.
func (p *Placer) ensureFence(ctx context.Context, view aubmembership.View, orders []Order) bool {
	if p.fence > 0 && p.fence > p.requiredFloor(view, orders) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, p.opts.OrderTimeout)
	defer cancel()
	fence, err := acquireFence(ctx, p.opts.Proposer, p.term)
	if err != nil {
		p.common.Log.Warn("Fencing number could not be acquired.", zap.Error(err))
		return false
	}
	p.fence = fence
	if p.termFence == 0 {
		p.termFence = fence
	}
	return true
}

// requiredFloor returns the number that the orders' fencing number must exceed: the
// maximum of their fence floors and of one less than the numbers that their agents have
// accepted.
func (p *Placer) requiredFloor(view aubmembership.View, orders []Order) uint64 {
	var floor uint64
	for _, order := range orders {
		floor = max(floor, p.orders.fenceFloor(order))
		m, ok := view.Member(order.Backend)
		if fence := m.Announcement.GetBackend().GetFence(); ok && fence > 0 {
			floor = max(floor, fence-1)
		}
	}
	return floor
}

// enqueue passes an order to the sender, unless the agent has restarted, the weight
// store's limit is reached or the queue is full.
func (p *Placer) enqueue(now time.Time, view aubmembership.View, order Order) {
	m, ok := view.Member(order.Backend)
	if !ok || m.Announcement.GetIncarnation() != order.Incarnation {
		return
	}
	if order.Action == ActionLoad && !order.Item.Key.Adapter && !p.loadLimiter.AllowN(now, 1) {
		return
	}
	attempt := p.orders.add(now, p.elapsed(now), order, p.fence)
	if !p.sender.enqueue(queuedOrder{attempt: attempt, member: m, order: order, fence: p.fence, term: p.term}) {
		p.orders.remove(order, attempt)
	}
}

// publishStatus sets the status and the metrics of a plan.
func (p *Placer) publishStatus(s Snapshot, plan Plan) {
	status := Status{Leading: true, Fence: p.fence, Unplaced: plan.Unplaced, Unreachable: itemsWithoutReadyCopy(s)}
	p.common.Metrics.Gauge("unplaced").Update(float64(len(status.Unplaced)))
	p.common.Metrics.Gauge("unreachable").Update(float64(len(status.Unreachable)))
	p.setStatus(status)
}

func (p *Placer) setStatus(status Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.status = status
}

// itemsWithoutReadyCopy returns the items that have no ready copy on a backend server
// that isn't draining.
func itemsWithoutReadyCopy(s Snapshot) []Key {
	ready := make(map[Key]bool)
	for _, b := range s.Backends {
		for key, state := range b.Residents {
			if state == aubwire.Residency_RESIDENCY_READY && !b.Draining {
				ready[key] = true
			}
		}
	}
	var missing []Key
	for _, item := range s.Items {
		if !ready[item.Key] {
			missing = append(missing, item.Key)
		}
	}
	return missing
}
