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

// SoftwareVersions returns the software versions of the backend servers of the service that
// registered within softwareRetention.
func (r *Registry) SoftwareVersions(service string) []string {
	now := r.common.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var versions []string
	for key, seenAt := range r.softwareSeen {
		if key.service == service && now.Sub(seenAt) <= softwareRetention {
			versions = append(versions, key.software)
		}
	}
	return versions
}

// SoftwareSeen returns the versions of all services that the configuration names, with the ages of
// their last registrations.
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
		if r.isService != nil && !r.isService(key.service) {
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
