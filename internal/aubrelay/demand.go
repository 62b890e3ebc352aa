package aubrelay

import (
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// reportRetention is how long a model without new arrivals stays in the load report.
const reportRetention = 2 * time.Second

// DemandCounter counts the arrivals for each model and adapter at this instance.
//
// Lock order: mu is taken alone.
type DemandCounter struct {
	common aubcommon.Common

	mu     sync.Mutex
	counts map[aubregistry.ModelKey]*modelArrivals
}

// modelArrivals is the total of one model or adapter with the time of its last arrival.
type modelArrivals struct {
	count  aubregistry.ModelCount
	lastAt time.Time
}

// NewDemandCounter returns a counter without arrivals.
func NewDemandCounter(common aubcommon.Common) *DemandCounter {
	return &DemandCounter{common: common, counts: make(map[aubregistry.ModelKey]*modelArrivals)}
}

// Add counts one request for the model and its declared tokens.
func (d *DemandCounter) Add(model string, call Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := aubregistry.ModelKey{Model: model, Adapter: call.Adapter}
	stored := d.counts[key]
	if stored == nil {
		stored = &modelArrivals{}
		d.counts[key] = stored
	}
	stored.count.Requests++
	stored.count.Tokens += call.PromptTokens + call.OutputTokens
	stored.lastAt = d.common.Timer.Now()
}

// Report returns the totals of the models and adapters with an arrival within
// reportRetention.
func (d *DemandCounter) Report() []*aubwire.ModelUse {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.common.Timer.Now()
	var uses []*aubwire.ModelUse
	for key, a := range d.counts {
		if now.Sub(a.lastAt) > reportRetention {
			continue
		}
		uses = append(uses, &aubwire.ModelUse{
			Model: key.Model, Adapter: key.Adapter, Requests: a.count.Requests, Tokens: a.count.Tokens,
		})
	}
	return uses
}
