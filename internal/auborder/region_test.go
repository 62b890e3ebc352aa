package auborder

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// TestPlanLoadsInTheRegionsOfWaitingCallers guards against a copy in a region where the waiting callers may not use it.
func TestPlanLoadsInTheRegionsOfWaitingCallers(t *testing.T) {
	engine := func(id, region string, copies map[string]CopyState) EngineView {
		return EngineView{ID: id, Region: region, Megabytes: 150, FreeMegabytes: 150 - 70*float64(len(copies)), Models: copies}
	}
	ready, loading := map[string]CopyState{"m": CopyReady}, map[string]CopyState{"m": CopyLoading}
	for _, test := range []struct {
		name    string
		engines []EngineView
		waiting [][]string
		want    string
	}{
		{name: "anywhere", engines: []EngineView{engine("e1", "r1", nil), engine("e2", "r2", nil)}, want: "e1"},
		{name: "second region", engines: []EngineView{engine("e1", "r1", nil), engine("e2", "r2", nil)}, waiting: [][]string{{"r2"}}, want: "e2"},
		{name: "copy elsewhere", engines: []EngineView{engine("e1", "r1", ready), engine("e2", "r2", nil)}, waiting: [][]string{{"r2"}}, want: "e2"},
		{name: "loading there", engines: []EngineView{engine("e1", "r1", nil), engine("e2", "r2", loading)}, waiting: [][]string{{"r2"}}},
		{name: "third region", engines: []EngineView{
			engine("e1", "r1", ready), engine("e2", "r2", ready), engine("e3", "r3", nil),
		}, waiting: [][]string{{"r1", "r2"}, {"r3"}}, want: "e3"},
		{name: "no engine there", engines: []EngineView{engine("e1", "r1", nil)}, waiting: [][]string{{"r2"}}},
		{name: "zone without a region", engines: []EngineView{engine("e1", "", nil)}, waiting: [][]string{{"r2"}}},
	} {
		moves := Plan(Snapshot{
			Engines: test.engines, StoreLoads: 2, StoreConcurrency: 2, MaxOperations: 4,
			Models: []ModelView{{Name: "m", Megabytes: 70, Waiting: true, WaitingRegions: test.waiting, LoadTime: time.Second}},
		})
		got := ""
		for _, move := range moves {
			got += move.Engine
		}
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf(test.name))
	}
}

// TestPlaceReturnsNoCopyElsewhere guards against the answer to a limited request that names an engine in another region,
// and against a model that is never loaded in the allowed one.
func TestPlaceReturnsNoCopyElsewhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newDirectorSite(t, rapid.Uint64().Draw(t, "seed"), 4)
		regionOf := map[string]string{"e0": "r1", "e1": "r1", "e2": "r2"}
		for _, d := range s.directors {
			d.opts.RegionOf = func(zone string) string { return regionOf[strings.TrimPrefix(zone, "z-")] }
		}
		s.register(noDelay)
		for range 10 {
			s.step(context.Background())
		}
		adapter := rapid.SampledFrom([]string{"", "a1"}).Draw(t, "adapter")
		found := ""
		for range 60 {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Millisecond)
			resp, err := s.directors[0].Place(ctx, &aubwire.PlaceRequest{Service: testService, Model: "m0", Adapter: adapter, Regions: []string{"r2"}})
			cancel()
			if err != nil {
				t.Fatal(err)
			}
			if resp.GetBackend() != "" && regionOf[resp.GetBackend()] != "r2" {
				t.Fatalf("copy on %s", resp.GetBackend())
			}
			found += resp.GetBackend()
			s.step(context.Background())
		}
		if found == "" {
			t.Fatal("no copy in the region within 24 s")
		}
	})
}
