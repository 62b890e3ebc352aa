package aubplacement

import (
	"time"

	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// defaultCopies is the target number of copies of a model that configures none.
const defaultCopies = 2

// itemsOf lists the models and adapters of a configuration. Adapters have the copy
// target of their model.
func itemsOf(cfg aubquery.Config) []Item {
	var items []Item
	for _, m := range cfg.Models() {
		items = append(items, Item{
			Key: Key{Name: m.Name}, MemoryBytes: m.MemoryBytes, Copies: copyTarget(m),
		})
	}
	for _, a := range cfg.Adapters() {
		model, ok := cfg.Model(a.Model)
		if !ok {
			continue
		}
		items = append(items, Item{
			Key: Key{Name: a.Name, Adapter: true}, Base: a.Model,
			MemoryBytes: a.MemoryBytes, Copies: copyTarget(model),
		})
	}
	return items
}

func copyTarget(m aubapi.Model) int {
	if m.Copies == 0 {
		return defaultCopies
	}
	return m.Copies
}

// backendOf converts an agent's announcement into a backend server of a snapshot.
// termFence is the first fencing number of the current leadership, 0 while there is
// none.
func backendOf(m aubmembership.Member, termFence uint64) Backend {
	a := m.Announcement
	b := Backend{
		Name: a.GetName(), Zone: a.GetZone(), Incarnation: a.GetIncarnation(),
		MemoryBytes: a.GetBackend().GetMemoryBytes(), UsedBytes: a.GetBackend().GetMemoryUsedBytes(),
		Residents:     make(map[Key]aubwire.Residency, len(a.GetBackend().GetResident())),
		Draining:      a.GetLeaving(),
		OrdersBlocked: m.ResidentsOutdated,
		Fenced:        termFence > 0 && a.GetBackend().GetFence() >= termFence && !m.ResidentsOutdated,
		InFlight:      int(a.GetBackend().GetRunning() + a.GetBackend().GetQueued()),
	}
	for _, r := range a.GetBackend().GetResident() {
		b.Residents[Key{Name: r.GetName(), Adapter: r.GetAdapter()}] = r.GetState()
	}
	return b
}

// lostCopies counts the ready copies of members that became unresponsive within the
// grace period and did not leave.
func lostCopies(now time.Time, v aubmembership.View, gracePeriod time.Duration) map[Key]int {
	lost := make(map[Key]int)
	for _, m := range v.Lost() {
		if now.Sub(m.ReceivedAt) >= gracePeriod {
			continue
		}
		for _, r := range m.Announcement.GetBackend().GetResident() {
			if r.GetState() == aubwire.Residency_RESIDENCY_READY {
				lost[Key{Name: r.GetName(), Adapter: r.GetAdapter()}]++
			}
		}
	}
	return lost
}

// countLoading counts the loads in progress.
func countLoading(backends []Backend) (models, adapters int) {
	for _, b := range backends {
		for key, state := range b.Residents {
			switch {
			case state != aubwire.Residency_RESIDENCY_LOADING:
			case key.Adapter:
				adapters++
			default:
				models++
			}
		}
	}
	return models, adapters
}

// loadRequests holds when callers of this process last requested a load of each item.
type loadRequests map[Key]time.Time

// requestTTL is how long a request for a load counts as a waiting caller.
const requestTTL = 10 * time.Second

// addTo adds the requests to the demand as waiting callers and drops expired ones.
func (r loadRequests) addTo(now time.Time, elapsed time.Duration, d Demand) {
	for key, at := range r {
		if now.Sub(at) > requestTTL {
			delete(r, key)
			continue
		}
		demand := d.Items[key]
		demand.Waiting++
		demand.LastArrival = elapsed
		d.Items[key] = demand
	}
}

// resolveAdapters assigns the demand for adapters to adapter keys: callers, and
// therefore entries, don't distinguish models from adapters by name.
func (d Demand) resolveAdapters(items []Item) Demand {
	known := make(map[Key]bool, len(items))
	for _, item := range items {
		known[item.Key] = true
	}
	resolved := make(map[Key]ItemDemand, len(d.Items))
	for key, demand := range d.Items {
		adapter := Key{Name: key.Name, Adapter: true}
		if !known[key] && known[adapter] {
			key = adapter
		}
		resolved[key] = demand
	}
	return Demand{Items: resolved, LateShare: d.LateShare}
}
