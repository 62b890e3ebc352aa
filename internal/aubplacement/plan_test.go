package aubplacement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/auburndale/auburndale/internal/aubplacement"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// simulatedSite is a site on which every order is complete by the next cycle.
type simulatedSite struct {
	t        testing.TB
	snapshot aubplacement.Snapshot
	orders   int
	unloads  int
}

func model(name string, memory int64) aubplacement.Item {
	return aubplacement.Item{Key: aubplacement.Key{Name: name}, MemoryBytes: memory, Copies: 2}
}

func newSimulatedSite(t testing.TB, backends int, memory int64, items ...aubplacement.Item) *simulatedSite {
	s := &simulatedSite{t: t, snapshot: aubplacement.Snapshot{
		Items: items, ModelLoadBudget: 4, AdapterLoadBudget: 30,
		Objective: aubplacement.ObjectiveWorstServed, Capacity: 8,
		Demand: aubplacement.Demand{Items: map[aubplacement.Key]aubplacement.ItemDemand{}},
		Moves:  map[aubplacement.CopyKey]aubplacement.Move{},
	}}
	for i := range backends {
		s.snapshot.Backends = append(s.snapshot.Backends, aubplacement.Backend{
			Name: fmt.Sprintf("w%02d", i), Zone: string(rune('a' + i%3)), Incarnation: 1,
			MemoryBytes: memory, Fenced: true, Residents: map[aubplacement.Key]aubwire.Residency{},
		})
	}
	return s
}

func (s *simulatedSite) backend(name string) *aubplacement.Backend {
	for i := range s.snapshot.Backends {
		if s.snapshot.Backends[i].Name == name {
			return &s.snapshot.Backends[i]
		}
	}
	return nil
}

// runCycle plans, applies the orders one by one with a check after each, and completes
// them.
func (s *simulatedSite) runCycle(planner aubplacement.Planner[aubplacement.Snapshot, aubplacement.Plan]) aubplacement.Plan {
	plan := planner.Plan(s.snapshot)
	for _, o := range plan.Orders {
		s.apply(o)
	}
	s.snapshot.Now += time.Second
	s.snapshot.Reservations = plan.Reservations
	s.completeOrders()
	return plan
}

func (s *simulatedSite) apply(o aubplacement.Order) {
	backend := s.backend(o.Backend)
	key := o.Item.Key
	if o.Action == aubplacement.ActionConfirm {
		return
	}
	s.orders++
	s.snapshot.Moves[aubplacement.CopyKey{Backend: o.Backend, Item: key}] = aubplacement.Move{Action: o.Action, At: s.snapshot.Now}
	if o.Action == aubplacement.ActionUnload {
		s.unloads++
		// The last copy of an item that the configuration no longer names may be
		// unloaded.
		backend.Residents[key] = aubwire.Residency_RESIDENCY_UNLOADING
		if s.readyCopies(key) == 0 && s.memoryOf(key) > 0 {
			s.t.Fatalf("the last ready copy of %s was unloaded", key.Name)
		}
		return
	}
	backend.Residents[key] = aubwire.Residency_RESIDENCY_LOADING
	backend.UsedBytes += o.Item.MemoryBytes
	if backend.UsedBytes > backend.MemoryBytes {
		s.t.Fatalf("memory of %s exceeded by %s", backend.Name, key.Name)
	}
}

func (s *simulatedSite) completeOrders() {
	for i := range s.snapshot.Backends {
		backend := &s.snapshot.Backends[i]
		for key, state := range backend.Residents {
			switch state {
			case aubwire.Residency_RESIDENCY_LOADING:
				backend.Residents[key] = aubwire.Residency_RESIDENCY_READY
			case aubwire.Residency_RESIDENCY_UNLOADING:
				delete(backend.Residents, key)
				backend.UsedBytes -= s.memoryOf(key)
			}
		}
	}
}

func (s *simulatedSite) memoryOf(key aubplacement.Key) int64 {
	for _, item := range s.snapshot.Items {
		if item.Key == key {
			return item.MemoryBytes
		}
	}
	return 0
}

// readyCopies counts the ready copies of the item.
func (s *simulatedSite) readyCopies(key aubplacement.Key) int { return len(s.zonesOf(key)) }

func (s *simulatedSite) zonesOf(key aubplacement.Key) []string {
	var zones []string
	for _, backend := range s.snapshot.Backends {
		if backend.Residents[key] == aubwire.Residency_RESIDENCY_READY {
			zones = append(zones, backend.Zone)
		}
	}
	return zones
}

func (s *simulatedSite) setDemand(name string, rate float64) {
	s.snapshot.Demand.Items[aubplacement.Key{Name: name}] = aubplacement.ItemDemand{
		Rate: map[string]float64{"ws": rate}, ServiceSeconds: 1, Forecast: 1, LastArrival: s.snapshot.Now,
	}
}

func (s *simulatedSite) removeZone(zone string) {
	remaining := s.snapshot.Backends[:0]
	for _, backend := range s.snapshot.Backends {
		if backend.Zone != zone {
			remaining = append(remaining, backend)
		}
	}
	s.snapshot.Backends = remaining
}

func models(n int, memory int64) []aubplacement.Item {
	items := make([]aubplacement.Item, 0, n)
	for i := range n {
		items = append(items, model(fmt.Sprintf("m%02d", i), memory))
	}
	return items
}

var marginal = aubplacement.MarginalAttainment{}

func TestEveryModelGetsTwoZones(t *testing.T) {
	site := newSimulatedSite(t, 12, 80*gib, models(20, 20*gib)...)
	for range 20 {
		site.runCycle(marginal)
	}
	for _, item := range site.snapshot.Items {
		zones := site.zonesOf(item.Key)
		qt.Assert(t, len(zones) >= 2 && zones[0] != zones[1], qt.IsTrue, qt.Commentf("%s in %v", item.Key.Name, zones))
	}
	qt.Assert(t, site.unloads, qt.Equals, 0)
}

func TestNoisySteadyDemandCausesNoOrders(t *testing.T) {
	for seed := range uint64(3) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		site := newSimulatedSite(t, 12, 80*gib, models(20, 20*gib)...)
		for range 900 {
			for i, item := range site.snapshot.Items {
				// Zipf-like demand with 20 % noise.
				site.setDemand(item.Key.Name, 20/float64(i+1)*(0.8+0.4*rnd.Float64()))
			}
			if site.snapshot.Now == 600*time.Second {
				site.orders = 0
			}
			site.runCycle(marginal)
		}
		qt.Check(t, site.orders, qt.Equals, 0, qt.Commentf("seed %d", seed))
	}
}

func TestTenfoldDemandStepAddsCopiesWithinTenCycles(t *testing.T) {
	// Memory is full with two copies of each model: copies of others must be unloaded.
	site := newSimulatedSite(t, 12, 80*gib, models(24, 20*gib)...)
	for range 200 {
		for _, item := range site.snapshot.Items {
			site.setDemand(item.Key.Name, 0.3)
		}
		site.setDemand("m05", 3)
		site.runCycle(marginal)
	}
	before := site.readyCopies(aubplacement.Key{Name: "m05"})
	for range 10 {
		site.setDemand("m05", 30)
		site.runCycle(marginal)
	}
	after := site.readyCopies(aubplacement.Key{Name: "m05"})
	qt.Assert(t, after >= 2*before, qt.IsTrue, qt.Commentf("%d copies before the step, %d after", before, after))
}

func TestObjectiveDecidesWhichModelGetsTheFreeMemory(t *testing.T) {
	for objective, wantModel := range map[aubplacement.Objective]string{
		aubplacement.ObjectiveWorstServed: "small",
		aubplacement.ObjectiveRefusals:    "large",
	} {
		// Two full backend servers and one with memory for one model.
		site := newSimulatedSite(t, 3, 20*gib, model("large", 20*gib), model("small", 20*gib))
		for i, name := range []string{"large", "small"} {
			backend := &site.snapshot.Backends[i]
			backend.Residents[aubplacement.Key{Name: name}] = aubwire.Residency_RESIDENCY_READY
			backend.UsedBytes = 20 * gib
		}
		for i := range site.snapshot.Items {
			site.snapshot.Items[i].Copies = 1
		}
		site.snapshot.Objective = objective
		site.snapshot.Demand.LateShare = map[string]float64{"small": 0.8, "large": 0.1}
		for name, rate := range map[string]float64{"large": 10, "small": 8} {
			site.snapshot.Demand.Items[aubplacement.Key{Name: name}] = aubplacement.ItemDemand{
				Rate: map[string]float64{name: rate}, ServiceSeconds: 1,
			}
		}
		orders := marginal.Plan(site.snapshot).Orders
		qt.Assert(t, orders, qt.HasLen, 1)
		qt.Check(t, orders[0].Item.Key.Name, qt.Equals, wantModel, qt.Commentf("%s", objective))
	}
}

func TestModelsAreReloadedAfterZoneLoss(t *testing.T) {
	site := newSimulatedSite(t, 12, 80*gib, models(20, 20*gib)...)
	for range 30 {
		site.runCycle(marginal)
	}
	site.removeZone("a")
	plan := site.runCycle(marginal)
	for _, o := range plan.Orders {
		qt.Assert(t, o.Reason == aubplacement.ReasonUnreachable || len(plan.Unplaced) == 0, qt.IsTrue)
	}
	for range 20 {
		site.runCycle(marginal)
	}
	for _, item := range site.snapshot.Items {
		qt.Assert(t, site.readyCopies(item.Key) >= 1, qt.IsTrue, qt.Commentf("%s", item.Key.Name))
	}
}

func TestRedundantCopiesWaitForALostBackendServer(t *testing.T) {
	site := newSimulatedSite(t, 6, 80*gib, models(6, 20*gib)...)
	for range 20 {
		site.runCycle(marginal)
	}
	lost := site.snapshot.Backends[0]
	site.snapshot.Backends = site.snapshot.Backends[1:]
	site.snapshot.LostCopies = map[aubplacement.Key]int{}
	for key := range lost.Residents {
		site.snapshot.LostCopies[key]++
	}
	qt.Assert(t, len(site.snapshot.LostCopies) > 0, qt.IsTrue)
	qt.Assert(t, marginal.Plan(site.snapshot).Orders, qt.HasLen, 0)
	// A model without any copy left is loaded immediately nevertheless.
	key := site.snapshot.Items[0].Key
	for _, backend := range site.snapshot.Backends {
		delete(backend.Residents, key)
	}
	orders := marginal.Plan(site.snapshot).Orders
	qt.Assert(t, orders, qt.HasLen, 1)
	qt.Assert(t, orders[0].Item.Key, qt.Equals, key)
	site.snapshot.LostCopies = nil
	qt.Assert(t, len(marginal.Plan(site.snapshot).Orders) > 1, qt.IsTrue)
}

func TestLastCopyIsEvictedOnlyWhenMemoryIsOversubscribed(t *testing.T) {
	planner := marginal
	site := newSimulatedSite(t, 2, 40*gib, models(4, 20*gib)...)
	for range 20 {
		site.runCycle(planner)
	}
	site.snapshot.Items = append(site.snapshot.Items, model("m04", 20*gib))
	key := aubplacement.Key{Name: "m04"}
	site.snapshot.Demand.Items[key] = aubplacement.ItemDemand{}
	qt.Assert(t, planner.Plan(site.snapshot).Orders, qt.HasLen, 0)
	site.snapshot.Demand.Items[key] = aubplacement.ItemDemand{Waiting: 1, LastArrival: site.snapshot.Now}
	orders := planner.Plan(site.snapshot).Orders
	qt.Assert(t, orders, qt.HasLen, 1)
	qt.Assert(t, orders[0].Action, qt.Equals, aubplacement.ActionUnload)
}

func TestAdaptersFollowTheirModels(t *testing.T) {
	items := models(2, 20*gib)
	for i := range 6 {
		items = append(items, aubplacement.Item{
			Key: aubplacement.Key{Name: fmt.Sprintf("a%d", i), Adapter: true}, Base: "m00", MemoryBytes: gib, Copies: 2,
		})
	}
	site := newSimulatedSite(t, 3, 60*gib, items...)
	for range 10 {
		site.runCycle(marginal)
	}
	for _, item := range items {
		qt.Check(t, site.readyCopies(item.Key), qt.Equals, 2, qt.Commentf("%s", item.Key.Name))
	}
	removed := items[0].Key
	site.snapshot.Items = items[1:2]
	for range 10 {
		site.runCycle(marginal)
	}
	qt.Assert(t, site.readyCopies(removed), qt.Equals, 0)
}

// TestOrdersNeverExceedMemoryOrRemoveLastCopies changes demand and draining backend
// servers at random; simulatedSite checks every order.
func TestOrdersNeverExceedMemoryOrRemoveLastCopies(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		backends := rapid.IntRange(2, 8).Draw(r, "backends")
		n := rapid.IntRange(1, 10).Draw(r, "models")
		items := make([]aubplacement.Item, 0, n)
		for i := range n {
			items = append(items, model(fmt.Sprintf("m%02d", i), int64(rapid.IntRange(5, 30).Draw(r, "gib"))*gib))
		}
		site := newSimulatedSite(t, backends, 80*gib, items...)
		for range 30 {
			name := items[rapid.IntRange(0, len(items)-1).Draw(r, "item")].Key.Name
			site.setDemand(name, rapid.Float64Range(0, 60).Draw(r, "rate"))
			if rapid.IntRange(0, 9).Draw(r, "toggle draining") == 0 {
				i := rapid.IntRange(0, len(site.snapshot.Backends)-1).Draw(r, "backend")
				site.snapshot.Backends[i].Draining = !site.snapshot.Backends[i].Draining
			}
			site.snapshot.Now += 30 * time.Second
			site.runCycle(marginal)
		}
	})
}

// BenchmarkPlan measures one plan in steady state.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ backends, models int }{{12, 20}, {18, 30}, {400, 100}, {6500, 280}} {
		b.Run(fmt.Sprintf("backends=%d/models=%d", size.backends, size.models), func(b *testing.B) {
			site := newSimulatedSite(b, size.backends, 80*gib, models(size.models, 20*gib)...)
			site.snapshot.ModelLoadBudget = 1000
			for i, item := range site.snapshot.Items {
				site.setDemand(item.Key.Name, 3000/float64(i+1))
			}
			for range 30 {
				site.runCycle(marginal)
			}
			b.ReportAllocs()
			for b.Loop() {
				marginal.Plan(site.snapshot)
			}
		})
	}
}
