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
	// minAssumed is the shortest assumed time in ratios: of shorter ones the measured time is
	// a multiple without any queue.
	minAssumed = 20 * time.Millisecond
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
}

// queueFactor returns by how much a request on a server with slots takes longer because of
// those ahead of it.
func (l Load) queueFactor() float64 {
	return 1 + float64(max(l.InFlight-l.Slots+1, 0))/float64(max(l.Slots, 1))
}

// estimate compares measured times with assumed ones. All sums lose their weight with
// sampleTimeConstant.
type estimate struct {
	weight   float64
	assumed  float64
	measured float64
	// updatedAt is the time to which the sums have been decayed.
	updatedAt time.Time
}

func (e *estimate) decay(now time.Time) {
	if e.weight > 0 {
		factor := math.Exp(-now.Sub(e.updatedAt).Seconds() / sampleTimeConstant.Seconds())
		e.weight, e.assumed, e.measured = e.weight*factor, e.assumed*factor, e.measured*factor
	}
	e.updatedAt = now
}

func (e *estimate) add(now time.Time, assumed, measured float64) {
	e.decay(now)
	e.weight++
	e.assumed += assumed
	e.measured += measured
}

// Estimator estimates the time to an answer from what this relay measured. Two estimates are
// kept, one for each backend server and one for all that serve the same model or service; the
// second one is used where the first has too few samples. It is safe for concurrent use.
type Estimator struct {
	timer aubtimer.Service

	mu        sync.Mutex
	estimates map[string]*estimate
}

// NewEstimator returns an estimator without samples.
func NewEstimator(timer aubtimer.Service) *Estimator {
	return &Estimator{timer: timer, estimates: make(map[string]*estimate)}
}

// Keys name the estimates of one request.
type Keys struct {
	// Server names the incarnation of the backend server, Target the model or service.
	Server string
	Target string
}

// ObserveFirstEvent records the measured time to the first event of a stream.
func (e *Estimator) ObserveFirstEvent(keys Keys, load Load, measured time.Duration) {
	e.add(keys, max(load.Assumed, minAssumed).Seconds(), measured.Seconds())
}

// ObserveAnswer records the measured time to the complete answer of a plain call.
func (e *Estimator) ObserveAnswer(keys Keys, load Load, measured time.Duration) {
	if load.Slots > 0 {
		e.add(keys, load.queueFactor(), measured.Seconds())
	}
}

// ExpectFirstEvent returns the expected time to the first event of a stream. The measured
// times are compared with the assumed ones both as a ratio and as a difference; the shorter
// result counts, because a ratio measured without a queue overstates a long one.
func (e *Estimator) ExpectFirstEvent(keys Keys, load Load) (expected time.Duration, isKnown bool) {
	known, ok := e.find(keys)
	if !ok {
		return 0, false
	}
	assumed := max(load.Assumed, minAssumed).Seconds()
	byRatio := assumed * known.measured / known.assumed
	byDifference := assumed + (known.measured-known.assumed)/known.weight
	return seconds(max(min(byRatio, byDifference), 0)), true
}

// ExpectAnswer returns the expected time to the complete answer of a plain call.
func (e *Estimator) ExpectAnswer(keys Keys, load Load) (expected time.Duration, isKnown bool) {
	known, ok := e.find(keys)
	if !ok || load.Slots <= 0 {
		return 0, false
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
			known = &estimate{}
			e.estimates[key] = known
		}
		known.add(now, assumed, measured)
	}
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
	for key, known := range e.estimates {
		known.decay(now)
		if known.weight < minSampleWeight {
			delete(e.estimates, key)
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
