package aubspeed

import (
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// maxReportedPrefills limits the first events of an engine in one report. Reports follow each
	// other every 250 ms; prefillReportRetention is how long a first event stays in them. A lost one
	// only makes the next prompt of its engine count as slower.
	maxReportedPrefills    = 8
	prefillReportRetention = 300 * time.Millisecond
)

// Prefill is the first event of a stream.
type Prefill struct {
	Model string
	// NewTokens is the number of prompt tokens that the engine can't have had in its cache; 0 if
	// not known. If the engine reads more, the prompt counts as a slow one.
	NewTokens int64
	// FirstEvent is the time from the start of the attempt to its first event.
	FirstEvent time.Duration
}

// measuredPrefill is a first event that is being reported.
type measuredPrefill struct {
	Prefill

	endedAt time.Time
}

// AddPrefill counts a first event of an engine of the service, which has just been received.
func (m *Meter) AddPrefill(engine Engine, service string, p Prefill) {
	now := m.common.Timer.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	stored := m.engine(now, engine, service)
	stored.prefills = append(stored.prefills, measuredPrefill{Prefill: p, endedAt: now})
	stored.prefills = stored.prefills[max(len(stored.prefills)-maxReportedPrefills, 0):]
	stored.prefillCount++
}

// recentPrefills returns the first events to report.
func (e *measured) recentPrefills(now time.Time) []*aubwire.PrefillSample {
	var recent []*aubwire.PrefillSample
	for _, p := range e.prefills {
		if age := now.Sub(p.endedAt); age <= prefillReportRetention {
			recent = append(recent, &aubwire.PrefillSample{
				Model: p.Model, Tokens: p.NewTokens,
				FirstEventMs: int32(p.FirstEvent.Milliseconds()), AgoMs: int32(age.Milliseconds()),
			})
		}
	}
	return recent
}
