package aubprocess

import (
	"math"
	"time"

	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// capacityInterval is the time between two updates of the queue's capacities.
	capacityInterval = 250 * time.Millisecond
	// idleRate stands in for the demand of what nobody asks for, requests a second,
	// so that its first request finds a place.
	idleRate = 0.1
	// evenShare is the part of the backend servers' capacity that is split evenly
	// between the entries; the rest follows their demand.
	evenShare = 0.25
)

// startCapacityUpdates keeps the queue's capacity of each model and service in step with
// the ready backend servers and the demand.
func (e *entry) startCapacityUpdates() {
	ticks := e.common.Timer.Subscribe(e.ctx, capacityInterval)
	e.group.Go(func() error {
		knownNames := map[string]bool{}
		for {
			select {
			case <-e.ctx.Done():
				return nil
			case <-ticks:
				e.updateCapacity(knownNames)
			}
		}
	})
}

// updateCapacity sets the capacities; a group that lost its last backend server
// keeps the least one, so that its requests reach the load on demand.
func (e *entry) updateCapacity(knownNames map[string]bool) {
	rates := e.demand.Rates()
	for name := range rates {
		rates[name] += float64(e.queue.Waiting(name))
	}
	capacities := computeCapacities(e.members.View(), e.cfg.Name, rates, e.cfg.Queue.PerBackend)
	for name := range capacities {
		knownNames[name] = true
	}
	for name := range knownNames {
		e.queue.SetCapacity(name, max(capacities[name], 1))
	}
}

// computeCapacities returns how many requests of each model and service this entry
// runs at once. A backend server's places are shared by all it holds, because an
// engine's batch is, and by all entries; both by demand.
func computeCapacities(view aubmembership.View, self string, rates map[string]float64, backendConcurrency int) map[string]int {
	entrySlots := float64(backendConcurrency) * entryShare(view, self)
	slotsByName := map[string]float64{}
	for _, m := range view.Role(aubwire.Role_ROLE_AGENT) {
		if !m.Announcement.GetLeaving() {
			addSlots(slotsByName, readyNames(m.Announcement.GetBackend()), rates, entrySlots)
		}
	}
	capacities := make(map[string]int, len(slotsByName))
	for name, slots := range slotsByName {
		capacities[name] = int(math.Ceil(slots))
	}
	return capacities
}

// addSlots splits the places of one backend server by demand.
func addSlots(slotsByName map[string]float64, names []string, rates map[string]float64, slots float64) {
	total := 0.0
	for _, name := range names {
		total += rates[name] + idleRate
	}
	for _, name := range names {
		slotsByName[name] += slots * (rates[name] + idleRate) / total
	}
}

// readyNames returns the models and services that a backend server is ready for.
// Adapters count as their model.
func readyNames(report *aubwire.BackendReport) []string {
	names := append([]string(nil), report.GetServices()...)
	for _, r := range report.GetResident() {
		if !r.GetAdapter() && r.GetState() == aubwire.Residency_RESIDENCY_READY {
			names = append(names, r.GetName())
		}
	}
	return names
}

// entryShare returns the part of the backend servers' places that this entry may
// use: an even part, and the rest by the demand that the entries announce.
func entryShare(view aubmembership.View, self string) float64 {
	var selfRate, total float64
	entryCount := 0.0
	for _, m := range view.Role(aubwire.Role_ROLE_ENTRY) {
		rate := 0.0
		for _, d := range m.Announcement.GetDemand() {
			rate += d.GetRate()
		}
		if m.Announcement.GetName() == self {
			selfRate = rate
		}
		total += rate
		entryCount++
	}
	if entryCount == 0 {
		return 1
	}
	if total == 0 {
		return 1 / entryCount
	}
	return evenShare/entryCount + (1-evenShare)*selfRate/total
}
