package aubregistry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	ready    = aubwire.BackendState_BACKEND_STATE_READY
	draining = aubwire.BackendState_BACKEND_STATE_DRAINING
	gone     = aubwire.BackendState_BACKEND_STATE_GONE
)

func record(id, address string, started, sequence int64, state aubwire.BackendState) *aubwire.BackendRecord {
	return &aubwire.BackendRecord{
		Id: id, Service: "s", Address: address, Zone: "z", StartedMs: started, Sequence: sequence, State: state,
	}
}

func newRegistry() (*aubregistry.Registry, *aubtimer.Manual) {
	timer := aubtimer.NewManual(time.Unix(100, 0))
	return aubregistry.NewRegistry(aubcommon.NewCommon(timer), 4*time.Second), timer
}

// usable returns the ids of the members that may receive requests.
func usable(r *aubregistry.Registry) []string {
	var ids []string
	for _, m := range r.View().Members() {
		if !m.Announcement.GetLeaving() {
			ids = append(ids, m.Announcement.GetName())
		}
	}
	return ids
}

func TestNewestRegistrationWins(t *testing.T) {
	for _, test := range []struct {
		name  string
		apply func(r *aubregistry.Registry)
		want  []string
	}{
		{"delayed registration after a draining one", func(r *aubregistry.Registry) {
			r.Register(record("i1", "a:1", 1, 5, draining))
			r.Register(record("i1", "a:1", 1, 4, ready))
		}, nil},
		{"ready after draining within an incarnation", func(r *aubregistry.Registry) {
			r.Register(record("i1", "a:1", 1, 5, draining))
			r.Register(record("i1", "a:1", 1, 6, ready))
		}, nil},
		{"newer incarnation of the same id", func(r *aubregistry.Registry) {
			r.Register(record("i1", "a:1", 1, 5, draining))
			r.Register(record("i1", "a:1", 2, 1, ready))
		}, []string{"i1"}},
		{"older incarnation after a newer one", func(r *aubregistry.Registry) {
			r.Register(record("i1", "a:1", 2, 1, ready))
			r.Register(record("i1", "a:1", 1, 9, draining))
		}, []string{"i1"}},
		{"departure of an older incarnation", func(r *aubregistry.Registry) {
			r.Register(record("i1", "a:1", 2, 1, ready))
			r.Deregister("i1", 1)
		}, []string{"i1"}},
		{"departure without a registration", func(r *aubregistry.Registry) { r.Deregister("i1", 0) }, nil},
		{"delayed registration after a departure", func(r *aubregistry.Registry) {
			r.Register(record("i1", "a:1", 1, 1, ready))
			r.Deregister("i1", 0)
			r.Register(record("i1", "a:1", 1, 2, ready))
		}, nil},
		{"newer backend server at the same address", func(r *aubregistry.Registry) {
			r.Register(record("i1", "a:1", 1, 9, ready))
			r.Register(record("i2", "a:1", 2, 1, ready))
		}, []string{"i2"}},
		{"delayed registration of an older backend server at the same address", func(r *aubregistry.Registry) {
			r.Register(record("i2", "a:1", 2, 1, ready))
			r.Register(record("i1", "a:1", 1, 9, ready))
		}, []string{"i2"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, _ := newRegistry()
			test.apply(r)
			qt.Assert(t, usable(r), qt.DeepEquals, test.want)
		})
	}
}

// TestRegistrationOrderDoesNotMatter applies the same registrations in two orders, some of
// them twice. The last record must be the same.
func TestRegistrationOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *aubwire.BackendRecord {
			return record("i1", "a:1", rapid.Int64Range(1, 3).Draw(t, "started"), rapid.Int64Range(1, 5).Draw(t, "sequence"), ready)
		}), 1, 12).Draw(t, "records")
		shuffled := rapid.Permutation(records).Draw(t, "shuffled")
		first, _ := newRegistry()
		second, _ := newRegistry()
		for i := range records {
			first.Register(records[i])
			second.Merge([]*aubwire.BackendRecord{shuffled[i], shuffled[0]})
		}
		firstRecord, secondRecord := first.Records()[0], second.Records()[0]
		if firstRecord.GetStartedMs() != secondRecord.GetStartedMs() || firstRecord.GetSequence() != secondRecord.GetSequence() {
			t.Fatalf("%v and %v", firstRecord, secondRecord)
		}
	})
}

// TestBackendIsLostWithoutRegistrations checks that a missing registration counts only while
// those of other backend servers are received.
func TestBackendIsLostWithoutRegistrations(t *testing.T) {
	r, timer := newRegistry()
	r.Register(record("i1", "a:1", 1, 1, ready))
	r.Register(record("i2", "a:2", 1, 1, ready))
	timer.Advance(time.Minute)
	qt.Assert(t, usable(r), qt.DeepEquals, []string{"i1", "i2"}, qt.Commentf("no registrations at all mean that this process is partitioned"))
	r.Register(record("i2", "a:2", 1, 2, ready))
	timer.Advance(time.Second)
	qt.Assert(t, usable(r), qt.DeepEquals, []string{"i2"})
	r.Register(record("i1", "a:1", 1, 2, ready))
	timer.Advance(time.Second)
	qt.Assert(t, usable(r), qt.DeepEquals, []string{"i1", "i2"})
}

func TestSuspectIsLostUntilNextRegistration(t *testing.T) {
	r, timer := newRegistry()
	other, _ := newRegistry()
	for _, registry := range []*aubregistry.Registry{r, other} {
		registry.Register(record("i1", "a:1", 1, 1, ready))
		registry.Register(record("i2", "a:2", 1, 1, ready))
	}
	r.MarkSuspect("i1", 0)
	qt.Assert(t, usable(r), qt.HasLen, 2, qt.Commentf("another incarnation refused the connection"))
	r.MarkSuspect("i1", 1)
	timer.Advance(200 * time.Millisecond)
	qt.Assert(t, usable(r), qt.DeepEquals, []string{"i2"})
	other.MergeSuspects(r.Suspects())
	qt.Assert(t, other.Records(), qt.HasLen, 1)
	other.Register(record("i1", "a:1", 1, 2, ready))
	other.MergeSuspects(r.Suspects())
	qt.Assert(t, other.Records(), qt.HasLen, 2, qt.Commentf("i1 has registered since"))
	r.Register(record("i1", "a:1", 2, 1, ready))
	timer.Advance(200 * time.Millisecond)
	qt.Assert(t, usable(r), qt.HasLen, 2)
}

func TestUnloadingModelsAreMarked(t *testing.T) {
	r, timer := newRegistry()
	loaded := record("i1", "a:1", 1, 1, ready)
	loaded.Models = []*aubwire.ModelCopy{{Name: "m", Adapters: []string{"a1"}}, {Name: "n"}}
	r.Register(loaded)
	r.SetUnloading("i1", []string{"m"}, 1)
	next := record("i1", "a:1", 1, 2, ready)
	next.Models = loaded.Models
	r.Register(next)
	timer.Advance(time.Second)
	states := map[string]aubwire.Residency{}
	m, _ := r.View().Member("i1")
	for _, resident := range m.Announcement.GetBackend().GetResident() {
		states[resident.GetName()] = resident.GetState()
	}
	qt.Assert(t, states, qt.DeepEquals, map[string]aubwire.Residency{
		"s/m":    aubwire.Residency_RESIDENCY_UNLOADING,
		"s/m/a1": aubwire.Residency_RESIDENCY_UNLOADING,
		"s/n":    aubwire.Residency_RESIDENCY_READY,
	})
}

func TestAddAndDropCopy(t *testing.T) {
	r, _ := newRegistry()
	loaded := record("i1", "a:1", 1, 1, ready)
	loaded.Models = []*aubwire.ModelCopy{{Name: "m"}}
	r.Register(loaded)
	r.AddCopy("i1", "s", "m", "a1")
	r.AddCopy("i1", "other", "m", "a2")
	r.AddCopy("i9", "s", "m", "a3")
	qt.Assert(t, r.Records()[0].GetModels()[0].GetAdapters(), qt.DeepEquals, []string{"a1"})
	r.DropCopy("i1", "m", "a1")
	qt.Assert(t, r.Records()[0].GetModels()[0].GetAdapters(), qt.HasLen, 0)
	r.DropCopy("i1", "m", "")
	qt.Assert(t, r.Records()[0].GetModels(), qt.HasLen, 0)
}

func TestLoadReportsAreCountedOncePerRelay(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(100, 0))
	aggregator := aubregistry.NewLoadAggregator(aubcommon.NewCommon(timer))
	report := func(instance string, incarnation uint64, tokens int64) *aubwire.LoadReport {
		return &aubwire.LoadReport{
			Instance: instance, Incarnation: incarnation,
			Models: []*aubwire.ModelUse{{Model: "m", Requests: tokens / 10, Tokens: tokens}},
			Loads:  []*aubwire.BackendLoad{{Id: "i1", InFlight: 2}},
		}
	}
	aggregator.AddReport(report("r1", 1, 1000))
	aggregator.AddReport(report("r2", 1, 500))
	aggregator.AddReport(report("r1", 1, 1300))
	aggregator.AddReport(report("r1", 1, 1300))
	aggregator.AddReport(report("r2", 1, 600))
	qt.Assert(t, aggregator.PeerCount("r1"), qt.Equals, 1)
	qt.Assert(t, aggregator.PeerCount("r3"), qt.Equals, 2)
	// The first counters of a new incarnation are a baseline and add nothing.
	aggregator.AddReport(report("r2", 2, 40))
	aggregator.AddReport(report("r2", 2, 90))
	qt.Assert(t, aggregator.Demand()[aubregistry.ModelKey{Model: "m"}], qt.Equals, aubregistry.ModelCount{Requests: 45, Tokens: 450})
	qt.Assert(t, aggregator.InFlight(), qt.DeepEquals, map[string]int{"i1": 4})
	timer.Advance(10 * time.Second)
	qt.Assert(t, aggregator.InFlight(), qt.HasLen, 0)
	qt.Assert(t, aggregator.PeerCount("r1"), qt.Equals, 0)
}
