// Package aubspeed measures how fast the engines of a service generate, relative to each
// other. A relay sees too few streams of each engine to tell alone, so that relays report
// what they measure, and control processes combine the reports.
package aubspeed

import (
	"slices"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// minPauses is the number of pauses between events from which a stream counts.
	minPauses = 6
	// minPause limits the rate of a stream whose events arrive together.
	minPause = time.Millisecond
	// maxReportedRates limits the streams of an engine in one report. Reports follow each other
	// every 250 ms.
	maxReportedRates = 8
	// maxPauses limits the pauses that are kept of one stream.
	maxPauses = 64
	// reportRetention is how long a stream stays in the reports.
	reportRetention = 2 * time.Second
	// meterRetention is how long an engine without new streams is kept.
	meterRetention = 2 * time.Minute
)

// Engine identifies an incarnation of an engine.
type Engine struct {
	ID string
	// StartedMs is the start of the incarnation in Unix milliseconds.
	StartedMs int64
}

// Pauses collects the pauses between the events of one stream. The zero value is ready to
// use, by one goroutine.
type Pauses struct {
	pauses []time.Duration
}

// Add adds a pause.
func (p *Pauses) Add(pause time.Duration) {
	if len(p.pauses) < maxPauses {
		p.pauses = append(p.pauses, pause)
	}
}

// typicalRate returns the events a second by the shortest quarter of the pauses: prompts of other
// requests lengthen many pauses on a busy engine, but rarely all. It is false if there are too few.
func (p *Pauses) typicalRate() (float64, bool) {
	if len(p.pauses) < minPauses {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(p.pauses))
	return 1 / max(sorted[len(sorted)/4], minPause).Seconds(), true
}

// measured is the total of one engine.
type measured struct {
	service string
	// rates are those of the last streams, by their ends.
	rates   []streamRate
	streams int64
	// prefills are the last prefill samples, prefillCount is the number of all.
	prefills     []measuredPrefill
	prefillCount int64
	lastAt       time.Time
}

// Meter counts the pauses of the streams that this instance has relayed.
//
// Lock order: mu is taken alone.
type Meter struct {
	common aubcommon.Common

	mu      sync.Mutex
	engines map[Engine]*measured
}

// NewMeter returns a meter without streams.
func NewMeter(common aubcommon.Common) *Meter {
	return &Meter{common: common, engines: make(map[Engine]*measured)}
}

// Add counts a stream of an engine of the service.
func (m *Meter) Add(engine Engine, service string, pauses *Pauses) {
	rate, ok := pauses.typicalRate()
	if !ok {
		return
	}
	now := m.common.Timer.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	stored := m.engine(now, engine, service)
	stored.rates = append(stored.rates, streamRate{perSecond: rate, endedAt: now})
	stored.rates = stored.rates[max(len(stored.rates)-maxReportedRates, 0):]
	stored.streams++
}

// engine returns the totals of an engine, created on first use; the caller holds mu.
func (m *Meter) engine(now time.Time, engine Engine, service string) *measured {
	stored := m.engines[engine]
	if stored == nil {
		m.dropOld(now)
		stored = &measured{service: service}
		m.engines[engine] = stored
	}
	stored.lastAt = now
	return stored
}

// dropOld removes the engines without a stream within meterRetention; the caller holds mu.
func (m *Meter) dropOld(now time.Time) {
	for engine, e := range m.engines {
		if now.Sub(e.lastAt) > meterRetention {
			delete(m.engines, engine)
		}
	}
}

// Report returns the streams that ended within reportRetention, by engine.
func (m *Meter) Report() []*aubwire.EngineStreams {
	now := m.common.Timer.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var reported []*aubwire.EngineStreams
	for engine, e := range m.engines {
		var rates []float32
		for _, r := range e.rates {
			if now.Sub(r.endedAt) <= reportRetention {
				rates = append(rates, float32(r.perSecond))
			}
		}
		prefills := e.recentPrefills(now)
		if len(rates) == 0 && len(prefills) == 0 {
			continue
		}
		reported = append(reported, &aubwire.EngineStreams{
			Id: engine.ID, StartedMs: engine.StartedMs, Service: e.service,
			Rates: rates, Streams: e.streams, Prefills: prefills, PrefillCount: e.prefillCount,
		})
	}
	return reported
}
