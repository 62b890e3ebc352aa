package aubresume_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubresume"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

func TestRecorderReportsEachOriginOnceAndAllAgain(t *testing.T) {
	r := aubresume.NewRecorder(aubtimer.NewManual(time.Unix(0, 0)))
	for i := range 5 {
		r.Record(fmt.Sprint(i), aubresume.Origin{Service: "s", Software: "v1"})
	}
	origins, next, _ := r.Since(0, 3)
	qt.Assert(t, origins, qt.HasLen, 3)
	origins, next, changed := r.Since(next, 3)
	qt.Assert(t, origins, qt.HasLen, 2)
	qt.Assert(t, origins[1].GetId(), qt.Equals, "4")
	origins, _, _ = r.Since(next, 3)
	qt.Assert(t, origins, qt.HasLen, 0)
	r.Record("5", aubresume.Origin{})
	<-changed
	origins, _, _ = r.Since(0, 100)
	qt.Assert(t, origins, qt.HasLen, 6)
}

func TestOriginsExpire(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(0, 0))
	r, table := aubresume.NewRecorder(timer), aubresume.NewTable(timer)
	r.Record("old", aubresume.Origin{Software: "v1"})
	table.Add([]*aubwire.StreamOrigin{{Id: "old", Software: "v1"}})
	timer.Advance(3 * time.Minute)
	r.Record("new", aubresume.Origin{Software: "v1"})
	table.Add([]*aubwire.StreamOrigin{{Id: "new", Software: "v1"}})
	_, ok := r.Find("old")
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, table.Find("old"), qt.IsNil)
	origins, next, _ := r.Since(0, 100)
	qt.Assert(t, origins, qt.HasLen, 1)
	qt.Assert(t, next, qt.Equals, uint64(2))
}

// TestFirstOriginCounts reports a stream twice, as after a reconnect.
func TestFirstOriginCounts(t *testing.T) {
	table := aubresume.NewTable(aubtimer.NewManual(time.Unix(0, 0)))
	table.Add([]*aubwire.StreamOrigin{{Id: "1", Software: "v1"}, {Id: "1", Software: "v2"}})
	qt.Assert(t, table.Find("1").GetSoftware(), qt.Equals, "v1")
}

// TestKnownVersionReplacesUnknown guards against streams that can't be taken up because their version
// was not known at their first event.
func TestKnownVersionReplacesUnknown(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(0, 0))
	r, table := aubresume.NewRecorder(timer), aubresume.NewTable(timer)
	for _, software := range []string{aubresume.UnknownSoftware, "v1", aubresume.UnknownSoftware, "v2"} {
		r.Record("1", aubresume.Origin{Service: "s", Software: software})
		table.Add([]*aubwire.StreamOrigin{{Id: "1", Service: "s", Software: software}})
	}
	origin, _ := r.Find("1")
	qt.Assert(t, origin.Software, qt.Equals, "v1")
	qt.Assert(t, table.Find("1").GetSoftware(), qt.Equals, "v1")
	origins, _, _ := r.Since(0, 100)
	qt.Assert(t, origins[len(origins)-1].GetSoftware(), qt.Equals, "v1")
}

func TestNewCoverage(t *testing.T) {
	for _, test := range []struct {
		answered, all int
		want          aubresume.Coverage
	}{
		{0, 0, aubresume.CoverageMinority},
		{0, 3, aubresume.CoverageMinority},
		{1, 3, aubresume.CoverageMinority},
		{2, 4, aubresume.CoverageMinority},
		{2, 3, aubresume.CoverageMajority},
		{3, 3, aubresume.CoverageAll},
	} {
		qt.Check(t, aubresume.NewCoverage(test.answered, test.all), qt.Equals, test.want)
	}
}
