package aubspeed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// Figures of a fleet: an event holds five tokens, and an engine generates one token of its
// streams between two chunks of prompts. A model is modelRates times faster than the slowest.
const (
	prefillChunk       = 2048.0
	slowestPrefillRate = 16000.0
	slowestToken       = 0.012
	eventTokens        = 5
)

var modelRates = []float64{1, 1.8, 3}

// prefillEngine prefills prompts in the order of their arrival.
type prefillEngine struct {
	speed  float64
	freeAt time.Time
	// cached are the shared prompts that the engine has in its cache.
	cached map[int]bool
	// streams counts the prompts.
	streams int
}

// prefillEvent is a first event that a relay will see.
type prefillEvent struct {
	at            time.Time
	relay, engine int
	prefill       Prefill
}

// prefillFleet is a fleet whose engines all have two of the three models.
type prefillFleet struct {
	timer      *aubtimer.Manual
	rnd        *rand.Rand
	relays     []*Meter
	aggregator *Aggregator
	engines    []*prefillEngine
	events     []prefillEvent
}

func newPrefillFleet(seed uint64, relays, engines int) *prefillFleet {
	timer := aubtimer.NewManual(time.Unix(1000, 0))
	common := aubcommon.NewCommon(timer)
	f := &prefillFleet{timer: timer, rnd: rand.New(rand.NewPCG(seed, 3)), aggregator: NewAggregator(common)}
	for range relays {
		f.relays = append(f.relays, NewMeter(common))
	}
	for i := range engines {
		f.engines = append(f.engines, &prefillEngine{speed: []float64{0.55, 1.2, 1.2}[i%3], freeAt: timer.Now(), cached: make(map[int]bool)})
	}
	return f
}

func (f *prefillFleet) engineID(i int) Engine { return Engine{ID: fmt.Sprint(i), StartedMs: 7} }

// hasModel reports whether the engine holds the model.
func (f *prefillFleet) hasModel(engine, model int) bool { return (engine+engine/3)%3 != model }

// trueRate returns the tokens a second that the engine prefills beside its running streams.
func (f *prefillFleet) trueRate(engine, model int) float64 {
	scale := modelRates[model] * f.engines[engine].speed
	return prefillChunk / (prefillChunk/(slowestPrefillRate*scale) + slowestToken/scale)
}

// play sends prompts that take the engines the share load of their time. A tenth of the reports
// is lost.
func (f *prefillFleet) play(d time.Duration, load func(elapsed time.Duration) float64) {
	const interval = 5 * time.Millisecond
	for end := f.timer.Now().Add(d); f.timer.Now().Before(end); {
		elapsed := f.timer.Now().Sub(time.Unix(1000, 0))
		for engine := range f.engines {
			if f.rnd.Float64() < load(elapsed)*interval.Seconds()/f.meanPrefill(engine) {
				f.send(engine)
			}
		}
		f.timer.Advance(interval)
		f.seeEvents()
		for i, m := range f.relays {
			if (elapsed+time.Duration(i)*25*time.Millisecond)%(250*time.Millisecond) == 0 && f.rnd.Float64() > 0.1 {
				f.aggregator.AddReport(fmt.Sprint("relay", i), 1, m.Report())
			}
		}
		f.aggregator.PrefillRates()
	}
}

func (f *prefillFleet) seeEvents() {
	now := f.timer.Now()
	f.events = slices.DeleteFunc(f.events, func(e prefillEvent) bool {
		if e.at.After(now) {
			return false
		}
		f.relays[e.relay].AddPrefill(f.engineID(e.engine), "llm", e.prefill)
		return true
	})
}

// playStreams sends prompts at the changing load until each engine has had the number of them, and
// waits until all are known.
func (f *prefillFleet) playStreams(streams int) {
	for slices.ContainsFunc(f.engines, func(e *prefillEngine) bool { return e.streams < streams }) {
		f.play(100*time.Millisecond, changingLoad)
	}
	f.play(10*time.Second, func(time.Duration) float64 { return 0 })
}

// meanPrefill returns the mean seconds of a prompt on the engine.
func (f *prefillFleet) meanPrefill(engine int) float64 {
	var sum float64
	for model := range modelRates {
		if f.hasModel(engine, model) {
			sum += 3000 / f.trueRate(engine, model) / 2
		}
	}
	return sum
}

// send sends a prompt through a random relay. Half of the prompts begin with one of 40 shared
// parts, which the engine may have in its cache, and a tenth stalls at the relay.
func (f *prefillFleet) send(engine int) {
	now := f.timer.Now()
	e := f.engines[engine]
	model := f.rnd.IntN(len(modelRates))
	for !f.hasModel(engine, model) {
		model = f.rnd.IntN(len(modelRates))
	}
	own := int64(min(100+f.rnd.ExpFloat64()*2200, 12000))
	read := own
	if shared := f.rnd.IntN(80); shared < 40 {
		if key := shared + 100*model; !e.cached[key] {
			e.cached[key] = true
			read += 1500
		}
		if f.rnd.Float64() < 0.1 {
			clear(e.cached)
		}
	}
	start := now
	if e.freeAt.After(now) {
		start = e.freeAt
	}
	e.freeAt = start.Add(seconds(float64(read) / f.trueRate(engine, model)))
	firstEvent := e.freeAt.Sub(now) + seconds(eventTokens*slowestToken/modelRates[model]/e.speed) + 3*time.Millisecond
	if f.rnd.Float64() < 0.1 {
		firstEvent += seconds(0.1 * f.rnd.ExpFloat64())
	}
	e.streams++
	f.events = append(f.events, prefillEvent{at: now.Add(firstEvent), relay: f.rnd.IntN(len(f.relays)), engine: engine, prefill: Prefill{
		Model: fmt.Sprint("m", model), NewTokens: own, FirstEvent: firstEvent,
	}})
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// worstError returns the largest relative error of the rates that relays would use, and the
// number of pairs without a rate.
func (f *prefillFleet) worstError() (worst, mean float64, missing int) {
	table := NewTable()
	rates, _ := f.aggregator.PrefillRates()
	table.ReplacePrefillRates(rates)
	n := 0
	for engine := range f.engines {
		for model := range modelRates {
			if !f.hasModel(engine, model) {
				continue
			}
			rate, ok := table.PrefillRate(f.engineID(engine), fmt.Sprint("m", model))
			if !ok {
				missing++
				continue
			}
			e := math.Abs(rate/f.trueRate(engine, model) - 1)
			worst, mean, n = max(worst, e), mean+e, n+1
		}
	}
	return worst, mean / float64(max(n, 1)), missing
}

// changingLoad is from 0.2 to 0.9 of the engines' prefill time.
func changingLoad(elapsed time.Duration) float64 {
	return 0.55 + 0.35*math.Sin(elapsed.Seconds()*2*math.Pi/7)
}

// TestPrefillRatesUnderChangingLoad guards against load that counts as slowness and cached
// prompts that count as speed: the rates of three models on engines of two speeds must be within
// 20% after 30 streams an engine.
func TestPrefillRatesUnderChangingLoad(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			f := newPrefillFleet(seed, 8, 24)
			f.playStreams(30)
			worst, mean, missing := f.worstError()
			t.Logf("after %v: worst %.3f, mean %.3f", f.timer.Now().Sub(time.Unix(1000, 0)), worst, mean)
			qt.Assert(t, missing, qt.Equals, 0)
			qt.Assert(t, worst <= 0.2, qt.IsTrue, qt.Commentf("worst %.3f, mean %.3f", worst, mean))
		})
	}
}

// TestPrefillRatesAreStable guards against rates that follow the load, of which an earlier form of
// the speeds announced 687 in a minute: at most four announcements for each engine in two minutes.
func TestPrefillRatesAreStable(t *testing.T) {
	for seed := range uint64(3) {
		f := newPrefillFleet(seed, 8, 12)
		f.playStreams(30)
		_, before := f.aggregator.PrefillRates()
		f.play(2*time.Minute, changingLoad)
		_, after := f.aggregator.PrefillRates()
		worst, mean, _ := f.worstError()
		t.Logf("seed %d: announced %d times, worst %.3f, mean %.3f", seed, after-before, worst, mean)
		qt.Check(t, worst <= 0.2, qt.IsTrue, qt.Commentf("seed %d: %.3f", seed, worst))
		qt.Check(t, after-before <= uint64(4*len(f.engines)), qt.IsTrue, qt.Commentf("seed %d: %d", seed, after-before))
	}
}

// TestUnmeasuredEngineHasTheRateOfItsModel guards against the default rate for a new engine whose
// model is known, and against a rate for an unknown model.
func TestUnmeasuredEngineHasTheRateOfItsModel(t *testing.T) {
	f := newPrefillFleet(1, 4, 6)
	f.playStreams(30)
	table := NewTable()
	rates, _ := f.aggregator.PrefillRates()
	table.ReplacePrefillRates(rates)
	table.Replace([]*aubwire.EngineSpeed{{Id: "new", StartedMs: 1, Speed: 0.5}})
	usual, ok := table.PrefillRate(Engine{ID: "even", StartedMs: 1}, "m0")
	qt.Assert(t, ok, qt.IsTrue)
	slow, _ := table.PrefillRate(Engine{ID: "new", StartedMs: 1}, "m0")
	qt.Assert(t, slow, qt.Equals, usual/2)
	_, ok = table.PrefillRate(Engine{ID: "0", StartedMs: 7}, "unknown")
	qt.Assert(t, ok, qt.IsFalse)
}

// TestWaitingPromptIsMeasuredAlone guards against the wait behind another relay's prompt that counts
// as prefill, and against overtaken and invalid prompts that count at all.
func TestWaitingPromptIsMeasuredAlone(t *testing.T) {
	now := time.Unix(1000, 0)
	order := &eventOrder{}
	order.add(now, []*aubwire.PrefillSample{
		{Model: "m", Tokens: 1000, FirstEventMs: 550, AgoMs: 400},
		{Model: "m", Tokens: 2000, FirstEventMs: 1200, AgoMs: 100},
		{Model: "m", Tokens: 0, FirstEventMs: 50, AgoMs: 50},
		{Model: "m", Tokens: 900, FirstEventMs: -5, AgoMs: -5},
	})
	order.add(now, []*aubwire.PrefillSample{{Model: "n", Tokens: 3000, FirstEventMs: 300, AgoMs: 700}})
	var got []prefillPoint
	visit := func(_ string, p prefillPoint) { got = append(got, p) }
	order.evaluate(now, visit)
	qt.Assert(t, got, qt.HasLen, 0)
	order.evaluate(now.Add(2*orderDelay), visit)
	// The third event is of a prompt that began before the second and was overtaken.
	qt.Assert(t, len(got), qt.Equals, 2)
	qt.Assert(t, got[0], qt.Equals, prefillPoint{tokens: 3000, seconds: 0.3})
	qt.Assert(t, got[1], qt.Equals, prefillPoint{tokens: 1000, seconds: 0.3, after: "n"})
	qt.Assert(t, order.pending, qt.HasLen, 0)
}

// BenchmarkPrefillRates measures a computation for a fleet of 40 engines with 40 models.
func BenchmarkPrefillRates(b *testing.B) {
	r, rnd, now := newPrefillRates(), rand.New(rand.NewPCG(1, 1)), time.Unix(1000, 0)
	for engine := range 40 {
		for model := range 3 {
			s := &prefillSamples{service: "llm"}
			for range maxPrefillSamples {
				tokens := 300 + rnd.ExpFloat64()*2000
				s.points = append(s.points, prefillPoint{tokens: tokens, seconds: 0.03 + tokens/20000})
				s.at = append(s.at, now)
			}
			r.samples[pair{engine: Engine{ID: fmt.Sprint(engine)}, model: fmt.Sprint((engine + 13*model) % 40)}] = s
		}
	}
	for b.Loop() {
		r.compute(now)
	}
}
