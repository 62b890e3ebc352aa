package aubsite_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubsite"
)

// TestDeferrableRoutes guards against admission by objective in deployments whose objectives
// are close together, and against none where they differ.
func TestDeferrableRoutes(t *testing.T) {
	route := func(prefix string, objective time.Duration, services ...string) aubsite.Route {
		r := aubsite.Route{Name: prefix, Host: "h", Prefix: prefix, Timeout: time.Minute, Objective: objective, PauseObjective: objective / 4}
		for _, s := range services {
			r.Targets = append(r.Targets, aubsite.Target{Service: s, Weight: 1})
		}
		return r
	}
	urgent, plain := route("/u/", 800*time.Millisecond, "engines"), route("/p/", 100*time.Millisecond, "plain")
	unknown := route("/n/", 0, "engines")
	for name, c := range map[string]struct {
		batch        aubsite.Route
		spread       float64
		isDeferrable bool
	}{
		"spread reached":         {batch: route("/b/", 6400*time.Millisecond, "engines"), spread: 8, isDeferrable: true},
		"spread not reached":     {batch: route("/b/", 4*time.Second, "engines"), spread: 8},
		"other service":          {batch: route("/b/", 800*time.Millisecond, "engines"), spread: 8},
		"one service of several": {batch: route("/b/", 2*time.Second, "engines", "plain"), spread: 8, isDeferrable: true},
		"off":                    {batch: route("/b/", time.Hour, "engines"), spread: 0},
	} {
		t.Run(name, func(t *testing.T) {
			site, err := aubsite.New(aubsite.Spec{
				Services: []aubsite.Service{{Name: "engines"}, {Name: "plain"}}, Routes: []aubsite.Route{urgent, plain, unknown, c.batch},
			})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, site.IsDeferrable(c.batch, c.spread), qt.Equals, c.isDeferrable)
			qt.Assert(t, site.IsDeferrable(urgent, c.spread), qt.IsFalse)
			qt.Assert(t, site.IsDeferrable(unknown, c.spread), qt.IsFalse)
			qt.Assert(t, site.HasDeferrableRoutes(c.spread), qt.Equals, c.isDeferrable)
			qt.Assert(t, site.ShortestPause("engines"), qt.Equals, 200*time.Millisecond)
		})
	}
}
