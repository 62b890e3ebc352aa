package auborder

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// CopyState is the state of a model on an engine.
type CopyState int

// States of a copy.
const (
	CopyReady CopyState = iota + 1
	CopyLoading
	CopyUnloading
)

// EngineView is one engine in a snapshot.
type EngineView struct {
	ID string
	// FreeMegabytes is what the models held, and those that an unanswered order may
	// load, leave of the accelerator memory.
	FreeMegabytes float64
	Megabytes     float64
	Models        map[string]CopyState
	// Kept names models whose load does not need the weight store.
	Kept map[string]bool
	// Busy engines take no order now.
	Busy bool
	// FromStore is set while a load from the weight store is in progress.
	FromStore bool
	// RoomFor names the model that an unload in progress makes room for.
	RoomFor string
	// Load is the number of requests in flight.
	Load int
}

// ModelView is one model in a snapshot.
type ModelView struct {
	Name      string
	Megabytes float64
	// Work is the arriving work in tokens a second.
	Work float64
	// Requests is the rate of arrivals a second.
	Requests float64
	// Waiting is set while callers wait for a first copy.
	Waiting bool
	// LoadTime is the time of a load from the weight store, KeptLoadTime that from
	// weights that the engine keeps.
	LoadTime     time.Duration
	KeptLoadTime time.Duration
}

// Snapshot is all that the planner sees.
type Snapshot struct {
	Engines []EngineView
	Models  []ModelView
	// StoreLoads is the number of loads from the weight store that may begin now,
	// and StoreAtOnce that of those in progress at its full speed.
	StoreLoads  int
	StoreAtOnce int
	// Orders bounds the loads and unloads in progress, those of Busy engines included.
	Orders int
}

// Move is one planned order for a model.
type Move struct {
	Action Action
	Engine string
	Model  string
	// FromStore is set for loads from the weight store.
	FromStore bool
	// Takes is how long a load is expected to take.
	Takes time.Duration
	// RoomFor names the model that an unload makes room for.
	RoomFor string
}

const (
	// moveGain is the ratio by which the work for each copy of a model must exceed
	// that of the model whose copy makes room.
	moveGain = 1.5
	// minRequests is the rate of arrivals a second from which a model gets a second
	// copy; a few large requests by themselves are no demand.
	minRequests = 0.8
	// idleWork is the arriving work in tokens a second below which a model needs no
	// second copy.
	idleWork = 300.0
	// usableShare is the part of the memory that whole models can fill.
	usableShare = 0.92
	// busyWork is the arriving work in tokens a second from which a model gets
	// busyCopies also where the memory can't hold every model.
	busyWork   = 20000.0
	busyCopies = 3
	// unloadTime is how long an unload takes, its running requests included.
	unloadTime = time.Second
)

// plan is a plan in the making.
type plan struct {
	snapshot Snapshot
	ready    map[string]int
	coming   map[string]int
	wanted   map[string]int
	busy     map[string]bool
	moves    []Move
	// isShort is set once a model in use lacks a copy that could not be loaded yet.
	isShort bool
}

// Plan decides which models to load and unload next. Models in use come first, by
// the work for each copy; the others are loaded into memory that no model in use needs.
func Plan(s Snapshot) []Move {
	p := &plan{
		snapshot: s,
		ready:    make(map[string]int),
		coming:   make(map[string]int),
		busy:     make(map[string]bool),
	}
	room := s.Orders
	for _, e := range s.Engines {
		if e.Busy {
			p.busy[e.ID] = true
			room--
		}
		if e.FromStore {
			p.snapshot.StoreAtOnce--
		}
		if e.RoomFor != "" {
			p.coming[e.RoomFor]++
		}
		for model, state := range e.Models {
			switch state {
			case CopyReady:
				p.ready[model]++
			case CopyLoading:
				p.coming[model]++
			}
		}
	}
	p.wanted = wantedCopies(s)
	for _, m := range p.needs() {
		if len(p.moves) >= room || p.isShort && !m.isInUse() {
			break
		}
		p.place(m)
	}
	return p.moves
}

// isInUse reports whether callers ask for the model.
func (m ModelView) isInUse() bool { return m.Waiting || m.Work >= idleWork }

// wantedCopies shares the memory of all engines among the models: one copy each,
// and the rest to those with the most work for each copy. Where one copy of each
// does not fit, models that are not in use need none.
func wantedCopies(s Snapshot) map[string]int {
	wanted := make(map[string]int, len(s.Models))
	room, all := 0.0, 0.0
	for _, e := range s.Engines {
		room += usableShare * e.Megabytes
	}
	for _, m := range s.Models {
		all += m.Megabytes
	}
	for _, m := range s.Models {
		if m.isInUse() || all <= room {
			wanted[m.Name] = 1
		}
	}
	for _, m := range s.Models {
		room -= float64(wanted[m.Name]) * m.Megabytes
	}
	for {
		best, most := ModelView{}, idleWork
		for _, m := range s.Models {
			perCopy := m.Work / float64(max(wanted[m.Name], 1))
			if perCopy > most && m.Requests >= minRequests && wanted[m.Name] < len(s.Engines) && isWorthRoom(m, room, wanted[m.Name]) {
				best, most = m, perCopy
			}
		}
		if best.Name == "" {
			return wanted
		}
		wanted[best.Name]++
		room -= best.Megabytes
	}
}

// isWorthRoom reports whether a model may have one more copy. Where the memory
// can't hold every model, busy ones still get a second copy: idle ones make room
// and come back when they are asked for.
func isWorthRoom(m ModelView, room float64, copies int) bool {
	return room >= m.Megabytes || copies < busyCopies && m.Work > busyWork
}

// needs lists the models that lack copies, the neediest first.
func (p *plan) needs() []ModelView {
	var needs []ModelView
	for _, m := range p.snapshot.Models {
		if p.ready[m.Name]+p.coming[m.Name] < max(p.wanted[m.Name], 1) {
			needs = append(needs, m)
		}
	}
	slices.SortStableFunc(needs, func(a, b ModelView) int { return cmp.Compare(p.need(b), p.need(a)) })
	return needs
}

// need is the work for each copy that the model has or gets.
func (p *plan) need(m ModelView) float64 {
	copies := p.ready[m.Name] + p.coming[m.Name]
	switch {
	case copies > 0:
		return m.Work / float64(copies)
	case m.Waiting:
		return math.Inf(1)
	}
	// Without callers a first copy takes free memory only.
	return m.Work
}

// place loads the model where it is ready soonest: where there is room, or where
// another model makes room for it.
func (p *plan) place(m ModelView) {
	free, hasRoom := p.roomFor(m)
	mayLoad := hasRoom && p.mayLoad(free, m)
	full, victim, hasVictim := p.victimFor(m)
	isQuicker := hasVictim && full.Kept[m.Name] && (!mayLoad || unloadTime+loadTime(full, m) < loadTime(free, m))
	switch {
	case isQuicker || hasVictim && !hasRoom:
		p.unload(full, victim, m)
	case mayLoad:
		p.load(free, m)
	}
	p.isShort = p.isShort || m.isInUse() && p.ready[m.Name]+p.coming[m.Name] < p.wanted[m.Name]
}

// loadTime is how long the engine takes to load the model.
func loadTime(e EngineView, m ModelView) time.Duration {
	if e.Kept[m.Name] {
		return m.KeptLoadTime
	}
	return m.LoadTime
}

// mayLoad reports whether the weight store has a place for the load, if it needs one.
func (p *plan) mayLoad(e EngineView, m ModelView) bool {
	return e.Kept[m.Name] || p.snapshot.StoreLoads > 0 && p.snapshot.StoreAtOnce > 0
}

func (p *plan) unload(e EngineView, victim string, m ModelView) {
	p.moves = append(p.moves, Move{Action: ActionUnload, Engine: e.ID, Model: victim, RoomFor: m.Name})
	p.busy[e.ID] = true
	p.ready[victim]--
	p.coming[m.Name]++
}

func (p *plan) load(e EngineView, m ModelView) {
	fromStore := !e.Kept[m.Name]
	if fromStore {
		p.snapshot.StoreLoads--
		p.snapshot.StoreAtOnce--
	}
	p.moves = append(p.moves, Move{Action: ActionLoad, Engine: e.ID, Model: m.Name, FromStore: fromStore, Takes: loadTime(e, m)})
	p.busy[e.ID] = true
	p.coming[m.Name]++
}

// roomFor returns the engine to load the model on: one that keeps its weights,
// then the one with the least load.
func (p *plan) roomFor(m ModelView) (EngineView, bool) {
	return p.best(m, func(e EngineView) bool { return e.FreeMegabytes >= m.Megabytes })
}

func (p *plan) best(m ModelView, fits func(EngineView) bool) (EngineView, bool) {
	var found []EngineView
	for _, e := range p.snapshot.Engines {
		if _, holds := e.Models[m.Name]; !holds && !p.busy[e.ID] && fits(e) {
			found = append(found, e)
		}
	}
	if len(found) == 0 {
		return EngineView{}, false
	}
	return slices.MinFunc(found, func(a, b EngineView) int {
		if a.Kept[m.Name] != b.Kept[m.Name] {
			if a.Kept[m.Name] {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Load, b.Load), cmp.Compare(a.ID, b.ID))
	}), true
}

// maySpare reports whether a model can lose a copy: one above what is wanted, or the
// only one of an idle model for one that has none or much work.
func (p *plan) maySpare(model string, work, need float64) bool {
	if p.wanted[model] > 0 && p.ready[model] < 2 {
		return work < idleWork && need > busyWork
	}
	return p.ready[model]+p.coming[model] > p.wanted[model]
}

// spareCost is what the loss of one copy costs, in work for each copy that is left.
func (p *plan) spareCost(model string, work float64) float64 {
	if p.ready[model] < 2 {
		// Surplus copies go before the last one.
		return max(work, idleWork)
	}
	return work / float64(p.ready[model]-1)
}

// victimFor returns an engine and a model on it that makes room for the needy
// one: a copy whose loss costs least.
func (p *plan) victimFor(m ModelView) (EngineView, string, bool) {
	if !m.isInUse() {
		return EngineView{}, "", false
	}
	work := make(map[string]float64, len(p.snapshot.Models))
	for _, other := range p.snapshot.Models {
		work[other.Name] = other.Work
	}
	need := p.need(m)
	victims := make(map[string]string)
	e, ok := p.best(m, func(e EngineView) bool {
		least := math.Inf(1)
		for model, state := range e.Models {
			if state != CopyReady || !p.maySpare(model, work[model], need) {
				continue
			}
			cost := p.spareCost(model, work[model])
			if cost*moveGain < need && (cost < least || cost == least && model < victims[e.ID]) {
				least = cost
				victims[e.ID] = model
			}
		}
		return victims[e.ID] != ""
	})
	return e, victims[e.ID], ok
}
