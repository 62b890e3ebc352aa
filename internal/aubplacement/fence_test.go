package aubplacement_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubplacement"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// steppedSite has one agent and a placer that runs only in step.
type steppedSite struct {
	*fakeSite

	leadership *fakeLeadership
	config     fakeConfig
	placer     *aubplacement.Placer
}

func (s *steppedSite) Config() aubquery.Config { return s.config.config }

func newSteppedSite(t *testing.T) *steppedSite {
	s := &steppedSite{
		fakeSite: &fakeSite{timer: aubtimer.NewManual(time.Unix(1000, 0)), agents: map[string]*fakeAgent{
			"w0": {name: "w0", zone: "a", memory: 80 * gib, residents: map[aubplacement.Key]int64{}},
		}},
		leadership: &fakeLeadership{},
	}
	s.setModels("m0")
	s.leadership.term.Store(1)
	var err error
	s.placer, err = aubplacement.NewSteppedPlacer(aubcommon.NewCommon(s.timer), aubplacement.PlacerOpts{
		Leadership: s.leadership, Proposer: &fakeLog{table: aubplacement.NewTable()},
		Config: s, Members: s, Orders: s, SettleTime: time.Nanosecond,
	})
	qt.Assert(t, err, qt.IsNil)
	return s
}

// setModels sets the models of the configuration.
func (s *steppedSite) setModels(models ...string) {
	opts := aubquery.ConfigObjects{Version: 1}
	for _, name := range models {
		opts.Models = append(opts.Models, aubapi.Model{Name: name, MemoryBytes: gib})
	}
	s.config = fakeConfig{config: aubquery.NewConfig(opts)}
}

func (s *steppedSite) ConfirmedAt() time.Time           { return s.timer.Now() }
func (s *steppedSite) Changed(_ uint64) <-chan struct{} { return nil }

// step runs one planning cycle, sends its orders and returns them.
func (s *steppedSite) step() []*aubwire.OrderRequest {
	s.timer.Advance(5 * time.Second)
	before := len(s.orders)
	s.placer.Step(context.Background())
	for s.placer.Send(context.Background()) {
		continue
	}
	return s.orders[before:]
}

func TestLoadAfterUnloadHasAHigherFence(t *testing.T) {
	s := newSteppedSite(t)
	qt.Assert(t, s.step(), qt.HasLen, 1)
	s.setModels()
	unload := s.step()
	qt.Assert(t, unload, qt.HasLen, 1)
	qt.Assert(t, unload[0].GetAction(), qt.Equals, aubwire.OrderAction_ORDER_ACTION_UNLOAD)
	s.setModels("m0")
	load := s.step()
	qt.Assert(t, load, qt.HasLen, 1)
	qt.Assert(t, load[0].GetFence() > unload[0].GetFence(), qt.IsTrue)
}

func TestOrderAfterUncertainOrderHasAHigherFence(t *testing.T) {
	s := newSteppedSite(t)
	s.loseOrders = true
	lostOrders := s.step()
	qt.Assert(t, lostOrders, qt.HasLen, 1)
	s.loseOrders = false
	retried := s.step()
	qt.Assert(t, retried, qt.HasLen, 1)
	qt.Assert(t, retried[0].GetFence() > lostOrders[0].GetFence(), qt.IsTrue)
}

func TestLeaseIsCheckedBeforeEachOrder(t *testing.T) {
	s := newSteppedSite(t)
	s.timer.Advance(5 * time.Second)
	s.placer.Step(context.Background())
	s.leadership.term.Store(2)
	qt.Assert(t, s.placer.Send(context.Background()), qt.IsTrue)
	qt.Assert(t, s.orders, qt.HasLen, 0)
}

// TestFenceIsNeverReused commits commands of leaders and agents in any order, with
// snapshots in between, on replicas that must agree.
func TestFenceIsNeverReused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		tables := []*aubplacement.Table{aubplacement.NewTable(), aubplacement.NewTable()}
		log := replicatedLog{t: t, tables: tables}
		floors := map[uint64]uint64{}
		var highest uint64
		t.Repeat(map[string]func(*rapid.T){
			"register": func(t *rapid.T) {
				incarnation := rapid.Uint64Range(1, 6).Draw(t, "incarnation")
				floor, err := aubplacement.Register(ctx, log, "w0", incarnation)
				if known, ok := floors[incarnation]; ok && err == nil {
					if floor != known {
						t.Fatalf("incarnation %d: floor %d, then %d", incarnation, known, floor)
					}
					return
				}
				if err != nil {
					return
				}
				if floor <= highest {
					t.Fatalf("floor %d is not above %d", floor, highest)
				}
				floors[incarnation], highest = floor, floor
			},
			"acquire": func(t *rapid.T) {
				fence, err := aubplacement.AcquireFence(ctx, log, rapid.Uint64Range(1, 6).Draw(t, "term"))
				if err != nil {
					return
				}
				if fence <= highest {
					t.Fatalf("fence %d is not above %d", fence, highest)
				}
				highest = fence
			},
			"restore": func(t *rapid.T) {
				data, err := tables[0].Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				tables[1] = aubplacement.NewTable()
				if err := tables[1].Restore(data); err != nil {
					t.Fatal(err)
				}
			},
		})
	})
}

// replicatedLog applies each command to all tables and compares the results.
type replicatedLog struct {
	t      *rapid.T
	tables []*aubplacement.Table
}

func (l replicatedLog) Apply(_ context.Context, _ string, body []byte) (aubcontrol.Result, error) {
	first := l.tables[0].Apply(aubcontrol.Command{Body: body})
	second := l.tables[1].Apply(aubcontrol.Command{Body: body})
	if string(first) != string(second) {
		l.t.Fatalf("replicas differ: %x and %x", first, second)
	}
	return aubcontrol.Result{Body: first}, nil
}
