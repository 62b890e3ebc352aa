package aubregistry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// TestSilentRelayIsKnownForMinutes guards against a restarted relay that takes the few relays
// which a cut-off control process hears for all.
func TestSilentRelayIsKnownForMinutes(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(0, 0))
	loads := aubregistry.NewLoadAggregator(aubcommon.NewCommon(timer))
	for _, relay := range []string{"r1", "r2", "r3"} {
		loads.AddReport(&aubwire.LoadReport{Instance: relay, Incarnation: 1})
	}
	timer.Advance(time.Minute)
	loads.AddReport(&aubwire.LoadReport{Instance: "r1", Incarnation: 2})
	qt.Assert(t, loads.PeerCount("r1"), qt.Equals, 0)
	qt.Assert(t, loads.KnownRelays(), qt.Equals, 3)
	timer.Advance(4*time.Minute + time.Second)
	qt.Assert(t, loads.KnownRelays(), qt.Equals, 1)
}

// TestNewestRateLimitCounts merges reports of three relays about one backend server.
func TestNewestRateLimitCounts(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(0, 0))
	loads := aubregistry.NewLoadAggregator(aubcommon.NewCommon(timer))
	report := func(relay string, limit *aubwire.BackendLimit) {
		limit.Id, limit.Stated = "b", true
		loads.AddReport(&aubwire.LoadReport{Instance: relay, Incarnation: 1, Limits: []*aubwire.BackendLimit{limit}})
	}
	report("r1", &aubwire.BackendLimit{Incarnation: 1, Limited: true, PerSecond: 2, StatedAgoMs: 500})
	qt.Assert(t, loads.RateLimits(), qt.DeepEquals, map[string]float64{"b": 2})
	timer.Advance(time.Second)
	report("r2", &aubwire.BackendLimit{Incarnation: 1, Limited: true, PerSecond: 1, StatedAgoMs: 2000})
	qt.Assert(t, loads.RateLimits(), qt.DeepEquals, map[string]float64{"b": 2})
	report("r2", &aubwire.BackendLimit{Incarnation: 1, StatedAgoMs: 100})
	qt.Assert(t, loads.RateLimits(), qt.DeepEquals, map[string]float64{})
	report("r3", &aubwire.BackendLimit{Incarnation: 2, Limited: true, PerSecond: 5, StatedAgoMs: 900})
	qt.Assert(t, loads.RateLimits(), qt.DeepEquals, map[string]float64{"b": 5})
	timer.Advance(time.Second)
	for _, limit := range loads.Limits() {
		if limit.GetIncarnation() == 2 {
			qt.Assert(t, limit.GetStatedAgoMs(), qt.Equals, int64(1900))
		}
	}
}
