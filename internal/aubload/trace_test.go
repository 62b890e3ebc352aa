package aubload_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/auburndale/auburndale/internal/aubload"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

func testPlan() aubload.Plan {
	return aubload.Plan{
		Duration:   100 * time.Second,
		FirstToken: 560 * time.Millisecond,
		InterToken: 31 * time.Millisecond,
		Targets:    []aubload.Target{{Name: "one", URLs: []string{"http://127.0.0.1:1"}}},
		Workspaces: []aubload.Workspace{
			{Name: "steady", Rate: 20, Mix: []aubload.Mix{{Model: "m", Weight: 1, PromptBytes: 100, OutputTokens: 10}}},
			{
				Name: "bursty", Rate: 20, Arrivals: aubload.ArrivalsBursty, BurstFactor: 5, BurstPeriod: 10 * time.Second,
				Surge: 5, SurgeFrom: 50 * time.Second, SurgeTo: 60 * time.Second,
				Mix: []aubload.Mix{{Model: "m", Weight: 1}, {Model: "n", Weight: 3}},
			},
		},
	}
}

func TestTraceIsDeterministicWithPlannedRates(t *testing.T) {
	trace := aubload.NewTrace(testPlan(), 7)
	qt.Assert(t, aubload.NewTrace(testPlan(), 7), qt.DeepEquals, trace)
	counts := map[int]int{}
	mixes := map[int]int{}
	for _, a := range trace {
		counts[a.Workspace]++
		if a.Workspace == 1 {
			mixes[a.Mix]++
		}
	}
	checkNear(t, "steady arrivals", counts[0], 2000)
	// The surge raises the rate to five times its value for a tenth of the trace.
	checkNear(t, "bursty arrivals", counts[1], 2800)
	checkNear(t, "second mix", mixes[1], counts[1]*3/4)
}

// checkNear accepts a deviation of a tenth, about four standard deviations here.
func checkNear(t *testing.T, name string, got, want int) {
	t.Helper()
	diff := max(got-want, want-got)
	qt.Check(t, diff <= want/10, qt.IsTrue, qt.Commentf("%s: %d, want about %d", name, got, want))
}

func TestReport(t *testing.T) {
	ms := time.Millisecond
	p := testPlan()
	p.Seeds = []uint64{1}
	samples := []aubload.Sample{
		{Status: 200, Complete: true, FirstToken: 100 * ms, Gaps: []time.Duration{10 * ms, 20 * ms}, Tokens: 3},
		{Status: 200, Complete: true, FirstToken: 900 * ms, Gaps: []time.Duration{10 * ms}, Tokens: 2},
		{Status: 200, Tokens: 1},
		{Status: 429, Code: "rate_limited", Execution: aubapi.ExecutionNotRun, Workspace: 1},
		{Status: 502, Code: "backend_server_failed", Execution: aubapi.ExecutionMayHaveRun, Workspace: 1},
		{Workspace: 1},
	}
	costs := []map[string]aubload.Cost{{"entry": {CPUSeconds: 0.6, MemoryBytes: 1 << 20}}}
	var b bytes.Buffer
	qt.Assert(t, aubload.NewReport(p, samples, costs).Write(&b), qt.IsNil)
	goldie.New(t).Assert(t, "report", b.Bytes())
}

func TestExamplePlansAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/load/*.yaml")
	qt.Assert(t, err, qt.IsNil)
	for _, file := range files {
		if filepath.Base(file) == "ticket.yaml" {
			continue
		}
		_, err := aubload.ReadPlan(file)
		qt.Check(t, err, qt.IsNil, qt.Commentf("%s", file))
	}
}

func TestParsePlanErrors(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"unknown field", "colour: blue", `load plan: file: yaml: unmarshal errors:
  line 1: field colour not found in type aubload.Plan`},
		{"no duration", "seeds: [1]", "load plan: duration: must be above 0s"},
		{"no targets", "duration: 1s", "load plan: targets: needs at least one"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := aubload.ParsePlan([]byte(tt.text))
			qt.Check(t, err, qt.ErrorMatches, tt.want)
		})
	}
}

func FuzzParsePlan(f *testing.F) {
	data, err := os.ReadFile("../../examples/load/path.yaml")
	qt.Assert(f, err, qt.IsNil)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = aubload.ParsePlan(data) })
}
