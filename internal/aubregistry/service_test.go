package aubregistry_test

import (
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// foreignRecord returns a registration of another writer for a service that the configuration doesn't
// name.
func foreignRecord(id, address string, started, sequence int64, state aubwire.BackendState) *aubwire.BackendRecord {
	r := record(id, address, started, sequence, state)
	r.Service = "foreign"
	return r
}

// TestForeignRegistrationDisplacesNoBackendServer guards against an entry of another writer that takes
// a backend server in service out of use by bearing its id or address.
func TestForeignRegistrationDisplacesNoBackendServer(t *testing.T) {
	for _, test := range []struct {
		name    string
		foreign *aubwire.BackendRecord
	}{
		{"its id, later start", foreignRecord("i1", "a:9", 9, 1, ready)},
		{"its id, later sequence", foreignRecord("i1", "a:9", 2, 99, ready)},
		{"its id and address", foreignRecord("i1", "a:1", 9, 1, ready)},
		{"its address, later start", foreignRecord("x", "a:1", 9, 1, ready)},
		{"its id, draining", foreignRecord("i1", "a:1", 2, 99, draining)},
		{"its address, draining", foreignRecord("x", "a:1", 9, 1, draining)},
	} {
		for _, isMerged := range []bool{false, true} {
			r, timer := newRegistry()
			r.KnowServices(func(name string) bool { return name == "s" })
			apply := func(record *aubwire.BackendRecord) {
				if isMerged {
					r.Merge([]*aubwire.BackendRecord{record})
				} else {
					r.Register(record)
				}
			}
			apply(record("i1", "a:1", 2, 1, ready))
			apply(test.foreign)
			qt.Check(t, usable(r), qt.DeepEquals, []string{"i1"}, qt.Commentf("%s", test.name))
			// The backend server's next registrations count, whatever came between.
			timer.Advance(time.Second)
			apply(record("i1", "a:1", 2, 2, draining))
			qt.Check(t, usable(r), qt.HasLen, 0, qt.Commentf("%s", test.name))
		}
	}
}

// TestBackendServerReplacesForeignRegistration guards against an entry of another writer that came first
// and then hides the backend server whose id or address it bears.
func TestBackendServerReplacesForeignRegistration(t *testing.T) {
	for _, foreign := range []*aubwire.BackendRecord{foreignRecord("i1", "a:9", 9, 9, ready), foreignRecord("x", "a:1", 9, 9, ready), foreignRecord("i1", "a:1", 2, 9, ready)} {
		r, _ := newRegistry()
		r.KnowServices(func(name string) bool { return name == "s" })
		r.Register(foreign)
		r.Register(record("i1", "a:1", 2, 1, ready))
		isUsed := slices.ContainsFunc(r.Records(), func(known *aubwire.BackendRecord) bool {
			return known.GetId() == "i1" && known.GetService() == "s"
		})
		qt.Check(t, isUsed, qt.IsTrue, qt.Commentf("%v", foreign))
		qt.Check(t, r.Status("i1", 2), qt.Equals, aubregistry.StatusRunning, qt.Commentf("%v", foreign))
	}
}

// TestForeignRegistrationsDelayNoLoss guards against other writers whose registrations alone reach
// a process, so that all backend servers count as lost.
func TestForeignRegistrationsDelayNoLoss(t *testing.T) {
	r, timer := newRegistry()
	r.KnowServices(func(name string) bool { return name == "s" })
	r.Register(record("i1", "a:1", 1, 1, ready))
	for sequence := range int64(10) {
		timer.Advance(time.Second)
		r.Register(foreignRecord("x", "a:9", 1, sequence, ready))
	}
	qt.Assert(t, r.Status("i1", 1), qt.Equals, aubregistry.StatusRunning)
	qt.Assert(t, usable(r), qt.Contains, "i1")
}

// TestForeignVersionsAreNotCommitted guards against other writers whose software versions fill the
// replicated table, so that those of backend servers find no room.
func TestForeignVersionsAreNotCommitted(t *testing.T) {
	r, _ := newRegistry()
	r.KnowServices(func(name string) bool { return name == "s" })
	var committed []string
	s := aubregistry.NewServer(aubcommon.NewCommon(aubtimer.NewReal()), aubregistry.ServerOpts{
		Registry: r,
		EnsureSoftware: func(_ context.Context, service, software string) error {
			committed = append(committed, service+" "+software)
			return nil
		},
	})
	foreign, own := foreignRecord("x", "a:9", 1, 1, ready), record("i1", "a:1", 1, 1, ready)
	foreign.Software, own.Software = "v9", "v1"
	for _, registered := range []*aubwire.BackendRecord{foreign, own} {
		qt.Assert(t, s.Register(t.Context(), registered), qt.IsNil)
	}
	qt.Assert(t, committed, qt.DeepEquals, []string{"s v1"})
	// The leader commits what it has seen as well.
	qt.Assert(t, r.SoftwareSeen(), qt.HasLen, 1)
	qt.Assert(t, r.SoftwareSeen()[0].GetService(), qt.Equals, "s")
	// It counts once a configuration names its service.
	r.KnowServices(func(string) bool { return true })
	qt.Assert(t, r.SoftwareSeen(), qt.HasLen, 2)
}

// TestRegistrationWithoutStartIsIgnored guards against an entry of another writer that lacks the start
// which all backend servers of its service state.
func TestRegistrationWithoutStartIsIgnored(t *testing.T) {
	for _, isMerged := range []bool{false, true} {
		r, _ := newRegistry()
		r.KnowServices(func(name string) bool { return name == "s" || name == "old" })
		apply := func(record *aubwire.BackendRecord) {
			if isMerged {
				r.Merge([]*aubwire.BackendRecord{record})
			} else {
				r.Register(record)
			}
		}
		apply(record("i1", "a:1", 2, 1, ready))
		apply(record("x", "a:9", 0, 1, ready))
		qt.Check(t, usable(r), qt.DeepEquals, []string{"i1"})
		// Backend servers of another service state none.
		old := record("i2", "a:2", 0, 1, ready)
		old.Service = "old"
		apply(old)
		qt.Check(t, usable(r), qt.HasLen, 2)
		// One that was known before others stated theirs still counts.
		next := record("i3", "a:3", 5, 1, ready)
		next.Service = "old"
		apply(next)
		leaving := record("i2", "a:2", 0, 2, draining)
		leaving.Service = "old"
		apply(leaving)
		qt.Check(t, usable(r), qt.HasLen, 2)
		qt.Check(t, usable(r), qt.Not(qt.Contains), "i2")
	}
}
