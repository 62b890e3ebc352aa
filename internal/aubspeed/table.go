package aubspeed

import (
	"sync"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// Table holds the speeds that a control process has announced to this instance.
//
// Lock order: mu is a leaf lock.
type Table struct {
	mu     sync.RWMutex
	speeds map[Engine]float64
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
