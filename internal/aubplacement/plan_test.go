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

// board is a site on which every order is done by the next round.
type board struct {
	t        testing.TB
	snapshot aubplacement.Snapshot
	orders   int
	unloads  int
}

func model(name string, memory int64) aubplacement.Item {
	return aubplacement.Item{Key: aubplacement.Key{Name: name}, MemoryBytes: memory, Copies: 2}
}

func newBoard(t testing.TB, backends int, memory int64, items ...aubplacement.Item) *board {
	b := &board{t: t, snapshot: aubplacement.Snapshot{
		Items: items, ModelLoads: 4, AdapterLoads: 30,
		Objective: aubplacement.ObjectiveWorstServed, Capacity: 8,
		Demand: aubplacement.Demand{Items: map[aubplacement.Key]aubplacement.ItemDemand{}},
		Moves:  map[aubplacement.MoveKey]aubplacement.Move{},
	}}
	for i := range backends {
		b.snapshot.Backends = append(b.snapshot.Backends, aubplacement.Backend{
			Name: fmt.Sprintf("w%02d", i), Zone: string(rune('a' + i%3)), Incarnation: 1,
			MemoryBytes: memory, Fenced: true, Residents: map[aubplacement.Key]aubwire.Residency{},
		})
	}
	return b
}

func (b *board) backend(name string) *aubplacement.Backend {
	for i := range b.snapshot.Backends {
		if b.snapshot.Backends[i].Name == name {
			return &b.snapshot.Backends[i]
		}
	}
	return nil
}

// round plans, checks each prefix of the orders, and does them.
func (b *board) round(planner aubplacement.Planner[aubplacement.Snapshot, aubplacement.Plan]) aubplacement.Plan {
	plan := planner.Plan(b.snapshot)
	for _, o := range plan.Orders {
		b.apply(o)
	}
	b.snapshot.Now += time.Second
	b.snapshot.Intents = plan.Intents
	b.finish()
	return plan
}

func (b *board) apply(o aubplacement.Order) {
	backend := b.backend(o.Backend)
	key := o.Item.Key
	if o.Action == aubplacement.ActionConfirm {
		return
	}
	b.orders++
	b.snapshot.Moves[aubplacement.MoveKey{Backend: o.Backend, Item: key}] = aubplacement.Move{Action: o.Action, At: b.snapshot.Now}
	if o.Action == aubplacement.ActionUnload {
		b.unloads++
		// Items that the configuration no longer names may go.
		backend.Residents[key] = aubwire.Residency_RESIDENCY_UNLOADING
		if b.copies(key) == 0 && b.bytes(key) > 0 {
			b.t.Fatalf("the last ready copy of %s was unloaded", key.Name)
		}
		return
	}
	backend.Residents[key] = aubwire.Residency_RESIDENCY_LOADING
	backend.UsedBytes += o.Item.MemoryBytes
	if backend.UsedBytes > backend.MemoryBytes {
		b.t.Fatalf("memory of %s exceeded by %s", backend.Name, key.Name)
	}
}

func (b *board) finish() {
	for i := range b.snapshot.Backends {
		backend := &b.snapshot.Backends[i]
		for key, state := range backend.Residents {
			switch state {
			case aubwire.Residency_RESIDENCY_LOADING:
				backend.Residents[key] = aubwire.Residency_RESIDENCY_READY
			case aubwire.Residency_RESIDENCY_UNLOADING:
				delete(backend.Residents, key)
				backend.UsedBytes -= b.bytes(key)
			}
		}
	}
}

func (b *board) bytes(key aubplacement.Key) int64 {
	for _, item := range b.snapshot.Items {
		if item.Key == key {
			return item.MemoryBytes
		}
	}
	return 0
}

// copies counts the ready copies.
func (b *board) copies(key aubplacement.Key) int { return len(b.zonesOf(key)) }

func (b *board) zonesOf(key aubplacement.Key) []string {
	var zones []string
	for _, backend := range b.snapshot.Backends {
		if backend.Residents[key] == aubwire.Residency_RESIDENCY_READY {
			zones = append(zones, backend.Zone)
		}
	}
	return zones
}

func (b *board) call(name string, rate float64) {
	b.snapshot.Demand.Items[aubplacement.Key{Name: name}] = aubplacement.ItemDemand{
		Rate: map[string]float64{"ws": rate}, ServiceSeconds: 1, Forecast: 1, LastArrival: b.snapshot.Now,
	}
}

func (b *board) lose(zone string) {
	kept := b.snapshot.Backends[:0]
	for _, backend := range b.snapshot.Backends {
		if backend.Zone != zone {
			kept = append(kept, backend)
		}
	}
	b.snapshot.Backends = kept
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
	b := newBoard(t, 12, 80*gib, models(20, 20*gib)...)
	for range 20 {
		b.round(marginal)
	}
	for _, item := range b.snapshot.Items {
		zones := b.zonesOf(item.Key)
		qt.Assert(t, len(zones) >= 2 && zones[0] != zones[1], qt.IsTrue, qt.Commentf("%s in %v", item.Key.Name, zones))
	}
	qt.Assert(t, b.unloads, qt.Equals, 0)
}

func TestNoisySteadyDemandMovesNothing(t *testing.T) {
	for seed := range uint64(3) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		b := newBoard(t, 12, 80*gib, models(20, 20*gib)...)
		for range 900 {
			for i, item := range b.snapshot.Items {
				// A Zipf-like demand with a fifth of noise.
				b.call(item.Key.Name, 20/float64(i+1)*(0.8+0.4*rnd.Float64()))
			}
			if b.snapshot.Now == 600*time.Second {
				b.orders = 0
			}
			b.round(marginal)
		}
		qt.Check(t, b.orders, qt.Equals, 0, qt.Commentf("seed %d", seed))
	}
}

func TestTenfoldStepAddsCopiesWithinTenRounds(t *testing.T) {
	// Memory is full with two copies each: copies of the others must go.
	b := newBoard(t, 12, 80*gib, models(24, 20*gib)...)
	for range 200 {
		for _, item := range b.snapshot.Items {
			b.call(item.Key.Name, 0.3)
		}
		b.call("m05", 3)
		b.round(marginal)
	}
	before := b.copies(aubplacement.Key{Name: "m05"})
	for range 10 {
		b.call("m05", 30)
		b.round(marginal)
	}
	after := b.copies(aubplacement.Key{Name: "m05"})
	qt.Assert(t, after >= 2*before, qt.IsTrue, qt.Commentf("%d copies, then %d", before, after))
}

func TestObjectiveDecidesWhoGetsTheOnlyRoom(t *testing.T) {
	for objective, first := range map[aubplacement.Objective]string{
		aubplacement.ObjectiveWorstServed: "small",
		aubplacement.ObjectiveRefusals:    "large",
	} {
		// Two full backend servers and one with room for one model.
		b := newBoard(t, 3, 20*gib, model("large", 20*gib), model("small", 20*gib))
		for i, name := range []string{"large", "small"} {
			backend := &b.snapshot.Backends[i]
			backend.Residents[aubplacement.Key{Name: name}] = aubwire.Residency_RESIDENCY_READY
			backend.UsedBytes = 20 * gib
		}
		for i := range b.snapshot.Items {
			b.snapshot.Items[i].Copies = 1
		}
		b.snapshot.Objective = objective
		b.snapshot.Demand.Late = map[string]float64{"small": 0.8, "large": 0.1}
		for name, rate := range map[string]float64{"large": 10, "small": 8} {
			b.snapshot.Demand.Items[aubplacement.Key{Name: name}] = aubplacement.ItemDemand{
				Rate: map[string]float64{name: rate}, ServiceSeconds: 1,
			}
		}
		orders := marginal.Plan(b.snapshot).Orders
		qt.Assert(t, orders, qt.HasLen, 1)
		qt.Check(t, orders[0].Item.Key.Name, qt.Equals, first, qt.Commentf("%s", objective))
	}
}

func TestLostZoneIsMadeGood(t *testing.T) {
	b := newBoard(t, 12, 80*gib, models(20, 20*gib)...)
	for range 30 {
		b.round(marginal)
	}
	b.lose("a")
	first := b.round(marginal)
	for _, o := range first.Orders {
		qt.Assert(t, o.Reason == aubplacement.ReasonUnreachable || len(first.Unplaced) == 0, qt.IsTrue)
	}
	for range 20 {
		b.round(marginal)
	}
	for _, item := range b.snapshot.Items {
		qt.Assert(t, b.copies(item.Key) >= 1, qt.IsTrue, qt.Commentf("%s", item.Key.Name))
	}
}

func TestLastCopyGivesWayOnlyWhenNotAllFit(t *testing.T) {
	planner := marginal
	b := newBoard(t, 2, 40*gib, models(4, 20*gib)...)
	for range 20 {
		b.round(planner)
	}
	b.snapshot.Items = append(b.snapshot.Items, model("m04", 20*gib))
	key := aubplacement.Key{Name: "m04"}
	b.snapshot.Demand.Items[key] = aubplacement.ItemDemand{}
	qt.Assert(t, planner.Plan(b.snapshot).Orders, qt.HasLen, 0)
	b.snapshot.Demand.Items[key] = aubplacement.ItemDemand{Waiting: 1, LastArrival: b.snapshot.Now}
	orders := planner.Plan(b.snapshot).Orders
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
	b := newBoard(t, 3, 60*gib, items...)
	for range 10 {
		b.round(marginal)
	}
	for _, item := range items {
		qt.Check(t, b.copies(item.Key), qt.Equals, 2, qt.Commentf("%s", item.Key.Name))
	}
	removed := items[0].Key
	b.snapshot.Items = items[1:2]
	for range 10 {
		b.round(marginal)
	}
	qt.Assert(t, b.copies(removed), qt.Equals, 0)
}

// TestOrdersKeepMemoryAndLastCopies changes demand, items and backend servers at
// random; the board checks every order.
func TestOrdersKeepMemoryAndLastCopies(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		backends := rapid.IntRange(2, 8).Draw(r, "backends")
		n := rapid.IntRange(1, 10).Draw(r, "models")
		items := make([]aubplacement.Item, 0, n)
		for i := range n {
			items = append(items, model(fmt.Sprintf("m%02d", i), int64(rapid.IntRange(5, 30).Draw(r, "gib"))*gib))
		}
		b := newBoard(t, backends, 80*gib, items...)
		for range 30 {
			name := items[rapid.IntRange(0, len(items)-1).Draw(r, "item")].Key.Name
			b.call(name, rapid.Float64Range(0, 60).Draw(r, "rate"))
			if rapid.IntRange(0, 9).Draw(r, "leave") == 0 {
				i := rapid.IntRange(0, len(b.snapshot.Backends)-1).Draw(r, "backend")
				b.snapshot.Backends[i].Leaving = !b.snapshot.Backends[i].Leaving
			}
			b.snapshot.Now += 30 * time.Second
			b.round(marginal)
		}
	})
}

// BenchmarkPlan is the time of one plan in steady state.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ backends, models int }{{12, 20}, {18, 30}, {400, 100}, {6500, 280}} {
		b.Run(fmt.Sprintf("backends=%d/models=%d", size.backends, size.models), func(b *testing.B) {
			s := newBoard(b, size.backends, 80*gib, models(size.models, 20*gib)...)
			s.snapshot.ModelLoads = 1000
			for i, item := range s.snapshot.Items {
				s.call(item.Key.Name, 3000/float64(i+1))
			}
			for range 30 {
				s.round(marginal)
			}
			b.ReportAllocs()
			for b.Loop() {
				marginal.Plan(s.snapshot)
			}
		})
	}
}
