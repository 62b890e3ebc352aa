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

// slowAgent executes orders, but loads and unloads stay in progress until finish.
type slowAgent struct {
	name, zone string
	memory     int64
	// A restart changes incarnation and fence; the engine's copies and operations
	// remain.
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
	state, isResident := a.residents[r.GetName()]
	switch {
	case r.GetAction() == aubwire.OrderAction_ORDER_ACTION_UNLOAD && isResident:
		a.residents[r.GetName()] = aubwire.Residency_RESIDENCY_UNLOADING
	case r.GetAction() == aubwire.OrderAction_ORDER_ACTION_UNLOAD:
	case state == aubwire.Residency_RESIDENCY_UNLOADING:
		return aubwire.OrderOutcome_ORDER_OUTCOME_IN_USE
	case isResident:
	case a.used()+r.GetMemoryBytes() > a.memory:
		return aubwire.OrderOutcome_ORDER_OUTCOME_NO_MEMORY
	default:
		a.residents[r.GetName()] = aubwire.Residency_RESIDENCY_LOADING
		a.bytes[r.GetName()] = r.GetMemoryBytes()
	}
	return aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED
}

// finish completes all loads and unloads in progress.
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

// networkFault is what the network does to an order.
type networkFault int

const (
	delivered networkFault = iota
	responseLost
	orderLost
	orderDelayed
	orderDuplicated
)

// delivery is an order that the network may still deliver.
type delivery struct {
	agent   string
	request *aubwire.OrderRequest
}

// faultySite is a site whose network loses, delays and duplicates orders and reports.
type faultySite struct {
	t      *rapid.T
	timer  *aubtimer.Manual
	agents []*slowAgent
	// reports holds the last report received from each agent.
	reports map[string]aubmembership.Member
	delayed []delivery
	log     *fakeLog
	// The configuration names the models from firstModel up to but not including
	// endModel.
	firstModel, endModel int
	demand               aubplacement.Demand
	// everReady names the configured models that have been ready.
	everReady   map[string]bool
	placers     []*aubplacement.Placer
	leaderships []*fakeLeadership
	faults      *rapid.Generator[networkFault]
	unloads     int
}

func (h *faultySite) agent(name string) *slowAgent {
	for _, a := range h.agents {
		if a.name == name {
			return a
		}
	}
	return nil
}

func (h *faultySite) View() aubmembership.View {
	members := make([]aubmembership.Member, 0, len(h.reports))
	for _, m := range h.reports {
		members = append(members, m)
	}
	return aubmembership.NewView(h.timer.Now(), members...)
}

func (h *faultySite) report(a *slowAgent) {
	h.reports[a.name] = aubmembership.Member{Announcement: a.announcement(), HeardAt: h.timer.Now()}
}

func (h *faultySite) Config() aubquery.Config {
	opts := aubquery.ConfigOpts{Version: uint64(h.firstModel + h.endModel)}
	for _, name := range h.names() {
		opts.Models = append(opts.Models, aubapi.Model{Name: name, MemoryBytes: 20 * gib})
	}
	return aubquery.NewConfig(opts)
}

// names lists the models of the configuration.
func (h *faultySite) names() []string {
	var names []string
	for i := h.firstModel; i < h.endModel; i++ {
		names = append(names, fmt.Sprintf("m%d", i))
	}
	return names
}

func (h *faultySite) ConfirmedAt() time.Time           { return h.timer.Now() }
func (h *faultySite) Changed(_ uint64) <-chan struct{} { return nil }

var errLost = errors.New("connection lost")

func (h *faultySite) Order(
	_ context.Context, m aubmembership.Member, r *aubwire.OrderRequest,
) (*aubwire.OrderResponse, error) {
	d := delivery{agent: m.Announcement.GetName(), request: r}
	switch h.faults.Draw(h.t, "network fault") {
	case responseLost:
		h.deliver(d)
		return nil, errLost
	case orderLost:
		return nil, errLost
	case orderDelayed:
		h.delayed = append(h.delayed, d)
		return nil, errLost
	case orderDuplicated:
		h.delayed = append(h.delayed, d)
	}
	return &aubwire.OrderResponse{Outcome: h.deliver(d)}, nil
}

func (h *faultySite) deliver(d delivery) aubwire.OrderOutcome {
	a := h.agent(d.agent)
	outcome := a.execute(d.request)
	if d.request.GetAction() == aubwire.OrderAction_ORDER_ACTION_UNLOAD &&
		outcome == aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED {
		h.unloads++
	}
	h.checkInvariants(fmt.Sprintf("%s on %s: %s %s with fence %d", outcome, d.agent, d.request.GetAction(), d.request.GetName(),
		d.request.GetFence()))
	return outcome
}

// checkInvariants asserts that no memory is exceeded and that every model that was
// ready still has a ready copy.
func (h *faultySite) checkInvariants(after string) {
	for _, a := range h.agents {
		if a.used() > a.memory {
			h.t.Fatalf("memory of %s exceeded after %s", a.name, after)
		}
	}
	for name := range h.everReady {
		if h.readyCopies(name) == 0 {
			h.t.Fatalf("no ready copy of %s is left after %s", name, after)
		}
	}
}

func (h *faultySite) readyCopies(name string) int {
	n := 0
	for _, a := range h.agents {
		if a.residents[name] == aubwire.Residency_RESIDENCY_READY {
			n++
		}
	}
	return n
}

func (h *faultySite) addLeader() {
	leadership := &fakeLeadership{}
	p, err := aubplacement.NewSteppedPlacer(aubcommon.NewCommon(h.timer), aubplacement.PlacerOpts{
		Leadership: leadership, Proposer: h.log, Config: h, Members: h, Orders: h,
		Demand:   func() aubplacement.Demand { return h.demand },
		LoadRate: 100, LoadConcurrency: 100, Settle: time.Nanosecond,
	})
	if err != nil {
		h.t.Fatal(err)
	}
	for _, old := range h.leaderships {
		old.term.Store(0)
	}
	leadership.term.Store(uint64(len(h.leaderships) + 1))
	h.leaderships = append(h.leaderships, leadership)
	h.placers = append(h.placers, p)
}

func (h *faultySite) pickAgent() *slowAgent {
	return h.agents[rapid.IntRange(0, len(h.agents)-1).Draw(h.t, "agent")]
}

func newFaultySite(t *rapid.T, faults []networkFault) *faultySite {
	h := &faultySite{
		t: t, timer: aubtimer.NewManual(time.Unix(1000, 0)),
		reports: map[string]aubmembership.Member{}, everReady: map[string]bool{},
		log: &fakeLog{table: aubplacement.NewTable()}, endModel: 4,
		demand: aubplacement.Demand{Items: map[aubplacement.Key]aubplacement.ItemDemand{}},
		faults: rapid.SampledFrom(faults),
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

// runWithoutFaults runs planning cycles in which all orders, operations and reports
// succeed.
func (h *faultySite) runWithoutFaults(ctx context.Context, cycles int) {
	h.faults = rapid.SampledFrom([]networkFault{delivered})
	for range cycles {
		h.timer.Advance(time.Second)
		h.planAndSend(ctx)
		for _, a := range h.agents {
			a.finish()
			h.report(a)
		}
		h.updateEverReady()
	}
}

func (h *faultySite) planAndSend(ctx context.Context) {
	p := h.placers[len(h.placers)-1]
	p.Step(ctx)
	for p.Send(ctx) {
		continue
	}
}

func (h *faultySite) updateEverReady() {
	everReady := map[string]bool{}
	for _, name := range h.names() {
		if h.everReady[name] || h.readyCopies(name) > 0 {
			everReady[name] = true
		}
	}
	h.everReady = everReady
	h.checkInvariants("time passed")
}

// TestLastReadyCopySurvivesLostDelayedAndDuplicatedOrders changes models, demand and
// leaders under network faults. Four backend servers have memory for two models each;
// up to seven models make the planner unload redundant copies.
func TestLastReadyCopySurvivesLostDelayedAndDuplicatedOrders(t *testing.T) {
	ctx := context.Background()
	faults := []networkFault{delivered, delivered, delivered, responseLost, orderLost, orderDelayed, orderDuplicated}
	unloads := 0
	rapid.Check(t, func(t *rapid.T) {
		h := newFaultySite(t, faults)
		if rapid.Bool().Draw(t, "starts without faults") {
			h.runWithoutFaults(ctx, 6)
			h.faults = rapid.SampledFrom(faults)
		}
		t.Repeat(map[string]func(*rapid.T){
			"plan": func(*rapid.T) { h.placers[len(h.placers)-1].Step(ctx) },
			"send": func(t *rapid.T) {
				// The queue of a deposed leader may be sent late, too.
				h.placers[rapid.IntRange(0, len(h.placers)-1).Draw(t, "placer")].Send(ctx)
			},
			"finish": func(*rapid.T) { h.pickAgent().finish() },
			"report": func(*rapid.T) { h.report(h.pickAgent()) },
			"wait": func(t *rapid.T) {
				h.timer.Advance(time.Duration(rapid.IntRange(100, 12000).Draw(t, "ms")) * time.Millisecond)
			},
			"late delivery": func(t *rapid.T) {
				if len(h.delayed) > 0 {
					// An order may be delivered any number of times.
					h.deliver(h.delayed[rapid.IntRange(0, len(h.delayed)-1).Draw(t, "delayed order")])
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
			"leader change": func(*rapid.T) { h.addLeader() },
			"add model":     func(*rapid.T) { h.endModel = min(h.endModel+1, h.firstModel+7) },
			"remove model": func(*rapid.T) {
				h.firstModel = min(h.firstModel+1, h.endModel-3)
				h.updateEverReady()
			},
			// Several cycles with faults, so that each history contains many orders.
			"advance": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "cycles") {
					h.timer.Advance(time.Second)
					h.planAndSend(ctx)
					for _, a := range h.agents {
						if rapid.Bool().Draw(t, "finish") {
							a.finish()
						}
						if rapid.Bool().Draw(t, "report") {
							h.report(a)
						}
					}
					h.updateEverReady()
				}
			},
			"demand": func(t *rapid.T) {
				key := aubplacement.Key{Name: fmt.Sprintf("m%d", rapid.IntRange(h.firstModel, h.endModel-1).Draw(t, "model"))}
				h.demand.Items[key] = aubplacement.ItemDemand{
					Rate: map[string]float64{"ws": rapid.Float64Range(0, 40).Draw(t, "rate")}, ServiceSeconds: 1,
				}
			},
			"": func(*rapid.T) { h.updateEverReady() },
		})
		h.runWithoutFaults(ctx, 40)
		for _, name := range h.names() {
			if h.readyCopies(name) == 0 {
				t.Fatalf("%s has no ready copy after the network recovered", name)
			}
		}
		unloads += h.unloads
	})
	qt.Assert(t, unloads > 500, qt.IsTrue, qt.Commentf("the histories unloaded only %d copies", unloads))
}
