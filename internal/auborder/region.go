package auborder

import (
	"slices"
	"time"

	"github.com/auburndale/auburndale/internal/aubsite"
)

// maxRegionRequests limits the sets of regions that are kept for a model.
const maxRegionRequests = 16

// regionRequest is a request for a copy in one of the regions.
type regionRequest struct {
	regions []string
	at      time.Time
}

// addRegionRequest returns the requests with the new one, which replaces an earlier one with the
// same regions. A request without regions and those older than copyRequestTTL are left out.
func addRegionRequest(requests []regionRequest, added regionRequest) []regionRequest {
	kept := slices.DeleteFunc(slices.Clone(requests), func(r regionRequest) bool {
		return slices.Equal(r.regions, added.regions) || added.at.Sub(r.at) >= copyRequestTTL
	})
	if len(added.regions) > 0 {
		kept = append(kept, added)
	}
	return kept[max(len(kept)-maxRegionRequests, 0):]
}

// waitingRegions returns the sets of regions in which callers wait for a copy.
func waitingRegions(now time.Time, requests []regionRequest) [][]string {
	var waiting [][]string
	for _, r := range requests {
		if now.Sub(r.at) < copyRequestTTL {
			waiting = append(waiting, r.regions)
		}
	}
	return waiting
}

func (d *Director) regionOf(zone string) string {
	if d.opts.RegionOf == nil {
		return ""
	}
	return d.opts.RegionOf(zone)
}

// isInRegions reports whether the engine is in one of the regions, none for any.
func (d *Director) isInRegions(regions []string, e *engineState) bool {
	if len(regions) == 0 {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return aubsite.InRegions(regions, d.regionOf(e.record.GetZone()))
}
