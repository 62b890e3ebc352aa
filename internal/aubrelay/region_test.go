package aubrelay_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubsite"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// TestRequestsStayInTheirRegions guards against a body that reaches a backend server outside the regions of the route and
// the workspace: at the first attempt, after failures, and while the region has no backend server.
func TestRequestsStayInTheirRegions(t *testing.T) {
	regionOf := map[string]string{"z1": "r1", "z2": "r2", "z3": "r3"}
	zones := map[string]string{"b1": "z1", "b2": "z2", "b3": "z3", "b4": "z1"}
	for _, test := range []struct {
		name             string
		route, workspace string
		leaving          string
		// want names the regions in which the request may run; empty if it is refused.
		want           string
		wantRetryAfter bool
	}{
		{name: "any", want: "r1 r2 r3"},
		{name: "route", route: "r1", want: "r1"},
		{name: "workspace", workspace: "r2", want: "r2"},
		{name: "both", route: "r1 r3", workspace: "r2 r3", want: "r3"},
		{name: "nothing in common", route: "r1", workspace: "r2"},
		{name: "unknown region", route: "r9", wantRetryAfter: true},
		{name: "no backend server left", route: "r2", leaving: "b2", wantRetryAfter: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newRelayFixture(t, "b1", "b2", "b3", "b4")
			fixture.regions = regionOf
			for name, zone := range zones {
				state := aubwire.BackendState_BACKEND_STATE_READY
				if name == test.leaving {
					state = aubwire.BackendState_BACKEND_STATE_DRAINING
				}
				fixture.registry.Register(&aubwire.BackendRecord{
					Id: name, Service: "s", Zone: zone, Address: fixture.backends[name].server.Listener.Addr().String(), StartedMs: 100, Sequence: 1, State: state,
				})
			}
			site, err := aubsite.New(aubsite.Spec{
				Number: 1, Services: []aubsite.Service{{Name: "s"}},
				Routes: []aubsite.Route{{
					Name: "read", Host: "127.0.0.1", Prefix: "/read/", Kind: aubsite.KindIdempotent, Timeout: time.Second, MaxAttempts: 3,
					Targets: []aubsite.Target{{Service: "s", Weight: 1}}, Regions: strings.Fields(test.route),
				}},
				Workspaces: []aubsite.Workspace{{Name: "w", Keys: []string{"key"}, Regions: strings.Fields(test.workspace)}},
			})
			qt.Assert(t, err, qt.IsNil)
			fixture.site.site = site
			for i := range 12 {
				id := strconv.Itoa(i)
				if i%2 == 1 {
					// The first attempts fail, so that others follow.
					fixture.setBehaviors(dropResponse)
				}
				result := fixture.call(http.MethodGet, "/read/x", id, nil)
				names := fixture.ranAt(id)
				for _, name := range names {
					qt.Check(t, strings.Contains(test.want, regionOf[zones[name]]), qt.IsTrue, qt.Commentf("ran in zone %s", zones[name]))
				}
				if test.want != "" {
					qt.Check(t, len(names) > 0, qt.IsTrue)
					continue
				}
				qt.Check(t, result.status, qt.Equals, http.StatusServiceUnavailable)
				qt.Check(t, result.header.Get(headerCode), qt.Equals, "no_allowed_region")
				qt.Check(t, result.header.Get("Retry-After") != "", qt.Equals, test.wantRetryAfter)
				qt.Check(t, names, qt.HasLen, 0)
			}
		})
	}
}
