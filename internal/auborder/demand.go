package auborder

import (
	"math"
	"time"

	"github.com/auburndale/auburndale/internal/aubregistry"
)

// demandHalfLife is how fast the measured work of a model forgets.
const demandHalfLife = 2500 * time.Millisecond

// workMeter measures the arriving work of each model from growing counters.
type workMeter struct {
	last map[aubregistry.ModelKey]aubregistry.ModelCount
	at   time.Time
	work map[string]float64
	// requests is the rate of arrivals a second.
	requests map[string]float64
	usedAt   map[aubregistry.ModelKey]time.Time
}

func newWorkMeter() *workMeter {
	return &workMeter{
		last:     make(map[aubregistry.ModelKey]aubregistry.ModelCount),
		work:     make(map[string]float64),
		requests: make(map[string]float64),
		usedAt:   make(map[aubregistry.ModelKey]time.Time),
	}
}

// observe takes in the counters as they stand now.
func (m *workMeter) observe(now time.Time, counts map[aubregistry.ModelKey]aubregistry.ModelCount) {
	elapsed := now.Sub(m.at).Seconds()
	isFirst := m.at.IsZero()
	m.at = now
	grown := make(map[string]aubregistry.ModelCount)
	for key, count := range counts {
		tokens := count.Tokens - m.last[key].Tokens
		if tokens > 0 {
			sum := grown[key.Model]
			sum.Tokens += tokens
			sum.Requests += count.Requests - m.last[key].Requests
			grown[key.Model] = sum
			m.usedAt[key] = now
		}
		m.last[key] = count
	}
	if isFirst || elapsed <= 0 {
		return
	}
	keep := math.Exp2(-elapsed / demandHalfLife.Seconds())
	for model := range m.work {
		m.work[model] *= keep
		m.requests[model] *= keep
	}
	for model, sum := range grown {
		m.work[model] += (1 - keep) * float64(sum.Tokens) / elapsed
		m.requests[model] += (1 - keep) * float64(sum.Requests) / elapsed
	}
}
