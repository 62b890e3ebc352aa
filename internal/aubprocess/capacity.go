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
	// idleRate, in requests per second, is added to the demand of every model and
	// service, so that the first request of an idle one finds a slot.
	idleRate = 0.1
	// evenShare is the share of the backend servers' capacity that is split evenly
	// between the entries; the remainder is split by demand.
	evenShare = 0.25
)

// startCapacityUpdates starts to update the queue's capacity of each model and service
// from the ready backend servers and the demand.
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

// updateCapacity sets the capacity of each model and service that has or had a backend
// server. It is at least 1, so that requests without a backend server leave the queue
// and cause a load on demand.
func (e *entry) updateCapacity(knownNames map[string]bool) {
	rates := e.demand.ArrivalRates()
	for name := range rates {
		rates[name] += float64(e.queue.Waiting(name))
	}
	capacities := computeCapacities(e.members.View(), e.cfg.Name, rates, e.cfg.Queue.ConcurrencyPerBackend)
	for name := range capacities {
		knownNames[name] = true
	}
	for name := range knownNames {
		e.queue.SetCapacity(name, max(capacities[name], 1))
	}
}

// computeCapacities returns the number of requests of each model and service that this
// entry runs concurrently. All models on a backend server share its slots, because they
// share the engine's batch, and so do all entries; both shares follow the demand.
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

// addSlots splits the slots of one backend server between its models and services by
// demand and adds them to slotsByName.
func addSlots(slotsByName map[string]float64, names []string, rates map[string]float64, slots float64) {
	total := 0.0
	for _, name := range names {
		total += rates[name] + idleRate
	}
	for _, name := range names {
		slotsByName[name] += slots * (rates[name] + idleRate) / total
	}
}

// readyNames returns the models and services that a backend server can run now.
// Requests of adapters count for their model.
func readyNames(report *aubwire.BackendReport) []string {
	names := append([]string(nil), report.GetServices()...)
	for _, r := range report.GetResident() {
		if !r.GetAdapter() && r.GetState() == aubwire.Residency_RESIDENCY_READY {
			names = append(names, r.GetName())
		}
	}
	return names
}

// entryShare returns the share of the backend servers' slots that this entry may use:
// evenShare is split evenly and the remainder by the demand that the entries announce.
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
