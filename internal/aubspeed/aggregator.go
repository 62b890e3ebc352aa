package aubspeed

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// window is the time for which a stream counts.
	window = 30 * time.Second
	// maxStreams limits the streams that are kept of an engine, minStreams is the number from
	// which they count.
	maxStreams = 64
	minStreams = 8
	// fastShare is the share of an engine's streams that may be slower than the rate that counts:
	// prompts of other requests slow most streams of a busy engine, but not all.
	fastShare = 0.75
	// minEngines is the number of measured engines from which their median counts.
	minEngines = 3
	// An engine counts as slow below slowBelow of the median, until it is above evenFrom.
	// Smaller differences are within what batches and models explain.
	slowBelow = 0.7
	evenFrom  = 0.8
	// minSpeed limits the speed; an engine that is slower still gets some requests.
	minSpeed = 0.2
	// speedStep is the relative change from which a speed is announced anew.
	speedStep = 0.15
	// computeInterval is the time between two comparisons of the engines.
	computeInterval = 500 * time.Millisecond
)

// streamRate is the event rate of one stream.
type streamRate struct {
	perSecond float64
	endedAt   time.Time
}

// engineRates holds the last streams of one engine.
type engineRates struct {
	service string
	// rates are ordered by their ends.
	rates []streamRate
	// speed is the announced speed; 0 while the engine counts as even.
	speed float64
}

// dropOld removes the streams that ended before the window.
func (e *engineRates) dropOld(now time.Time) {
	first := 0
	for first < len(e.rates) && now.Sub(e.rates[first].endedAt) > window {
		first++
	}
	e.rates = e.rates[max(first, len(e.rates)-maxStreams):]
}

// rate returns the rate, in events a second, that fastShare of the streams don't exceed; false
// while too few streams are known.
func (e *engineRates) rate() (float64, bool) {
	if len(e.rates) < minStreams {
		return 0, false
	}
	values := make([]float64, 0, len(e.rates))
	for _, r := range e.rates {
		values = append(values, r.perSecond)
	}
	slices.Sort(values)
	return values[int(fastShare*float64(len(values)))], true
}

// counterKey identifies what a relay reports of an engine.
type counterKey struct {
	relay  string
	engine Engine
}

// relayCounter holds the last numbers of streams and prefill samples that a relay has reported.
type relayCounter struct {
	incarnation uint64
	streams     int64
	prefills    int64
	receivedAt  time.Time
}

// Aggregator combines the reports of all relays to the speeds of engines.
//
// Lock order: mu is taken alone.
type Aggregator struct {
	common aubcommon.Common

	mu       sync.Mutex
	engines  map[Engine]*engineRates
	counters map[counterKey]relayCounter
	sweptAt  time.Time
	// speeds is the last result of Speeds, computed at computedAt.
	speeds     []*aubwire.EngineSpeed
	computedAt time.Time
	prefills   *prefillRates
}

// NewAggregator returns an aggregator without reports.
func NewAggregator(common aubcommon.Common) *Aggregator {
	return &Aggregator{
		common: common.WithPart("speed"), engines: make(map[Engine]*engineRates),
		counters: make(map[counterKey]relayCounter), prefills: newPrefillRates(),
	}
}

// AddReport adds the streams that a relay reports and has not reported before. Incarnation
// differs between two starts of it.
func (a *Aggregator) AddReport(relay string, incarnation uint64, reported []*aubwire.EngineStreams) {
	now := a.common.Timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range reported {
		engine := Engine{ID: r.GetId(), StartedMs: r.GetStartedMs()}
		key := counterKey{relay: relay, engine: engine}
		previous := a.counters[key]
		if previous.incarnation != incarnation {
			previous = relayCounter{}
		}
		a.counters[key] = relayCounter{
			incarnation: incarnation, streams: max(r.GetStreams(), previous.streams),
			prefills: max(r.GetPrefillCount(), previous.prefills), receivedAt: now,
		}
		if added := newest(r.GetRates(), r.GetStreams()-previous.streams); len(added) > 0 {
			a.add(now, engine, r.GetService(), added)
		}
		a.prefills.add(now, engine, r.GetService(), newest(r.GetPrefills(), r.GetPrefillCount()-previous.prefills))
	}
}

// newest returns the last n values, or all if there are fewer.
func newest[T any](values []T, n int64) []T {
	return values[int64(len(values))-min(max(n, 0), int64(len(values))):]
}

// PrefillRates returns the measured prefill rates and their version, which changes with them;
// it is 0 while there are none. The rates are shared and must not be changed.
func (a *Aggregator) PrefillRates() (*aubwire.PrefillRates, uint64) {
	now := a.common.Timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	rates, version := a.prefills.update(now, a.common.Log)
	a.common.Metrics.Gauge("prefill_rates").Update(float64(len(rates.GetRates())))
	return rates, version
}

// add adds streams of an engine; the caller holds mu.
func (a *Aggregator) add(now time.Time, engine Engine, service string, rates []float32) {
	stored := a.engines[engine]
	if stored == nil {
		stored = &engineRates{service: service}
		a.engines[engine] = stored
	}
	for _, perSecond := range rates {
		stored.rates = append(stored.rates, streamRate{perSecond: float64(perSecond), endedAt: now})
	}
	stored.dropOld(now)
}

// Speeds returns the engines that are much slower than the median of their service. The
// result is shared and must not be changed.
func (a *Aggregator) Speeds() []*aubwire.EngineSpeed {
	now := a.common.Timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.computedAt) >= computeInterval {
		a.speeds, a.computedAt = a.compute(now), now
	}
	return a.speeds
}

// compute compares the engines of each service; the caller holds mu.
func (a *Aggregator) compute(now time.Time) []*aubwire.EngineSpeed {
	a.sweep(now)
	rates := make(map[string][]float64)
	for _, e := range a.engines {
		e.dropOld(now)
		if rate, ok := e.rate(); ok {
			rates[e.service] = append(rates[e.service], rate)
		}
	}
	var speeds []*aubwire.EngineSpeed
	for engine, e := range a.engines {
		rate, ok := e.rate()
		switch {
		case ok && len(rates[e.service]) >= minEngines:
			a.update(engine, e, median(rates[e.service]), rate)
		case !ok:
			// Too few streams to tell: the engine gets its share again, and is measured by it.
			e.speed = 0
		}
		if e.speed != 0 {
			speeds = append(speeds, &aubwire.EngineSpeed{Id: engine.ID, StartedMs: engine.StartedMs, Speed: e.speed})
		}
	}
	a.common.Metrics.Gauge("slow_engines").Update(float64(len(speeds)))
	slices.SortFunc(speeds, func(x, y *aubwire.EngineSpeed) int { return cmp.Compare(x.GetId(), y.GetId()) })
	return speeds
}

// update sets the announced speed of an engine from the median rate of its service and its
// own; the caller holds mu.
func (a *Aggregator) update(engine Engine, e *engineRates, median, rate float64) {
	speed := nextSpeed(e.speed, rate/median)
	if speed == e.speed {
		return
	}
	a.common.Log.Info("Speed of an engine changed.",
		zap.String("backend_server", engine.ID), zap.Int64("started_ms", engine.StartedMs), zap.String("service", e.service),
		zap.Float64("previous", e.speed), zap.Float64("speed", speed), zap.Int("streams", len(e.rates)),
		zap.Float64("events_per_s", rate), zap.Float64("median_events_per_s", median))
	e.speed = speed
}

// nextSpeed returns the speed to announce after previous, 0 for an even one, given the
// measured ratio to the median.
func nextSpeed(previous, ratio float64) float64 {
	bound := slowBelow
	if previous != 0 {
		bound = evenFrom
	}
	ratio = max(ratio, minSpeed)
	switch {
	case ratio > bound:
		return 0
	case previous != 0 && math.Abs(ratio-previous) < speedStep*previous:
		return previous
	}
	return ratio
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// sweep removes engines and counters without streams for the window; the caller holds mu.
func (a *Aggregator) sweep(now time.Time) {
	if now.Sub(a.sweptAt) < window/4 {
		return
	}
	a.sweptAt = now
	for engine, e := range a.engines {
		if e.dropOld(now); len(e.rates) == 0 {
			delete(a.engines, engine)
		}
	}
	for key, c := range a.counters {
		if now.Sub(c.receivedAt) > window {
			delete(a.counters, key)
		}
	}
}
