package aubregistry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// TestLeavingByAnswer marks a backend server by an answer and applies what may follow.
func TestLeavingByAnswer(t *testing.T) {
	for _, test := range []struct {
		name  string
		apply func(r *aubregistry.Registry)
		want  []string
	}{
		{"no further registration", func(*aubregistry.Registry) {}, nil},
		{"later registration of the incarnation", func(r *aubregistry.Registry) {
			r.Register(record("i1", "a:1", 2, 6, ready))
		}, nil},
		{"record of a control process that has not heard of it", func(r *aubregistry.Registry) {
			r.Merge([]*aubwire.BackendRecord{record("i1", "a:1", 2, 7, ready)})
		}, nil},
		{"restart under the same id", func(r *aubregistry.Registry) {
			r.Register(record("i1", "a:1", 3, 1, ready))
		}, []string{"i1"}},
		{"another backend server at the address", func(r *aubregistry.Registry) {
			r.Register(record("i2", "a:1", 3, 1, ready))
		}, []string{"i2"}},
		{"delayed registration of an earlier start", func(r *aubregistry.Registry) {
			r.Register(record("i1", "a:1", 1, 9, ready))
		}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, _ := newRegistry()
			r.Register(record("i1", "a:1", 2, 5, ready))
			r.MarkLeaving("request", "i1", 2)
			test.apply(r)
			qt.Assert(t, usable(r), qt.DeepEquals, test.want)
		})
	}
}

// TestLeavingOfAnotherIncarnationDoesNotCount applies the answer of an earlier start.
func TestLeavingOfAnotherIncarnationDoesNotCount(t *testing.T) {
	r, _ := newRegistry()
	r.Register(record("i1", "a:1", 2, 1, ready))
	r.MarkLeaving("request", "i1", 1)
	r.MarkLeaving("request", "unknown", 1)
	qt.Assert(t, usable(r), qt.DeepEquals, []string{"i1"})
	qt.Assert(t, r.Leaving(), qt.HasLen, 0)
}

// TestLeavingSpreads passes the word of one relay through a control process to another relay
// that holds the same registration.
func TestLeavingSpreads(t *testing.T) {
	first, _ := newRegistry()
	control, _ := newRegistry()
	second, _ := newRegistry()
	for _, r := range []*aubregistry.Registry{first, control, second} {
		r.Register(record("i1", "a:1", 2, 5, ready))
	}
	_, version, _ := control.ChangedSince(0)
	first.MarkLeaving("request", "i1", 2)
	control.MergeLeaving("first", first.Leaving())
	qt.Assert(t, usable(control), qt.HasLen, 0)
	changed, _, _ := control.ChangedSince(version)
	qt.Assert(t, changed, qt.HasLen, 1)
	second.Merge(changed)
	qt.Assert(t, usable(second), qt.HasLen, 0)
	// A control process that hears of a later start first ignores the report.
	control.Register(record("i1", "a:1", 3, 1, ready))
	control.MergeLeaving("first", first.Leaving())
	qt.Assert(t, usable(control), qt.DeepEquals, []string{"i1"})
	// The relay's own word ends with the incarnation.
	first.Register(record("i1", "a:1", 3, 1, ready))
	qt.Assert(t, first.Leaving(), qt.HasLen, 0)
}
