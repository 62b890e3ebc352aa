package aubroute_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// TestDrainedZoneGetsOnlyWhatItsUseAllows takes every way on which the router chooses a member,
// and guards against one that leads to a drained zone.
func TestDrainedZoneGetsOnlyWhatItsUseAllows(t *testing.T) {
	const closed, lastResort, open = aubroute.ZoneClosed, aubroute.ZoneLastResort, aubroute.ZoneOpen
	ready := func(adapter string) func(*aubwire.Announcement) {
		return func(a *aubwire.Announcement) {
			a.Backend.Resident = []*aubwire.Resident{{Name: "m", State: aubwire.Residency_RESIDENCY_READY}}
			if adapter != "" {
				a.Backend.Resident = append(a.Backend.Resident, &aubwire.Resident{Name: adapter, Adapter: true, State: aubwire.Residency_RESIDENCY_READY})
			}
		}
	}
	limited := func(a *aubwire.Announcement) { ready("")(a); a.Backend.LimitWaitMs = 60_000 }
	// eject ejects a member; a silent connection does so at once.
	eject := func(name, other string) func(*aubroute.Router) {
		return func(r *aubroute.Router) {
			choice, err := r.Pick(aubroute.Request{Model: "m", Exclude: []string{other}})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, choice.Member.Announcement.GetName(), qt.Equals, name)
			choice.Started()
			choice.Finished(aubroute.Outcome{Failure: aubroute.FailureSilent})
		}
	}
	for _, test := range []struct {
		name    string
		use     aubroute.ZoneUse
		request aubroute.Request
		// here and there are the members in the drained zone and in the other one; nil for none.
		here, there func(*aubwire.Announcement)
		prepare     func(r *aubroute.Router)
		want        string
	}{
		{"both serve while open", open, aubroute.Request{Model: "m"}, ready(""), nil, nil, "here"},
		{"first attempt", closed, aubroute.Request{Model: "m"}, ready(""), ready(""), nil, "there"},
		{"only copy", closed, aubroute.Request{Model: "m"}, ready(""), nil, nil, ""},
		{"retry after the other failed", closed, aubroute.Request{Model: "m", Exclude: []string{"there"}}, ready(""), ready(""), nil, ""},
		{"trial of an ejected member", closed, aubroute.Request{Model: "m"}, ready(""), nil, eject("here", "there"), ""},
		{"other ejected", closed, aubroute.Request{Model: "m"}, ready(""), ready(""), eject("there", "here"), "there"},
		{"other limited", closed, aubroute.Request{Model: "m"}, ready(""), limited, nil, ""},
		{"adapter", closed, aubroute.Request{Model: "m", Adapter: "a"}, ready("a"), ready(""), nil, ""},
		{"shared prefix", closed, aubroute.Request{Model: "m", SharedHash: 7, SharedTokens: 4096}, ready(""), ready(""), nil, "there"},
		{"last resort, other serves", lastResort, aubroute.Request{Model: "m", SharedHash: 7, SharedTokens: 4096}, ready(""), ready(""), nil, "there"},
		{"last resort, only copy", lastResort, aubroute.Request{Model: "m"}, ready(""), nil, nil, "here"},
		{"last resort, other limited", lastResort, aubroute.Request{Model: "m"}, ready(""), limited, nil, "here"},
		{"last resort, other excluded", lastResort, aubroute.Request{Model: "m", Exclude: []string{"there"}}, ready(""), ready(""), nil, "here"},
		{"last resort, other ejected", lastResort, aubroute.Request{Model: "m"}, ready(""), ready(""), eject("there", "here"), "here"},
	} {
		for _, policy := range []string{aubroute.PolicyExpectedFirstToken, aubroute.PolicyRoundRobin} {
			t.Run(fmt.Sprintf("%s, %s", test.name, policy), func(t *testing.T) {
				use := test.use
				router, source := newRouterWith(t, policy, func(opts *aubroute.RouterOpts) {
					opts.ZoneUse = func(zone string) aubroute.ZoneUse {
						if zone == "z1" {
							return use
						}
						return open
					}
				})
				if test.here != nil {
					source.report("here", "z1", test.here)
				}
				if test.there != nil {
					source.report("there", "z2", test.there)
				}
				if test.prepare != nil {
					use = open
					test.prepare(router)
					use = test.use
				}
				for range 50 {
					choice, err := router.Pick(test.request)
					var noBackend *aubroute.NoBackendError
					if test.want == "" {
						qt.Assert(t, errors.As(err, &noBackend), qt.IsTrue)
						qt.Assert(t, noBackend.RetryAfter > 0, qt.IsTrue)
						continue
					}
					qt.Assert(t, err, qt.IsNil)
					qt.Assert(t, choice.Member.Announcement.GetName(), qt.Equals, test.want)
					qt.Assert(t, choice.IsLastResort, qt.Equals, test.want == "here" && test.use == lastResort)
				}
			})
		}
	}
}

// TestRecoveringMemberGoesBeforeTheLastResort guards against requests that go to a drained zone
// because another zone's member gets only a part of its traffic while it recovers.
func TestRecoveringMemberGoesBeforeTheLastResort(t *testing.T) {
	router, source := newRouterWith(t, aubroute.PolicyExpectedFirstToken, func(opts *aubroute.RouterOpts) {
		opts.ZoneUse = func(zone string) aubroute.ZoneUse {
			if zone == "z1" {
				return aubroute.ZoneLastResort
			}
			return aubroute.ZoneOpen
		}
	})
	ready := func(a *aubwire.Announcement) {
		a.Backend.Resident = []*aubwire.Resident{{Name: "m", State: aubwire.Residency_RESIDENCY_READY}}
	}
	source.report("there", "z2", ready)
	choice, err := router.Pick(aubroute.Request{Model: "m"})
	qt.Assert(t, err, qt.IsNil)
	choice.Started()
	choice.Finished(aubroute.Outcome{Failure: aubroute.FailureSilent})
	source.timer.Advance(time.Minute)
	source.report("here", "z1", ready)
	source.report("there", "z2", ready)
	for range 50 {
		choice, err := router.Pick(aubroute.Request{Model: "m"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, choice.Member.Announcement.GetName(), qt.Equals, "there")
	}
}
