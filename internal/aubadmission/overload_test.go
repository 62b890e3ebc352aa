package aubadmission_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// simSeeds are the seeds of each simulated load.
var simSeeds = []uint64{1, 2, 3, 4, 5}

// constantRate returns a rate that does not change.
func constantRate(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// burst returns a rate that is multiplied by factor in the interval.
func burst(perSecond, factor float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return perSecond * factor
		}
		return perSecond
	}
}

// newPlainServer returns a server of 6 slots that answers 96 calls a second.
func newPlainServer() *simServer {
	return &simServer{slots: 6, serviceTime: 62500 * time.Microsecond}
}

// TestPlainServerAboveItsCapacity guards against a plain server whose queue makes nearly every
// call late while it is asked for a tenth more than it can run.
func TestPlainServerAboveItsCapacity(t *testing.T) {
	const length = 20 * time.Second
	for _, seed := range simSeeds {
		for _, isAdmitting := range []bool{false, true} {
			kind := &simKind{name: "plain", priority: 5, objective: 300 * time.Millisecond, timeout: 1500 * time.Millisecond, rate: constantRate(105.6)}
			s := newSimulation(seed, isAdmitting, newPlainServer())
			s.run(length, kind)
			r := s.result(kind, 0, length)
			t.Logf("seed %d admitting %v: on time %.3f, served %.3f of %d, longest hold %s", seed, isAdmitting, r.onTimeShare(), r.servedShare(), r.calls, r.longestRefusedHold)
			if isAdmitting {
				qt.Check(t, r.onTimeShare() >= 0.85, qt.IsTrue)
				qt.Check(t, r.longestRefusedHold <= kind.objective/8, qt.IsTrue)
			}
		}
	}
}

const engineCount = 8

// newEngines returns engines that each prefill 20,000 tokens a second.
func newEngines() []*simServer {
	engines := make([]*simServer, 0, engineCount)
	for range engineCount {
		engines = append(engines, &simServer{slots: 64, prefillRate: 20000})
	}
	return engines
}

// engineCapacity is the number of prompts of 2,000 tokens that the engines prefill in a second.
const engineCapacity = engineCount * 10.0

func urgentKind(rate func(time.Duration) float64) *simKind {
	return &simKind{name: "urgent", priority: 5, objective: 800 * time.Millisecond, timeout: 6 * time.Second, isStream: true, tokens: 2000, output: 2 * time.Second, rate: rate}
}

func lightKind(rate func(time.Duration) float64) *simKind {
	return &simKind{name: "light", priority: 6, objective: 1500 * time.Millisecond, timeout: 8 * time.Second, isStream: true, tokens: 2000, output: 2 * time.Second, rate: rate}
}

func deferrableKind(rate func(time.Duration) float64) *simKind {
	return &simKind{name: "deferrable", priority: 8, objective: 8 * time.Second, timeout: 20 * time.Second, isStream: true, isDefer: true, tokens: 2000, output: 2 * time.Second, rate: rate}
}

// TestUrgentStreamsAtTwiceTheCapacity guards against a queue at the engines in which urgent
// streams are late and less urgent ones are served instead.
func TestUrgentStreamsAtTwiceTheCapacity(t *testing.T) {
	const from, to = 4 * time.Second, 8 * time.Second
	for _, seed := range simSeeds {
		for _, isAdmitting := range []bool{false, true} {
			urgent := urgentKind(burst(0.5*engineCapacity, 4, from, to))
			light := lightKind(constantRate(0.2 * engineCapacity))
			deferrable := deferrableKind(constantRate(0.1 * engineCapacity))
			s := newSimulation(seed, isAdmitting, newEngines()...)
			s.run(12*time.Second, urgent, light, deferrable)
			u, l, d := s.result(urgent, from, to), s.result(light, from, to), s.result(deferrable, from, to)
			possible := engineCapacity * (to - from).Seconds()
			t.Logf("seed %d admitting %v: urgent on time %d of %.0f possible, served %.3f; light %.3f on time %.3f; deferrable %.3f on time %.3f",
				seed, isAdmitting, u.onTime, possible, u.servedShare(), l.servedShare(), l.onTimeShare(), d.servedShare(), d.onTimeShare())
			if isAdmitting {
				qt.Check(t, float64(u.onTime) >= 0.8*possible, qt.IsTrue)
				qt.Check(t, u.servedShare() >= l.servedShare()-0.05, qt.IsTrue)
				qt.Check(t, u.servedShare() >= d.servedShare()-0.05, qt.IsTrue)
				qt.Check(t, l.servedShare() >= d.servedShare()-0.05, qt.IsTrue)
				qt.Check(t, u.longestRefusedHold <= urgent.objective/8, qt.IsTrue)
				qt.Check(t, l.longestRefusedHold <= light.objective/8, qt.IsTrue)
			}
		}
	}
}

// TestDeferrableBurstGivesWayToUrgentStreams guards against a burst of deferrable streams that
// makes urgent ones late, and against deferrable ones that are lost in it.
func TestDeferrableBurstGivesWayToUrgentStreams(t *testing.T) {
	const from, to = 4 * time.Second, 8 * time.Second
	for _, seed := range simSeeds {
		for _, isAdmitting := range []bool{false, true} {
			urgent := urgentKind(burst(0.6*engineCapacity, 1.5, from, to))
			deferrable := deferrableKind(burst(0.1*engineCapacity, 2.4, from, to))
			s := newSimulation(seed, isAdmitting, newEngines()...)
			s.run(16*time.Second, urgent, deferrable)
			u, d := s.result(urgent, from, to), s.result(deferrable, 0, 16*time.Second)
			t.Logf("seed %d admitting %v: urgent on time %.3f of %d; deferrable on time %.3f of %d", seed, isAdmitting, u.onTimeShare(), u.calls, d.onTimeShare(), d.calls)
			if isAdmitting {
				qt.Check(t, u.onTimeShare() >= 0.9, qt.IsTrue)
				qt.Check(t, d.onTime, qt.Equals, d.calls)
			}
		}
	}
}
