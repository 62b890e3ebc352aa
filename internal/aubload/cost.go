package aubload

import (
	"context"
	"net/http"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
)

// Names of the process metrics on a metrics page.
const (
	cpuMetric    = "process_cpu_seconds_total"
	memoryMetric = "process_resident_memory_bytes"
)

// Cost is the resource usage of one process while its target was under load:
// the CPU time and the highest resident memory read.
type Cost struct {
	CPUSeconds  float64
	MemoryBytes float64
}

// costTracker reads the metrics pages of the targets before and after each block.
type costTracker struct {
	common  aubcommon.Common
	targets []Target
	// before holds the values at the start of the current block, by process name.
	before map[string]Cost
	// totals are by target and process name.
	totals []map[string]Cost
}

func newCostTracker(common aubcommon.Common, targets []Target) *costTracker {
	tracker := &costTracker{common: common, targets: targets}
	for range targets {
		tracker.totals = append(tracker.totals, map[string]Cost{})
	}
	return tracker
}

func (t *costTracker) beginBlock(ctx context.Context, target int) {
	t.before = t.readCosts(ctx, target)
}

func (t *costTracker) endBlock(ctx context.Context, target int) {
	for name, after := range t.readCosts(ctx, target) {
		total := t.totals[target][name]
		total.CPUSeconds += after.CPUSeconds - t.before[name].CPUSeconds
		total.MemoryBytes = max(total.MemoryBytes, after.MemoryBytes)
		t.totals[target][name] = total
	}
}

func (t *costTracker) readCosts(ctx context.Context, target int) map[string]Cost {
	costs := map[string]Cost{}
	for name, url := range t.targets[target].Metrics {
		cost, err := readCost(ctx, url)
		if err != nil {
			t.common.Log.Warn("Could not read a metrics page.", zap.String("process", name), zap.Error(err))
			continue
		}
		costs[name] = cost
	}
	return costs
}

func readCost(ctx context.Context, url string) (Cost, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Cost{}, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Cost{}, err
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return Cost{}, err
	}
	var c Cost
	if f := families[cpuMetric]; len(f.GetMetric()) > 0 {
		c.CPUSeconds = f.GetMetric()[0].GetCounter().GetValue()
	}
	if f := families[memoryMetric]; len(f.GetMetric()) > 0 {
		c.MemoryBytes = f.GetMetric()[0].GetGauge().GetValue()
	}
	return c, nil
}
