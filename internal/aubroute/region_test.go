package aubroute_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// TestPickStaysInTheRegions guards against a member of another region: by chance, by a cached prefix, as the owner of a
// shared prompt, or because all members of the region are ejected.
func TestPickStaysInTheRegions(t *testing.T) {
	regionOf := map[string]string{"a": "r1", "b": "r1", "c": "r2", "d": "r3"}
	for _, policy := range []string{aubroute.PolicyExpectedFirstToken, aubroute.PolicyRoundRobin, aubroute.PolicyLeastInFlight} {
		for _, test := range []struct {
			name    string
			regions []string
			zones   string
			want    map[string]bool
		}{
			{name: "any", zones: "abcd", want: map[string]bool{"a": true, "b": true, "c": true, "d": true}},
			{name: "first of two", regions: []string{"r1"}, zones: "abc", want: map[string]bool{"a": true, "b": true}},
			{name: "second of two", regions: []string{"r2"}, zones: "abc", want: map[string]bool{"c": true}},
			{name: "two of three", regions: []string{"r2", "r3"}, zones: "abcd", want: map[string]bool{"c": true, "d": true}},
			{name: "unknown region", regions: []string{"r9"}, zones: "abcd"},
			{name: "empty region", regions: []string{"r2"}, zones: "abd"},
			{name: "zone without a region", regions: []string{"r1", ""}, zones: "x"},
		} {
			t.Run(policy+"/"+test.name, func(t *testing.T) {
				timer := aubtimer.NewManual(time.Unix(1000, 0))
				source := &fakeSource{timer: timer}
				r, err := aubroute.NewRouter(aubcommon.NewCommon(timer), aubroute.RouterOpts{
					Policy: policy, Zone: "a", Source: source, Rand: rand.New(rand.NewPCG(1, 2)),
					RegionOf: func(zone string) string { return regionOf[zone] },
				})
				qt.Assert(t, err, qt.IsNil)
				zoneOf := make(map[string]string)
				for _, zone := range test.zones {
					for i := range 8 {
						name := fmt.Sprintf("%c%d", zone, i)
						zoneOf[name] = string(zone)
						source.report(name, string(zone), func(a *aubwire.Announcement) { a.Backend.PrefillRate = 1000 * float64(1+i) })
					}
				}
				got := make(map[string]bool)
				for i := range 400 {
					request := aubroute.Request{
						Model: "m", PromptTokens: 100, Regions: test.regions, PrefixHashes: []uint64{uint64(i % 3)}, SharedHash: uint64(i % 5), SharedTokens: 50,
					}
					if i%2 == 1 {
						// A request that may run anywhere leaves its prefix there.
						request.Regions = nil
					}
					c, err := r.Pick(request)
					if err != nil {
						qt.Assert(t, len(test.want), qt.Equals, 0)
						continue
					}
					if i%2 == 0 {
						got[zoneOf[c.Member.Announcement.GetName()]] = true
					}
					c.Started()
					outcome := aubroute.Outcome{FirstToken: time.Millisecond, Duration: time.Millisecond}
					if i > 200 && i%2 == 0 {
						outcome = aubroute.Outcome{Failure: aubroute.FailureConnection}
					}
					c.Finished(outcome)
					timer.Advance(time.Millisecond)
				}
				qt.Assert(t, len(got) > 0, qt.Equals, len(test.want) > 0)
				for zone := range got {
					qt.Assert(t, test.want[zone], qt.IsTrue, qt.Commentf("zone %s", zone))
				}
			})
		}
	}
}
