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

// wakesPerInterval bounds the plans that requests cause between two ticks.
const wakesPerInterval = 10

// Placer plans and gives orders while its process leads. Goroutines end with
// the context given to NewPlacer.
//
// Lock order: mu, then the ledger's mutex.
type Placer struct {
	common  aubcommon.Common
	opts    PlacerOpts
	planner Planner[Snapshot, Plan]
	ledger  *ledger
	sender  *sender
	wake    chan struct{}
	started time.Time
	closed  sync.WaitGroup

	mu       sync.Mutex
	requests requests
	status   Status

	// The fields below are used by the planning goroutine alone.
	forecaster *Forecaster
	loads      *rate.Limiter
	intents    []Intent
	planned    time.Time
	term       uint64
	// termFence is the first fencing number of the term, fence the newest.
	termFence uint64
	fence     uint64
}

// Status is what the placer last saw and decided.
type Status struct {
	Leading bool
	Fence   uint64
	// Unplaced items have no copy and found no room.
	Unplaced []Key
	// Unreachable items have no ready copy.
	Unreachable []Key
}

// NewPlacer starts planning; it gives orders only while leadership says so.
// Errors are *OptsError.
func NewPlacer(ctx context.Context, common aubcommon.Common, opts PlacerOpts) (*Placer, error) {
	p, err := newPlacer(common, opts)
	if err != nil {
		return nil, err
	}
	p.sender.start(ctx, &p.closed)
	ticks := common.Timer.Subscribe(ctx, p.opts.Interval)
	p.closed.Go(func() { p.run(ctx, ticks) })
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
	orders := newLedger()
	return &Placer{
		common:     common,
		opts:       opts,
		planner:    planner,
		ledger:     orders,
		sender:     newSender(common, opts, orders),
		wake:       make(chan struct{}, 1),
		started:    common.Timer.Now(),
		requests:   make(requests),
		forecaster: NewForecaster(),
		loads:      rate.NewLimiter(rate.Limit(opts.LoadRate), opts.LoadConcurrency),
	}, nil
}

// Request asks for a load that a caller waits for. It may be repeated.
func (p *Placer) Request(item Key) {
	p.mu.Lock()
	p.requests[item] = p.common.Timer.Now()
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Status returns what the last plan saw.
func (p *Placer) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status
}

// Wait blocks until the goroutines have ended with their context.
func (p *Placer) Wait() { p.closed.Wait() }

func (p *Placer) run(ctx context.Context, ticks <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		case <-p.wake:
			if p.common.Timer.Now().Sub(p.planned) < p.opts.Interval/wakesPerInterval {
				continue
			}
		}
		p.planned = p.common.Timer.Now()
		p.round(ctx)
	}
}

// round makes one plan and sends its orders.
func (p *Placer) round(ctx context.Context) {
	now := p.common.Timer.Now()
	view := p.opts.Members.View()
	demand := p.demand(now, view)
	if !p.lead(now) {
		return
	}
	s := p.snapshot(now, view, demand)
	plan := p.planner.Plan(s)
	p.intents = plan.Intents
	p.report(s, plan)
	orders := append(p.ledger.resend(now), plan.Orders...)
	if len(orders) == 0 || !p.raiseFence(ctx, view, orders) {
		return
	}
	for _, order := range orders {
		p.send(now, view, order)
	}
}

// lead reports whether this process leads and has gathered the members; a new
// term begins without knowledge of earlier orders.
func (p *Placer) lead(now time.Time) bool {
	term, ok := p.opts.Leadership.Leading()
	if ok && term != p.term {
		p.term = term
		p.termFence = 0
		p.fence = 0
		p.intents = nil
		p.ledger.clear()
	}
	if !ok {
		p.term = 0
		p.setStatus(Status{})
	}
	return ok && now.Sub(p.started) >= p.opts.Settle
}

func (p *Placer) demand(now time.Time, view aubmembership.View) Demand {
	if p.opts.Demand != nil {
		return p.opts.Demand()
	}
	return p.forecaster.Observe(p.clock(now), view)
}

// clock is the time since the start, which the planner's snapshots use.
func (p *Placer) clock(now time.Time) time.Duration { return now.Sub(p.started) }

func (p *Placer) snapshot(now time.Time, view aubmembership.View, demand Demand) Snapshot {
	items := itemsOf(p.opts.Config.Config())
	demand = demand.resolve(items)
	p.mu.Lock()
	p.requests.addTo(now, p.clock(now), demand)
	p.mu.Unlock()
	s := Snapshot{
		Now:       p.clock(now),
		Items:     items,
		Demand:    demand,
		Lost:      lostCopies(now, view, p.opts.LostPatience),
		Objective: p.opts.Objective,
		Capacity:  p.opts.Capacity,
		Moves:     p.ledger.recentMoves(p.clock(now)),
		Intents:   p.intents,
	}
	for _, m := range view.Role(aubwire.Role_ROLE_AGENT) {
		if m.Announcement.GetBackend().GetEngine() {
			s.Backends = append(s.Backends, p.ledger.correct(now, m, backendOf(m, p.termFence)))
		}
	}
	models, adapters := loading(s.Backends)
	s.ModelLoads = max(min(int(p.loads.TokensAt(now)), p.opts.LoadConcurrency-models), 0)
	s.AdapterLoads = max(p.opts.AdapterLimit-adapters, 0)
	return s
}

// raiseFence makes sure that the fencing number is this term's and above all
// that the receivers must refuse.
func (p *Placer) raiseFence(ctx context.Context, view aubmembership.View, orders []Order) bool {
	if p.fence > 0 && p.fence > p.highestFloor(view, orders) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, p.opts.OrderTimeout)
	defer cancel()
	fence, err := acquireFence(ctx, p.opts.Proposer, p.term)
	if err != nil {
		p.common.Log.Warn("No fencing number.", zap.Error(err))
		return false
	}
	p.fence = fence
	if p.termFence == 0 {
		p.termFence = fence
	}
	return true
}

// highestFloor returns the number that the orders' must exceed: that of orders
// with unknown outcome, and one below what an agent has accepted.
func (p *Placer) highestFloor(view aubmembership.View, orders []Order) uint64 {
	var floor uint64
	for _, order := range orders {
		floor = max(floor, p.ledger.floor(order))
		m, ok := view.Member(order.Backend)
		if fence := m.Announcement.GetBackend().GetFence(); ok && fence > 0 {
			floor = max(floor, fence-1)
		}
	}
	return floor
}

// send hands an order to the sender, if there is room and its load is allowed.
func (p *Placer) send(now time.Time, view aubmembership.View, order Order) {
	m, ok := view.Member(order.Backend)
	if !ok || m.Announcement.GetIncarnation() != order.Incarnation {
		return
	}
	if order.Action == ActionLoad && !order.Item.Key.Adapter && !p.loads.AllowN(now, 1) {
		return
	}
	number := p.ledger.sent(now, p.clock(now), order, p.fence)
	if !p.sender.offer(job{number: number, member: m, order: order, fence: p.fence, term: p.term}) {
		p.ledger.unsent(order, number)
	}
}

// report sets the status and metrics of a plan.
func (p *Placer) report(s Snapshot, plan Plan) {
	status := Status{Leading: true, Fence: p.fence, Unplaced: plan.Unplaced, Unreachable: unreachable(s)}
	p.common.Metrics.Gauge("unplaced").Update(float64(len(status.Unplaced)))
	p.common.Metrics.Gauge("unreachable").Update(float64(len(status.Unreachable)))
	p.setStatus(status)
}

func (p *Placer) setStatus(status Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.status = status
}

// unreachable returns the items without a ready copy.
func unreachable(s Snapshot) []Key {
	ready := make(map[Key]bool)
	for _, b := range s.Backends {
		for key, state := range b.Residents {
			if state == aubwire.Residency_RESIDENCY_READY && !b.Leaving {
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
