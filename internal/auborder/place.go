package auborder

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubsite"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// adapterLoadTime is the time until an ordered adapter is ready, unless very many
	// load concurrently.
	adapterLoadTime = 12 * time.Millisecond
	// minAdapterIdleTime is how long an adapter must be unused before it may be
	// unloaded for another one.
	minAdapterIdleTime = 250 * time.Millisecond
	// handoverRetryAfter is the maximum retry delay of callers while a new leader sends no
	// orders yet, lapseRetryAfter that while no leader holds its lease.
	handoverRetryAfter = time.Second
	lapseRetryAfter    = 250 * time.Millisecond
	// readyNoticeTime is the time until relays are notified that a model is ready.
	readyNoticeTime = 300 * time.Millisecond
)

var _ aubregistry.Placer = (*Director)(nil)

// Place implements aubregistry.Placer: it returns an engine that holds the model or
// adapter. It loads a missing adapter immediately; a missing model is requested from
// the next plan.
func (d *Director) Place(ctx context.Context, req *aubwire.PlaceRequest) (*aubwire.PlaceResponse, error) {
	d.mu.Lock()
	now := d.common.Timer.Now()
	phase := d.checkLeadership(now)
	retryAfter := min(max(d.handoverRemaining(now), lapseRetryAfter), handoverRetryAfter)
	d.mu.Unlock()
	if phase == phaseNone && !req.GetForwarded() {
		return d.opts.Forward(ctx, &aubwire.PlaceRequest{
			Service: req.GetService(), Model: req.GetModel(), Adapter: req.GetAdapter(), Software: req.Software, Regions: req.GetRegions(), Forwarded: true,
		})
	}
	site := d.opts.Site()
	if phase != phaseOrders || site == nil {
		return &aubwire.PlaceResponse{RetryAfterMs: retryAfter.Milliseconds()}, nil
	}
	service, ok := site.Service(req.GetService())
	if !ok || service.Engine == nil {
		return &aubwire.PlaceResponse{}, nil
	}
	return d.placeInService(ctx, now, service, req), nil
}

// placeInService handles a request for a model or adapter of the service.
func (d *Director) placeInService(ctx context.Context, now time.Time, service aubsite.Service, req *aubwire.PlaceRequest) *aubwire.PlaceResponse {
	i := slices.IndexFunc(service.Engine.Models, func(m aubsite.Model) bool { return m.Name == req.GetModel() })
	if i < 0 {
		return &aubwire.PlaceResponse{}
	}
	model := service.Engine.Models[i]
	holders := d.holders(service, model.Name)
	if req.Software != nil {
		holders = slices.DeleteFunc(holders, func(e *engineState) bool { return e.record.GetSoftware() != req.GetSoftware() })
	}
	holders = slices.DeleteFunc(holders, func(e *engineState) bool { return !d.isInRegions(req.GetRegions(), e) })
	holders = d.preferUnlimited(service, holders)
	switch {
	case len(holders) == 0:
		return d.requestCopy(now, service, model, req.GetRegions())
	case req.GetAdapter() == "":
		return &aubwire.PlaceResponse{Backend: holders[0].id()}
	}
	return d.awaitAdapter(ctx, service, model, req, holders)
}

// awaitAdapter places an adapter, once for all concurrent requests of the same kind. The orders go
// on when a caller leaves: one that is broken off puts the state of its engine in doubt.
func (d *Director) awaitAdapter(
	ctx context.Context, service aubsite.Service, model aubsite.Model, req *aubwire.PlaceRequest, holders []*engineState,
) *aubwire.PlaceResponse {
	key := strings.Join(append([]string{service.Name, model.Name, req.GetAdapter(), req.GetSoftware()}, req.GetRegions()...), "\x00")
	load := d.adapterLoads.join(key, d.tasks.Go, func() adapterPlacement {
		return d.placeAdapter(d.ctx, service, model, req.GetAdapter(), holders)
	})
	select {
	case <-load.done:
	case <-ctx.Done():
		return &aubwire.PlaceResponse{RetryAfterMs: minAdapterIdleTime.Milliseconds()}
	}
	if load.value.backend == "" {
		return &aubwire.PlaceResponse{RetryAfterMs: minAdapterIdleTime.Milliseconds()}
	}
	if load.value.isLoading {
		_ = aubtimer.Wait(ctx, d.common.Timer, adapterLoadTime)
	}
	return &aubwire.PlaceResponse{Backend: load.value.backend}
}

// adapterPlacement is where an adapter is, empty for nowhere, and whether it is only being loaded.
type adapterPlacement struct {
	backend   string
	isLoading bool
}

// requestCopy makes the next plan load a model that callers wait for, and returns when
// it is likely to be ready.
func (d *Director) requestCopy(now time.Time, service aubsite.Service, model aubsite.Model, regions []string) *aubwire.PlaceResponse {
	d.mu.Lock()
	name := aubregistry.ModelName(service.Name, model.Name)
	d.copyRequestedAt[name] = now
	d.regionRequests[name] = addRegionRequest(d.regionRequests[name], regionRequest{regions: regions, at: now})
	d.mu.Unlock()
	d.triggerPlan()
	return &aubwire.PlaceResponse{RetryAfterMs: d.expectedReadyIn(now, model, regions).Milliseconds()}
}

// expectedReadyIn estimates the time until relays see a ready copy of a model that is
// being loaded or will be.
func (d *Director) expectedReadyIn(now time.Time, model aubsite.Model, regions []string) time.Duration {
	remaining := model.LoadTime
	drains := d.drains()
	for _, e := range d.allEngines() {
		if !d.isInRegions(regions, e) {
			continue
		}
		e.mu.Lock()
		if op := e.operation; op != nil && !drains.Contains(e.record.GetZone()) && op.action == ActionLoad && op.model == model.Name && op.accepted {
			remaining = min(remaining, max(op.expectedDuration-now.Sub(op.startedAt), 0))
		}
		e.mu.Unlock()
	}
	return remaining + readyNoticeTime
}

// allEngines returns all known engines.
func (d *Director) allEngines() []*engineState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Values(d.engines))
}

// holders returns the engines outside drained zones with a ready copy of the model, the least
// loaded first.
func (d *Director) holders(service aubsite.Service, model string) []*engineState {
	drains := d.drains()
	var holders []*engineState
	var ids []string
	for _, e := range d.allEngines() {
		e.mu.Lock()
		resident := e.models[model]
		isReady := resident != nil && resident.state == CopyReady && e.record.GetService() == service.Name &&
			e.record.GetState() == aubwire.BackendState_BACKEND_STATE_READY && !drains.Contains(e.record.GetZone())
		id := e.record.GetId()
		e.mu.Unlock()
		if isReady {
			holders, ids = append(holders, e), append(ids, id)
		}
	}
	loads := make(map[*engineState]int, len(holders))
	for i, inFlight := range d.opts.Loads.InFlightAt(ids) {
		loads[holders[i]] = inFlight
	}
	slices.SortFunc(holders, func(a, b *engineState) int { return loads[a] - loads[b] })
	return holders
}

// preferUnlimited returns the engines of the service without a rate limit, or all if each has
// one.
func (d *Director) preferUnlimited(service aubsite.Service, engines []*engineState) []*engineState {
	limits := d.rateLimits(service)
	var unlimited []*engineState
	for _, e := range engines {
		if _, isLimited := limits[e.id()]; !isLimited {
			unlimited = append(unlimited, e)
		}
	}
	if len(unlimited) == 0 {
		return engines
	}
	return unlimited
}

// placeAdapter returns a holder of the adapter, or loads it on the engine with the most
// free adapter slots, or in place of the adapter that is idle for longest.
func (d *Director) placeAdapter(
	ctx context.Context, service aubsite.Service, model aubsite.Model, adapter string, holders []*engineState,
) adapterPlacement {
	best, maxFreeSlots := (*engineState)(nil), 0
	for _, e := range holders {
		e.mu.Lock()
		id := e.record.GetId()
		_, isResident := e.models[model.Name].adapterLoadedAt(adapter)
		freeSlots := service.Engine.AdapterSlots - e.adapterCount() - e.pendingAdapters
		if !e.stateKnown || e.operation != nil {
			// An engine that loads or unloads a model accepts no other order.
			freeSlots = 0
		}
		e.mu.Unlock()
		if isResident {
			return adapterPlacement{backend: id}
		}
		if freeSlots > maxFreeSlots {
			best, maxFreeSlots = e, freeSlots
		}
	}
	if best == nil {
		best = d.engineWithIdleAdapter(service, holders)
	}
	if best == nil || !d.loadPendingAdapter(ctx, best, service.Engine, model, adapter) {
		return adapterPlacement{}
	}
	return adapterPlacement{backend: best.id(), isLoading: true}
}

// adapterLoadedAt returns when the adapter was loaded, and whether it is.
func (c *modelCopy) adapterLoadedAt(name string) (time.Time, bool) {
	if c == nil {
		return time.Time{}, false
	}
	at, ok := c.adapters[name]
	return at, ok
}

// loadPendingAdapter counts the adapter while it is ordered, so that concurrent requests for other
// adapters prefer other engines.
func (d *Director) loadPendingAdapter(
	ctx context.Context, e *engineState, engine *aubsite.Engine, model aubsite.Model, adapter string,
) bool {
	e.addPendingAdapters(1)
	defer e.addPendingAdapters(-1)
	return d.loadAdapter(ctx, e, engine, model, adapter)
}

// loadAdapter orders an adapter and reports whether the engine accepts it. Orders to
// one engine are serialized, so that concurrent calls can't share a slot.
func (d *Director) loadAdapter(
	ctx context.Context, e *engineState, engine *aubsite.Engine, model aubsite.Model, adapter string,
) bool {
	e.orderMu.Lock()
	defer e.orderMu.Unlock()
	switch d.checkAdapter(e, engine, model, adapter) {
	case adapterResident:
		return true
	case adapterRefused:
		return false
	case adapterSlotsFull:
		if !d.evictAdapter(ctx, e) {
			return false
		}
	case adapterFits:
	}
	outcome := d.sendOrder(ctx, e, Order{Action: ActionLoad, Model: model.Name, Adapter: adapter})
	if outcome != OutcomeRefused && outcome != OutcomeConflict {
		e.mu.Lock()
		if resident := e.models[model.Name]; resident != nil {
			resident.adapters[adapter] = d.common.Timer.Now()
		}
		e.mu.Unlock()
	}
	return outcome == OutcomeAccepted || outcome == OutcomeAlreadyDone
}

// adapterCheck is the result of checking whether an engine can load an adapter.
type adapterCheck int

const (
	adapterFits adapterCheck = iota
	adapterSlotsFull
	adapterResident
	adapterRefused
)

// checkAdapter checks whether the engine can load the adapter.
func (d *Director) checkAdapter(e *engineState, engine *aubsite.Engine, model aubsite.Model, adapter string) adapterCheck {
	e.mu.Lock()
	defer e.mu.Unlock()
	resident := e.models[model.Name]
	if resident == nil || resident.state != CopyReady || e.operation != nil {
		return adapterRefused
	}
	if _, isResident := resident.adapters[adapter]; isResident {
		return adapterResident
	}
	if e.freeMegabytes(engine, d.modelSizes(e.record.GetService())) < model.AdapterMegabytes {
		return adapterRefused
	}
	if e.adapterCount() >= engine.AdapterSlots {
		return adapterSlotsFull
	}
	return adapterFits
}

// engineWithIdleAdapter returns the engine with the adapter that is idle for longest,
// nil if all were used within minAdapterIdleTime.
func (d *Director) engineWithIdleAdapter(service aubsite.Service, holders []*engineState) *engineState {
	var best *engineState
	var bestUsedAt time.Time
	for _, e := range holders {
		e.mu.Lock()
		_, _, at, ok := d.leastRecentlyUsedAdapter(e)
		isEligible := ok && e.stateKnown && e.operation == nil && e.record.GetService() == service.Name
		e.mu.Unlock()
		if isEligible && (best == nil || at.Before(bestUsedAt)) {
			best, bestUsedAt = e, at
		}
	}
	if d.common.Timer.Now().Sub(bestUsedAt) < minAdapterIdleTime {
		return nil
	}
	return best
}

// leastRecentlyUsedAdapter returns the adapter that is idle for longest; the caller
// holds the engine's mu.
func (d *Director) leastRecentlyUsedAdapter(e *engineState) (model, adapter string, at time.Time, ok bool) {
	for m, resident := range e.models {
		for name, loadedAt := range resident.adapters {
			usedAt := d.adapterUsedAt(e.record.GetService(), m, name, loadedAt)
			if !ok || usedAt.Before(at) {
				model, adapter, at, ok = m, name, usedAt, true
			}
		}
	}
	return model, adapter, at, ok
}

// evictAdapter frees the slot of the adapter that is idle for longest and reports
// whether it is free; the caller holds the engine's orderMu.
func (d *Director) evictAdapter(ctx context.Context, e *engineState) bool {
	e.mu.Lock()
	model, adapter, at, ok := d.leastRecentlyUsedAdapter(e)
	e.mu.Unlock()
	if !ok || d.common.Timer.Now().Sub(at) < minAdapterIdleTime {
		return false
	}
	outcome := d.sendOrder(ctx, e, Order{Action: ActionUnload, Model: model, Adapter: adapter})
	e.mu.Lock()
	defer e.mu.Unlock()
	switch outcome {
	case OutcomeAlreadyDone:
		if resident := e.models[model]; resident != nil {
			delete(resident.adapters, adapter)
		}
		return true
	case OutcomeAccepted:
		// Requests still use it: the engine unloads it later, which a report shows.
		e.stateKnown = false
	case OutcomeUnknown, OutcomeConflict, OutcomeRefused:
	}
	return false
}

// adapterUsedAt returns when an adapter was last requested, or when it was loaded if
// that is later.
func (d *Director) adapterUsedAt(service, model, adapter string, loadedAt time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := d.demandMeter.lastUsedAt[aubregistry.ModelKey{Model: aubregistry.ModelName(service, model), Adapter: adapter}]
	if at.After(loadedAt) {
		return at
	}
	return loadedAt
}
