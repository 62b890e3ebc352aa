package aubregistry

import (
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// softwareRetention is how long a version counts after the last registration with it, so that
// streams of backend servers that are gone are known.
const softwareRetention = 2 * time.Minute

// softwareKey is a software version of a service.
type softwareKey struct {
	service  string
	software string
}

// SoleSoftware returns the software version of the service if all its backend servers that
// registered within softwareRetention had the same one.
func (r *Registry) SoleSoftware(service string) (software string, ok bool) {
	now := r.common.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	versions := 0
	for key, seenAt := range r.softwareSeen {
		if key.service == service && now.Sub(seenAt) <= softwareRetention {
			software = key.software
			versions++
		}
	}
	return software, versions == 1
}

// SoftwareSeen returns the versions of all services with the ages of their last registrations.
func (r *Registry) SoftwareSeen() []*aubwire.SoftwareSeen {
	now := r.common.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := make([]*aubwire.SoftwareSeen, 0, len(r.softwareSeen))
	for key, seenAt := range r.softwareSeen {
		if now.Sub(seenAt) > softwareRetention {
			delete(r.softwareSeen, key)
			continue
		}
		seen = append(seen, &aubwire.SoftwareSeen{Service: key.service, Software: key.software, SeenAgoMs: now.Sub(seenAt).Milliseconds()})
	}
	return seen
}

// MergeSoftware applies the versions that another process has seen.
func (r *Registry) MergeSoftware(seen []*aubwire.SoftwareSeen) {
	now := r.common.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range seen {
		r.noteSoftware(softwareKey{service: s.GetService(), software: s.GetSoftware()}, now.Add(-time.Duration(s.GetSeenAgoMs())*time.Millisecond))
	}
}

// noteSoftware notes a registration with the version; the caller holds mu.
func (r *Registry) noteSoftware(key softwareKey, seenAt time.Time) {
	if seenAt.After(r.softwareSeen[key]) {
		r.softwareSeen[key] = seenAt
	}
}
