package auborder

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/auburndale/auburndale/internal/auboption"
	"github.com/auburndale/auburndale/internal/aubsite"
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
	// FreeMegabytes is the accelerator memory left by resident models and by those that
	// an order with unknown outcome may load.
	FreeMegabytes float64
	Megabytes     float64
	Models        map[string]CopyState
	// CachedWeights names the models whose weights the engine holds in memory or on
	// disk, so that a load does not need the weight store.
	CachedWeights map[string]bool
	// Busy is set while the engine has an operation in progress or an unknown state; it
	// gets no order.
	Busy bool
	// FromStore is set while a load from the weight store is in progress.
	FromStore bool
	// FreesMemoryFor names the model that an unload in progress frees memory for.
	FreesMemoryFor string
	// Drained is set while the engine's zone is drained: its copies count for nothing, and it
	// gets no order.
	Drained bool
	// Load is the number of requests in flight.
	Load int
	// RateLimit is the number of requests per second that the engine takes; none if it
	// states no limit.
	RateLimit auboption.Option[float64]
	// LimitedFor is the time after which the rate limit ends, as that of a cold engine; 0 if it
	// is not known.
	LimitedFor time.Duration
	// Region of the engine; empty if its zone has none.
	Region string
}

// ModelView is one model in a snapshot.
type ModelView struct {
	Name      string
	Megabytes float64
	// TokenRate is the number of arriving tokens per second.
	TokenRate float64
	// RequestRate is the number of arriving requests per second.
	RequestRate float64
	// Waiting is set while callers wait for a first copy.
	Waiting bool
	// WaitingRegions are the sets of regions to which waiting callers are limited.
	WaitingRegions [][]string
	// LoadTime is the duration of a load from the weight store, CachedLoadTime that of
	// a load of weights that the engine caches.
	LoadTime       time.Duration
	CachedLoadTime time.Duration
	// regions are those that lack a copy for waiting callers; the next copy is loaded there.
	regions []string
}

// Snapshot is the input of the planner.
type Snapshot struct {
	Engines []EngineView
	Models  []ModelView
	// StoreLoads is the number of loads from the weight store that may start now, and
	// StoreConcurrency the number that may be in progress at its full speed.
	StoreLoads       int
	StoreConcurrency int
	// MaxOperations bounds the loads and unloads in progress, including those of busy
	// engines.
	MaxOperations int
}

// Move is one planned load or unload of a model.
type Move struct {
	Action Action
	Engine string
	Model  string
	// FromStore is set for loads from the weight store.
	FromStore bool
	// ExpectedDuration is how long a load is expected to take.
	ExpectedDuration time.Duration
	// FreesMemoryFor names the model that an unload frees memory for.
	FreesMemoryFor string
}

const (
	// minEvictionRatio is the factor by which the token rate per copy of a model must
	// exceed that of the model whose copy is unloaded for it.
	minEvictionRatio = 1.5
	// minRequestRate is the rate, in requests per second, from which a model gets a
	// second copy; a few large requests alone do not justify one.
	minRequestRate = 0.8
	// idleTokenRate is the rate, in tokens per second, below which a model needs no
	// second copy.
	idleTokenRate = 300.0
	// usableMemoryShare is the share of the memory that models can fill; a copy is
	// never split across engines.
	usableMemoryShare = 0.92
	// busyTokenRate is the rate, in tokens per second, above which a model gets up to
	// busyCopies copies even if the memory can't hold every model.
	busyTokenRate = 20000.0
	busyCopies    = 3
	// unloadTime is how long an unload takes, including the requests still running.
	unloadTime = time.Second
)

// planBuilder is the mutable state of one planning run.
type planBuilder struct {
	snapshot Snapshot
	// ready and pending count the copies of each model. Pending ones are loading or wait
	// for an unload that frees memory for them.
	ready   map[string]int
	pending map[string]int
	// desired is the result of desiredCopies.
	desired map[string]int
	// busy holds the indexes of the engines that get no further move.
	busy  []bool
	moves []Move
	// tokenRates holds the token rate of each listed model. hasUnlisted is set if an engine holds
	// a model that the configuration no longer lists.
	tokenRates  map[string]float64
	hasUnlisted bool
	// meanRate is the number of requests per second and engine.
	meanRate float64
	// hasUnmetDemand is set once a model in use lacks a copy that could not be loaded
	// yet.
	hasUnmetDemand bool
}

// Plan decides which models to load and unload next. Models in use come first, by token
// rate per copy; the others are loaded into memory that no model in use needs.
func Plan(s Snapshot) []Move {
	p := &planBuilder{
		snapshot: s,
		ready:    make(map[string]int),
		pending:  make(map[string]int),
		busy:     make([]bool, len(s.Engines)),
	}
	maxMoves, engines := s.MaxOperations, 0
	for i, e := range s.Engines {
		if e.Busy {
			p.busy[i] = true
			maxMoves--
		}
		if e.FromStore {
			p.snapshot.StoreConcurrency--
		}
		if e.Drained {
			p.busy[i] = true
			continue
		}
		engines++
		if e.FreesMemoryFor != "" {
			p.pending[e.FreesMemoryFor]++
		}
	}
	for _, m := range s.Models {
		p.meanRate += m.RequestRate / float64(max(engines, 1))
	}
	p.countCopies()
	p.noteTokenRates()
	p.desired = p.desiredCopies()
	for _, m := range p.modelsLackingCopies() {
		if len(p.moves) >= maxMoves || p.hasUnmetDemand && !m.isInUse() {
			break
		}
		p.placeModel(m)
	}
	return p.moves
}

// noteTokenRates sets tokenRates and hasUnlisted.
func (p *planBuilder) noteTokenRates() {
	p.tokenRates = make(map[string]float64, len(p.snapshot.Models))
	for _, m := range p.snapshot.Models {
		p.tokenRates[m.Name] = m.TokenRate
	}
	for _, e := range p.snapshot.Engines {
		for model := range e.Models {
			if _, isListed := p.tokenRates[model]; !isListed {
				p.hasUnlisted = true
				return
			}
		}
	}
}

// countCopies counts the ready and pending copies of each model. Callers of a model that
// only engines hold which can't take its requests, because of their rate limit or because their
// zone is drained, count as waiting.
func (p *planBuilder) countCopies() {
	models := slices.Clone(p.snapshot.Models)
	for i, m := range models {
		hasUnusableCopy := false
		models[i].regions = p.regionsLackingCopy(m)
		for _, e := range p.snapshot.Engines {
			if e.Drained {
				hasUnusableCopy = hasUnusableCopy || e.Models[m.Name] != 0 && m.TokenRate > 0
				continue
			}
			if !aubsite.InRegions(models[i].regions, e.Region) {
				continue
			}
			switch e.Models[m.Name] {
			case CopyReady:
				if e.carries(m.RequestRate) || e.isLimitedAtMost(p.shortestLoadTime(m)) {
					p.ready[m.Name]++
					continue
				}
				hasUnusableCopy = true
			case CopyLoading:
				p.pending[m.Name]++
			case CopyUnloading:
			}
		}
		models[i].Waiting = m.Waiting || p.ready[m.Name] == 0 && hasUnusableCopy
	}
	p.snapshot.Models = models
}

// regionsLackingCopy returns the first set of regions in which callers wait for the model, and no
// engine holds it or is about to. Copies elsewhere then count for nothing in this plan.
func (p *planBuilder) regionsLackingCopy(m ModelView) []string {
	for _, regions := range m.WaitingRegions {
		hasCopy := slices.ContainsFunc(p.snapshot.Engines, func(e EngineView) bool {
			state := e.Models[m.Name]
			isComing := state == CopyLoading || e.FreesMemoryFor == m.Name
			return !e.Drained && aubsite.InRegions(regions, e.Region) && (isComing || state == CopyReady && e.carries(m.RequestRate))
		})
		if !hasCopy {
			return regions
		}
	}
	return nil
}

// carries reports whether the engine's rate limit allows the requests for a model. A copy that
// can't take them is kept but counts for nothing.
func (e EngineView) carries(requestRate float64) bool {
	limit, isLimited := e.RateLimit.Get()
	return !isLimited || limit >= requestRate
}

// isLimitedAtMost reports whether the engine's rate limit ends within the time, so that it
// doesn't matter to what takes as long.
func (e EngineView) isLimitedAtMost(within time.Duration) bool {
	return e.LimitedFor > 0 && e.LimitedFor <= within
}

// shortestLoadTime returns the time until another copy of the model can be ready.
func (p *planBuilder) shortestLoadTime(m ModelView) time.Duration {
	shortest := m.LoadTime
	for _, e := range p.snapshot.Engines {
		if e.Models[m.Name] == 0 && !e.Drained {
			shortest = min(shortest, loadTime(e, m))
		}
	}
	return shortest
}

// isInUse reports whether callers use the model or wait for it.
func (m ModelView) isInUse() bool { return m.Waiting || m.TokenRate >= idleTokenRate }

// desiredCopies divides the memory of all engines among the models: one copy each, and
// the remaining memory to those with the highest token rate per copy. If one copy of
// each does not fit, models that are not in use need none. Engines with a rate limit below
// the mean request rate of all hold no further copies, unless the limit ends by itself.
func (p *planBuilder) desiredCopies() map[string]int {
	s := p.snapshot
	desired := make(map[string]int, len(s.Models))
	freeMegabytes, modelMegabytes := 0.0, 0.0
	for _, m := range s.Models {
		modelMegabytes += m.Megabytes
	}
	limitedMegabytes, unlimitedEngines := 0.0, 0
	for _, e := range s.Engines {
		if e.Drained {
			continue
		}
		if !e.carries(p.meanRate) && e.LimitedFor == 0 {
			limitedMegabytes += usableMemoryShare * e.Megabytes
			continue
		}
		freeMegabytes += usableMemoryShare * e.Megabytes
		unlimitedEngines++
	}
	for _, m := range s.Models {
		if m.isInUse() || modelMegabytes <= freeMegabytes+limitedMegabytes {
			desired[m.Name] = 1
		}
	}
	for _, m := range s.Models {
		freeMegabytes -= float64(desired[m.Name]) * m.Megabytes
	}
	copies := make([]int, len(s.Models))
	for i, m := range s.Models {
		copies[i] = desired[m.Name]
	}
	for {
		best, maxPerCopy := -1, idleTokenRate
		for i := range s.Models {
			m := &s.Models[i]
			perCopy := m.TokenRate / float64(max(copies[i], 1))
			if perCopy > maxPerCopy && m.RequestRate >= minRequestRate && copies[i] < unlimitedEngines && mayAddCopy(m, freeMegabytes, copies[i]) {
				best, maxPerCopy = i, perCopy
			}
		}
		if best < 0 {
			return desired
		}
		copies[best]++
		desired[s.Models[best].Name] = copies[best]
		freeMegabytes -= s.Models[best].Megabytes
	}
}

// mayAddCopy reports whether a model may have one more copy. If the memory can't hold
// every model, busy ones still get up to busyCopies: idle models are unloaded and
// loaded again on request.
func mayAddCopy(m *ModelView, freeMegabytes float64, copies int) bool {
	return freeMegabytes >= m.Megabytes || copies < busyCopies && m.TokenRate > busyTokenRate
}

// modelsLackingCopies lists the models that lack copies, those with the highest token
// rate per copy first, and among those without a copy that callers wait for the ones with the
// highest token rate.
func (p *planBuilder) modelsLackingCopies() []ModelView {
	var lacking []ModelView
	for _, m := range p.snapshot.Models {
		if p.ready[m.Name]+p.pending[m.Name] < max(p.desired[m.Name], 1) {
			lacking = append(lacking, m)
		}
	}
	slices.SortStableFunc(lacking, func(a, b ModelView) int {
		return cmp.Or(cmp.Compare(p.tokenRatePerCopy(b), p.tokenRatePerCopy(a)), cmp.Compare(b.TokenRate, a.TokenRate))
	})
	return lacking
}

// tokenRatePerCopy returns the token rate per ready or pending copy. It is infinite for
// a model without a copy that callers wait for.
func (p *planBuilder) tokenRatePerCopy(m ModelView) float64 {
	copies := p.ready[m.Name] + p.pending[m.Name]
	switch {
	case copies > 0:
		return m.TokenRate / float64(copies)
	case m.Waiting:
		return math.Inf(1)
	}
	// Without callers a first copy takes free memory only.
	return m.TokenRate
}

// placeModel loads the model where it is ready soonest: on an engine with free memory,
// or on one where another model is unloaded for it.
func (p *planBuilder) placeModel(m ModelView) {
	target, hasTarget := p.engineWithFreeMemory(m)
	mayLoad := hasTarget && p.storeAllowsLoad(target, m)
	victimEngine, victim, hasVictim := p.engineWithVictim(m)
	evictionIsQuicker := hasVictim && p.engine(victimEngine).CachedWeights[m.Name] &&
		(!mayLoad || unloadTime+loadTime(p.engine(victimEngine), m) < loadTime(p.engine(target), m))
	switch {
	case evictionIsQuicker || hasVictim && !hasTarget:
		p.planUnload(victimEngine, victim, m)
	case mayLoad:
		p.planLoad(target, m)
	}
	p.hasUnmetDemand = p.hasUnmetDemand || m.isInUse() && p.ready[m.Name]+p.pending[m.Name] < p.desired[m.Name]
}

// engine returns the engine with the index.
func (p *planBuilder) engine(i int) EngineView { return p.snapshot.Engines[i] }

// loadTime returns how long the engine takes to load the model.
func loadTime(e EngineView, m ModelView) time.Duration {
	if e.CachedWeights[m.Name] {
		return m.CachedLoadTime
	}
	return m.LoadTime
}

// storeAllowsLoad reports whether the weight store has capacity for the load, if the
// load needs it.
func (p *planBuilder) storeAllowsLoad(i int, m ModelView) bool {
	return p.engine(i).CachedWeights[m.Name] || p.snapshot.StoreLoads > 0 && p.snapshot.StoreConcurrency > 0
}

func (p *planBuilder) planUnload(i int, victim string, m ModelView) {
	p.moves = append(p.moves, Move{Action: ActionUnload, Engine: p.engine(i).ID, Model: victim, FreesMemoryFor: m.Name})
	p.busy[i] = true
	p.ready[victim]--
	p.pending[m.Name]++
}

func (p *planBuilder) planLoad(i int, m ModelView) {
	e := p.engine(i)
	fromStore := !e.CachedWeights[m.Name]
	if fromStore {
		p.snapshot.StoreLoads--
		p.snapshot.StoreConcurrency--
	}
	p.moves = append(p.moves, Move{Action: ActionLoad, Engine: e.ID, Model: m.Name, FromStore: fromStore, ExpectedDuration: loadTime(e, m)})
	p.busy[i] = true
	p.pending[m.Name]++
}

// isSuitable reports whether the engine's rate limit allows a further copy of the model. A
// model in use will get more requests than at present.
func (p *planBuilder) isSuitable(e EngineView, m ModelView) bool {
	return !m.isInUse() || e.carries(max(m.RequestRate, p.meanRate)) || e.isLimitedAtMost(loadTime(e, m))
}

// engineWithFreeMemory returns the engine to load the model on: one that caches its
// weights, then the one with the least load.
func (p *planBuilder) engineWithFreeMemory(m ModelView) (int, bool) {
	return p.bestEngine(m, func(i int) bool {
		e := &p.snapshot.Engines[i]
		return e.FreeMegabytes >= m.Megabytes && p.isSuitable(*e, m)
	})
}

// bestEngine returns the index of the preferred engine among those that can take an order, lack the
// model and pass the filter.
func (p *planBuilder) bestEngine(m ModelView, fits func(i int) bool) (int, bool) {
	best, isBestCached := -1, false
	for i := range p.snapshot.Engines {
		e := &p.snapshot.Engines[i]
		if p.busy[i] || !aubsite.InRegions(m.regions, e.Region) {
			continue
		}
		isCached := e.CachedWeights[m.Name]
		if best >= 0 && !isPreferred(e, isCached, &p.snapshot.Engines[best], isBestCached) {
			continue
		}
		if _, isPresent := e.Models[m.Name]; !isPresent && fits(i) {
			best, isBestCached = i, isCached
		}
	}
	return max(best, 0), best >= 0
}

// isPreferred reports whether engine a goes before engine b: one that caches the weights, then the
// one with less load.
func isPreferred(a *EngineView, isACached bool, b *EngineView, isBCached bool) bool {
	if isACached != isBCached {
		return isACached
	}
	return cmp.Or(cmp.Compare(a.Load, b.Load), cmp.Compare(a.ID, b.ID)) < 0
}

// canLoseCopy reports whether a model can lose a copy: one above the desired number, or
// the only copy of an idle model if the model to load is busy or has waiting callers
// but no copy. demandRate is the token rate per copy of the model to load.
func (p *planBuilder) canLoseCopy(model string, tokenRate, demandRate float64) bool {
	if p.desired[model] > 0 && p.ready[model] < 2 {
		return tokenRate < idleTokenRate && demandRate > busyTokenRate
	}
	return p.ready[model]+p.pending[model] > p.desired[model]
}

// copyLossCost returns the cost of losing one copy, as the token rate per remaining
// copy.
func (p *planBuilder) copyLossCost(model string, tokenRate float64) float64 {
	if p.ready[model] < 2 {
		// Surplus copies are unloaded before the last one.
		return max(tokenRate, idleTokenRate)
	}
	return tokenRate / float64(p.ready[model]-1)
}

// engineWithVictim returns an engine and the model to unload from it for m: one that the configuration
// no longer lists, or a copy whose loss costs least if m is in use.
func (p *planBuilder) engineWithVictim(m ModelView) (i int, model string, ok bool) {
	if !m.isInUse() && !p.hasUnlisted {
		return 0, "", false
	}
	demandRate := p.tokenRatePerCopy(m)
	victim := ""
	i, ok = p.bestEngine(m, func(i int) bool {
		if !p.isSuitable(p.engine(i), m) {
			return false
		}
		found := p.cheapestVictim(i, m, demandRate)
		if found != "" {
			victim = found
		}
		return found != ""
	})
	return i, victim, ok
}

// cheapestVictim returns the model of an engine whose unload for m costs least, empty for none.
// demandRate is the token rate per copy of m.
func (p *planBuilder) cheapestVictim(i int, m ModelView, demandRate float64) string {
	victim, minCost := "", math.Inf(1)
	for model, state := range p.snapshot.Engines[i].Models {
		if state != CopyReady {
			continue
		}
		tokenRate, isListed := p.tokenRates[model]
		cost := 0.0
		if isListed {
			if !m.isInUse() || !p.canLoseCopy(model, tokenRate, demandRate) {
				continue
			}
			if cost = p.copyLossCost(model, tokenRate); cost*minEvictionRatio >= demandRate {
				continue
			}
		}
		if cost < minCost || cost == minCost && model < victim {
			victim, minCost = model, cost
		}
	}
	return victim
}
