package aubplacement_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubplacement"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

func TestMain(m *testing.M) {
	flag.Parse()
	setDefaultFlag("rapid.seed", "20261203")
	setDefaultFlag("rapid.steps", "100")
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent())
}

// setDefaultFlag sets a flag unless the command line did.
func setDefaultFlag(name, value string) {
	if f := flag.Lookup(name); f.Value.String() == f.DefValue {
		_ = f.Value.Set(value)
	}
}

// placerSite is a placer on a fake site.
type placerSite struct {
	site       *fakeSite
	leadership *fakeLeadership
	log        *fakeLog
	placer     *aubplacement.Placer
}

func newPlacerSite(t *testing.T, agents int, models int) *placerSite {
	s := &placerSite{
		site:       &fakeSite{timer: aubtimer.NewManual(time.Unix(1000, 0)), agents: map[string]*fakeAgent{}},
		leadership: &fakeLeadership{},
		log:        &fakeLog{table: aubplacement.NewTable()},
	}
	for i := range agents {
		name := fmt.Sprintf("w%d", i)
		s.site.agents[name] = &fakeAgent{
			name: name, zone: string(rune('a' + i%3)), memory: 80 * gib, residents: map[aubplacement.Key]int64{},
		}
	}
	opts := aubquery.ConfigObjects{Version: 1}
	for i := range models {
		opts.Models = append(opts.Models, aubapi.Model{Name: fmt.Sprintf("m%d", i), MemoryBytes: 20 * gib})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var err error
	s.placer, err = aubplacement.NewPlacer(ctx, aubcommon.NewCommon(s.site.timer), aubplacement.PlacerOpts{
		Leadership: s.leadership, Proposer: s.log, Config: fakeConfig{config: aubquery.NewConfig(opts)},
		Members: s.site, Orders: s.site, LoadRate: 100, LoadConcurrency: 100,
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		cancel()
		s.placer.Wait()
	})
	return s
}

// eventually advances the clock until the check passes.
func (s *placerSite) eventually(t *testing.T, condition string, check func() bool) {
	t.Helper()
	for range 2000 {
		if check() {
			return
		}
		s.site.timer.Advance(100 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("timed out waiting for %s", condition)
}

func (s *placerSite) everyModelHasCopies(copies, models int) bool {
	for i := range models {
		if s.site.copies(aubplacement.Key{Name: fmt.Sprintf("m%d", i)}) < copies {
			return false
		}
	}
	return true
}

func TestPlacerLoadsEveryModelTwice(t *testing.T) {
	s := newPlacerSite(t, 6, 8)
	s.leadership.term.Store(1)
	s.eventually(t, "two copies of each model", func() bool { return s.everyModelHasCopies(2, 8) })
}

// TestAdapterDemandIsAttributedToTheAdapter checks that demand rows, which name
// adapters like models, make the placer load the adapter that callers wait for.
func TestAdapterDemandIsAttributedToTheAdapter(t *testing.T) {
	s := newSteppedSite(t)
	s.config = fakeConfig{config: aubquery.NewConfig(aubquery.ConfigObjects{
		Version:  1,
		Models:   []aubapi.Model{{Name: "m0", MemoryBytes: 79 * gib}},
		Adapters: []aubapi.Adapter{{Name: "a0", Model: "m0", MemoryBytes: gib}, {Name: "a1", Model: "m0", MemoryBytes: gib}},
	})}
	s.demand = []*aubwire.ModelDemand{{Name: "a1", Waiting: 3}}
	for range 3 {
		s.step()
	}
	qt.Assert(t, s.copies(aubplacement.Key{Name: "a1", Adapter: true}), qt.Equals, 1)
}

func TestPlacerSendsNoOrdersWithoutLeadership(t *testing.T) {
	s := newPlacerSite(t, 3, 2)
	for range 50 {
		s.site.timer.Advance(100 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	s.site.mu.Lock()
	defer s.site.mu.Unlock()
	qt.Assert(t, s.site.orders, qt.HasLen, 0)
}
