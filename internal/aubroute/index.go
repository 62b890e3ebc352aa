package aubroute

import (
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubwire"
)

type targetKind int

const (
	kindModel targetKind = iota
	kindAdapter
	kindService
)

// target is what a request needs a member to hold.
type target struct {
	kind targetKind
	name string
}

// holders lists by zone the names of the members that hold one target ready.
type holders struct {
	near    []string
	far     []string
	loading bool
}

// at returns the i-th holder: the near ones come first.
func (h *holders) at(i int) string {
	if i < len(h.near) {
		return h.near[i]
	}
	return h.far[i-len(h.near)]
}

func (h *holders) len() int { return len(h.near) + len(h.far) }

// index finds the holders of a target. It is immutable and serves all views of
// one shape.
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

func (ix *index) of(t target) *holders {
	h := ix.targets[t]
	if h == nil {
		h = &holders{}
		ix.targets[t] = h
	}
	return h
}
