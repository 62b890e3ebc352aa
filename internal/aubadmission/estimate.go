package aubadmission

import (
	"math"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubtimer"
)

const (
	// sampleTimeConstant is the time constant with which samples lose their weight.
	sampleTimeConstant = 2 * time.Second
	// minSampleWeight is the weight of the samples from which an estimate counts.
	minSampleWeight = 2.5
	// lineTimeConstant is the time constant of the samples that tell how measured times grow
	// with assumed ones. It is long because that is a property of engines, not of their load.
	lineTimeConstant = 20 * time.Second
	// minLineWeight and minLineSpread, the seconds by which the mean of the assumed times exceeds
	// the shortest one, are what the samples need to tell the slope, which is limited to minSlope
	// and maxSlope.
	minLineWeight = 5
	minLineSpread = 0.01
	minSlope      = 0.5
	maxSlope      = 3
	// maxEstimates is the number of estimates from which those without recent samples are dropped.
	maxEstimates = 4096
)

// Load is the load of a backend server when a request was sent there.
type Load struct {
	InFlight int
	Slots    int
	// Assumed is the time to the first event by the router's assumptions, without any
	// correction by measured times.
	Assumed time.Duration
	// IsBlind is set if the loads of the other relays are not known. The mean measured time is
	// expected then.
	IsBlind bool
}

// queueFactor returns by how much a request on a server with slots takes longer because of
// those ahead of it.
func (l Load) queueFactor() float64 {
	return 1 + float64(max(l.InFlight-l.Slots+1, 0))/float64(max(l.Slots, 1))
}

// estimate compares measured times with assumed ones. All sums lose their weight with the time
// constant.
type estimate struct {
	timeConstant time.Duration
	weight       float64
	assumed      float64
	measured     float64
	// shortest are the shortest times of the last two periods of timeConstant, the newer first.
	shortest    [2]shortestTimes
	periodEndAt time.Time
	// updatedAt is the time to which the sums have been decayed.
	updatedAt time.Time
}

func newEstimate(timeConstant time.Duration) *estimate {
	return &estimate{timeConstant: timeConstant, shortest: [2]shortestTimes{noTimes, noTimes}}
}

func (e *estimate) decay(now time.Time) {
	if e.weight > 0 {
		factor := math.Exp(-now.Sub(e.updatedAt).Seconds() / e.timeConstant.Seconds())
		e.weight, e.assumed, e.measured = e.weight*factor, e.assumed*factor, e.measured*factor
	}
	e.updatedAt = now
}

func (e *estimate) add(now time.Time, assumed, measured float64) {
	e.decay(now)
	e.weight++
	e.assumed += assumed
	e.measured += measured
	if now.After(e.periodEndAt) {
		e.shortest[1], e.shortest[0] = e.shortest[0], noTimes
		e.periodEndAt = now.Add(e.timeConstant)
	}
	e.shortest[0] = e.shortest[0].min(shortestTimes{assumed: assumed, measured: measured})
}

// slope returns by how much measured times grow with assumed ones, 1 while the samples don't
// tell. The line leads from the shortest times, which include what does not grow, to the mean
// ones. A line of least squares is too flat, because the assumed times have errors themselves:
// in the simulation of engines at half the assumed rate it found 1 where this one finds 2.
func (e *estimate) slope() float64 {
	first := e.shortest[0].min(e.shortest[1])
	if e.weight < minLineWeight || e.assumed/e.weight-first.assumed < minLineSpread {
		return 1
	}
	slope := (e.measured/e.weight - first.measured) / (e.assumed/e.weight - first.assumed)
	return min(max(slope, minSlope), maxSlope)
}

// shortestTimes are the shortest assumed and measured times of a period, in seconds; they may be of
// different samples.
type shortestTimes struct{ assumed, measured float64 }

// noTimes are those of a period without samples.
var noTimes = shortestTimes{assumed: math.Inf(1), measured: math.Inf(1)}

func (s shortestTimes) min(other shortestTimes) shortestTimes {
	return shortestTimes{assumed: min(s.assumed, other.assumed), measured: min(s.measured, other.measured)}
}

// Estimator estimates the time to an answer from what this relay measured. Two estimates are
// kept, one for each backend server and one for all that serve the same model or service; the
// second one is used where the first has too few samples. It is safe for concurrent use.
type Estimator struct {
	timer aubtimer.Service

	mu        sync.Mutex
	estimates map[string]*estimate
	// lines holds the long-term samples by target.
	lines map[string]*estimate
}

// NewEstimator returns an estimator without samples.
func NewEstimator(timer aubtimer.Service) *Estimator {
	return &Estimator{timer: timer, estimates: make(map[string]*estimate), lines: make(map[string]*estimate)}
}

// Keys name the estimates of one request.
type Keys struct {
	// Server names the incarnation of the backend server, Target the model or service.
	Server string
	Target string
}

// ObserveFirstEvent records the measured time to the first event of a stream.
func (e *Estimator) ObserveFirstEvent(keys Keys, load Load, measured time.Duration) {
	e.add(keys, load.Assumed.Seconds(), measured.Seconds())
}

// ObserveAnswer records the measured time to the complete answer of a plain call.
func (e *Estimator) ObserveAnswer(keys Keys, load Load, measured time.Duration) {
	if load.Slots > 0 {
		e.add(keys, load.queueFactor(), measured.Seconds())
	}
}

// ExpectFirstEvent returns the expected time to the first event of a stream: the assumed time
// times the slope of the samples of the target, plus the mean difference of the latest ones.
func (e *Estimator) ExpectFirstEvent(keys Keys, load Load) (expected time.Duration, isKnown bool) {
	known, ok := e.find(keys)
	if !ok {
		return 0, false
	}
	if load.IsBlind {
		return seconds(known.measured / known.weight), true
	}
	slope := e.slope(keys.Target)
	assumed := load.Assumed.Seconds()
	return seconds(max(slope*assumed+(known.measured-slope*known.assumed)/known.weight, assumed/2)), true
}

// ExpectAnswer returns the expected time to the complete answer of a plain call.
func (e *Estimator) ExpectAnswer(keys Keys, load Load) (expected time.Duration, isKnown bool) {
	known, ok := e.find(keys)
	if !ok || load.Slots <= 0 {
		return 0, false
	}
	if load.IsBlind {
		return seconds(known.measured / known.weight), true
	}
	return seconds(load.queueFactor() * known.measured / known.assumed), true
}

func (e *Estimator) add(keys Keys, assumed, measured float64) {
	now := e.timer.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, key := range []string{keys.Server, keys.Target} {
		known := e.estimates[key]
		if known == nil {
			e.sweep(now)
			known = newEstimate(sampleTimeConstant)
			e.estimates[key] = known
		}
		known.add(now, assumed, measured)
	}
	line := e.lines[keys.Target]
	if line == nil {
		line = newEstimate(lineTimeConstant)
		e.lines[keys.Target] = line
	}
	line.add(now, assumed, measured)
}

// slope returns by how much the measured times of the target grow with the assumed ones.
func (e *Estimator) slope(target string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	line := e.lines[target]
	if line == nil {
		return 1
	}
	line.decay(e.timer.Now())
	return line.slope()
}

// find returns the first of the estimates that has enough samples.
func (e *Estimator) find(keys Keys) (estimate, bool) {
	now := e.timer.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, key := range []string{keys.Server, keys.Target} {
		known := e.estimates[key]
		if known == nil {
			continue
		}
		known.decay(now)
		if known.weight >= minSampleWeight && known.assumed > 0 {
			return *known, true
		}
	}
	return estimate{}, false
}

// sweep drops estimates without recent samples once there are maxEstimates.
func (e *Estimator) sweep(now time.Time) {
	if len(e.estimates) < maxEstimates {
		return
	}
	for _, estimates := range []map[string]*estimate{e.estimates, e.lines} {
		for key, known := range estimates {
			known.decay(now)
			if known.weight < minSampleWeight {
				delete(estimates, key)
			}
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
