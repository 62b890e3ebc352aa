package aubprocess

import (
	"context"
	"time"

	"github.com/auburndale/auburndale/internal/aubdrain"
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubroute"
)

const (
	// drainConfirmInterval is the time between two confirmed reads of a control process. The
	// stated age of a zone's drain is too high by at most this time and one round trip.
	drainConfirmInterval = 250 * time.Millisecond
	drainConfirmTimeout  = time.Second
)

// zoneOrders returns the orders of operators about zones.
func (c *controller) zoneOrders() *aubdrain.Orders {
	startedAt := c.common.Timer.Now()
	return aubdrain.NewOrders(c.common, aubdrain.OrdersOpts{
		Table:    c.drains,
		Proposer: c.replica,
		Reader:   c.replica,
		Knowledge: func(zone string) aubdrain.ZoneKnowledge {
			return c.zoneKnowledge(zone, c.common.Timer.Now().Sub(startedAt))
		},
	})
}

// zoneKnowledge returns what this process knows of a zone, by the settings or, if they name no
// zones, by the registrations. Each backend server registers within the registration timeout
// of the start of this process.
func (c *controller) zoneKnowledge(zone string, uptime time.Duration) aubdrain.ZoneKnowledge {
	if regions := c.watcher.Settings().Regions; len(regions) > 0 {
		if _, ok := regions[zone]; ok {
			return aubdrain.ZoneKnown
		}
		return aubdrain.ZoneUnknown
	}
	zones := c.registry.Zones()
	timeout := registrationTimeout(c.cfg)
	if timeout == 0 {
		timeout = aubregistry.DefaultTimeout
	}
	switch {
	case zones[zone]:
		return aubdrain.ZoneKnown
	case len(zones) == 0 || uptime < timeout:
		return aubdrain.ZoneUncertain
	}
	return aubdrain.ZoneUnknown
}

// watchDrains confirms the state of the table from time to time, which bounds the ages of
// later orders, and logs the progress of drains.
func (c *controller) watchDrains() {
	ticks := c.common.Timer.Subscribe(c.ctx, drainConfirmInterval)
	go func() {
		for {
			select {
			case <-ticks:
				c.confirmDrains()
			case <-c.ctx.Done():
				return
			}
		}
	}()
	aubdrain.NewMonitor(c.ctx, c.common, aubdrain.MonitorOpts{
		Drains:   c.drains.Drains,
		InFlight: func() map[string]int { return inFlightByZone(c.registry, c.loads.InFlight()) },
	})
}

func (c *controller) confirmDrains() {
	ctx, cancel := context.WithTimeout(c.ctx, drainConfirmTimeout)
	defer cancel()
	startedAt := c.common.Timer.Now()
	if index, err := c.replica.Confirm(ctx); err == nil {
		c.drains.Confirmed(startedAt, index)
	}
}

// newDrainView returns the relay's view of the drained zones, and starts logging the progress
// of drains.
func (r *relay) newDrainView() *aubdrain.View {
	view := aubdrain.NewView(r.common, aubdrain.ViewOpts{Timeout: r.cfg.Registry.DrainTimeout.Value(), OnWithdrawn: r.throttle.ColdZone})
	aubdrain.NewMonitor(r.ctx, r.common, aubdrain.MonitorOpts{
		Drains:   view.Drains,
		Age:      view.Age,
		InFlight: func() map[string]int { return inFlightByZone(r.registry, requestCounts(r.router.InFlight())) },
	})
	return view
}

// zoneUse returns the use that the router makes of a zone.
func (r *relay) zoneUse(zone string) aubroute.ZoneUse {
	switch r.drains.Eligibility(zone, r.common.Timer.Now()) {
	case aubdrain.EligibilityOpen:
		return aubroute.ZoneOpen
	case aubdrain.EligibilityLastResort:
		return aubroute.ZoneLastResort
	case aubdrain.EligibilityClosed:
	}
	return aubroute.ZoneClosed
}

func requestCounts(loads map[string]aubmembership.Load) map[string]int {
	counts := make(map[string]int, len(loads))
	for id, load := range loads {
		counts[id] = load.Requests
	}
	return counts
}

// inFlightByZone sums the requests in flight, given by backend server, by zone.
func inFlightByZone(registry *aubregistry.Registry, inFlight map[string]int) map[string]int {
	byZone := make(map[string]int)
	for _, record := range registry.Records() {
		byZone[record.GetZone()] += inFlight[record.GetId()]
	}
	return byZone
}
