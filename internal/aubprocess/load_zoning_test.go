package aubprocess

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubsettings"
	"github.com/auburndale/auburndale/internal/aubsite"
)

// TestLoadsAreSummedOnlyWhereAskedFor guards against another exchange of loads in a deployment
// whose settings or configuration do not call for it.
func TestLoadsAreSummedOnlyWhereAskedFor(t *testing.T) {
	site := func(objective time.Duration) *aubsite.Site {
		route := func(prefix string, objective time.Duration) aubsite.Route {
			return aubsite.Route{Name: prefix, Host: "h", Prefix: prefix, Timeout: time.Minute, Objective: objective, Targets: []aubsite.Target{{Service: "s", Weight: 1}}}
		}
		s, err := aubsite.New(aubsite.Spec{Services: []aubsite.Service{{Name: "s"}}, Routes: []aubsite.Route{route("/a/", time.Second), route("/b/", objective)}})
		qt.Assert(t, err, qt.IsNil)
		return s
	}
	deferrable, even := site(8*time.Second), site(2*time.Second)
	for name, c := range map[string]struct {
		membership, admission, relays int
		site                          *aubsite.Site
		isZoned                       bool
	}{
		"no settings":             {relays: 500, site: deferrable},
		"many relays":             {membership: 64, relays: 65, isZoned: true},
		"not more than allowed":   {membership: 64, admission: 16, relays: 64, site: even},
		"deferrable routes":       {membership: 64, admission: 16, relays: 17, site: deferrable, isZoned: true},
		"few relays":              {membership: 64, admission: 16, relays: 16, site: deferrable},
		"no configuration so far": {membership: 64, admission: 16, relays: 24},
		"number not known":        {membership: 64, admission: 16, site: deferrable},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := aubsettings.Settings{Membership: aubsettings.Membership{DirectPeers: c.membership}, Admission: aubsettings.Admission{ObjectiveSpread: 8, DirectPeers: c.admission}}
			z := newLoadZoning(cfg, func() *aubsite.Site { return c.site })
			z.setRelays(c.relays)
			qt.Assert(t, z.isZoned(), qt.Equals, c.isZoned)
		})
	}
}
