package aubthrottle_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/auboption"
	"github.com/auburndale/auburndale/internal/aubthrottle"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// instance is a throttle whose number of heard peers the test sets.
type instance struct {
	*aubthrottle.Throttle
	heardPeers int
}

func newInstance(timer aubtimer.Service, instances, heardPeers int) *instance {
	i := &instance{heardPeers: heardPeers}
	i.Throttle = aubthrottle.New(aubcommon.NewCommon(timer), aubthrottle.Opts{HeardPeers: func() int { return i.heardPeers }})
	if instances > 0 {
		i.SetInstances(instances)
	}
	return i
}

// takeAll returns the number of requests that are admitted now.
func (i *instance) takeAll() int {
	admitted := 0
	for i.Take("", modelBackend) {
		admitted++
	}
	return admitted
}

func limitOf(perSecond float64) auboption.Option[float64] { return auboption.Some(perSecond) }

func TestNewerStatementCounts(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(0, 0))
	i := newInstance(timer, 2, 1)
	report := func(limited bool, ago time.Duration) {
		i.Merge("peer", 1, []*aubwire.BackendLimit{{
			Id: modelBackend.Name, Incarnation: modelBackend.Incarnation, Stated: true, Limited: limited, PerSecond: 1, StatedAgoMs: ago.Milliseconds(),
		}})
	}
	timer.Advance(10 * time.Second)
	report(true, time.Second)
	qt.Assert(t, i.Wait(modelBackend) > 0, qt.IsTrue)
	report(false, 2*time.Second)
	qt.Assert(t, i.Wait(modelBackend) > 0, qt.IsTrue)
	report(false, 500*time.Millisecond)
	qt.Assert(t, i.Wait(modelBackend), qt.Equals, time.Duration(0))
	report(true, 700*time.Millisecond)
	qt.Assert(t, i.Wait(modelBackend), qt.Equals, time.Duration(0))
	i.Observe("", modelBackend, limitOf(2))
	qt.Assert(t, i.Wait(modelBackend), qt.Equals, 500*time.Millisecond)
}

// TestEndIsKnownBeforeOlderStatement merges the end of a limit before the limit itself.
func TestEndIsKnownBeforeOlderStatement(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(0, 0))
	timer.Advance(time.Minute)
	i := newInstance(timer, 2, 1)
	i.MergeStatements("control", []*aubwire.BackendLimit{
		{Id: modelBackend.Name, Incarnation: 1, Stated: true, StatedAgoMs: 100},
		{Id: modelBackend.Name, Incarnation: 1, Stated: true, Limited: true, PerSecond: 1, StatedAgoMs: 5000},
	})
	qt.Assert(t, i.Wait(modelBackend), qt.Equals, time.Duration(0))
}

func TestInstanceWithoutPeersKnownSendsNothing(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(0, 0))
	i := newInstance(timer, 0, 0)
	i.Observe("", modelBackend, limitOf(5))
	timer.Advance(10 * time.Second)
	qt.Assert(t, i.takeAll(), qt.Equals, 0)
}

func TestLimitOfAnotherIncarnationDoesNotCount(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(0, 0))
	i := newInstance(timer, 1, 0)
	i.Observe("", modelBackend, limitOf(1))
	qt.Assert(t, i.Wait(aubthrottle.Backend{Name: modelBackend.Name, Incarnation: 2}), qt.Equals, time.Duration(0))
}

// TestZeroLimitIsProbed checks that the end of a limit of 0 can be noticed.
func TestZeroLimitIsProbed(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(0, 0))
	i := newInstance(timer, 1, 0)
	i.Observe("", modelBackend, limitOf(0))
	timer.Advance(9 * time.Second)
	qt.Assert(t, i.takeAll(), qt.Equals, 0)
	timer.Advance(2 * time.Second)
	qt.Assert(t, i.takeAll(), qt.Equals, 1)
}

// TestPeerLosesItsPartOfTheLimitOnce cuts two instances for 20 s. What the peer sends
// meanwhile out of its part is not subtracted again.
func TestPeerLosesItsPartOfTheLimitOnce(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(0, 0))
	i := newInstance(timer, 2, 1)
	i.Observe("", modelBackend, limitOf(1))
	sent := uint64(0)
	report := func() {
		i.Merge("peer", 1, []*aubwire.BackendLimit{{Id: modelBackend.Name, Incarnation: 1, Sent: sent, KnownForMs: 0}})
	}
	report()
	i.heardPeers = 0
	timer.Advance(20 * time.Second)
	sent = 10
	report()
	i.heardPeers = 1
	qt.Assert(t, i.takeAll(), qt.Equals, 1)
	sent = 14
	report()
	timer.Advance(4 * time.Second)
	qt.Assert(t, i.takeAll(), qt.Equals, 0)
}

// TestRestartedPeerCountsFromZero merges reports of two starts of a peer.
func TestRestartedPeerCountsFromZero(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(0, 0))
	i := newInstance(timer, 2, 1)
	i.Observe("", modelBackend, limitOf(1))
	report := func(incarnation, sent uint64) {
		i.Merge("peer", incarnation, []*aubwire.BackendLimit{{Id: modelBackend.Name, Incarnation: 1, Sent: sent}})
	}
	report(1, 2)
	timer.Advance(time.Second)
	qt.Assert(t, i.Wait(modelBackend), qt.Equals, 2*time.Second)
	report(2, 1)
	qt.Assert(t, i.Wait(modelBackend), qt.Equals, 3*time.Second)
	// A report of the first start that was on its way for long.
	report(1, 2)
	qt.Assert(t, i.Wait(modelBackend) >= 3*time.Second, qt.IsTrue)
}

// TestEndedLimitIsReportedForATime goes on with answers that state no limit.
func TestEndedLimitIsReportedForATime(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(0, 0))
	i := newInstance(timer, 2, 1)
	i.Observe("", modelBackend, limitOf(1))
	for range 9 {
		i.Observe("", modelBackend, auboption.None[float64]())
		reported := i.Report(true)
		qt.Assert(t, reported, qt.HasLen, 1)
		qt.Assert(t, reported[0].GetStated(), qt.IsTrue)
		qt.Assert(t, reported[0].GetLimited(), qt.IsFalse)
		timer.Advance(time.Second)
	}
	timer.Advance(2 * time.Second)
	qt.Assert(t, i.Report(true), qt.HasLen, 0)
}

// TestSupersededReadingIsNotReported merges a newer statement that differs from the own one.
func TestSupersededReadingIsNotReported(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(0, 0))
	i := newInstance(timer, 2, 1)
	i.Observe("", modelBackend, limitOf(1))
	qt.Assert(t, i.Snapshot(), qt.HasLen, 1)
	timer.Advance(time.Second)
	i.Merge("peer", 1, []*aubwire.BackendLimit{{Id: modelBackend.Name, Incarnation: 1, Stated: true, Limited: true, PerSecond: 3}})
	qt.Assert(t, i.Snapshot(), qt.HasLen, 0)
	qt.Assert(t, i.Report(true)[0].GetStated(), qt.IsFalse)
}
