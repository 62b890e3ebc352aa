package auborder

import (
	"slices"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubsite"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// reportLag is the largest age of the state in an engine's report.
	reportLag = 500 * time.Millisecond
	// staleLimit is the time since an order after which every report shows its effect.
	staleLimit = 3 * reportLag
	// pollInterval is the time between two reports of an engine that carries out an
	// order, and pollLead how long before the expected end of a load they begin.
	pollInterval = 150 * time.Millisecond
	pollLead     = 300 * time.Millisecond
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
	// known is false until a report gave the sequence, and after an order whose
	// outcome is unknown.
	known    bool
	sequence int64
	models   map[string]*modelCopy
	// operation is the model order in progress, nil for none.
	operation *operation
	// unanswered is the model order whose outcome is unknown, nil for none. The engine
	// may still carry it out until it has accepted another one.
	unanswered *operation
	orderedAt  time.Time
	// isAttended is set while an order or a report is under way.
	isAttended bool
	// takenSequence is the record's sequence that was taken over last.
	takenSequence int64
}

// operation is a load or unload in progress.
type operation struct {
	action Action
	model  string
	at     time.Time
	// takes is how long a load is expected to take.
	takes time.Duration
	// fromStore is set for loads from the weight store.
	fromStore bool
	// roomFor names the model that an unload makes room for.
	roomFor string
	// ordered is set once the engine accepted it, polledAt when it was last asked
	// whether it is done.
	ordered  bool
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
	return &engineState{startedMs: record.GetStartedMs(), record: record, models: make(map[string]*modelCopy), takenSequence: -1}
}

// nextStep tells what the engine needs now; the caller holds mu.
func (e *engineState) nextStep(now time.Time) step {
	op := e.operation
	switch {
	case e.isAttended:
		return stepNone
	case op == nil && !e.known && now.Sub(e.orderedAt) >= reportLag:
		return stepReport
	case op == nil:
		return stepNone
	case !op.ordered && (op.action == ActionLoad || now.Sub(op.at) >= markTime):
		return stepOrder
	case op.ordered && now.Sub(op.polledAt) >= pollInterval && now.Sub(e.orderedAt) >= op.takes-pollLead:
		return stepReport
	}
	return stepNone
}

// takeRecord takes over a registration. It may be seconds old and so decides
// nothing: one that names other models or adapters asks for a report.
func (e *engineState) takeRecord(now time.Time, record *aubwire.BackendRecord) {
	e.record = record
	if record.GetSequence() <= e.takenSequence {
		return
	}
	e.takenSequence = record.GetSequence()
	if e.operation == nil && now.Sub(e.orderedAt) > registrationAge && e.differs(record.GetModels()) {
		e.known = false
	}
}

// differs reports whether the engine is believed to hold other models or adapters.
func (e *engineState) differs(models []*aubwire.ModelCopy) bool {
	if len(models) != len(e.models) {
		return true
	}
	for _, m := range models {
		held := e.models[m.GetName()]
		if held == nil || len(held.adapters) != len(m.GetAdapters()) {
			return true
		}
		for _, adapter := range m.GetAdapters() {
			if _, ok := held.adapters[adapter]; !ok {
				return true
			}
		}
	}
	return false
}

// registrationAge is the largest usual age of a registration.
const registrationAge = 3 * time.Second

// takeReport takes over a report. One that lacks the last order accepted shows the
// state before it and is passed over, unless it came too late for that.
func (e *engineState) takeReport(now time.Time, report Report) {
	if e.known && report.Sequence < e.sequence && now.Sub(e.orderedAt) < staleLimit {
		return
	}
	if op := e.unanswered; op != nil && e.operation == nil && report.Busy && report.Sequence == e.sequence+1 {
		// The engine carries out the order that it did not answer.
		op.ordered = true
		e.operation = op
		if op.action == ActionLoad {
			e.models[op.model] = newModelCopy(CopyLoading)
		}
	}
	e.unanswered = nil
	e.sequence = report.Sequence
	// A busy engine may load a model for an earlier leader, which no list names yet.
	e.known = !report.Busy || e.operation != nil && e.operation.ordered
	e.replace(report.Models)
	if e.operation != nil && e.operation.ordered && !report.Busy {
		e.operation = nil
	}
}

func newModelCopy(state CopyState) *modelCopy {
	return &modelCopy{state: state, adapters: make(map[string]time.Time)}
}

// replace takes over the models named; others are gone unless they are loading.
func (e *engineState) replace(models []*aubwire.ModelCopy) {
	named := make(map[string]bool, len(models))
	for _, m := range models {
		named[m.GetName()] = true
		held := e.models[m.GetName()]
		if held == nil {
			held = newModelCopy(CopyReady)
			e.models[m.GetName()] = held
		}
		if held.state == CopyLoading {
			held.state = CopyReady
		}
		for _, adapter := range m.GetAdapters() {
			if _, ok := held.adapters[adapter]; !ok {
				held.adapters[adapter] = time.Time{}
			}
		}
		for adapter := range held.adapters {
			if !slices.Contains(m.GetAdapters(), adapter) {
				delete(held.adapters, adapter)
			}
		}
	}
	for name, held := range e.models {
		if !named[name] && held.state != CopyLoading {
			delete(e.models, name)
		}
	}
}

// freeMegabytes is the memory that nothing holds or may hold.
func (e *engineState) freeMegabytes(engine *aubsite.Engine, models map[string]aubsite.Model) float64 {
	free := engine.Megabytes
	for name, held := range e.models {
		free -= models[name].Megabytes + float64(len(held.adapters))*models[name].AdapterMegabytes
	}
	if name := e.unansweredLoad(); name != "" {
		free -= models[name].Megabytes
	}
	return free
}

// unansweredLoad names the model that an unanswered order may load beside those held.
func (e *engineState) unansweredLoad() string {
	if e.unanswered == nil || e.unanswered.action != ActionLoad || e.models[e.unanswered.model] != nil {
		return ""
	}
	return e.unanswered.model
}

// adapterCount is the number of adapter places taken.
func (e *engineState) adapterCount() int {
	n := 0
	for _, held := range e.models {
		n += len(held.adapters)
	}
	return n
}

func (e *engineState) view(engine *aubsite.Engine, models map[string]aubsite.Model, load int) EngineView {
	v := EngineView{
		ID: e.record.GetId(), Megabytes: engine.Megabytes, Load: load,
		FreeMegabytes: e.freeMegabytes(engine, models),
		Models:        make(map[string]CopyState, len(e.models)),
		Kept:          make(map[string]bool),
		Busy:          e.operation != nil || !e.known,
	}
	if e.operation != nil {
		v.FromStore, v.RoomFor = e.operation.fromStore, e.operation.roomFor
	}
	for name, held := range e.models {
		v.Models[name] = held.state
	}
	if name := e.unansweredLoad(); name != "" {
		v.Models[name] = CopyLoading
	}
	for _, name := range slices.Concat(e.record.GetInMemory(), e.record.GetOnDisk()) {
		v.Kept[name] = true
	}
	return v
}
