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
	// halfLife is the time in which a measured stream loses half of its weight.
	halfLife = 10 * time.Second
	// minWeight is the weight, in streams, from which an engine's mean counts.
	minWeight = 4.0
	// minEngines is the number of measured engines from which their median counts.
	minEngines = 3
	// Speeds between unevenBelow and its reciprocal count as 1: small differences are within
	// what batches and models explain. An engine that counted as uneven does so until it is
	// between evenFrom and its reciprocal.
	unevenBelow = 0.7
	evenFrom    = 0.8
	// minSpeed limits the speed; an engine that is slower still gets some requests.
	minSpeed = 0.2
	// speedStep is the relative change from which a speed is announced anew.
	speedStep = 0.1
	// engineRetention is how long an engine without streams is kept.
	engineRetention = time.Minute
)

// engineMean is the decaying mean event rate of one engine.
type engineMean struct {
	service string
	// totalRate is the weighted sum of the streams' rates, in events a second.
	totalRate float64
	weight    float64
	updatedAt time.Time
	// speed is the announced speed; 0 while the engine counts as even.
	speed float64
}

// decay reduces the weight of earlier streams.
func (e *engineMean) decay(now time.Time) {
	factor := math.Exp2(-now.Sub(e.updatedAt).Seconds() / halfLife.Seconds())
	e.totalRate *= factor
	e.weight *= factor
	e.updatedAt = now
}

// mean returns the mean rate in events a second, false while too few streams are known.
func (e *engineMean) mean() (float64, bool) {
	if e.weight < minWeight {
		return 0, false
	}
	return e.totalRate / e.weight, true
}

// counterKey identifies the counters of one relay for one engine.
type counterKey struct {
	relay  string
	engine Engine
}

// relayCounter holds the last counters that a relay has reported.
type relayCounter struct {
	incarnation uint64
	totalRate   float64
	streams     int64
	receivedAt  time.Time
}

// Aggregator combines the reports of all relays to the speeds of engines.
//
// Lock order: mu is taken alone.
type Aggregator struct {
	common aubcommon.Common

	mu       sync.Mutex
	engines  map[Engine]*engineMean
	counters map[counterKey]relayCounter
	sweptAt  time.Time
}

// NewAggregator returns an aggregator without reports.
func NewAggregator(common aubcommon.Common) *Aggregator {
	return &Aggregator{common: common.WithPart("speed"), engines: make(map[Engine]*engineMean), counters: make(map[counterKey]relayCounter)}
}

// AddReport adds the counters of one relay. Incarnation differs between two starts of it.
func (a *Aggregator) AddReport(relay string, incarnation uint64, reported []*aubwire.EngineStreams) {
	now := a.common.Timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range reported {
		key := counterKey{relay: relay, engine: Engine{ID: r.GetId(), StartedMs: r.GetStartedMs()}}
		next := relayCounter{
			incarnation: incarnation, totalRate: r.GetTotalRate(), streams: r.GetStreams(), receivedAt: now,
		}
		previous := a.counters[key]
		a.counters[key] = next
		if previous.incarnation != incarnation {
			previous = relayCounter{}
		}
		if streams := next.streams - previous.streams; streams > 0 && next.totalRate > previous.totalRate {
			a.add(now, key.engine, r.GetService(), next.totalRate-previous.totalRate, streams)
		}
	}
}

// add counts streams of an engine; the caller holds mu.
func (a *Aggregator) add(now time.Time, engine Engine, service string, totalRate float64, streams int64) {
	stored := a.engines[engine]
	if stored == nil {
		stored = &engineMean{service: service, updatedAt: now}
		a.engines[engine] = stored
	}
	stored.decay(now)
	stored.totalRate += totalRate
	stored.weight += float64(streams)
}

// Speeds returns the engines whose speed differs much from the median of their service.
func (a *Aggregator) Speeds() []*aubwire.EngineSpeed {
	now := a.common.Timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sweep(now)
	means := make(map[string][]float64)
	for _, e := range a.engines {
		e.decay(now)
		if mean, ok := e.mean(); ok {
			means[e.service] = append(means[e.service], mean)
		}
	}
	var speeds []*aubwire.EngineSpeed
	for engine, e := range a.engines {
		if mean, ok := e.mean(); ok && len(means[e.service]) >= minEngines {
			a.update(engine, e, median(means[e.service]), mean)
		}
		if e.speed != 0 {
			speeds = append(speeds, &aubwire.EngineSpeed{Id: engine.ID, StartedMs: engine.StartedMs, Speed: e.speed})
		}
	}
	a.common.Metrics.Gauge("uneven_engines").Update(float64(len(speeds)))
	slices.SortFunc(speeds, func(x, y *aubwire.EngineSpeed) int { return cmp.Compare(x.GetId(), y.GetId()) })
	return speeds
}

// update sets the announced speed of an engine from the median rate of its service and its
// own; the caller holds mu.
func (a *Aggregator) update(engine Engine, e *engineMean, median, mean float64) {
	speed := nextSpeed(e.speed, mean/median)
	if speed == e.speed {
		return
	}
	a.common.Log.Info("Speed of an engine changed.",
		zap.String("backend_server", engine.ID), zap.Int64("started_ms", engine.StartedMs), zap.String("service", e.service),
		zap.Float64("previous", e.speed), zap.Float64("speed", speed), zap.Float64("streams", e.weight),
		zap.Float64("events_per_s", mean), zap.Float64("median_events_per_s", median))
	e.speed = speed
}

// nextSpeed returns the speed to announce after previous, 0 for an even one, given the
// measured ratio to the median.
func nextSpeed(previous, ratio float64) float64 {
	bound := unevenBelow
	if previous != 0 {
		bound = evenFrom
	}
	ratio = min(max(ratio, minSpeed), 1/minSpeed)
	switch {
	case ratio > bound && ratio < 1/bound:
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

// sweep removes engines and counters without streams for engineRetention; the caller holds mu.
func (a *Aggregator) sweep(now time.Time) {
	if now.Sub(a.sweptAt) < engineRetention/4 {
		return
	}
	a.sweptAt = now
	for engine, e := range a.engines {
		if e.weight < math.Exp2(-engineRetention.Seconds()/halfLife.Seconds()) {
			delete(a.engines, engine)
		}
	}
	for key, c := range a.counters {
		if now.Sub(c.receivedAt) > engineRetention {
			delete(a.counters, key)
		}
	}
}
