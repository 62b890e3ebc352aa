package aubregistry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubwire"
)

func coldRecord(started, sequence, leftMs int64) *aubwire.BackendRecord {
	r := record("i1", "a:1", started, sequence, ready)
	r.ColdRemainingMs = leftMs
	return r
}

// TestColdChangesAreSentAtOnce guards against a change between warm and cold that waits for the
// next periodic response, as a renewed registration does.
func TestColdChangesAreSentAtOnce(t *testing.T) {
	for _, test := range []struct {
		name           string
		previous, next *aubwire.BackendRecord
		isSentAtOnce   bool
	}{
		{"becomes cold", coldRecord(1, 1, 0), coldRecord(1, 2, 3000), true},
		{"becomes warm", coldRecord(1, 1, 600), coldRecord(1, 2, 0), true},
		{"becomes cold again", coldRecord(1, 1, 600), coldRecord(1, 2, 3000), true},
		{"stays cold", coldRecord(1, 1, 1800), coldRecord(1, 2, 600), false},
		{"stays warm", coldRecord(1, 1, 0), coldRecord(1, 2, 0), false},
		{"starts again", coldRecord(1, 7, 0), coldRecord(2, 1, 3000), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, _ := newRegistry()
			_, _, changed := r.ChangedSince(r.Register(test.previous))
			r.Register(test.next)
			isSent := false
			select {
			case <-changed:
				isSent = true
			default:
			}
			qt.Assert(t, isSent, qt.Equals, test.isSentAtOnce)
		})
	}
}

// TestColdLeftIsAged guards against a time that begins anew wherever a record is passed on, as
// to a relay that has just started.
func TestColdLeftIsAged(t *testing.T) {
	r, timer := newRegistry()
	var observed []int64
	r.ObserveRegistrations(func(record *aubwire.BackendRecord) { observed = append(observed, record.GetColdRemainingMs()) })
	r.Register(coldRecord(1, 1, 3000))
	timer.Advance(1200 * time.Millisecond)
	records, _, _ := r.ChangedSince(0)
	qt.Assert(t, records[0].GetColdRemainingMs(), qt.Equals, int64(1800))
	qt.Assert(t, r.ColdLeft(), qt.DeepEquals, map[string]time.Duration{"i1": 1800 * time.Millisecond})
	timer.Advance(2 * time.Second)
	records, _, _ = r.ChangedSince(0)
	qt.Assert(t, records[0].GetColdRemainingMs(), qt.Equals, int64(0))
	qt.Assert(t, r.ColdLeft(), qt.HasLen, 0)
	// A delayed duplicate doesn't make the backend server cold again.
	r.Register(coldRecord(1, 1, 3000))
	r.Register(coldRecord(1, 0, 3000))
	qt.Assert(t, observed, qt.DeepEquals, []int64{3000})
}
