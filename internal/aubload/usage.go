package aubload

import (
	"context"
	"net/http"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
)

// Names of the process metrics that a metrics page carries.
const (
	cpuMetric    = "process_cpu_seconds_total"
	memoryMetric = "process_resident_memory_bytes"
)

// Cost is what one process used while its target was under load.
type Cost struct {
	CPUSeconds  float64
	MemoryBytes float64
}

// usage reads the metrics pages of targets around their blocks.
type usage struct {
	common  aubcommon.Common
	targets []Target
	before  map[string]Cost
	// costs are by target and process name.
	costs []map[string]Cost
}

func newUsage(common aubcommon.Common, targets []Target) *usage {
	u := &usage{common: common, targets: targets}
	for range targets {
		u.costs = append(u.costs, map[string]Cost{})
	}
	return u
}

func (u *usage) begin(ctx context.Context, target int) {
	u.before = u.readAll(ctx, target)
}

func (u *usage) end(ctx context.Context, target int) {
	for name, now := range u.readAll(ctx, target) {
		sum := u.costs[target][name]
		sum.CPUSeconds += now.CPUSeconds - u.before[name].CPUSeconds
		sum.MemoryBytes = max(sum.MemoryBytes, now.MemoryBytes)
		u.costs[target][name] = sum
	}
}

func (u *usage) readAll(ctx context.Context, target int) map[string]Cost {
	costs := map[string]Cost{}
	for name, url := range u.targets[target].Metrics {
		cost, err := readCost(ctx, url)
		if err != nil {
			u.common.Log.Warn("Could not read a metrics page.", zap.String("process", name), zap.Error(err))
			continue
		}
		costs[name] = cost
	}
	return costs
}

func readCost(ctx context.Context, url string) (Cost, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Cost{}, err
	}
	resp, err := http.DefaultClient.Do(r)
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
