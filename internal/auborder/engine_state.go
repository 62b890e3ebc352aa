package auborder

import (
	"slices"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubsite"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// maxReportLag is the maximum age of the state in an engine's report.
	maxReportLag = 500 * time.Millisecond
	// orderVisibleAfter is the time after an order from which every report shows its
	// effect.
	orderVisibleAfter = 3 * maxReportLag
	// pollInterval is the time between two reports of an engine that executes an order;
	// polling starts pollLeadTime before the expected end of a load.
	pollInterval = 150 * time.Millisecond
	pollLeadTime = 300 * time.Millisecond
	// minReportRetry is the time from a failed report to the next one. It doubles with each failure
	// up to maxReportDoubling times.
	minReportRetry    = 250 * time.Millisecond
	maxReportDoubling = 3
)

// modelCopy is one model on an engine.
type modelCopy struct {
	state CopyState
	// adapters holds when each adapter was loaded, the zero time if only a report
	// showed it.
	adapters map[string]time.Time
}

// engineState is the leader's view of one engine incarnation.
//
// Lock order: orderMu, then mu, then the director's mu. orderMu is held during an order
// or a report, so that orders to one engine never overtake each other; mu is never held
// across a call.
type engineState struct {
	// startedMs identifies the incarnation.
	startedMs int64

	orderMu sync.Mutex

	// mu guards the fields below.
	mu     sync.Mutex
	record *aubwire.BackendRecord
	// stateKnown is false until a report gave the sequence, and after an order or
	// record that puts the state in doubt.
	stateKnown bool
	sequence   int64
	models     map[string]*modelCopy
	// operation is the model order in progress, nil for none.
	operation *operation
	// uncertainOperation is the model order whose outcome is unknown, nil for none. The
	// engine may still execute it until it has accepted another one.
	uncertainOperation *operation
	lastOrderAt        time.Time
	// pendingAdapters is the number of adapters that are being ordered.
	pendingAdapters int
	// reportFailures is the number of reports that failed since the last registration or report.
	// The next one is not read before reportDueAt.
	reportFailures int
	reportDueAt    time.Time
	// stepRunning is set while an order or a report is in progress.
	stepRunning bool
	// recordSequence is the sequence of the last registration record applied.
	recordSequence int64
}

// operation is a load or unload in progress.
type operation struct {
	action    Action
	model     string
	startedAt time.Time
	// expectedDuration is how long a load is expected to take.
	expectedDuration time.Duration
	// fromStore is set for loads from the weight store.
	fromStore bool
	// freesMemoryFor names the model that an unload frees memory for.
	freesMemoryFor string
	// notice is the time from the announcement of an unload to its order.
	notice time.Duration
	// accepted is set once the engine accepted the order; polledAt is when a report of
	// the engine was last requested.
	accepted bool
	polledAt time.Time
}

// step is the call that an engine needs next.
type step int

const (
	stepNone step = iota
	stepOrder
	stepReport
)

func newEngineState(record *aubwire.BackendRecord) *engineState {
	return &engineState{startedMs: record.GetStartedMs(), record: record, models: make(map[string]*modelCopy), recordSequence: -1}
}

// id returns the id of the engine.
func (e *engineState) id() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record.GetId()
}

// nextStep returns the step that is due now; the caller holds mu.
func (e *engineState) nextStep(now time.Time) step {
	op := e.operation
	switch {
	case e.stepRunning:
		return stepNone
	case op == nil && !e.stateKnown && now.Sub(e.lastOrderAt) >= maxReportLag && !now.Before(e.reportDueAt):
		return stepReport
	case op == nil:
		return stepNone
	case !op.accepted && (op.action == ActionLoad || now.Sub(op.startedAt) >= op.notice):
		return stepOrder
	case op.accepted && now.Sub(op.polledAt) >= pollInterval && now.Sub(e.lastOrderAt) >= op.expectedDuration-pollLeadTime:
		return stepReport
	}
	return stepNone
}

// applyRecord stores a registration record. It may be seconds old, so it changes no
// models: a record that names other models or adapters only causes a report to be read.
func (e *engineState) applyRecord(now time.Time, record *aubwire.BackendRecord) {
	e.record = record
	if record.GetSequence() <= e.recordSequence {
		return
	}
	e.recordSequence = record.GetSequence()
	e.reportFailures, e.reportDueAt = 0, time.Time{}
	if e.operation == nil && now.Sub(e.lastOrderAt) > maxRegistrationAge && e.differsFrom(record.GetModels()) {
		e.stateKnown = false
	}
}

// differsFrom reports whether the observed models or adapters differ from the given
// ones.
func (e *engineState) differsFrom(models []*aubwire.ModelCopy) bool {
	if len(models) != len(e.models) {
		return true
	}
	for _, m := range models {
		resident := e.models[m.GetName()]
		if resident == nil || len(resident.adapters) != len(m.GetAdapters()) {
			return true
		}
		for _, adapter := range m.GetAdapters() {
			if _, ok := resident.adapters[adapter]; !ok {
				return true
			}
		}
	}
	return false
}

// maxRegistrationAge is the usual maximum age of a registration record.
const maxRegistrationAge = 3 * time.Second

// delayReport delays the next report after one that failed; the caller holds mu.
func (e *engineState) delayReport(now time.Time) {
	e.reportDueAt = now.Add(minReportRetry << min(e.reportFailures, maxReportDoubling))
	e.reportFailures++
}

func (e *engineState) addPendingAdapters(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pendingAdapters += n
}

// applyReport updates the observed state from a report. A report that lacks the last
// accepted order shows the state before it and is ignored, unless orderVisibleAfter has
// passed.
func (e *engineState) applyReport(now time.Time, report Report) {
	if e.stateKnown && report.Sequence < e.sequence && now.Sub(e.lastOrderAt) < orderVisibleAfter {
		return
	}
	if op := e.uncertainOperation; op != nil && e.operation == nil && report.Busy && report.Sequence == e.sequence+1 {
		// The engine executes the order that it did not respond to.
		op.accepted = true
		e.operation = op
		if op.action == ActionLoad {
			e.models[op.model] = newModelCopy(CopyLoading)
		}
	}
	e.reportFailures, e.reportDueAt = 0, time.Time{}
	e.uncertainOperation = nil
	e.sequence = report.Sequence
	// A busy engine may be loading a model for an earlier leader, which no report names
	// yet.
	e.stateKnown = !report.Busy || e.operation != nil && e.operation.accepted
	e.replaceModels(report.Models)
	if e.operation != nil && e.operation.accepted && !report.Busy {
		e.operation = nil
	}
}

func newModelCopy(state CopyState) *modelCopy {
	return &modelCopy{state: state, adapters: make(map[string]time.Time)}
}

// replaceModels replaces the observed models by the given ones; others are dropped
// unless they are loading.
func (e *engineState) replaceModels(models []*aubwire.ModelCopy) {
	named := make(map[string]bool, len(models))
	for _, m := range models {
		named[m.GetName()] = true
		resident := e.models[m.GetName()]
		if resident == nil {
			resident = newModelCopy(CopyReady)
			e.models[m.GetName()] = resident
		}
		if resident.state == CopyLoading {
			resident.state = CopyReady
		}
		for _, adapter := range m.GetAdapters() {
			if _, ok := resident.adapters[adapter]; !ok {
				resident.adapters[adapter] = time.Time{}
			}
		}
		for adapter := range resident.adapters {
			if !slices.Contains(m.GetAdapters(), adapter) {
				delete(resident.adapters, adapter)
			}
		}
	}
	for name, resident := range e.models {
		if !named[name] && resident.state != CopyLoading {
			delete(e.models, name)
		}
	}
}

// freeMegabytes returns the memory that nothing takes or may take; none if a model's size is not known.
func (e *engineState) freeMegabytes(engine *aubsite.Engine, sizes map[string]modelSize) float64 {
	free := engine.Megabytes
	for name, resident := range e.models {
		size, isKnown := sizes[name]
		if !isKnown {
			return 0
		}
		free -= size.megabytes + float64(len(resident.adapters))*size.adapterMegabytes
	}
	if name := e.uncertainLoad(); name != "" {
		size, isKnown := sizes[name]
		if !isKnown {
			return 0
		}
		free -= size.megabytes
	}
	return free
}

// uncertainLoad returns the model that an order with unknown outcome may load beside
// the resident ones, empty for none.
func (e *engineState) uncertainLoad() string {
	if e.uncertainOperation == nil || e.uncertainOperation.action != ActionLoad || e.models[e.uncertainOperation.model] != nil {
		return ""
	}
	return e.uncertainOperation.model
}

// adapterCount returns the number of adapter slots in use.
func (e *engineState) adapterCount() int {
	n := 0
	for _, resident := range e.models {
		n += len(resident.adapters)
	}
	return n
}

// view returns the engine as the planner sees it; the caller holds mu.
func (e *engineState) view(engine *aubsite.Engine, sizes map[string]modelSize, load int) EngineView {
	v := EngineView{
		ID: e.record.GetId(), Megabytes: engine.Megabytes, Load: load,
		FreeMegabytes: e.freeMegabytes(engine, sizes),
		Models:        make(map[string]CopyState, len(e.models)),
		CachedWeights: make(map[string]bool),
		Busy:          e.operation != nil || !e.stateKnown,
	}
	if e.operation != nil {
		v.FromStore, v.FreesMemoryFor = e.operation.fromStore, e.operation.freesMemoryFor
	}
	for name, resident := range e.models {
		v.Models[name] = resident.state
	}
	if name := e.uncertainLoad(); name != "" {
		v.Models[name] = CopyLoading
	}
	for _, name := range slices.Concat(e.record.GetInMemory(), e.record.GetOnDisk()) {
		v.CachedWeights[name] = true
	}
	return v
}
