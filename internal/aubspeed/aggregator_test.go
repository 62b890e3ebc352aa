package aubspeed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// fleet is a service whose streams arrive evenly at relays and engines.
type fleet struct {
	timer      *aubtimer.Manual
	rnd        *rand.Rand
	relays     []*Meter
	aggregator *Aggregator
	speeds     []float64
}

func newFleet(seed uint64, relays, engines int, speeds ...float64) *fleet {
	timer := aubtimer.NewManual(time.Unix(1000, 0))
	common := aubcommon.NewCommon(timer)
	f := &fleet{timer: timer, rnd: rand.New(rand.NewPCG(seed, 1)), aggregator: NewAggregator(common)}
	for range relays {
		f.relays = append(f.relays, NewMeter(common))
	}
	for i := range engines {
		f.speeds = append(f.speeds, speeds[i%len(speeds)])
	}
	return f
}

// play relays streams for the time, perSecond in all.
func (f *fleet) play(d, interval time.Duration, perSecond float64) {
	for elapsed := time.Duration(0); elapsed < d; elapsed += interval {
		for range int(perSecond * interval.Seconds()) {
			f.stream()
		}
		f.timer.Advance(interval)
		for i, m := range f.relays {
			f.aggregator.AddReport(fmt.Sprint("relay", i), 1, m.Report())
		}
	}
}

// stream relays one stream: prompts of other requests lengthen a fifth of its pauses, on every
// fourth engine seven of ten, and batches of different sizes all of them by up to a quarter.
func (f *fleet) stream() {
	engine := f.rnd.IntN(len(f.speeds))
	pause := 28 * float64(time.Millisecond) / f.speeds[engine] * (1 + 0.25*f.rnd.Float64())
	busy := 0.2
	if engine%4 == 1 {
		busy = 0.7
	}
	pauses := &Pauses{}
	for range 8 + f.rnd.IntN(50) {
		p := pause
		if f.rnd.Float64() < busy {
			p += 250 * float64(time.Millisecond)
		}
		pauses.Add(time.Duration(p))
	}
	f.relays[f.rnd.IntN(len(f.relays))].Add(Engine{ID: fmt.Sprint(engine), StartedMs: 7}, "llm", pauses)
}

// TestSlowEnginesAreFound guards against engines of half the speed that get the requests of
// a full one: a quarter of 52 engines, with 30 relays that each see an engine every 9 s.
func TestSlowEnginesAreFound(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(seed, 30, 52, 0.55, 1.2, 1.2, 1.2)
		f.play(15*time.Second, 250*time.Millisecond, 180)
		speeds := f.aggregator.Speeds()
		qt.Assert(t, len(speeds), qt.Equals, 13, qt.Commentf("seed %d", seed))
		for _, s := range speeds {
			qt.Assert(t, math.Abs(s.GetSpeed()-0.55/1.2) < 0.1, qt.IsTrue, qt.Commentf("seed %d: %v", seed, s))
		}
	}
}

// TestSimilarEnginesCountAsEqual guards against a change of routing where engines differ by
// less than a third, or only in their load.
func TestSimilarEnginesCountAsEqual(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(seed, 7, 18, 1, 1, 1.3)
		for range 20 {
			f.play(time.Second, 250*time.Millisecond, 60)
			qt.Assert(t, f.aggregator.Speeds(), qt.HasLen, 0, qt.Commentf("seed %d", seed))
		}
	}
}

// TestRestartedRelayIsNotCountedTwice guards against streams that count again with each report,
// and against those of a restarted relay that are left out.
func TestRestartedRelayIsNotCountedTwice(t *testing.T) {
	f := newFleet(1, 1, 3, 1)
	f.play(2*time.Second, 250*time.Millisecond, 20)
	streams := func() (sum int) {
		for _, e := range f.aggregator.engines {
			sum += len(e.rates)
		}
		return sum
	}
	qt.Assert(t, streams(), qt.Equals, 40)
	f.aggregator.AddReport("relay0", 1, f.relays[0].Report())
	qt.Assert(t, streams(), qt.Equals, 40)
	f.relays[0] = NewMeter(f.aggregator.common)
	f.stream()
	f.stream()
	f.aggregator.AddReport("relay0", 2, f.relays[0].Report())
	qt.Assert(t, streams(), qt.Equals, 42)
}

func TestNextSpeed(t *testing.T) {
	for _, c := range []struct {
		name                  string
		previous, ratio, want float64
	}{
		{"even", 0, 0.9, 0},
		{"slightly slow", 0, 0.75, 0},
		{"slow", 0, 0.5, 0.5},
		{"fast", 0, 2, 0},
		{"a small change is not announced", 0.5, 0.53, 0.5},
		{"a large change is", 0.5, 0.65, 0.65},
		{"still slow", 0.6, 0.75, 0.75},
		{"even again", 0.6, 0.85, 0},
		{"stalled", 0, 0.01, minSpeed},
	} {
		t.Run(c.name, func(t *testing.T) { qt.Assert(t, nextSpeed(c.previous, c.ratio), qt.Equals, c.want) })
	}
}

func TestPausesOfShortStreamsDontCount(t *testing.T) {
	pauses := &Pauses{}
	for range minPauses - 1 {
		pauses.Add(time.Millisecond)
	}
	_, ok := pauses.typicalRate()
	qt.Assert(t, ok, qt.IsFalse)
	pauses.Add(time.Second)
	rate, ok := pauses.typicalRate()
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, rate, qt.Equals, 1000.0)
}
