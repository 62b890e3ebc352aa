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

// faultySite is a site whose network loses, delays and duplicates orders, and delivers
// reports late or never.
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

func (s *faultySite) agent(name string) *slowAgent {
	for _, a := range s.agents {
		if a.name == name {
			return a
		}
	}
	return nil
}

func (s *faultySite) View() aubmembership.View {
	members := make([]aubmembership.Member, 0, len(s.reports))
	for _, m := range s.reports {
		members = append(members, m)
	}
	return aubmembership.NewView(s.timer.Now(), members...)
}

func (s *faultySite) report(a *slowAgent) {
	s.reports[a.name] = aubmembership.Member{Announcement: a.announcement(), ReceivedAt: s.timer.Now()}
}

func (s *faultySite) Config() aubquery.Config {
	opts := aubquery.ConfigObjects{Version: uint64(s.firstModel + s.endModel)}
	for _, name := range s.names() {
		opts.Models = append(opts.Models, aubapi.Model{Name: name, MemoryBytes: 20 * gib})
	}
	return aubquery.NewConfig(opts)
}

// names lists the models of the configuration.
func (s *faultySite) names() []string {
	var names []string
	for i := s.firstModel; i < s.endModel; i++ {
		names = append(names, fmt.Sprintf("m%d", i))
	}
	return names
}

func (s *faultySite) ConfirmedAt() time.Time           { return s.timer.Now() }
func (s *faultySite) Changed(_ uint64) <-chan struct{} { return nil }

var errConnectionLost = errors.New("connection lost")

func (s *faultySite) Order(
	_ context.Context, m aubmembership.Member, r *aubwire.OrderRequest,
) (*aubwire.OrderResponse, error) {
	d := delivery{agent: m.Announcement.GetName(), request: r}
	switch s.faults.Draw(s.t, "network fault") {
	case responseLost:
		s.deliver(d)
		return nil, errConnectionLost
	case orderLost:
		return nil, errConnectionLost
	case orderDelayed:
		s.delayed = append(s.delayed, d)
		return nil, errConnectionLost
	case orderDuplicated:
		s.delayed = append(s.delayed, d)
	}
	return &aubwire.OrderResponse{Outcome: s.deliver(d)}, nil
}

func (s *faultySite) deliver(d delivery) aubwire.OrderOutcome {
	a := s.agent(d.agent)
	outcome := a.execute(d.request)
	if d.request.GetAction() == aubwire.OrderAction_ORDER_ACTION_UNLOAD &&
		outcome == aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED {
		s.unloads++
	}
	s.checkInvariants(fmt.Sprintf("%s on %s: %s %s with fence %d", outcome, d.agent, d.request.GetAction(), d.request.GetName(),
		d.request.GetFence()))
	return outcome
}

// checkInvariants asserts that no memory is exceeded and that every model that was
// ready still has a ready copy.
func (s *faultySite) checkInvariants(after string) {
	for _, a := range s.agents {
		if a.used() > a.memory {
			s.t.Fatalf("memory of %s exceeded after %s", a.name, after)
		}
	}
	for name := range s.everReady {
		if s.readyCopies(name) == 0 {
			s.t.Fatalf("no ready copy of %s is left after %s", name, after)
		}
	}
}

func (s *faultySite) readyCopies(name string) int {
	n := 0
	for _, a := range s.agents {
		if a.residents[name] == aubwire.Residency_RESIDENCY_READY {
			n++
		}
	}
	return n
}

func (s *faultySite) addLeader() {
	leadership := &fakeLeadership{}
	p, err := aubplacement.NewSteppedPlacer(aubcommon.NewCommon(s.timer), aubplacement.PlacerOpts{
		Leadership: leadership, Proposer: s.log, Config: s, Members: s, Orders: s,
		Demand:   func() aubplacement.Demand { return s.demand },
		LoadRate: 100, LoadConcurrency: 100, SettleTime: time.Nanosecond,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	for _, old := range s.leaderships {
		old.term.Store(0)
	}
	leadership.term.Store(uint64(len(s.leaderships) + 1))
	s.leaderships = append(s.leaderships, leadership)
	s.placers = append(s.placers, p)
}

func (s *faultySite) pickAgent() *slowAgent {
	return s.agents[rapid.IntRange(0, len(s.agents)-1).Draw(s.t, "agent")]
}

func newFaultySite(t *rapid.T, faults []networkFault) *faultySite {
	s := &faultySite{
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
		s.agents = append(s.agents, a)
		s.report(a)
	}
	s.addLeader()
	return s
}

// runWithoutFaults runs planning cycles in which all orders, operations and reports
// succeed.
func (s *faultySite) runWithoutFaults(ctx context.Context, cycles int) {
	s.faults = rapid.SampledFrom([]networkFault{delivered})
	for range cycles {
		s.timer.Advance(time.Second)
		s.planAndSend(ctx)
		for _, a := range s.agents {
			a.finish()
			s.report(a)
		}
		s.updateEverReady()
	}
}

func (s *faultySite) planAndSend(ctx context.Context) {
	p := s.placers[len(s.placers)-1]
	p.Step(ctx)
	for p.Send(ctx) {
		continue
	}
}

func (s *faultySite) updateEverReady() {
	everReady := map[string]bool{}
	for _, name := range s.names() {
		if s.everReady[name] || s.readyCopies(name) > 0 {
			everReady[name] = true
		}
	}
	s.everReady = everReady
	s.checkInvariants("time passed")
}

// TestLastReadyCopySurvivesLostDelayedAndDuplicatedOrders changes models, demand and
// leaders under network faults. Four backend servers have memory for two models each;
// up to seven models make the planner unload redundant copies.
func TestLastReadyCopySurvivesLostDelayedAndDuplicatedOrders(t *testing.T) {
	ctx := context.Background()
	faults := []networkFault{delivered, delivered, delivered, responseLost, orderLost, orderDelayed, orderDuplicated}
	unloads := 0
	rapid.Check(t, func(t *rapid.T) {
		site := newFaultySite(t, faults)
		if rapid.Bool().Draw(t, "starts without faults") {
			site.runWithoutFaults(ctx, 6)
			site.faults = rapid.SampledFrom(faults)
		}
		t.Repeat(map[string]func(*rapid.T){
			"plan": func(*rapid.T) { site.placers[len(site.placers)-1].Step(ctx) },
			"send": func(t *rapid.T) {
				// The queue of a deposed leader may be sent late, too.
				site.placers[rapid.IntRange(0, len(site.placers)-1).Draw(t, "placer")].Send(ctx)
			},
			"finish": func(*rapid.T) { site.pickAgent().finish() },
			"report": func(*rapid.T) { site.report(site.pickAgent()) },
			"wait": func(t *rapid.T) {
				site.timer.Advance(time.Duration(rapid.IntRange(100, 12000).Draw(t, "ms")) * time.Millisecond)
			},
			"late delivery": func(t *rapid.T) {
				if len(site.delayed) > 0 {
					// An order may be delivered any number of times.
					site.deliver(site.delayed[rapid.IntRange(0, len(site.delayed)-1).Draw(t, "delayed order")])
				}
			},
			"restart": func(t *rapid.T) {
				a := site.pickAgent()
				a.incarnation++
				floor, err := aubplacement.Register(ctx, site.log, a.name, a.incarnation)
				if err != nil {
					t.Fatal(err)
				}
				a.fence = floor
			},
			"leader change": func(*rapid.T) { site.addLeader() },
			"add model":     func(*rapid.T) { site.endModel = min(site.endModel+1, site.firstModel+7) },
			"remove model": func(*rapid.T) {
				site.firstModel = min(site.firstModel+1, site.endModel-3)
				site.updateEverReady()
			},
			// Several cycles with faults, so that each history contains many orders.
			"advance": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "cycles") {
					site.timer.Advance(time.Second)
					site.planAndSend(ctx)
					for _, a := range site.agents {
						if rapid.Bool().Draw(t, "finish") {
							a.finish()
						}
						if rapid.Bool().Draw(t, "report") {
							site.report(a)
						}
					}
					site.updateEverReady()
				}
			},
			"demand": func(t *rapid.T) {
				key := aubplacement.Key{Name: fmt.Sprintf("m%d", rapid.IntRange(site.firstModel, site.endModel-1).Draw(t, "model"))}
				site.demand.Items[key] = aubplacement.ItemDemand{
					Rate: map[string]float64{"ws": rapid.Float64Range(0, 40).Draw(t, "rate")}, ServiceSeconds: 1,
				}
			},
			"": func(*rapid.T) { site.updateEverReady() },
		})
		site.runWithoutFaults(ctx, 40)
		for _, name := range site.names() {
			if site.readyCopies(name) == 0 {
				t.Fatalf("%s has no ready copy after the network recovered", name)
			}
		}
		unloads += site.unloads
	})
	qt.Assert(t, unloads > 500, qt.IsTrue, qt.Commentf("the histories unloaded only %d copies", unloads))
}
