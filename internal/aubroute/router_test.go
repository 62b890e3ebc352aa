package aubroute_test

import (
	"errors"
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// TestMain sets a fixed rapid seed, unless the flag sets one, so that runs are
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("20261203")
	}
	os.Exit(m.Run())
}

// fakeSource is a membership source whose view is set by the test.
type fakeSource struct {
	timer           *aubtimer.Manual
	members         []aubmembership.Member
	topologyVersion uint64
	// frozen is the view after freeze; nil before.
	frozen *aubmembership.View
}

// freeze makes View return the present view from now on.
func (s *fakeSource) freeze() {
	v := s.View()
	s.frozen = &v
}

func (s *fakeSource) View() aubmembership.View {
	if s.frozen != nil {
		return *s.frozen
	}
	return aubmembership.NewView(s.timer.Now(), s.members...).WithTopologyVersion(s.topologyVersion)
}

// report replaces the announcement of a member, received now. The change, if any, is
// applied to the default announcement.
func (s *fakeSource) report(name, zone string, change func(*aubwire.Announcement)) {
	a := &aubwire.Announcement{
		Name: name, Zone: zone, Role: aubwire.Role_ROLE_AGENT, Incarnation: 1,
		Backend: &aubwire.BackendReport{
			Engine: true, PrefillRate: 1000,
			Resident: []*aubwire.Resident{{Name: "m", State: aubwire.Residency_RESIDENCY_READY}},
		},
	}
	if change != nil {
		change(a)
	}
	s.topologyVersion++
	m := aubmembership.Member{Announcement: a, ReceivedAt: s.timer.Now()}
	for i := range s.members {
		if s.members[i].Announcement.GetName() == name {
			s.members[i] = m
			return
		}
	}
	s.members = append(s.members, m)
}

func newRouter(t testing.TB, policy string) (*aubroute.Router, *fakeSource) {
	return newRouterWith(t, policy, func(*aubroute.RouterOpts) {})
}

// newRouterWith returns a router with changed options.
func newRouterWith(t testing.TB, policy string, change func(*aubroute.RouterOpts)) (*aubroute.Router, *fakeSource) {
	timer := aubtimer.NewManual(time.Unix(1000, 0))
	source := &fakeSource{timer: timer}
	opts := aubroute.RouterOpts{Policy: policy, Zone: "a", Source: source, Rand: rand.New(rand.NewPCG(1, 2))}
	change(&opts)
	r, err := aubroute.NewRouter(aubcommon.NewCommon(timer), opts)
	qt.Assert(t, err, qt.IsNil)
	return r, source
}

func TestPickWithoutHolderReturnsNoBackendError(t *testing.T) {
	r, source := newRouter(t, aubroute.PolicyExpectedFirstToken)
	source.report("w1", "a", func(a *aubwire.Announcement) {
		a.Backend.Resident[0].State = aubwire.Residency_RESIDENCY_LOADING
	})
	_, err := r.Pick(aubroute.Request{Model: "m"})
	var noBackend *aubroute.NoBackendError
	qt.Assert(t, errors.As(err, &noBackend), qt.IsTrue)
	qt.Assert(t, noBackend.Known, qt.IsTrue)
	qt.Assert(t, noBackend.RetryAfter > 0, qt.IsTrue)
}

func TestPickAddsOwnRequestsSinceTheReport(t *testing.T) {
	r, source := newRouter(t, aubroute.PolicyExpectedFirstToken)
	source.report("w1", "a", nil)
	source.report("w2", "a", nil)
	picked := map[string]int{}
	for range 10 {
		c, err := r.Pick(aubroute.Request{Model: "m", PromptTokens: 500})
		qt.Assert(t, err, qt.IsNil)
		c.Started()
		picked[c.Member.Announcement.GetName()]++
	}
	qt.Assert(t, picked, qt.DeepEquals, map[string]int{"w1": 5, "w2": 5})
}

// TestReservationFailsOnceTheLoadHasGrown guards against requests that are sent by a load which does
// not contain the requests that were sent since the choice.
func TestReservationFailsOnceTheLoadHasGrown(t *testing.T) {
	r, source := newRouter(t, aubroute.PolicyExpectedFirstToken)
	source.report("w1", "a", nil)
	pick := func(wantInFlight int) aubroute.Choice {
		c, err := r.Pick(aubroute.Request{Model: "m"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, c.InFlight, qt.Equals, wantInFlight)
		return c
	}
	first, second := pick(0), pick(0)
	qt.Assert(t, first.Reserve(), qt.IsTrue)
	qt.Assert(t, second.Reserve(), qt.IsFalse)
	third := pick(1)
	first.Started()
	qt.Assert(t, third.Reserve(), qt.IsTrue)
	third.Cancel()
	fourth := pick(1)
	first.Finished(goodOutcome(""))
	qt.Assert(t, fourth.Reserve(), qt.IsTrue)
	fourth.Started()
	pick(1)
	fourth.Finished(goodOutcome(""))
	pick(0)
}

func TestRoundRobinChoosesMembersInOrder(t *testing.T) {
	r, source := newRouter(t, aubroute.PolicyRoundRobin)
	for _, name := range []string{"w1", "w2", "w3"} {
		source.report(name, "a", nil)
	}
	order := make([]string, 0, 6)
	for range 6 {
		c, err := r.Pick(aubroute.Request{Model: "m"})
		qt.Assert(t, err, qt.IsNil)
		order = append(order, c.Member.Announcement.GetName())
	}
	qt.Assert(t, order, qt.DeepEquals, []string{"w1", "w2", "w3", "w1", "w2", "w3"})
}

// TestMeasuredPrefillRateReplacesTheAssumed guards against estimates by the assumed rate for a model
// that is measured, and against a measured rate that is multiplied by the speed again.
func TestMeasuredPrefillRateReplacesTheAssumed(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(1000, 0))
	source := &fakeSource{timer: timer}
	source.report("measured", "z", func(a *aubwire.Announcement) { a.Backend.PrefillRate = 0 })
	router, err := aubroute.NewRouter(aubcommon.NewCommon(timer), aubroute.RouterOpts{
		Zone: "z", Source: source, PrefillRate: 40000, Rand: rand.New(rand.NewPCG(1, 1)),
		Speed: func(string, uint64) float64 { return 0.5 },
		PrefillRateOf: func(member string, incarnation uint64, model string) (float64, bool) {
			return 10000, member == "measured" && incarnation == 1 && model == "m"
		},
	})
	qt.Assert(t, err, qt.IsNil)
	choice, err := router.Pick(aubroute.Request{Model: "m", PromptTokens: 5000})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, choice.IsRateMeasured, qt.IsTrue)
	qt.Assert(t, choice.PrefillRate, qt.Equals, 10000.0)
	qt.Assert(t, choice.ExpectedFirstToken, qt.Equals, 500*time.Millisecond)

	source.report("measured", "z", func(a *aubwire.Announcement) { a.Incarnation, a.Backend.PrefillRate = 2, 0 })
	choice, err = router.Pick(aubroute.Request{Model: "m", PromptTokens: 5000})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, choice.IsRateMeasured, qt.IsFalse)
	qt.Assert(t, choice.PrefillRate, qt.Equals, 20000.0)
}
