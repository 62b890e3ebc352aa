package aubbudget

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// newTestBudget returns a budget of the size in bytes with a clock that is moved by hand.
func newTestBudget(t *testing.T, size int64) (*Budget, *aubtimer.Manual) {
	timer := aubtimer.NewManual(time.Unix(0, 0))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	b := NewBudget(ctx, aubcommon.NewCommon(timer), Machine{Memory: size * requestShare, Descriptors: 1024})
	b.total = size
	return b, timer
}

func isExhausted(err error) bool {
	var exhausted *ExhaustedError
	return errors.As(err, &exhausted)
}

// TestMachines guards the parts of the machine that callers get.
func TestMachines(t *testing.T) {
	var out strings.Builder
	for _, m := range []Machine{
		{Memory: 144_000_000, Descriptors: 3075},
		{Memory: 284_000_000, Descriptors: 4100},
		{Memory: 144_000_000, Descriptors: 512},
		{Memory: 24 << 30, Descriptors: 1 << 20},
	} {
		fmt.Fprintf(&out, "memory %d, descriptors %d: requests %d, responses %d, connections %d, of minor listeners %d\n",
			m.Memory, m.Descriptors, m.RequestBytes(), m.ResponseBytes(), m.CallerConnections(), m.MinorConnections())
	}
	goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".golden")).Assert(t, "machines", []byte(out.String()))
}

func TestSettingsLowerTheMachine(t *testing.T) {
	detected := DetectMachine()
	qt.Assert(t, detected.Memory > 0, qt.IsTrue)
	qt.Assert(t, detected.WithMemory(0).WithDescriptors(0), qt.Equals, detected)
	qt.Assert(t, detected.WithMemory(7).Memory, qt.Equals, int64(7))
	qt.Assert(t, detected.WithDescriptors(300).Descriptors, qt.Equals, min(300, detected.Descriptors))
}

// TestSmallRequestsFindRoomBesideLargeOnes guards against large requests that keep small ones out.
func TestSmallRequestsFindRoomBesideLargeOnes(t *testing.T) {
	b, _ := newTestBudget(t, 1<<20)
	now := b.common.Timer.Now()
	var large []*Share
	for {
		s := b.newShare(now)
		if s.Grow(2*smallBytes) != nil {
			break
		}
		large = append(large, s)
	}
	qt.Assert(t, large, qt.HasLen, 6)
	for range 4 {
		qt.Assert(t, b.newShare(now).Grow(smallBytes), qt.IsNil)
	}
	qt.Assert(t, isExhausted(b.newShare(now).Grow(1)), qt.IsTrue)
	for _, s := range large {
		s.release()
	}
	qt.Assert(t, b.largeUsed, qt.Equals, int64(0))
	qt.Assert(t, b.used, qt.Equals, int64(4*smallBytes))
}

// TestOldestRequestYields guards against stalled requests that keep others out.
func TestOldestRequestYields(t *testing.T) {
	b, timer := newTestBudget(t, 1<<20)
	evicted := []string{}
	hold := func(name string, n int64) *Share {
		s := b.newShare(timer.Now())
		s.beginReceiving(minEvictAge, func() { evicted = append(evicted, name) })
		qt.Assert(t, s.Grow(n), qt.IsNil)
		timer.Advance(minEvictAge / 4)
		return s
	}
	complete := hold("complete", 5*smallBytes)
	complete.endReceiving()
	hold("first", 4*smallBytes)
	second := hold("second", 3*smallBytes)

	young := b.newShare(timer.Now())
	qt.Assert(t, isExhausted(young.Grow(2*smallBytes)), qt.IsTrue)
	timer.Advance(minEvictAge / 2)
	qt.Assert(t, young.Grow(2*smallBytes), qt.IsNil)
	qt.Assert(t, evicted, qt.DeepEquals, []string{"first"})
	timer.Advance(minEvictAge)
	qt.Assert(t, young.Grow(5*smallBytes), qt.IsNil)
	qt.Assert(t, evicted, qt.DeepEquals, []string{"first", "second"})
	qt.Assert(t, isExhausted(second.Grow(1)), qt.IsTrue)
	second.release()
	young.release()
	complete.release()
	qt.Assert(t, b.used, qt.Equals, int64(0))
}

// TestUnreadResponseYields guards against clients that read nothing and keep others out.
func TestUnreadResponseYields(t *testing.T) {
	b, timer := newTestBudget(t, 1<<20)
	isEvicted := false
	writer := b.newShare(timer.Now())
	qt.Assert(t, writer.Grow(12*smallBytes), qt.IsNil)
	writer.beginWriting(timer.Now(), func() { isEvicted = true })
	other := b.newShare(timer.Now())
	timer.Advance(stuckAge / 2)
	qt.Assert(t, isExhausted(other.Grow(2*smallBytes)), qt.IsTrue)
	writer.endWriting()
	timer.Advance(stuckAge)
	qt.Assert(t, isExhausted(other.Grow(2*smallBytes)), qt.IsTrue)
	writer.beginWriting(timer.Now(), func() { isEvicted = true })
	timer.Advance(stuckAge)
	qt.Assert(t, other.Grow(2*smallBytes), qt.IsNil)
	qt.Assert(t, isEvicted, qt.IsTrue)
}

// TestHTTP2LeavesRoom guards against connections with HTTP/2 that take the budget of other requests.
func TestHTTP2LeavesRoom(t *testing.T) {
	b, timer := newTestBudget(t, 1<<20)
	first, second := b.newShare(timer.Now()), b.newShare(timer.Now())
	qt.Assert(t, b.reserveHTTP2(first, 200<<10), qt.IsTrue)
	qt.Assert(t, b.reserveHTTP2(second, 200<<10), qt.IsFalse)
	first.release()
	qt.Assert(t, b.reserveHTTP2(second, 200<<10), qt.IsTrue)
	second.release()
	qt.Assert(t, b.used+b.http2Used, qt.Equals, int64(0))
}
