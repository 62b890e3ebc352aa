package aubload

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubcommon"
)

const (
	// drainTimeout limits the wait for the last responses after the end of a block.
	drainTimeout = 60 * time.Second
	// maxIdleConnsPerHost is the number of idle connections kept for each address.
	maxIdleConnsPerHost = 512
)

// Runner sends the traces of a plan to its targets and collects the samples.
type Runner struct {
	common aubcommon.Common
	plan   Plan
	client client

	// mu guards samples; it is a leaf lock.
	mu      sync.Mutex
	samples []Sample
}

// NewRunner returns a runner of one plan.
func NewRunner(common aubcommon.Common, plan Plan) *Runner {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true}
	return &Runner{
		common: common.WithPart("load"),
		plan:   plan,
		client: client{timer: common.Timer, httpClient: &http.Client{Transport: transport}},
	}
}

// Run sends every trace and returns the report. The targets receive the same
// arrivals in round-robin order, block by block, so that a drift in the speed of
// the machine affects all of them alike.
func (r *Runner) Run(ctx context.Context) (Report, error) {
	tracker := newCostTracker(r.common, r.plan.Targets)
	for _, seed := range r.plan.Seeds {
		trace := NewTrace(r.plan, seed)
		for from := time.Duration(0); from < r.plan.Duration; from += r.plan.Block {
			for target := range r.plan.Targets {
				if err := ctx.Err(); err != nil {
					return Report{}, err
				}
				tracker.beginBlock(ctx, target)
				r.playBlock(ctx, target, arrivalsBetween(trace, from, from+r.plan.Block), from)
				tracker.endBlock(ctx, target)
			}
		}
	}
	return NewReport(r.plan, r.samples, tracker.totals), nil
}

// playBlock sends the requests of one block to one target at their planned times
// and waits for the responses.
func (r *Runner) playBlock(ctx context.Context, target int, block []Arrival, from time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, r.plan.Block+drainTimeout)
	defer cancel()
	start := r.common.Timer.Now()
	var wg sync.WaitGroup
	for _, a := range block {
		due := start.Add(a.At - from)
		if !r.sleepUntil(ctx, due) {
			break
		}
		wg.Go(func() {
			s := r.client.send(ctx, pickURL(r.plan.Targets[target], a.AddressDraw), r.plan.Workspaces[a.Workspace], a, due)
			s.Target = target
			r.addSample(s)
		})
	}
	wg.Wait()
}

// sleepUntil waits until due and returns false if ctx ends first.
func (r *Runner) sleepUntil(ctx context.Context, due time.Time) bool {
	wait := due.Sub(r.common.Timer.Now())
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-r.common.Timer.After(ctx, wait):
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Runner) addSample(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, s)
}

// arrivalsBetween returns the arrivals of a trace with from <= At < to.
func arrivalsBetween(trace []Arrival, from, to time.Duration) []Arrival {
	var block []Arrival
	for _, a := range trace {
		if a.At >= from && a.At < to {
			block = append(block, a)
		}
	}
	return block
}

// pickURL selects a URL of the target by a uniform draw from [0, 1).
func pickURL(t Target, draw float64) string {
	if draw < t.Skew {
		return t.URLs[0]
	}
	evenDraw := (draw - t.Skew) / max(1-t.Skew, 1e-9)
	return t.URLs[min(int(evenDraw*float64(len(t.URLs))), len(t.URLs)-1)]
}
