package aubplacement

import (
	"time"

	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// defaultCopies is the number of copies wished of a model that names none.
const defaultCopies = 2

// itemsOf lists the models and adapters of a configuration.
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

// backendOf turns an agent's announcement into a backend server of a snapshot.
// Term fence is the first fencing number of the present leadership, 0 before
// there is one.
func backendOf(m aubmembership.Member, termFence uint64) Backend {
	a := m.Announcement
	b := Backend{
		Name: a.GetName(), Zone: a.GetZone(), Incarnation: a.GetIncarnation(),
		MemoryBytes: a.GetBackend().GetMemoryBytes(), UsedBytes: a.GetBackend().GetMemoryUsedBytes(),
		Residents: make(map[Key]aubwire.Residency, len(a.GetBackend().GetResident())),
		Leaving:   a.GetLeaving(),
		Busy:      m.Outdated,
		Fenced:    termFence > 0 && a.GetBackend().GetFence() >= termFence && !m.Outdated,
		InFlight:  int(a.GetBackend().GetRunning() + a.GetBackend().GetQueued()),
	}
	for _, r := range a.GetBackend().GetResident() {
		b.Residents[Key{Name: r.GetName(), Adapter: r.GetAdapter()}] = r.GetState()
	}
	return b
}

// lostCopies counts the ready copies of members that went silent within the
// patience and did not leave.
func lostCopies(now time.Time, v aubmembership.View, gracePeriod time.Duration) map[Key]int {
	lost := make(map[Key]int)
	for _, m := range v.Lost() {
		if now.Sub(m.HeardAt) >= gracePeriod {
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

// countLoading counts the loads on their way.
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

// loadRequests remembers which items callers of this process wait for.
type loadRequests map[Key]time.Time

// requestTTL is how long a request for a load counts.
const requestTTL = 10 * time.Second

// addTo counts the requests as waiting callers.
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

// resolveAdapters gives the demand of adapters their own keys: callers, and so the
// entries, name models and adapters alike.
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
	return Demand{Items: resolved, Late: d.Late}
}
