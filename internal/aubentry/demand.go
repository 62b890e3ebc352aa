package aubentry

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// demandInterval is the time between two updates of the averages.
	demandInterval = time.Second
	// minFlowRate is the arrival rate, in requests per second, below which a flow
	// without waiting callers is dropped.
	minFlowRate = 0.001
)

// flow identifies the requests of one workspace for one model, adapter or service.
type flow struct {
	name      string
	isAdapter bool
	workspace string
	// group is the model or service whose backend servers serve the flow.
	group string
}

// flowState holds the counts of a flow in the current interval, its averages and the
// number of its waiting callers.
type flowState struct {
	// The counts of the interval; missedResponses are those whose first token came
	// after the objective, busyTime is the sum of the durations.
	arrivals        int
	responses       int
	missedResponses int
	busyTime        time.Duration
	// The averages decay with the half-life: arrivals per second, the share of
	// responses that missed the first-token objective, and seconds per response.
	arrivalRate    float64
	missedShare    float64
	serviceSeconds float64
	waiting        int32
}

// DemandTracker tracks the demand of this instance's callers as decaying averages. The
// placement of models uses them.
type DemandTracker struct {
	common              aubcommon.Common
	firstTokenObjective time.Duration
	// decayFactor is the weight that an average keeps after one interval.
	decayFactor float64
	onWait      func()

	// mu guards flows. No other lock is taken while it is held.
	mu    sync.Mutex
	flows map[flow]*flowState
}

// DemandTrackerOpts configures a demand tracker.
type DemandTrackerOpts struct {
	// HalfLife is the half-life of the averages.
	HalfLife time.Duration
	// FirstTokenObjective is the objective for the time to the first token.
	FirstTokenObjective time.Duration
	// OnWait is called when a caller starts to wait for a load; may be nil.
	OnWait func()
}

// NewDemandTracker returns a tracker without flows that updates its averages until ctx
// ends.
func NewDemandTracker(ctx context.Context, common aubcommon.Common, opts DemandTrackerOpts) *DemandTracker {
	d := &DemandTracker{
		common:              common,
		firstTokenObjective: opts.FirstTokenObjective,
		onWait:              opts.OnWait,
		decayFactor:         math.Exp2(-demandInterval.Seconds() / max(opts.HalfLife.Seconds(), 1)),
		flows:               make(map[flow]*flowState),
	}
	ticks := common.Timer.Subscribe(ctx, demandInterval)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticks:
				d.decayFlows()
			}
		}
	}()
	return d
}

// RecordArrival counts the arrival of one request.
func (d *DemandTracker) RecordArrival(f flow) {
	d.updateFlow(f, func(s *flowState) { s.arrivals++ })
}

// RecordResponse counts one complete response with its time to the first token and its
// duration.
func (d *DemandTracker) RecordResponse(f flow, firstToken, duration time.Duration) {
	d.updateFlow(f, func(s *flowState) {
		s.responses++
		s.busyTime += duration
		if firstToken > d.firstTokenObjective {
			s.missedResponses++
		}
	})
}

// BeginWait counts a caller as waiting for a load until the returned function is called.
func (d *DemandTracker) BeginWait(f flow) (done func()) {
	d.updateFlow(f, func(s *flowState) { s.waiting++ })
	if d.onWait != nil {
		d.onWait()
	}
	return func() { d.updateFlow(f, func(s *flowState) { s.waiting-- }) }
}

// ArrivalRates returns the arrivals per second by model and service; those of adapters
// count for their model. The rate of the current interval counts if it is higher than
// the average, so that a burst shows without delay.
func (d *DemandTracker) ArrivalRates() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	rates := make(map[string]float64, len(d.flows))
	for f, s := range d.flows {
		rates[f.group] += max(s.arrivalRate, float64(s.arrivals)/demandInterval.Seconds())
	}
	return rates
}

// Report returns the demand of every flow, ordered by waiting callers and then by
// arrival rate, the highest first.
func (d *DemandTracker) Report() []*aubwire.ModelDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	report := make([]*aubwire.ModelDemand, 0, len(d.flows))
	for f, s := range d.flows {
		report = append(report, &aubwire.ModelDemand{
			Name: f.name, Adapter: f.isAdapter, Workspace: f.workspace, Rate: s.arrivalRate,
			Waiting: s.waiting, Late: s.missedShare, ServiceSeconds: s.serviceSeconds,
		})
	}
	slices.SortFunc(report, func(a, b *aubwire.ModelDemand) int {
		return cmp.Or(
			cmp.Compare(b.GetWaiting(), a.GetWaiting()),
			cmp.Compare(b.GetRate(), a.GetRate()),
			cmp.Compare(a.GetName(), b.GetName()),
			cmp.Compare(a.GetWorkspace(), b.GetWorkspace()),
		)
	})
	return report
}

// updateFlow applies update to the state of a flow, which it creates if necessary.
func (d *DemandTracker) updateFlow(f flow, update func(*flowState)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.flows[f]
	if !ok {
		s = &flowState{}
		d.flows[f] = s
	}
	update(s)
}

// decayFlows updates all averages and drops flows without demand.
func (d *DemandTracker) decayFlows() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for f, s := range d.flows {
		s.decay(d.decayFactor)
		if s.arrivalRate < minFlowRate && s.waiting == 0 {
			delete(d.flows, f)
		}
	}
}

// decay adds the counts of the interval to the averages and resets them.
func (s *flowState) decay(factor float64) {
	s.arrivalRate = s.arrivalRate*factor + float64(s.arrivals)/demandInterval.Seconds()*(1-factor)
	if s.responses > 0 {
		s.missedShare = s.missedShare*factor + float64(s.missedResponses)/float64(s.responses)*(1-factor)
		s.serviceSeconds = s.serviceSeconds*factor + s.busyTime.Seconds()/float64(s.responses)*(1-factor)
	}
	s.arrivals, s.responses, s.missedResponses, s.busyTime = 0, 0, 0, 0
}
