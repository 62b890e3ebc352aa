package auborder

import (
	"slices"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubsite"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// maxReportLag is the largest age of the state in an engine's report.
	maxReportLag = 500 * time.Millisecond
	// orderVisibleAfter is the time since an order after which every report shows its effect.
	orderVisibleAfter = 3 * maxReportLag
	// pollInterval is the time between two reports of an engine that carries out an
	// order, and pollLead how long before the expected end of a load they begin.
	pollInterval = 150 * time.Millisecond
	pollLeadTime = 300 * time.Millisecond
)

// modelCopy is one model on an engine.
type modelCopy struct {
	state CopyState
	// adapters holds when each one was last used.
	adapters map[string]time.Time
}

// engineState is what the leader knows of one engine incarnation.
//
// Lock order: orders, then mu, then the director's mu. orders is held while an order
// or a report is under way, so that orders to one engine never overtake each other;
// mu is never held across a call.
type engineState struct {
	// startedMs identifies the incarnation.
	startedMs int64

	orders sync.Mutex

	mu     sync.Mutex
	record *aubwire.BackendRecord
	// stateKnown is false until a report gave the sequence, and after an order whose
	// outcome is unknown.
	stateKnown bool
	sequence   int64
	models     map[string]*modelCopy
	// operation is the model order in progress, nil for none.
	operation *operation
	// uncertainOperation is the model order whose outcome is unknown, nil for none. The engine
	// may still carry it out until it has accepted another one.
	uncertainOperation *operation
	lastOrderAt        time.Time
	// stepRunning is set while an order or a report is under way.
	stepRunning bool
	// recordSequence is the record's sequence that was taken over last.
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
	// freesMemoryFor names the model that an unload makes room for.
	freesMemoryFor string
	// accepted is set once the engine accepted it, polledAt when it was last asked
	// whether it is done.
	accepted bool
	polledAt time.Time
}

// step is what an engine needs next.
type step int

const (
	stepNone step = iota
	stepOrder
	stepReport
)

func newEngineState(record *aubwire.BackendRecord) *engineState {
	return &engineState{startedMs: record.GetStartedMs(), record: record, models: make(map[string]*modelCopy), recordSequence: -1}
}

// nextStep tells what the engine needs now; the caller holds mu.
func (e *engineState) nextStep(now time.Time) step {
	op := e.operation
	switch {
	case e.stepRunning:
		return stepNone
	case op == nil && !e.stateKnown && now.Sub(e.lastOrderAt) >= maxReportLag:
		return stepReport
	case op == nil:
		return stepNone
	case !op.accepted && (op.action == ActionLoad || now.Sub(op.startedAt) >= unloadNoticeTime):
		return stepOrder
	case op.accepted && now.Sub(op.polledAt) >= pollInterval && now.Sub(e.lastOrderAt) >= op.expectedDuration-pollLeadTime:
		return stepReport
	}
	return stepNone
}

// applyRecord takes over a registration. It may be seconds old and so decides
// nothing: one that names other models or adapters asks for a report.
func (e *engineState) applyRecord(now time.Time, record *aubwire.BackendRecord) {
	e.record = record
	if record.GetSequence() <= e.recordSequence {
		return
	}
	e.recordSequence = record.GetSequence()
	if e.operation == nil && now.Sub(e.lastOrderAt) > maxRegistrationAge && e.differsFrom(record.GetModels()) {
		e.stateKnown = false
	}
}

// differsFrom reports whether the engine is believed to hold other models or adapters.
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

// maxRegistrationAge is the largest usual age of a registration.
const maxRegistrationAge = 3 * time.Second

// applyReport takes over a report. One that lacks the last order accepted shows the
// state before it and is passed over, unless it came too late for that.
func (e *engineState) applyReport(now time.Time, report Report) {
	if e.stateKnown && report.Sequence < e.sequence && now.Sub(e.lastOrderAt) < orderVisibleAfter {
		return
	}
	if op := e.uncertainOperation; op != nil && e.operation == nil && report.Busy && report.Sequence == e.sequence+1 {
		// The engine carries out the order that it did not answer.
		op.accepted = true
		e.operation = op
		if op.action == ActionLoad {
			e.models[op.model] = newModelCopy(CopyLoading)
		}
	}
	e.uncertainOperation = nil
	e.sequence = report.Sequence
	// A busy engine may load a model for an earlier leader, which no list names yet.
	e.stateKnown = !report.Busy || e.operation != nil && e.operation.accepted
	e.replaceModels(report.Models)
	if e.operation != nil && e.operation.accepted && !report.Busy {
		e.operation = nil
	}
}

func newModelCopy(state CopyState) *modelCopy {
	return &modelCopy{state: state, adapters: make(map[string]time.Time)}
}

// replaceModels takes over the models named; others are gone unless they are loading.
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

// freeMegabytes is the memory that nothing holds or may hold.
func (e *engineState) freeMegabytes(engine *aubsite.Engine, models map[string]aubsite.Model) float64 {
	free := engine.Megabytes
	for name, resident := range e.models {
		free -= models[name].Megabytes + float64(len(resident.adapters))*models[name].AdapterMegabytes
	}
	if name := e.uncertainLoad(); name != "" {
		free -= models[name].Megabytes
	}
	return free
}

// uncertainLoad names the model that an unanswered order may load beside those held.
func (e *engineState) uncertainLoad() string {
	if e.uncertainOperation == nil || e.uncertainOperation.action != ActionLoad || e.models[e.uncertainOperation.model] != nil {
		return ""
	}
	return e.uncertainOperation.model
}

// adapterCount is the number of adapter places taken.
func (e *engineState) adapterCount() int {
	n := 0
	for _, resident := range e.models {
		n += len(resident.adapters)
	}
	return n
}

func (e *engineState) view(engine *aubsite.Engine, models map[string]aubsite.Model, load int) EngineView {
	v := EngineView{
		ID: e.record.GetId(), Megabytes: engine.Megabytes, Load: load,
		FreeMegabytes: e.freeMegabytes(engine, models),
		Models:        make(map[string]CopyState, len(e.models)),
		Kept:          make(map[string]bool),
		Busy:          e.operation != nil || !e.stateKnown,
	}
	if e.operation != nil {
		v.FromStore, v.RoomFor = e.operation.fromStore, e.operation.freesMemoryFor
	}
	for name, resident := range e.models {
		v.Models[name] = resident.state
	}
	if name := e.uncertainLoad(); name != "" {
		v.Models[name] = CopyLoading
	}
	for _, name := range slices.Concat(e.record.GetInMemory(), e.record.GetOnDisk()) {
		v.Kept[name] = true
	}
	return v
}
