package auborder

import (
	"slices"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubsite"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// reportLag is the largest age of the state in an engine's report.
const reportLag = 500 * time.Millisecond

// modelCopy is one model on an engine.
type modelCopy struct {
	state CopyState
	// adapters holds when each one was last used.
	adapters map[string]time.Time
}

// engineState is what the leader knows of one engine incarnation.
//
// Lock order: mu is taken alone, and held while an order is sent, so that orders
// to one engine never overtake each other.
type engineState struct {
	// startedMs identifies the incarnation.
	startedMs int64

	mu     sync.Mutex
	record *aubwire.BackendRecord
	// known is false until a report gave the sequence, and after an order whose
	// outcome is unknown.
	known    bool
	sequence int64
	models   map[string]*modelCopy
	// operation is the model order in progress, nil for none.
	operation *operation
	// uncertain names models that an unanswered order may still load. They count as
	// held until a later order was accepted.
	uncertain []string
	orderedAt time.Time
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
	// marked is when relays were told to stop sending; the unload follows later.
	marked bool
	// ordered is set once the engine accepted it.
	ordered bool
}

func newEngineState(record *aubwire.BackendRecord) *engineState {
	return &engineState{startedMs: record.GetStartedMs(), record: record, models: make(map[string]*modelCopy), takenSequence: -1}
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

// takeReport takes over a report that is younger than the last order.
func (e *engineState) takeReport(report Report) {
	e.sequence = report.Sequence
	// A busy engine may load a model for an earlier leader, which no list names yet.
	e.known = !report.Busy || e.operation != nil && e.operation.ordered
	e.uncertain = nil
	e.replace(report.Models)
	if e.operation != nil && e.operation.ordered && !report.Busy {
		e.operation = nil
	}
}

// replace takes over the models named; others are gone unless they are loading.
func (e *engineState) replace(models []*aubwire.ModelCopy) {
	named := make(map[string]bool, len(models))
	for _, m := range models {
		named[m.GetName()] = true
		held := e.models[m.GetName()]
		if held == nil {
			held = &modelCopy{state: CopyReady, adapters: make(map[string]time.Time)}
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
	for _, name := range e.uncertain {
		if e.models[name] == nil {
			free -= models[name].Megabytes
		}
	}
	return free
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
		FromStore:     e.operation != nil && e.operation.fromStore,
	}
	for name, held := range e.models {
		v.Models[name] = held.state
	}
	for _, name := range slices.Concat(e.record.GetInMemory(), e.record.GetOnDisk()) {
		v.Kept[name] = true
	}
	return v
}
