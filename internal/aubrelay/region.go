package aubrelay

import (
	"net/http"
	"slices"
	"time"

	"github.com/auburndale/auburndale/internal/aubsite"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// emptyRegionRetryAfter applies while the regions in which a request may run hold no backend server
// of its service: one takes seconds to start.
const emptyRegionRetryAfter = 3 * time.Second

// bindRegions sets the regions in which the request may run. It refuses a request whose route and
// workspace have none in common.
func (h *Handler) bindRegions(ex *exchange) error {
	regions, ok := aubsite.AllowedRegions(ex.route, ex.workspace)
	if !ok {
		return newRefusal(http.StatusServiceUnavailable, CodeNoAllowedRegion, 0)
	}
	ex.regions = regions
	return nil
}

// hasBackendInRegions reports whether a backend server of the request's service is ready in one of
// the regions in which the request may run. It is true for a request that may run anywhere.
func (h *Handler) hasBackendInRegions(ex *exchange) bool {
	if len(ex.regions) == 0 {
		return true
	}
	return h.opts.RegionOf != nil && slices.ContainsFunc(h.opts.Registry.Records(), func(record *aubwire.BackendRecord) bool {
		return record.GetService() == ex.service && record.GetState() == aubwire.BackendState_BACKEND_STATE_READY &&
			aubsite.InRegions(ex.regions, h.opts.RegionOf(record.GetZone()))
	})
}
