package aubsite

import (
	"sync/atomic"
	"time"
)

// IsDeferrable reports whether the route's objective is at least spread times the shortest
// objective of the routes to one of its services: other requests there are more urgent. It is
// false if spread is 0.
func (s *Site) IsDeferrable(route Route, spread float64) bool {
	if spread <= 0 {
		return false
	}
	for _, target := range route.Targets {
		shortest := s.shortestObjectives[target.Service]
		if shortest > 0 && route.Objective.Seconds() >= spread*shortest.Seconds() {
			return true
		}
	}
	return false
}

// HasDeferrableRoutes reports whether any route is deferrable by the spread.
func (s *Site) HasDeferrableRoutes(spread float64) bool {
	for _, routes := range s.routesByHost {
		for _, route := range routes {
			if s.IsDeferrable(route, spread) {
				return true
			}
		}
	}
	return false
}

// ShortestPause returns the shortest pause objective of the routes to the service; 0 if none
// has one.
func (s *Site) ShortestPause(service string) time.Duration { return s.shortestPauses[service] }

// addObjectives records the objectives of a route for its services.
func (s *Site) addObjectives(route Route) {
	for _, target := range route.Targets {
		recordShortest(s.shortestObjectives, target.Service, route.Objective)
		recordShortest(s.shortestPauses, target.Service, route.PauseObjective)
	}
}

func recordShortest(shortest map[string]time.Duration, service string, d time.Duration) {
	if known := shortest[service]; d > 0 && (known == 0 || d < known) {
		shortest[service] = d
	}
}

// DeferrableCheck tells whether a configuration has routes that are deferrable by a spread. It keeps
// the answer for the configuration that was asked for last. It is safe for concurrent use.
type DeferrableCheck struct {
	spread float64
	last   atomic.Pointer[checkedSite]
}

// checkedSite is a configuration and whether it has deferrable routes.
type checkedSite struct {
	site          *Site
	hasDeferrable bool
}

// NewDeferrableCheck returns a check for the spread.
func NewDeferrableCheck(spread float64) *DeferrableCheck { return &DeferrableCheck{spread: spread} }

// Has reports whether the configuration has deferrable routes; false if it or the check is nil.
func (c *DeferrableCheck) Has(site *Site) bool {
	if c == nil || c.spread <= 0 || site == nil {
		return false
	}
	last := c.last.Load()
	if last == nil || last.site != site {
		last = &checkedSite{site: site, hasDeferrable: site.HasDeferrableRoutes(c.spread)}
		c.last.Store(last)
	}
	return last.hasDeferrable
}

// IsDeferrable reports whether the route of the configuration is deferrable by the spread.
func (c *DeferrableCheck) IsDeferrable(site *Site, route Route) bool {
	return c != nil && site.IsDeferrable(route, c.spread)
}
