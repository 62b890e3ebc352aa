package auborder

import (
	"math"
	"time"

	"github.com/auburndale/auburndale/internal/aubregistry"
)

// demandHalfLife is the half-life of the measured demand for a model.
const demandHalfLife = 2500 * time.Millisecond

// demandMeter measures the demand for each model from monotonic counters.
type demandMeter struct {
	lastCounts map[aubregistry.ModelKey]aubregistry.ModelCount
	observedAt time.Time
	// tokenRates and requestRates are the arriving tokens and requests per second, by
	// model.
	tokenRates   map[string]float64
	requestRates map[string]float64
	lastUsedAt   map[aubregistry.ModelKey]time.Time
}

func newDemandMeter() *demandMeter {
	return &demandMeter{
		lastCounts:   make(map[aubregistry.ModelKey]aubregistry.ModelCount),
		tokenRates:   make(map[string]float64),
		requestRates: make(map[string]float64),
		lastUsedAt:   make(map[aubregistry.ModelKey]time.Time),
	}
}

// observe updates the rates from the current counters.
func (m *demandMeter) observe(now time.Time, counts map[aubregistry.ModelKey]aubregistry.ModelCount) {
	elapsed := now.Sub(m.observedAt).Seconds()
	isFirst := m.observedAt.IsZero()
	m.observedAt = now
	increases := make(map[string]aubregistry.ModelCount)
	for key, count := range counts {
		tokens := count.Tokens - m.lastCounts[key].Tokens
		if tokens > 0 {
			increase := increases[key.Model]
			increase.Tokens += tokens
			increase.Requests += count.Requests - m.lastCounts[key].Requests
			increases[key.Model] = increase
			m.lastUsedAt[key] = now
		}
		m.lastCounts[key] = count
	}
	if isFirst || elapsed <= 0 {
		return
	}
	decay := math.Exp2(-elapsed / demandHalfLife.Seconds())
	for model := range m.tokenRates {
		m.tokenRates[model] *= decay
		m.requestRates[model] *= decay
	}
	for model, increase := range increases {
		m.tokenRates[model] += (1 - decay) * float64(increase.Tokens) / elapsed
		m.requestRates[model] += (1 - decay) * float64(increase.Requests) / elapsed
	}
}
