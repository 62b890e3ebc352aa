package aubroute

import (
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// targetKind is the kind of a target.
type targetKind int

const (
	kindModel targetKind = iota
	kindAdapter
	kindService
)

// target identifies a model, adapter or service that a request needs on a member.
type target struct {
	kind targetKind
	name string
}

// holders lists the names of the members on which a target is ready, in the local zone
// and in remote zones, sorted by name.
type holders struct {
	local  []string
	remote []string
	// isLoading is set when the target is being loaded on some member.
	isLoading bool
}

// at returns the i-th holder; those of the local zone come first.
func (h *holders) at(i int) string {
	if i < len(h.local) {
		return h.local[i]
	}
	return h.remote[i-len(h.local)]
}

func (h *holders) len() int { return len(h.local) + len(h.remote) }

// index maps targets to their holders. It is immutable and valid for all views of one
// topology version.
type index struct {
	topologyVersion uint64
	targets         map[target]*holders
}

func newIndex(view aubmembership.View, zone string) *index {
	ix := &index{topologyVersion: view.TopologyVersion(), targets: make(map[target]*holders)}
	for _, m := range view.Members() {
		ix.addMember(m.Announcement, zone)
	}
	return ix
}

func (ix *index) addMember(a *aubwire.Announcement, zone string) {
	for _, service := range a.GetBackend().GetServices() {
		ix.addHolder(target{kind: kindService, name: service}, a, zone)
	}
	for _, r := range a.GetBackend().GetResident() {
		t := target{kind: kindModel, name: r.GetName()}
		if r.GetAdapter() {
			t.kind = kindAdapter
		}
		switch r.GetState() {
		case aubwire.Residency_RESIDENCY_READY:
			ix.addHolder(t, a, zone)
		case aubwire.Residency_RESIDENCY_LOADING:
			ix.holdersOf(t).isLoading = true
		}
	}
}

func (ix *index) addHolder(t target, a *aubwire.Announcement, zone string) {
	h := ix.holdersOf(t)
	if a.GetLeaving() {
		return
	}
	if a.GetZone() == zone {
		h.local = append(h.local, a.GetName())
		return
	}
	h.remote = append(h.remote, a.GetName())
}

// holdersOf returns the holders of the target, created on first use.
func (ix *index) holdersOf(t target) *holders {
	h := ix.targets[t]
	if h == nil {
		h = &holders{}
		ix.targets[t] = h
	}
	return h
}
