package aubprocess

import (
	"time"

	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// capacityInterval is the time between two updates of the queue's capacities.
const capacityInterval = 250 * time.Millisecond

// feedCapacity keeps the queue's capacity of each model and service in step with
// the ready backend servers.
func (e *entry) feedCapacity() {
	ticks := e.common.Timer.Subscribe(e.ctx, capacityInterval)
	e.group.Go(func() error {
		known := map[string]bool{}
		for {
			select {
			case <-e.ctx.Done():
				return nil
			case <-ticks:
				e.updateCapacity(known)
			}
		}
	})
}

// updateCapacity sets the capacities; a group that lost its last backend server
// keeps the least one, so that its requests reach the load on demand.
func (e *entry) updateCapacity(known map[string]bool) {
	view := e.members.View()
	ready := countReady(view)
	for name := range ready {
		known[name] = true
	}
	entries := max(len(view.Role(aubwire.Role_ROLE_ENTRY)), 1)
	for name := range known {
		n := max(ready[name], 1) * e.cfg.Queue.PerBackend
		e.queue.SetCapacity(name, max((n+entries-1)/entries, 1))
	}
}

// countReady counts the backend servers that are ready for each model and service.
func countReady(view aubmembership.View) map[string]int {
	ready := map[string]int{}
	for _, m := range view.Role(aubwire.Role_ROLE_AGENT) {
		if m.Announcement.GetLeaving() {
			continue
		}
		for _, name := range m.Announcement.GetBackend().GetServices() {
			ready[name]++
		}
		for _, r := range m.Announcement.GetBackend().GetResident() {
			if !r.GetAdapter() && r.GetState() == aubwire.Residency_RESIDENCY_READY {
				ready[r.GetName()]++
			}
		}
	}
	return ready
}
