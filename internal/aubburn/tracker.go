package aubburn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// maxCounters limits the counters of one instance, one for each objective of each
// flow; events of further ones are not counted.
const maxCounters = 4096

// Targets are the required shares of good events, by objective.
type Targets map[aubapi.Objective]float64

// Flow is the traffic of one workspace on one route or model.
type Flow struct {
	Workspace string
	Route     string
}

// counterID identifies the counter of one objective of one flow.
type counterID struct {
	flow      Flow
	objective aubapi.Objective
}

// Tracker counts the good and bad events of one instance by flow and objective.
// It is safe for concurrent use.
type Tracker struct {
	common   aubcommon.Common
	instance string
	targets  Targets
	started  time.Time

	// mu guards counters; it is a leaf lock.
	mu       sync.Mutex
	counters map[counterID]*counter
}

// NewTracker returns a tracker without events.
func NewTracker(common aubcommon.Common, instance string, targets Targets) *Tracker {
	return &Tracker{
		common:   common.WithPart("burn"),
		instance: instance,
		targets:  targets,
		started:  common.Timer.Now(),
		counters: make(map[counterID]*counter),
	}
}

// Count counts one event.
func (t *Tracker) Count(f Flow, objective aubapi.Objective, good bool) {
	if good {
		t.CountEvents(f, objective, 1, 0)
		return
	}
	t.CountEvents(f, objective, 0, 1)
}

// CountEvents counts several good and bad events.
func (t *Tracker) CountEvents(f Flow, objective aubapi.Objective, good, bad int64) {
	if good+bad == 0 {
		return
	}
	elapsed := t.common.Timer.Now().Sub(t.started)
	t.mu.Lock()
	defer t.mu.Unlock()
	id := counterID{flow: f, objective: objective}
	c, ok := t.counters[id]
	if !ok {
		if len(t.counters) >= maxCounters {
			return
		}
		c = newCounter()
		t.counters[id] = c
	}
	c.add(elapsed, good, bad)
}

// Counts returns the counts of all flows, sorted by workspace, route and objective.
func (t *Tracker) Counts() aubapi.BurnCounts {
	elapsed := t.common.Timer.Now().Sub(t.started)
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := aubapi.BurnCounts{Instance: t.instance, Flows: make([]aubapi.BurnFlow, 0, len(t.counters))}
	for id, c := range t.counters {
		counts.Flows = append(counts.Flows, t.burnFlow(id, c, elapsed))
	}
	sortFlows(counts.Flows)
	return counts
}

func (t *Tracker) burnFlow(id counterID, c *counter, elapsed time.Duration) aubapi.BurnFlow {
	f := aubapi.BurnFlow{
		Workspace: id.flow.Workspace, Route: id.flow.Route,
		Objective: id.objective, Target: t.targets[id.objective],
	}
	for _, window := range Windows {
		good, bad := c.sum(elapsed, window)
		f.Windows = append(f.Windows, aubapi.BurnWindow{Seconds: int64(window / time.Second), Good: good, Bad: bad})
	}
	return f
}

func sortFlows(flows []aubapi.BurnFlow) {
	slices.SortFunc(flows, func(a, b aubapi.BurnFlow) int {
		return cmp.Or(
			cmp.Compare(a.Workspace, b.Workspace),
			cmp.Compare(a.Route, b.Route),
			cmp.Compare(a.Objective, b.Objective),
		)
	})
}
