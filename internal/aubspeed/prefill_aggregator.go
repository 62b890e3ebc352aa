package aubspeed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// maxPrefillSamples limits the samples of a model on an engine. Once they are reached, one is
	// replaced each prefillSampleInterval, so that they outlast a short overload.
	maxPrefillSamples     = 48
	prefillSampleInterval = 2 * time.Second
	// prefillRetention is how long a sample counts.
	prefillRetention = 10 * time.Minute
	// minModelSamples and minEngineSamples are the numbers of samples from which the line of a
	// model and the factor of an engine count.
	minModelSamples  = 20
	minEngineSamples = 8
	// maxFitPoints limits the points of one model's fit.
	maxFitPoints = 256
	// pairWeight is the number of samples of a model on an engine at which their own deviation
	// from the product of model and engine counts by half.
	pairWeight = 64
	// fitRounds is the number of times that models and engines are fitted in turn at first.
	fitRounds = 4
	// maxFactor limits the factor of an engine upwards, its inverse downwards.
	maxFactor = 5.0
	// rateStep is the relative change from which a rate is announced anew.
	rateStep = 0.06
	// confirmations is the number of computations in a row that must show a lower rate
	// before it is announced: overload looks like a lower rate, but nothing like a higher one.
	confirmations = 2
	// prefillInterval is the time between two computations of the prefill rates, which take 40 ms
	// for 40 engines with 40 models.
	prefillInterval = 4 * time.Second
)

// pair identifies a model on an engine; the zero engine stands for an engine of usual speed.
type pair struct {
	engine Engine
	model  string
}

// prefillSamples holds the last samples of a pair.
type prefillSamples struct {
	service string
	points  []prefillPoint
	// at are the arrival times of the points.
	at []time.Time
}

func (s *prefillSamples) add(now time.Time, p prefillPoint) {
	if n := len(s.at); n == maxPrefillSamples {
		if now.Sub(s.at[n-1]) < prefillSampleInterval {
			return
		}
		s.points, s.at = slices.Delete(s.points, 0, 1), slices.Delete(s.at, 0, 1)
	}
	s.points, s.at = append(s.points, p), append(s.at, now)
}

// dropOld removes the samples that arrived before the retention.
func (s *prefillSamples) dropOld(now time.Time) {
	first := 0
	for first < len(s.at) && now.Sub(s.at[first]) > prefillRetention {
		first++
	}
	s.points, s.at = s.points[first:], s.at[first:]
}

// announcedRate is a rate that relays know, in tokens a second.
type announcedRate struct {
	perSecond float64
	// lower counts the computations in a row that showed a lower rate.
	lower int
}

// engineOrder holds the first events of an engine of the service.
type engineOrder struct {
	eventOrder

	service string
}

// prefillRates combines the prefill times that relays report to rates of models on engines. It
// is not safe for concurrent use.
type prefillRates struct {
	orders  map[Engine]*engineOrder
	samples map[pair]*prefillSamples
	// factors are the speeds of the engines relative to each other, lines the expected times
	// on an engine with factor 1. They are the start of the next computation.
	factors map[Engine]float64
	lines   map[string]prefillLine
	// constants are the seconds that the lines give a prompt without tokens.
	constants map[string]float64

	announced map[pair]*announcedRate
	// version is increased with each change of announced; 0 while nothing was announced.
	version    uint64
	isChanged  bool
	computedAt time.Time
	wire       *aubwire.PrefillRates
}

func newPrefillRates() *prefillRates {
	return &prefillRates{
		orders: make(map[Engine]*engineOrder), samples: make(map[pair]*prefillSamples), factors: make(map[Engine]float64),
		lines: make(map[string]prefillLine), announced: make(map[pair]*announcedRate),
		constants: make(map[string]float64),
	}
}

// add adds the first events that a relay reports of an engine.
func (r *prefillRates) add(now time.Time, engine Engine, service string, reported []*aubwire.PrefillSample) {
	if len(reported) == 0 {
		return
	}
	order := r.orders[engine]
	if order == nil {
		order = &engineOrder{service: service}
		r.orders[engine] = order
	}
	order.add(now, reported)
	// Rates may never be asked for at this process.
	r.evaluateEngine(now, engine, order)
}

// evaluate turns the first events into samples.
func (r *prefillRates) evaluate(now time.Time) {
	for engine, order := range r.orders {
		if r.evaluateEngine(now, engine, order); len(order.pending) == 0 && now.Sub(order.last.seenAt) > prefillRetention {
			delete(r.orders, engine)
		}
	}
}

func (r *prefillRates) evaluateEngine(now time.Time, engine Engine, order *engineOrder) {
	order.evaluate(now, func(model string, p prefillPoint) {
		key := pair{engine: engine, model: model}
		stored := r.samples[key]
		if stored == nil {
			stored = &prefillSamples{service: order.service}
			r.samples[key] = stored
		}
		stored.add(now, p)
		r.isChanged = true
	})
}

// compute fits models and engines in turn and returns the pairs' new rates.
func (r *prefillRates) compute(now time.Time) map[pair]float64 {
	for key, s := range r.samples {
		if s.dropOld(now); len(s.points) == 0 {
			delete(r.samples, key)
		}
	}
	byModel, byEngine := make(map[string][]pair), make(map[Engine][]pair)
	for _, key := range slices.SortedFunc(maps.Keys(r.samples), comparePairs) {
		byModel[key.model] = append(byModel[key.model], key)
		byEngine[key.engine] = append(byEngine[key.engine], key)
	}
	rounds := fitRounds
	if len(r.factors) > 0 {
		// The last factors are close.
		rounds = 2
	}
	r.lines = make(map[string]prefillLine)
	for range rounds {
		for model, pairs := range byModel {
			r.fitModel(model, pairs)
		}
		for model, line := range r.lines {
			r.constants[model] = line.constants[0]
		}
		r.fitEngines(byEngine)
	}
	return r.rates()
}

// fitEngines sets the factors of the engines from the lines, and scales both so that the median
// factor of a service is 1.
func (r *prefillRates) fitEngines(byEngine map[Engine][]pair) {
	factors := make(map[Engine]float64)
	ofService := make(map[string][]float64)
	for engine, pairs := range byEngine {
		if factor, ok := r.factorOf(pairs); ok {
			factors[engine] = factor
			service := r.samples[pairs[0]].service
			ofService[service] = append(ofService[service], factor)
		}
	}
	r.factors = factors
	scaled := make(map[string]bool)
	for engine, pairs := range byEngine {
		measured := ofService[r.samples[pairs[0]].service]
		if len(measured) == 0 {
			continue
		}
		middle := median(measured)
		if factor, ok := r.factors[engine]; ok {
			r.factors[engine] = factor / middle
		}
		for _, key := range pairs {
			if line, ok := r.lines[key.model]; ok && !scaled[key.model] {
				scaled[key.model] = true
				r.lines[key.model] = line.scaled(1 / middle)
				r.constants[key.model] = r.lines[key.model].constants[0]
			}
		}
	}
}

// fitModel fits the line of a model to the times on all engines, scaled by the engines' factors.
func (r *prefillRates) fitModel(model string, pairs []pair) {
	var points []prefillPoint
	limit := max(maxFitPoints/len(pairs), 1)
	for _, key := range pairs {
		factor := r.factorOrOne(key.engine)
		own := r.samples[key].points
		for _, p := range own[max(len(own)-limit, 0):] {
			p.seconds = p.seconds*factor + r.constants[p.after]
			points = append(points, p)
		}
	}
	if len(points) >= minModelSamples {
		r.lines[model] = fitLine(points)
	}
}

func (r *prefillRates) factorOrOne(engine Engine) float64 {
	if factor, ok := r.factors[engine]; ok {
		return factor
	}
	return 1
}

// factorOf returns how much faster than the lines the pairs' first events come; false while there
// are too few samples.
func (r *prefillRates) factorOf(pairs []pair) (float64, bool) {
	var ratios []weightedRatio
	for _, key := range pairs {
		if line, ok := r.lines[key.model]; ok {
			for _, p := range r.samples[key].points {
				expected := line.at(p)
				seconds := p.seconds + r.constants[p.after]/r.factorOrOne(key.engine)
				ratios = append(ratios, weightedRatio{value: seconds / expected, weight: expected})
			}
		}
	}
	if len(ratios) < minEngineSamples {
		return 1, false
	}
	return min(max(1/weightedQuantile(ratios, fitQuantile), 1/maxFactor), maxFactor), true
}

// rates returns the rate of each measured model, and of each of its pairs on a measured engine.
func (r *prefillRates) rates() map[pair]float64 {
	rates := make(map[pair]float64)
	for model, line := range r.lines {
		rates[pair{model: model}] = 1 / line.secondsPerToken
	}
	for key, samples := range r.samples {
		line, ok := r.lines[key.model]
		factor, isMeasured := r.factors[key.engine]
		if !ok || !isMeasured {
			continue
		}
		deviation := 1.0
		if own, ok := r.factorOf([]pair{key}); ok {
			n := float64(len(samples.points))
			deviation = math.Pow(own/factor, n/(n+pairWeight))
		}
		rates[key] = min(max(factor*deviation/line.secondsPerToken, minPrefillRate), maxPrefillRate)
	}
	return rates
}

// update computes the rates anew if samples were added and the last computation is old, and
// returns those to announce with their version. The result is shared.
func (r *prefillRates) update(now time.Time, log *zap.Logger) (*aubwire.PrefillRates, uint64) {
	if now.Sub(r.computedAt) < prefillInterval {
		return r.wire, r.version
	}
	if r.evaluate(now); !r.isChanged {
		return r.wire, r.version
	}
	r.computedAt, r.isChanged = now, false
	rates := r.compute(now)
	changed := false
	for key, a := range r.announced {
		if _, ok := rates[key]; !ok {
			delete(r.announced, key)
			changed = true
			log.Info("Prefill rate is no longer measured.", append(key.fields(), zap.Float64("previous", a.perSecond))...)
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(rates), comparePairs) {
		changed = r.announce(key, rates[key], log) || changed
	}
	if changed {
		// All rates are sent again, so that small changes cost nothing more.
		for key, a := range r.announced {
			if math.Abs(rates[key]/a.perSecond-1) <= rateStep {
				a.perSecond = rates[key]
			}
		}
		r.version++
		r.wire = r.toWire()
	}
	return r.wire, r.version
}

// announce sets the rate to announce of a pair if it differs enough, and reports whether it did.
func (r *prefillRates) announce(key pair, perSecond float64, log *zap.Logger) bool {
	a := r.announced[key]
	if a == nil {
		a = &announcedRate{}
		r.announced[key] = a
	}
	switch {
	case a.perSecond > 0 && perSecond < a.perSecond*(1-rateStep):
		if a.lower++; a.lower < confirmations {
			r.isChanged = true
			return false
		}
	case perSecond <= a.perSecond*(1+rateStep):
		a.lower = 0
		return false
	}
	samples := 0
	if s := r.samples[key]; s != nil {
		samples = len(s.points)
	}
	line := r.lines[key.model]
	log.Info("Prefill rate changed.", append(key.fields(),
		zap.Float64("previous", a.perSecond), zap.Float64("tokens_per_s", perSecond), zap.Int("samples", samples),
		zap.Float64("engine_factor", r.factorOrOne(key.engine)), zap.Float64("first_event_ms", line.constants[0]*1000))...)
	a.perSecond, a.lower = perSecond, 0
	return true
}

func (r *prefillRates) toWire() *aubwire.PrefillRates {
	wire := &aubwire.PrefillRates{}
	for _, key := range slices.SortedFunc(maps.Keys(r.announced), comparePairs) {
		wire.Rates = append(wire.Rates, &aubwire.PrefillRate{
			Id: key.engine.ID, StartedMs: key.engine.StartedMs, Model: key.model, TokensPerSecond: r.announced[key].perSecond,
		})
	}
	return wire
}

func (p pair) fields() []zap.Field {
	return []zap.Field{zap.String("backend_server", p.engine.ID), zap.Int64("started_ms", p.engine.StartedMs), zap.String("model", p.model)}
}

func comparePairs(a, b pair) int {
	return cmp.Or(cmp.Compare(a.engine.ID, b.engine.ID), cmp.Compare(a.engine.StartedMs, b.engine.StartedMs), cmp.Compare(a.model, b.model))
}
