package auborder

import (
	"math"
	"slices"
	"time"

	"github.com/auburndale/auburndale/internal/auboption"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubsite"
)

// snapshot collects the input of the planner.
func (d *Director) snapshot(now time.Time, service aubsite.Service, engines map[string]*engineState) Snapshot {
	sizes := d.modelSizes(service.Name)
	loads := d.opts.Loads.InFlight()
	limits := d.rateLimits(service)
	drains := d.drains()
	d.mu.Lock()
	d.refillStoreTokens(now, service.Engine.LoadsPerSecond)
	concurrency := storeConcurrency(service.Engine)
	s := Snapshot{StoreLoads: int(d.storeTokens), StoreConcurrency: concurrency, MaxOperations: operationsPerLoad * concurrency}
	for _, m := range service.Engine.Models {
		name := aubregistry.ModelName(service.Name, m.Name)
		s.Models = append(s.Models, ModelView{
			Name: m.Name, Megabytes: m.Megabytes, TokenRate: d.demandMeter.tokenRates[name], RequestRate: d.demandMeter.requestRates[name],
			LoadTime: m.LoadTime, CachedLoadTime: m.DiskLoadTime,
			Waiting:        now.Sub(d.copyRequestedAt[name]) < copyRequestTTL,
			WaitingRegions: waitingRegions(now, d.regionRequests[name]),
		})
	}
	d.mu.Unlock()
	for id, e := range engines {
		e.mu.Lock()
		view := e.view(service.Engine, sizes, loads[id])
		if limit, isLimited := limits[id]; isLimited {
			view.RateLimit, view.LimitedFor = auboption.Some(limit.perSecond), limit.endsIn
		}
		view.Region = d.regionOf(e.record.GetZone())
		view.Drained = drains.Contains(e.record.GetZone())
		s.Engines = append(s.Engines, view)
		e.mu.Unlock()
	}
	slices.SortFunc(s.Engines, func(a, b EngineView) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return s
}

// engineLimit is the number of requests per second that an engine takes, and the time after
// which that ends; 0 if it is not known.
type engineLimit struct {
	perSecond float64
	endsIn    time.Duration
}

// rateLimits returns the limits of engines by their ids: those that answers state, and the
// cold rate of the service where it is lower.
func (d *Director) rateLimits(service aubsite.Service) map[string]engineLimit {
	limits := make(map[string]engineLimit)
	for id, perSecond := range d.opts.Loads.RateLimits() {
		limits[id] = engineLimit{perSecond: perSecond}
	}
	if !service.HasColdRate() {
		return limits
	}
	for id, left := range d.opts.Registry.ColdLeft() {
		if stated, isLimited := limits[id]; !isLimited || service.ColdRate < stated.perSecond {
			limits[id] = engineLimit{perSecond: service.ColdRate, endsIn: left}
		}
	}
	return limits
}

// refillStoreTokens adds the loads that the weight store may start since the last call;
// the caller holds mu.
func (d *Director) refillStoreTokens(now time.Time, perSecond float64) {
	maxTokens := max(minStoreTokens, perSecond*storeBurst.Seconds())
	d.storeTokens = min(d.storeTokens+perSecond*now.Sub(d.storeRefilledAt).Seconds(), maxTokens)
	d.storeRefilledAt = now
}

// storeConcurrency returns the number of loads that the weight store starts during one
// load. With more in progress each takes longer.
func storeConcurrency(engine *aubsite.Engine) int {
	var sum time.Duration
	for _, m := range engine.Models {
		sum += m.LoadTime
	}
	mean := sum.Seconds() / float64(max(len(engine.Models), 1))
	return max(int(math.Round(engine.LoadsPerSecond*mean)), 1)
}
