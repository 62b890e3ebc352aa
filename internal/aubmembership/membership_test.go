package aubmembership_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// interval is the time between announcements.
	interval = 100 * time.Millisecond
	// waitLimit is the maximum time to wait for a condition.
	waitLimit = 10 * time.Second
)

// TestMain uses a fixed seed for rapid unless one is set and fails on leaked
// goroutines.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("20261203")
	}
	// The goroutines that run already belong to gnet's pool, which its package starts.
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent())
}

// startMembership runs a membership on a free port until the test ends.
func startMembership(t testing.TB, self *aubwire.Announcement, seeds ...string) *aubmembership.Membership {
	return startMembershipOn(t, "127.0.0.1:0", self, seeds...)
}

// startMembershipOn runs a membership on the given address until the test ends.
func startMembershipOn(t testing.TB, listen string, self *aubwire.Announcement, seeds ...string) *aubmembership.Membership {
	ctx, cancel := context.WithCancel(context.Background())
	m, err := aubmembership.NewMembership(ctx, aubcommon.NewCommon(aubtimer.NewReal()), aubmembership.MembershipOpts{
		Listen: listen, Seeds: seeds, Secret: []byte("secret"),
		Self:     func() *aubwire.Announcement { return self },
		Interval: interval, Timeout: 10 * interval,
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		cancel()
		<-m.Done()
	})
	return m
}

// eventually waits for a condition.
func eventually(t testing.TB, condition string, isMet func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !isMet() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", waitLimit, condition)
		}
		time.Sleep(time.Millisecond)
	}
}

// entry returns the announcement of an entry.
func entry(name string) *aubwire.Announcement {
	return &aubwire.Announcement{Name: name, Role: aubwire.Role_ROLE_ENTRY, Incarnation: 1}
}

// agent returns the announcement of an agent with the given number of residents.
func agent(name string, residents int) *aubwire.Announcement {
	a := &aubwire.Announcement{
		Name: name, Role: aubwire.Role_ROLE_AGENT, Incarnation: 1, Zone: "a",
		Backend: &aubwire.BackendReport{Engine: true},
	}
	for i := range residents {
		a.Backend.Resident = append(a.Backend.Resident, &aubwire.Resident{
			Name: fmt.Sprintf("adapter-%03d-of-a-workspace", i), Adapter: true, State: aubwire.Residency_RESIDENCY_READY,
		})
	}
	return a
}

// residentCount returns the number of residents that m knows of a member, or -1 if
// the member is unknown.
func residentCount(m *aubmembership.Membership, name string) int {
	member, ok := m.View().Member(name)
	if !ok {
		return -1
	}
	return len(member.Announcement.GetBackend().GetResident())
}

func TestAnnouncementToOneEntryIsRelayedToAll(t *testing.T) {
	e1 := startMembership(t, entry("e1"))
	e2 := startMembership(t, entry("e2"), e1.Address().String())
	// 200 residents need several datagrams.
	startMembership(t, agent("w1", 200), e2.Address().String())
	eventually(t, "e2 has all residents of w1", func() bool { return residentCount(e2, "w1") == 200 })
	eventually(t, "e1 has all residents of w1", func() bool { return residentCount(e1, "w1") == 200 })
}

func TestDemandAboveLimitIsAnnouncedInRotation(t *testing.T) {
	e1 := startMembership(t, entry("e1"))
	busy := entry("e2")
	const rows = 60
	for i := range rows {
		busy.Demand = append(busy.Demand, &aubwire.ModelDemand{Name: fmt.Sprintf("m%02d", i), Rate: 1})
	}
	startMembership(t, busy, e1.Address().String())
	seen := map[string]bool{}
	eventually(t, "every row has been announced", func() bool {
		member, _ := e1.View().Member("e2")
		demand := member.Announcement.GetDemand()
		if len(demand) > aubmembership.MaxDemandRows {
			t.Fatalf("%d rows in one announcement", len(demand))
		}
		for _, row := range demand {
			seen[row.GetName()] = true
		}
		return len(seen) == rows
	})
}

func TestLeaveIsAnnouncedAndUnresponsiveMemberIsLost(t *testing.T) {
	e1 := startMembership(t, entry("e1"))
	w1 := startMembership(t, agent("w1", 1), e1.Address().String())
	ctx, cancel := context.WithCancel(context.Background())
	w2, err := aubmembership.NewMembership(ctx, aubcommon.NewCommon(aubtimer.NewReal()), aubmembership.MembershipOpts{
		Listen: "127.0.0.1:0", Seeds: []string{e1.Address().String()}, Secret: []byte("secret"),
		Self: func() *aubwire.Announcement { return agent("w2", 0) }, Interval: interval,
	})
	qt.Assert(t, err, qt.IsNil)
	eventually(t, "both agents are members", func() bool { return len(e1.View().Role(aubwire.Role_ROLE_AGENT)) == 2 })

	w1.Leave()
	eventually(t, "w1 is leaving", func() bool {
		member, _ := e1.View().Member("w1")
		return member.Announcement.GetLeaving()
	})
	cancel()
	<-w2.Done()
	eventually(t, "w2 is lost", func() bool {
		lost := e1.View().Lost()
		return len(lost) == 1 && lost[0].Announcement.GetName() == "w2"
	})
}

func TestDatagramsWithWrongSecretAreRejected(t *testing.T) {
	e1 := startMembership(t, entry("e1"))
	ctx, cancel := context.WithCancel(context.Background())
	w, err := aubmembership.NewMembership(ctx, aubcommon.NewCommon(aubtimer.NewReal()), aubmembership.MembershipOpts{
		Listen: "127.0.0.1:0", Seeds: []string{e1.Address().String()}, Secret: []byte("other"),
		Self: func() *aubwire.Announcement { return agent("w1", 0) }, Interval: interval,
	})
	qt.Assert(t, err, qt.IsNil)
	startMembership(t, agent("w2", 0), e1.Address().String())
	eventually(t, "w2 is a member", func() bool { return residentCount(e1, "w2") == 0 })
	qt.Assert(t, residentCount(e1, "w1"), qt.Equals, -1)
	cancel()
	<-w.Done()
}

func TestListenOnAddressInUseFails(t *testing.T) {
	e1 := startMembership(t, entry("e1"))
	_, err := aubmembership.NewMembership(context.Background(), aubcommon.NewCommon(aubtimer.NewReal()),
		aubmembership.MembershipOpts{
			Listen: e1.Address().String(), Secret: []byte("secret"),
			Self: func() *aubwire.Announcement { return entry("e2") },
		})
	qt.Assert(t, err, qt.ErrorMatches, ".*address already in use.*")
}
