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
	// minFlowRate is the rate, in requests a second, below which a flow is forgotten.
	minFlowRate = 0.001
)

// flow is the demand of one workspace for one model, adapter or service.
type flow struct {
	name      string
	adapter   bool
	workspace string
	// group is the model or service whose backend servers serve the flow.
	group string
}

type flowState struct {
	arrivals        int
	responses       int
	missedResponses int
	busyTime        time.Duration
	// arrivalRate, lateShare and service are averages that decay with the half-life.
	arrivalRate    float64
	missedShare    float64
	serviceSeconds float64
	waiting        int32
}

// Demand averages what this instance's callers ask for, for the placement.
type Demand struct {
	common              aubcommon.Common
	firstTokenObjective time.Duration
	decayFactor         float64
	onWait              func()

	// mu guards flows; it is a leaf lock.
	mu    sync.Mutex
	flows map[flow]*flowState
}

// DemandOpts configures the demand averages.
type DemandOpts struct {
	// HalfLife of the averages.
	HalfLife time.Duration
	// FirstToken is the objective that tells a late answer.
	FirstToken time.Duration
	// OnWait is called when a caller begins to wait for a load; nil for nothing.
	OnWait func()
}

// NewDemand returns empty averages; they are updated until ctx ends.
func NewDemand(ctx context.Context, common aubcommon.Common, opts DemandOpts) *Demand {
	d := &Demand{
		common:              common,
		firstTokenObjective: opts.FirstToken,
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

// Arrive counts one request.
func (d *Demand) Arrive(f flow) {
	d.updateFlow(f, func(s *flowState) { s.arrivals++ })
}

// End counts one answer.
func (d *Demand) End(f flow, firstToken, duration time.Duration) {
	d.updateFlow(f, func(s *flowState) {
		s.responses++
		s.busyTime += duration
		if firstToken > d.firstTokenObjective {
			s.missedResponses++
		}
	})
}

// Wait counts a caller that waits for a load until the returned function is called.
func (d *Demand) Wait(f flow) (done func()) {
	d.updateFlow(f, func(s *flowState) { s.waiting++ })
	if d.onWait != nil {
		d.onWait()
	}
	return func() { d.updateFlow(f, func(s *flowState) { s.waiting-- }) }
}

// Rates returns the arrivals a second of each model and service; those of
// adapters count for their model. A burst counts from its first second on, before
// the averages follow.
func (d *Demand) Rates() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	rates := make(map[string]float64, len(d.flows))
	for f, s := range d.flows {
		rates[f.group] += max(s.arrivalRate, float64(s.arrivals)/demandInterval.Seconds())
	}
	return rates
}

// Report returns the demand of every flow, the greatest first.
func (d *Demand) Report() []*aubwire.ModelDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	report := make([]*aubwire.ModelDemand, 0, len(d.flows))
	for f, s := range d.flows {
		report = append(report, &aubwire.ModelDemand{
			Name: f.name, Adapter: f.adapter, Workspace: f.workspace, Rate: s.arrivalRate,
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

func (d *Demand) updateFlow(f flow, update func(*flowState)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.flows[f]
	if !ok {
		s = &flowState{}
		d.flows[f] = s
	}
	update(s)
}

func (d *Demand) decayFlows() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for f, s := range d.flows {
		s.decay(d.decayFactor)
		if s.arrivalRate < minFlowRate && s.waiting == 0 {
			delete(d.flows, f)
		}
	}
}

// decay moves the averages by one interval and starts the next.
func (s *flowState) decay(factor float64) {
	s.arrivalRate = s.arrivalRate*factor + float64(s.arrivals)/demandInterval.Seconds()*(1-factor)
	if s.responses > 0 {
		s.missedShare = s.missedShare*factor + float64(s.missedResponses)/float64(s.responses)*(1-factor)
		s.serviceSeconds = s.serviceSeconds*factor + s.busyTime.Seconds()/float64(s.responses)*(1-factor)
	}
	s.arrivals, s.responses, s.missedResponses, s.busyTime = 0, 0, 0, 0
}
