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
	near    []string
	far     []string
	// loading is set when the target is being loaded on some member.
	loading bool
}

// at returns the i-th holder; those of the local zone come first.
func (h *holders) at(i int) string {
	if i < len(h.near) {
		return h.near[i]
	}
	return h.far[i-len(h.near)]
}

func (h *holders) len() int { return len(h.near) + len(h.far) }

// index maps targets to their holders. It is immutable and valid for all views of one
// topology version.
type index struct {
	shape   uint64
	targets map[target]*holders
}

func newIndex(v aubmembership.View, zone string) *index {
	ix := &index{shape: v.Shape(), targets: make(map[target]*holders)}
	for _, m := range v.Members() {
		ix.addMember(m.Announcement, zone)
	}
	return ix
}

func (ix *index) addMember(a *aubwire.Announcement, zone string) {
	for _, service := range a.GetBackend().GetServices() {
		ix.add(target{kind: kindService, name: service}, a, zone)
	}
	for _, r := range a.GetBackend().GetResident() {
		t := target{kind: kindModel, name: r.GetName()}
		if r.GetAdapter() {
			t.kind = kindAdapter
		}
		switch r.GetState() {
		case aubwire.Residency_RESIDENCY_READY:
			ix.add(t, a, zone)
		case aubwire.Residency_RESIDENCY_LOADING:
			ix.of(t).loading = true
		}
	}
}

func (ix *index) add(t target, a *aubwire.Announcement, zone string) {
	h := ix.of(t)
	if a.GetLeaving() {
		return
	}
	if a.GetZone() == zone {
		h.near = append(h.near, a.GetName())
		return
	}
	h.far = append(h.far, a.GetName())
}

// holdersOf returns the holders of the target, which it creates if missing.
func (ix *index) of(t target) *holders {
	h := ix.targets[t]
	if h == nil {
		h = &holders{}
		ix.targets[t] = h
	}
	return h
}
