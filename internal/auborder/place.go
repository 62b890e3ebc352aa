package auborder

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubsite"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// adapterLoadTime is the time until an adapter that was ordered is ready, unless
	// very many load at once.
	adapterLoadTime = 12 * time.Millisecond
	// adapterIdle is how long an adapter must have been idle to make room.
	adapterIdle = 250 * time.Millisecond
	// handoverRetry is when to come back while a new leader gives no orders yet.
	handoverRetry = time.Second
	// noticeTime is the time until relays hear that a model is ready.
	noticeTime = 300 * time.Millisecond
)

var _ aubregistry.Placer = (*Director)(nil)

// Place implements aubregistry.Placer: it returns an engine that holds the model
// or adapter, and loads an adapter at once.
func (d *Director) Place(ctx context.Context, req *aubwire.PlaceRequest) (*aubwire.PlaceResponse, error) {
	d.mu.Lock()
	now := d.common.Timer.Now()
	isActing := d.lead(now)
	isLeading := d.term != 0
	d.mu.Unlock()
	if !isLeading && !req.GetForwarded() {
		return d.opts.Forward(ctx, &aubwire.PlaceRequest{
			Service: req.GetService(), Model: req.GetModel(), Adapter: req.GetAdapter(), Forwarded: true,
		})
	}
	site := d.opts.Site()
	if !isActing || site == nil {
		return &aubwire.PlaceResponse{RetryAfterMs: handoverRetry.Milliseconds()}, nil
	}
	service, ok := site.Service(req.GetService())
	if !ok || service.Engine == nil {
		return &aubwire.PlaceResponse{}, nil
	}
	return d.placeIn(ctx, now, service, req), nil
}

func (d *Director) placeIn(ctx context.Context, now time.Time, service aubsite.Service, req *aubwire.PlaceRequest) *aubwire.PlaceResponse {
	model, ok := modelsOf(service.Engine)[req.GetModel()]
	if !ok {
		return &aubwire.PlaceResponse{}
	}
	holders := d.holders(service, model.Name)
	switch {
	case len(holders) == 0:
		return d.want(now, service, model)
	case req.GetAdapter() == "":
		return &aubwire.PlaceResponse{Backend: holders[0].record.GetId()}
	}
	return d.placeAdapter(ctx, service, model, req.GetAdapter(), holders)
}

// want makes the next plan load a model that callers wait for, and says when it
// is likely to be ready.
func (d *Director) want(now time.Time, service aubsite.Service, model aubsite.Model) *aubwire.PlaceResponse {
	d.mu.Lock()
	d.wanted[aubregistry.ModelName(service.Name, model.Name)] = now
	d.mu.Unlock()
	d.planSoon()
	return &aubwire.PlaceResponse{RetryAfterMs: d.readyIn(now, model).Milliseconds()}
}

// readyIn is the time until a load of the model is likely to end.
func (d *Director) readyIn(now time.Time, model aubsite.Model) time.Duration {
	left := model.LoadTime
	for _, e := range d.all() {
		e.mu.Lock()
		if op := e.operation; op != nil && op.action == ActionLoad && op.model == model.Name && op.ordered {
			left = min(left, max(op.takes-now.Sub(op.at), 0))
		}
		e.mu.Unlock()
	}
	return left + noticeTime
}

// all returns the engines known.
func (d *Director) all() []*engineState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Values(d.engines))
}

// holders returns the engines with a ready copy of the model, the least loaded first.
func (d *Director) holders(service aubsite.Service, model string) []*engineState {
	loads := d.opts.Loads.InFlight()
	var holders []*engineState
	for _, e := range d.all() {
		e.mu.Lock()
		held := e.models[model]
		isReady := held != nil && held.state == CopyReady && e.record.GetService() == service.Name &&
			e.record.GetState() == aubwire.BackendState_BACKEND_STATE_READY
		e.mu.Unlock()
		if isReady {
			holders = append(holders, e)
		}
	}
	slices.SortFunc(holders, func(a, b *engineState) int {
		return loads[a.record.GetId()] - loads[b.record.GetId()]
	})
	return holders
}

// placeAdapter returns a holder of the adapter, or loads it on the engine with
// the most free places, or in place of the one idle for longest.
func (d *Director) placeAdapter(
	ctx context.Context, service aubsite.Service, model aubsite.Model, adapter string, holders []*engineState,
) *aubwire.PlaceResponse {
	best, most := (*engineState)(nil), 0
	for _, e := range holders {
		e.mu.Lock()
		_, isHeld := e.models[model.Name].adapterAt(adapter)
		free := service.Engine.AdapterSlots - e.adapterCount()
		if !e.known || e.operation != nil {
			// An engine that loads or drops a model takes no other order.
			free = 0
		}
		e.mu.Unlock()
		if isHeld {
			return &aubwire.PlaceResponse{Backend: e.record.GetId()}
		}
		if free > most {
			best, most = e, free
		}
	}
	if best == nil {
		best = d.idlest(service, holders)
	}
	if best == nil || !d.loadAdapter(ctx, best, service.Engine, model, adapter) {
		return &aubwire.PlaceResponse{RetryAfterMs: adapterIdle.Milliseconds()}
	}
	_ = aubtimer.Wait(ctx, d.common.Timer, adapterLoadTime)
	return &aubwire.PlaceResponse{Backend: best.record.GetId()}
}

func (c *modelCopy) adapterAt(name string) (time.Time, bool) {
	if c == nil {
		return time.Time{}, false
	}
	at, ok := c.adapters[name]
	return at, ok
}

// loadAdapter orders an adapter; it reports whether the engine takes it. Orders to
// one engine follow each other, so that calls at once can't share a place.
func (d *Director) loadAdapter(
	ctx context.Context, e *engineState, engine *aubsite.Engine, model aubsite.Model, adapter string,
) bool {
	e.orders.Lock()
	defer e.orders.Unlock()
	switch d.adapterNeed(e, engine, model, adapter) {
	case adapterHeld:
		return true
	case adapterRefused:
		return false
	case adapterFull:
		if !d.evictAdapter(ctx, e) {
			return false
		}
	case adapterFits:
	}
	outcome := d.send(ctx, e, Order{Action: ActionLoad, Model: model.Name, Adapter: adapter})
	if outcome != OutcomeRefused && outcome != OutcomeConflict {
		e.mu.Lock()
		if held := e.models[model.Name]; held != nil {
			held.adapters[adapter] = d.common.Timer.Now()
		}
		e.mu.Unlock()
	}
	return outcome == OutcomeAccepted || outcome == OutcomeHolds
}

// adapterNeed is what an engine needs to take an adapter.
type adapterNeed int

const (
	adapterFits adapterNeed = iota
	adapterFull
	adapterHeld
	adapterRefused
)

func (d *Director) adapterNeed(e *engineState, engine *aubsite.Engine, model aubsite.Model, adapter string) adapterNeed {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := e.models[model.Name]
	if held == nil || held.state != CopyReady || e.operation != nil {
		return adapterRefused
	}
	if _, isHeld := held.adapters[adapter]; isHeld {
		return adapterHeld
	}
	if e.freeMegabytes(engine, modelsOf(engine)) < model.AdapterMegabytes {
		return adapterRefused
	}
	if e.adapterCount() >= engine.AdapterSlots {
		return adapterFull
	}
	return adapterFits
}

// idlest returns the engine with the adapter that is idle for longest, nil when
// all were used of late.
func (d *Director) idlest(service aubsite.Service, holders []*engineState) *engineState {
	var idlest *engineState
	var oldest time.Time
	for _, e := range holders {
		e.mu.Lock()
		_, _, at, ok := d.oldestAdapter(e)
		isFit := ok && e.known && e.operation == nil && e.record.GetService() == service.Name
		e.mu.Unlock()
		if isFit && (idlest == nil || at.Before(oldest)) {
			idlest, oldest = e, at
		}
	}
	if d.common.Timer.Now().Sub(oldest) < adapterIdle {
		return nil
	}
	return idlest
}

// oldestAdapter returns the adapter that is idle for longest; the caller holds the
// engine's mutex.
func (d *Director) oldestAdapter(e *engineState) (model, adapter string, at time.Time, ok bool) {
	for m, held := range e.models {
		for name, loadedAt := range held.adapters {
			usedAt := d.usedAt(e.record.GetService(), m, name, loadedAt)
			if !ok || usedAt.Before(at) {
				model, adapter, at, ok = m, name, usedAt, true
			}
		}
	}
	return model, adapter, at, ok
}

// evictAdapter frees the place of the adapter that is idle for longest; the caller
// holds the engine's orders mutex.
func (d *Director) evictAdapter(ctx context.Context, e *engineState) bool {
	e.mu.Lock()
	model, adapter, at, ok := d.oldestAdapter(e)
	e.mu.Unlock()
	if !ok || d.common.Timer.Now().Sub(at) < adapterIdle {
		return false
	}
	outcome := d.send(ctx, e, Order{Action: ActionUnload, Model: model, Adapter: adapter})
	e.mu.Lock()
	defer e.mu.Unlock()
	switch outcome {
	case OutcomeHolds:
		if held := e.models[model]; held != nil {
			delete(held.adapters, adapter)
		}
		return true
	case OutcomeAccepted:
		// Requests still use it: the engine drops it later, which a report shows.
		e.known = false
	case OutcomeUnknown, OutcomeConflict, OutcomeRefused:
	}
	return false
}

// usedAt is when an adapter was last asked for, at least since it was loaded.
func (d *Director) usedAt(service, model, adapter string, loadedAt time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := d.meter.usedAt[aubregistry.ModelKey{Model: aubregistry.ModelName(service, model), Adapter: adapter}]
	if at.After(loadedAt) {
		return at
	}
	return loadedAt
}
