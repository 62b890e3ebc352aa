package aubspeed

import (
	"sync"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// Table holds the speeds and prefill rates that a control process has announced to this instance.
//
// Lock order: mu is a leaf lock.
type Table struct {
	mu     sync.RWMutex
	speeds map[Engine]float64
	// prefillRates are in tokens a second.
	prefillRates map[pair]float64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{} }

// Replace replaces all speeds.
func (t *Table) Replace(speeds []*aubwire.EngineSpeed) {
	next := make(map[Engine]float64, len(speeds))
	for _, s := range speeds {
		if s.GetSpeed() > 0 {
			next[Engine{ID: s.GetId(), StartedMs: s.GetStartedMs()}] = s.GetSpeed()
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.speeds = next
}

// Speed returns the speed of an engine relative to the median of its service; 1 if it is not
// known to differ.
func (t *Table) Speed(engine Engine) float64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if speed, ok := t.speeds[engine]; ok {
		return speed
	}
	return 1
}

// ReplacePrefillRates replaces all prefill rates.
func (t *Table) ReplacePrefillRates(rates *aubwire.PrefillRates) {
	next := make(map[pair]float64, len(rates.GetRates()))
	for _, r := range rates.GetRates() {
		if r.GetTokensPerSecond() > 0 {
			next[pair{engine: Engine{ID: r.GetId(), StartedMs: r.GetStartedMs()}, model: r.GetModel()}] = r.GetTokensPerSecond()
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prefillRates = next
}

// PrefillRate returns the prefill rate of a model on an engine, in tokens a second. An engine
// that is not measured has the model's rate times its speed; false if the model is not measured.
func (t *Table) PrefillRate(engine Engine, model string) (float64, bool) {
	t.mu.RLock()
	perSecond, ok := t.prefillRates[pair{engine: engine, model: model}]
	usual, hasUsual := t.prefillRates[pair{model: model}]
	t.mu.RUnlock()
	if ok {
		return perSecond, true
	}
	return usual * t.Speed(engine), hasUsual
}
