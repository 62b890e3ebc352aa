package aubplacement_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubplacement"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// slowAgent executes orders, but loads and unloads take until finish.
type slowAgent struct {
	name, zone string
	memory     int64
	// incarnation and the floor of fence change with a restart; what the engine
	// holds and does stays.
	incarnation uint64
	fence       uint64
	residents   map[string]aubwire.Residency
	bytes       map[string]int64
}

func (a *slowAgent) used() int64 {
	var used int64
	for name := range a.residents {
		used += a.bytes[name]
	}
	return used
}

func (a *slowAgent) execute(r *aubwire.OrderRequest) aubwire.OrderOutcome {
	if r.GetAgentIncarnation() != a.incarnation {
		return aubwire.OrderOutcome_ORDER_OUTCOME_WRONG_INCARNATION
	}
	if r.GetFence() < a.fence {
		return aubwire.OrderOutcome_ORDER_OUTCOME_STALE_FENCE
	}
	a.fence = r.GetFence()
	state, there := a.residents[r.GetName()]
	switch {
	case r.GetAction() == aubwire.OrderAction_ORDER_ACTION_UNLOAD && there:
		a.residents[r.GetName()] = aubwire.Residency_RESIDENCY_UNLOADING
	case r.GetAction() == aubwire.OrderAction_ORDER_ACTION_UNLOAD:
	case state == aubwire.Residency_RESIDENCY_UNLOADING:
		return aubwire.OrderOutcome_ORDER_OUTCOME_IN_USE
	case there:
	case a.used()+r.GetMemoryBytes() > a.memory:
		return aubwire.OrderOutcome_ORDER_OUTCOME_NO_MEMORY
	default:
		a.residents[r.GetName()] = aubwire.Residency_RESIDENCY_LOADING
		a.bytes[r.GetName()] = r.GetMemoryBytes()
	}
	return aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED
}

// finish completes everything on its way.
func (a *slowAgent) finish() {
	for name, state := range a.residents {
		switch state {
		case aubwire.Residency_RESIDENCY_LOADING:
			a.residents[name] = aubwire.Residency_RESIDENCY_READY
		case aubwire.Residency_RESIDENCY_UNLOADING:
			delete(a.residents, name)
		}
	}
}

func (a *slowAgent) announcement() *aubwire.Announcement {
	b := &aubwire.BackendReport{Engine: true, MemoryBytes: a.memory, MemoryUsedBytes: a.used(), Fence: a.fence}
	for name, state := range a.residents {
		b.Resident = append(b.Resident, &aubwire.Resident{Name: name, State: state})
	}
	return &aubwire.Announcement{
		Name: a.name, Zone: a.zone, Role: aubwire.Role_ROLE_AGENT, Incarnation: a.incarnation, Backend: b,
	}
}

// fate is what the network does with an order.
type fate int

const (
	fateDelivered fate = iota
	fateAnswerLost
	fateLost
	fateLate
	fateDoubled
)

// delivery is an order that the network still holds.
type delivery struct {
	agent   string
	request *aubwire.OrderRequest
}

// history is a site whose network loses, delays and doubles orders and reports.
type history struct {
	t      *rapid.T
	timer  *aubtimer.Manual
	agents []*slowAgent
	// reports are what the leaders have heard.
	reports map[string]aubmembership.Member
	held    []delivery
	log     *fakeLog
	// first and end bound the models that the configuration names.
	first, end int
	demand     aubplacement.Demand
	// reached names the models that were ready once.
	reached map[string]bool
	placers []*aubplacement.Placer
	leads   []*fakeLeadership
	fates   *rapid.Generator[fate]
	unloads int
}

func (h *history) agent(name string) *slowAgent {
	for _, a := range h.agents {
		if a.name == name {
			return a
		}
	}
	return nil
}

func (h *history) View() aubmembership.View {
	members := make([]aubmembership.Member, 0, len(h.reports))
	for _, m := range h.reports {
		members = append(members, m)
	}
	return aubmembership.NewView(h.timer.Now(), members...)
}

func (h *history) report(a *slowAgent) {
	h.reports[a.name] = aubmembership.Member{Announcement: a.announcement(), HeardAt: h.timer.Now()}
}

func (h *history) Config() aubquery.Config {
	opts := aubquery.ConfigOpts{Version: uint64(h.first + h.end)}
	for _, name := range h.names() {
		opts.Models = append(opts.Models, aubapi.Model{Name: name, MemoryBytes: 20 * gib})
	}
	return aubquery.NewConfig(opts)
}

// names lists the models of the configuration.
func (h *history) names() []string {
	var names []string
	for i := h.first; i < h.end; i++ {
		names = append(names, fmt.Sprintf("m%d", i))
	}
	return names
}

func (h *history) ConfirmedAt() time.Time           { return h.timer.Now() }
func (h *history) Changed(_ uint64) <-chan struct{} { return nil }

var errLost = errors.New("connection lost")

func (h *history) Order(
	_ context.Context, m aubmembership.Member, r *aubwire.OrderRequest,
) (*aubwire.OrderResponse, error) {
	d := delivery{agent: m.Announcement.GetName(), request: r}
	switch h.fates.Draw(h.t, "fate") {
	case fateAnswerLost:
		h.deliver(d)
		return nil, errLost
	case fateLost:
		return nil, errLost
	case fateLate:
		h.held = append(h.held, d)
		return nil, errLost
	case fateDoubled:
		h.held = append(h.held, d)
	}
	return &aubwire.OrderResponse{Outcome: h.deliver(d)}, nil
}

func (h *history) deliver(d delivery) aubwire.OrderOutcome {
	a := h.agent(d.agent)
	outcome := a.execute(d.request)
	if d.request.GetAction() == aubwire.OrderAction_ORDER_ACTION_UNLOAD &&
		outcome == aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED {
		h.unloads++
	}
	h.check(fmt.Sprintf("%s on %s: %s %s under %d", outcome, d.agent, d.request.GetAction(), d.request.GetName(),
		d.request.GetFence()))
	return outcome
}

// check asserts that memory holds and that every model that was ready still is.
func (h *history) check(after string) {
	for _, a := range h.agents {
		if a.used() > a.memory {
			h.t.Fatalf("memory of %s exceeded after %s", a.name, after)
		}
	}
	for name := range h.reached {
		if h.ready(name) == 0 {
			h.t.Fatalf("no ready copy of %s is left after %s", name, after)
		}
	}
}

func (h *history) ready(name string) int {
	n := 0
	for _, a := range h.agents {
		if a.residents[name] == aubwire.Residency_RESIDENCY_READY {
			n++
		}
	}
	return n
}

func (h *history) addLeader() {
	lead := &fakeLeadership{}
	p, err := aubplacement.NewSteppedPlacer(aubcommon.NewCommon(h.timer), aubplacement.PlacerOpts{
		Leadership: lead, Proposer: h.log, Config: h, Members: h, Orders: h,
		Demand:   func() aubplacement.Demand { return h.demand },
		LoadRate: 100, LoadConcurrency: 100, Settle: time.Nanosecond,
	})
	if err != nil {
		h.t.Fatal(err)
	}
	for _, old := range h.leads {
		old.term.Store(0)
	}
	lead.term.Store(uint64(len(h.leads) + 1))
	h.leads = append(h.leads, lead)
	h.placers = append(h.placers, p)
}

func (h *history) pickAgent() *slowAgent {
	return h.agents[rapid.IntRange(0, len(h.agents)-1).Draw(h.t, "agent")]
}

func newHistory(t *rapid.T, fates []fate) *history {
	h := &history{
		t: t, timer: aubtimer.NewManual(time.Unix(1000, 0)),
		reports: map[string]aubmembership.Member{}, reached: map[string]bool{},
		log: &fakeLog{table: aubplacement.NewTable()}, end: 4,
		demand: aubplacement.Demand{Items: map[aubplacement.Key]aubplacement.ItemDemand{}},
		fates:  rapid.SampledFrom(fates),
	}
	for i := range 4 {
		a := &slowAgent{
			name: fmt.Sprintf("w%d", i), zone: string(rune('a' + i%3)), memory: 50 * gib, incarnation: 1,
			residents: map[string]aubwire.Residency{}, bytes: map[string]int64{},
		}
		h.agents = append(h.agents, a)
		h.report(a)
	}
	h.addLeader()
	return h
}

// settle lets everything arrive and finish, without faults.
func (h *history) settle(ctx context.Context, rounds int) {
	h.fates = rapid.SampledFrom([]fate{fateDelivered})
	for range rounds {
		h.timer.Advance(time.Second)
		h.advance(ctx)
		for _, a := range h.agents {
			a.finish()
			h.report(a)
		}
		h.note()
	}
}

func (h *history) advance(ctx context.Context) {
	p := h.placers[len(h.placers)-1]
	p.Step(ctx)
	for p.Send(ctx) {
		continue
	}
}

func (h *history) note() {
	reached := map[string]bool{}
	for _, name := range h.names() {
		if h.reached[name] || h.ready(name) > 0 {
			reached[name] = true
		}
	}
	h.reached = reached
	h.check("time passed")
}

// TestLastReadyCopyStaysUnderLostLateAndDoubledOrders changes models, demand and
// leaders while the network misbehaves. Four backend servers have room for two
// models each; up to seven models make the planner unload second copies.
func TestLastReadyCopyStaysUnderLostLateAndDoubledOrders(t *testing.T) {
	ctx := context.Background()
	all := []fate{fateDelivered, fateDelivered, fateDelivered, fateAnswerLost, fateLost, fateLate, fateDoubled}
	unloads := 0
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t, all)
		if rapid.Bool().Draw(t, "settled") {
			h.settle(ctx, 6)
			h.fates = rapid.SampledFrom(all)
		}
		t.Repeat(map[string]func(*rapid.T){
			"plan": func(*rapid.T) { h.placers[len(h.placers)-1].Step(ctx) },
			"send": func(t *rapid.T) {
				// A deposed leader's queue wakes up late, too.
				h.placers[rapid.IntRange(0, len(h.placers)-1).Draw(t, "placer")].Send(ctx)
			},
			"finish": func(*rapid.T) { h.pickAgent().finish() },
			"report": func(*rapid.T) { h.report(h.pickAgent()) },
			"wait": func(t *rapid.T) {
				h.timer.Advance(time.Duration(rapid.IntRange(100, 12000).Draw(t, "ms")) * time.Millisecond)
			},
			"late": func(t *rapid.T) {
				if len(h.held) > 0 {
					// Orders may come any number of times.
					h.deliver(h.held[rapid.IntRange(0, len(h.held)-1).Draw(t, "held")])
				}
			},
			"restart": func(t *rapid.T) {
				a := h.pickAgent()
				a.incarnation++
				floor, err := aubplacement.Register(ctx, h.log, a.name, a.incarnation)
				if err != nil {
					t.Fatal(err)
				}
				a.fence = floor
			},
			"leader": func(*rapid.T) { h.addLeader() },
			"add":    func(*rapid.T) { h.end = min(h.end+1, h.first+7) },
			"remove": func(*rapid.T) {
				h.first = min(h.first+1, h.end-3)
				h.note()
			},
			// Many orders with faults, so that histories get far.
			"advance": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "rounds") {
					h.timer.Advance(time.Second)
					h.advance(ctx)
					for _, a := range h.agents {
						if rapid.Bool().Draw(t, "finish") {
							a.finish()
						}
						if rapid.Bool().Draw(t, "report") {
							h.report(a)
						}
					}
					h.note()
				}
			},
			"demand": func(t *rapid.T) {
				key := aubplacement.Key{Name: fmt.Sprintf("m%d", rapid.IntRange(h.first, h.end-1).Draw(t, "model"))}
				h.demand.Items[key] = aubplacement.ItemDemand{
					Rate: map[string]float64{"ws": rapid.Float64Range(0, 40).Draw(t, "rate")}, ServiceSeconds: 1,
				}
			},
			"": func(*rapid.T) { h.note() },
		})
		h.settle(ctx, 40)
		for _, name := range h.names() {
			if h.ready(name) == 0 {
				t.Fatalf("%s is not reachable once the network is well again", name)
			}
		}
		unloads += h.unloads
	})
	qt.Assert(t, unloads > 500, qt.IsTrue, qt.Commentf("the histories unloaded %d copies only", unloads))
}
