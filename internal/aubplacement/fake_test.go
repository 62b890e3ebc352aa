package aubplacement_test

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubplacement"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const gib = int64(1) << 30

// fakeLog applies commands to the placement table immediately.
type fakeLog struct {
	mu    sync.Mutex
	table *aubplacement.Table
	index uint64
}

func (l *fakeLog) Apply(_ context.Context, _ string, body []byte) (aubcontrol.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	result := l.table.Apply(aubcontrol.Command{Index: l.index, Body: body})
	return aubcontrol.Result{Index: l.index, Body: result}, nil
}

// fakeLeadership leads in the term unless the term is 0.
type fakeLeadership struct{ term atomic.Uint64 }

func (l *fakeLeadership) Leading() (uint64, bool) {
	term := l.term.Load()
	return term, term > 0
}

// fakeConfig is a configuration that does not change.
type fakeConfig struct {
	aubquery.ConfigSource

	config aubquery.Config
}

func (c fakeConfig) Config() aubquery.Config { return c.config }

// fakeAgent executes orders immediately.
type fakeAgent struct {
	name      string
	zone      string
	memory    int64
	fence     uint64
	residents map[aubplacement.Key]int64
}

func (a *fakeAgent) used() int64 {
	var used int64
	for _, bytes := range a.residents {
		used += bytes
	}
	return used
}

// execute applies an order and returns the outcome that an agent must return.
func (a *fakeAgent) execute(r *aubwire.OrderRequest) aubwire.OrderOutcome {
	if r.GetFence() < a.fence {
		return aubwire.OrderOutcome_ORDER_OUTCOME_STALE_FENCE
	}
	a.fence = r.GetFence()
	key := aubplacement.Key{Name: r.GetName(), Adapter: r.GetAdapter()}
	if r.GetAction() == aubwire.OrderAction_ORDER_ACTION_UNLOAD {
		delete(a.residents, key)
		return aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED
	}
	if _, ok := a.residents[key]; ok {
		return aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED
	}
	if a.used()+r.GetMemoryBytes() > a.memory {
		return aubwire.OrderOutcome_ORDER_OUTCOME_NO_MEMORY
	}
	a.residents[key] = r.GetMemoryBytes()
	return aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED
}

// announcement returns the agent's announcement, in which every copy is ready.
func (a *fakeAgent) announcement() *aubwire.Announcement {
	b := &aubwire.BackendReport{
		Engine: true, MemoryBytes: a.memory, MemoryUsedBytes: a.used(), Fence: a.fence,
	}
	for key := range a.residents {
		b.Resident = append(b.Resident, &aubwire.Resident{
			Name: key.Name, Adapter: key.Adapter, State: aubwire.Residency_RESIDENCY_READY,
		})
	}
	slices.SortFunc(b.Resident, func(x, y *aubwire.Resident) int { return cmp.Compare(x.GetName(), y.GetName()) })
	return &aubwire.Announcement{
		Name: a.name, Zone: a.zone, Role: aubwire.Role_ROLE_AGENT, Incarnation: 1, Backend: b,
	}
}

// fakeSite holds fake agents, and implements the membership view of them and the client
// that sends them orders.
type fakeSite struct {
	timer *aubtimer.Manual

	mu     sync.Mutex
	agents map[string]*fakeAgent
	orders []*aubwire.OrderRequest
	demand []*aubwire.ModelDemand
	// loseOrders makes Order fail without executing the order.
	loseOrders bool
}

func (s *fakeSite) View() aubmembership.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := make([]aubmembership.Member, 0, len(s.agents)+1)
	members = append(members, aubmembership.Member{
		Announcement: &aubwire.Announcement{
			Name: "entry-1", Role: aubwire.Role_ROLE_ENTRY, Incarnation: 1, Demand: s.demand,
		},
		ReceivedAt: s.timer.Now(),
	})
	for _, a := range s.agents {
		members = append(members, aubmembership.Member{Announcement: a.announcement(), ReceivedAt: s.timer.Now()})
	}
	return aubmembership.NewView(s.timer.Now(), members...)
}

func (s *fakeSite) Order(
	_ context.Context, m aubmembership.Member, r *aubwire.OrderRequest,
) (*aubwire.OrderResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.agents[m.Announcement.GetName()]
	if a == nil {
		return nil, errors.New("agent unreachable")
	}
	s.orders = append(s.orders, r)
	if s.loseOrders {
		return nil, errors.New("order lost")
	}
	return &aubwire.OrderResponse{Outcome: a.execute(r)}, nil
}

// copies counts the agents that hold the item.
func (s *fakeSite) copies(key aubplacement.Key) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, a := range s.agents {
		if _, ok := a.residents[key]; ok {
			n++
		}
	}
	return n
}
