package aubregistry_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	snapshotInterval = time.Second
	// unconfirmedTime is how long after the start unconfirmed records may be used.
	unconfirmedTime = 3 * time.Second
	// outage is the time from the end of one run to the start of the next.
	outage = 1500 * time.Millisecond
	// maxSnapshotBytes is the largest allowed file.
	maxSnapshotBytes = 256 << 10
)

// keepSnapshots starts the snapshots of a registry in the folder.
func keepSnapshots(t *testing.T, timer *aubtimer.Manual, registry *aubregistry.Registry, dir string, activation aubregistry.Activation) {
	waiting := timer.Waiting()
	done := aubregistry.KeepSnapshots(t.Context(), aubcommon.NewCommon(timer), aubregistry.SnapshotOpts{
		Registry: registry, Process: "c1", Path: filepath.Join(dir, "snapshot"), Interval: snapshotInterval,
		Activation: func() aubregistry.Activation { return activation },
	})
	t.Cleanup(func() { <-done })
	eventually(t, func() bool { return timer.Waiting() > waiting })
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("condition not met within 2 s")
}

// saveSnapshot runs a registry, applies changes and returns the folder with its snapshot.
func saveSnapshot(t *testing.T, timer *aubtimer.Manual, apply func(r *aubregistry.Registry)) string {
	dir := t.TempDir()
	r := aubregistry.NewRegistry(aubcommon.NewCommon(timer), 4*time.Second)
	keepSnapshots(t, timer, r, dir, aubregistry.ActivationOn)
	apply(r)
	timer.Advance(snapshotInterval)
	eventually(t, func() bool {
		_, err := os.Stat(filepath.Join(dir, "snapshot"))
		return err == nil
	})
	// A later change may still be on its way to the file.
	time.Sleep(20 * time.Millisecond)
	timer.Advance(outage)
	return dir
}

// restart returns the registry of the next run.
func restart(t *testing.T, timer *aubtimer.Manual, dir string, activation aubregistry.Activation) *aubregistry.Registry {
	r := aubregistry.NewRegistry(aubcommon.NewCommon(timer), 4*time.Second)
	keepSnapshots(t, timer, r, dir, activation)
	return r
}

// offered returns what a control process sends to a relay that connects.
func offered(r *aubregistry.Registry) []*aubwire.BackendRecord {
	records, _, _ := r.ChangedSince(0)
	return records
}

func sortedUsable(r *aubregistry.Registry) []string {
	ids := usable(r)
	slices.Sort(ids)
	return ids
}

// TestSnapshotBringsBackendServersBack guards against requests that are refused after a restart of
// everything because no backend server has registered yet, and against records that stay usable
// although none does.
func TestSnapshotBringsBackendServersBack(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(100, 0))
	dir := saveSnapshot(t, timer, func(r *aubregistry.Registry) {
		r.Register(record("i1", "a:1", 1, 5, ready))
		r.Register(record("i2", "a:2", 1, 5, ready))
	})
	control := restart(t, timer, dir, aubregistry.ActivationOn)
	qt.Assert(t, sortedUsable(control), qt.DeepEquals, []string{"i1", "i2"})
	relay := aubregistry.NewRegistry(aubcommon.NewCommon(timer), 4*time.Second)
	timer.Advance(time.Second)
	relay.Merge(offered(control))
	qt.Assert(t, sortedUsable(relay), qt.DeepEquals, []string{"i1", "i2"})
	for _, m := range relay.View().Members() {
		qt.Assert(t, m.Unconfirmed, qt.IsTrue)
		qt.Assert(t, m.Announcement.GetIncarnation(), qt.Equals, uint64(1))
	}
	qt.Assert(t, relay.SoftwareVersions("s"), qt.HasLen, 0)
	qt.Assert(t, control.SoftwareSeen(), qt.HasLen, 0)

	control.Register(record("i1", "a:1", 1, 5, ready))
	relay.Merge(offered(control))
	qt.Assert(t, relay.IsConfirmed("i1", 1), qt.IsTrue)
	qt.Assert(t, relay.IsConfirmed("i2", 1), qt.IsFalse)
	timer.Advance(unconfirmedTime - time.Second)
	qt.Assert(t, usable(relay), qt.DeepEquals, []string{"i1"})
	qt.Assert(t, usable(control), qt.DeepEquals, []string{"i1"})
}

// TestUnconfirmedRecord guards against the use of a record after a sign that its backend server is
// gone, replaced or leaving, whoever hears of it first.
func TestUnconfirmedRecord(t *testing.T) {
	unconfirmed := func(id, address string, started, sequence int64, state aubwire.BackendState) *aubwire.BackendRecord {
		next := record(id, address, started, sequence, state)
		next.UnconfirmedMs = unconfirmedTime.Milliseconds()
		return next
	}
	offer := unconfirmed("i1", "a:1", 2, 5, ready)
	for _, test := range []struct {
		name  string
		apply func(r *aubregistry.Registry)
		want  []string
	}{
		{"no sign", func(*aubregistry.Registry) {}, []string{"i1"}},
		{"answer of another backend server", func(r *aubregistry.Registry) { r.RejectUnconfirmed("request", "i1", 2) }, nil},
		{"answer to a request for another incarnation", func(r *aubregistry.Registry) { r.RejectUnconfirmed("request", "i1", 1) }, []string{"i1"}},
		{"refused connection", func(r *aubregistry.Registry) { r.MarkSuspect("i1", 2) }, nil},
		{"refused connection at a relay", func(r *aubregistry.Registry) {
			r.MergeSuspects([]*aubwire.SuspectBackend{{Id: "i1", StartedMs: 2, Sequence: 5}})
		}, nil},
		{"refused, then offered by another process", func(r *aubregistry.Registry) {
			r.RejectUnconfirmed("request", "i1", 2)
			r.Merge([]*aubwire.BackendRecord{unconfirmed("i1", "a:1", 2, 6, ready)})
		}, nil},
		{"refused, then registered", func(r *aubregistry.Registry) {
			r.RejectUnconfirmed("request", "i1", 2)
			r.Register(record("i1", "a:1", 2, 6, ready))
		}, []string{"i1"}},
		{"answer that it leaves", func(r *aubregistry.Registry) { r.MarkLeaving("request", "i1", 2) }, nil},
		{"draining", func(r *aubregistry.Registry) { r.Register(record("i1", "a:1", 2, 6, draining)) }, nil},
		{"departure", func(r *aubregistry.Registry) { r.Deregister("i1", 2) }, nil},
		{"departure without its incarnation", func(r *aubregistry.Registry) { r.Deregister("i1", 0) }, nil},
		{"departure in the snapshot of another process", func(r *aubregistry.Registry) {
			r.Merge([]*aubwire.BackendRecord{unconfirmed("i1", "a:1", 2, 4, gone)})
		}, nil},
		{"departure at a control process that did not know it", func(r *aubregistry.Registry) {
			r.Merge([]*aubwire.BackendRecord{record("i1", "", 0, 0, gone)})
		}, nil},
		{"another backend server at its address", func(r *aubregistry.Registry) { r.Register(record("i2", "a:1", 3, 1, ready)) }, []string{"i2"}},
		{"later incarnation", func(r *aubregistry.Registry) { r.Register(record("i1", "a:9", 3, 1, draining)) }, nil},
		{"delayed registration of an earlier incarnation", func(r *aubregistry.Registry) { r.Register(record("i1", "a:1", 1, 9, draining)) }, []string{"i1"}},
		{"time", nil, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, timer := newRegistry()
			r.Merge([]*aubwire.BackendRecord{offer})
			if test.apply == nil {
				timer.Advance(unconfirmedTime)
			} else {
				test.apply(r)
			}
			qt.Assert(t, usable(r), qt.DeepEquals, test.want)
			// A second control process offers the same.
			r.Merge([]*aubwire.BackendRecord{offer})
			qt.Assert(t, usable(r), qt.DeepEquals, test.want)
		})
	}
}

// TestUnconfirmedRecordOfAKnownBackendServer guards against a snapshot that outweighs what a
// process has heard from backend servers themselves.
func TestUnconfirmedRecordOfAKnownBackendServer(t *testing.T) {
	for _, test := range []struct {
		name  string
		known []*aubwire.BackendRecord
		want  []string
	}{
		{"gone", []*aubwire.BackendRecord{record("i1", "a:1", 2, 6, gone)}, nil},
		{"gone, of an unknown incarnation", []*aubwire.BackendRecord{record("i1", "", 0, 0, gone)}, nil},
		{"draining", []*aubwire.BackendRecord{record("i1", "a:1", 2, 4, draining)}, nil},
		{"replaced at its address", []*aubwire.BackendRecord{record("i2", "a:1", 1, 1, ready)}, []string{"i2"}},
		{"restarted", []*aubwire.BackendRecord{record("i1", "a:2", 3, 1, draining)}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, _ := newRegistry()
			r.Merge(test.known)
			offer := record("i1", "a:1", 2, 5, ready)
			offer.UnconfirmedMs = unconfirmedTime.Milliseconds()
			r.Merge([]*aubwire.BackendRecord{offer})
			qt.Assert(t, usable(r), qt.DeepEquals, test.want)
		})
	}
}

// TestDepartureInASnapshot guards against a departed backend server that comes back because the
// departure was only in memory when everything was killed.
func TestDepartureInASnapshot(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(100, 0))
	dir := saveSnapshot(t, timer, func(r *aubregistry.Registry) {
		r.Register(record("i1", "a:1", 1, 5, ready))
		r.Register(record("i2", "a:2", 1, 5, ready))
		r.Register(record("i3", "a:3", 1, 5, ready))
		timer.Advance(snapshotInterval)
		r.Deregister("i1", 1)
		r.MarkLeaving("request", "i2", 1)
	})
	control := restart(t, timer, dir, aubregistry.ActivationOn)
	qt.Assert(t, usable(control), qt.DeepEquals, []string{"i3"})
	// The departures reach relays that another control process offers the backend servers.
	relay := aubregistry.NewRegistry(aubcommon.NewCommon(timer), 4*time.Second)
	for _, id := range []string{"i1", "i2"} {
		offer := record(id, "a:"+id[1:], 1, 5, ready)
		offer.UnconfirmedMs = 1000
		relay.Merge([]*aubwire.BackendRecord{offer})
	}
	relay.Merge(offered(control))
	qt.Assert(t, usable(relay), qt.DeepEquals, []string{"i3"})
}

// TestUnusableSnapshot guards against records from a file that is damaged, of another process, too
// old or not wanted.
func TestUnusableSnapshot(t *testing.T) {
	for _, test := range []struct {
		name       string
		activation aubregistry.Activation
		change     func(data []byte, timer *aubtimer.Manual) []byte
		want       []string
	}{
		{"unchanged", aubregistry.ActivationOn, func(data []byte, _ *aubtimer.Manual) []byte { return data }, []string{"i1"}},
		{"off", aubregistry.ActivationOff, func(data []byte, _ *aubtimer.Manual) []byte { return data }, nil},
		{"truncated", aubregistry.ActivationOn, func(data []byte, _ *aubtimer.Manual) []byte { return data[:len(data)-1] }, nil},
		{"empty", aubregistry.ActivationOn, func([]byte, *aubtimer.Manual) []byte { return nil }, nil},
		{"another format", aubregistry.ActivationOn, func([]byte, *aubtimer.Manual) []byte { return []byte("name: c1\n") }, nil},
		{"one byte changed", aubregistry.ActivationOn, func(data []byte, _ *aubtimer.Manual) []byte {
			data[len(data)-3] ^= 1
			return data
		}, nil},
		{"too large", aubregistry.ActivationOn, func(data []byte, _ *aubtimer.Manual) []byte {
			return append(data, make([]byte, maxSnapshotBytes)...)
		}, nil},
		{"too old", aubregistry.ActivationOn, func(data []byte, timer *aubtimer.Manual) []byte {
			timer.Advance(time.Minute)
			return data
		}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			timer := aubtimer.NewManual(time.Unix(100, 0))
			dir := saveSnapshot(t, timer, func(r *aubregistry.Registry) { r.Register(record("i1", "a:1", 1, 5, ready)) })
			path := filepath.Join(dir, "snapshot")
			data, err := os.ReadFile(path)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, os.WriteFile(path, test.change(data, timer), 0o600), qt.IsNil)
			qt.Assert(t, usable(restart(t, timer, dir, test.activation)), qt.DeepEquals, test.want)
		})
	}
	t.Run("another process", func(t *testing.T) {
		timer := aubtimer.NewManual(time.Unix(100, 0))
		dir := saveSnapshot(t, timer, func(r *aubregistry.Registry) { r.Register(record("i1", "a:1", 1, 5, ready)) })
		r := aubregistry.NewRegistry(aubcommon.NewCommon(timer), 4*time.Second)
		done := aubregistry.KeepSnapshots(t.Context(), aubcommon.NewCommon(timer), aubregistry.SnapshotOpts{
			Registry: r, Process: "c2", Path: filepath.Join(dir, "snapshot"), Interval: snapshotInterval,
			Activation: func() aubregistry.Activation { return aubregistry.ActivationOn },
		})
		t.Cleanup(func() { <-done })
		time.Sleep(20 * time.Millisecond)
		qt.Assert(t, usable(r), qt.HasLen, 0)
	})
}

// TestSnapshotSize guards against a file above its limit, and against one that leaves out
// departures rather than backend servers.
func TestSnapshotSize(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(100, 0))
	dir := saveSnapshot(t, timer, func(r *aubregistry.Registry) {
		r.Register(record("departed", "b:1", 1, 5, ready))
		for i := range 400 {
			next := record(fmt.Sprintf("i%03d", i), fmt.Sprintf("a:%d", i), 1, 5, ready)
			next.Models = []*aubwire.ModelCopy{{Name: strings.Repeat("m", 2000)}}
			r.Register(next)
		}
		r.Deregister("departed", 1)
	})
	info, err := os.Stat(filepath.Join(dir, "snapshot"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, info.Size() <= maxSnapshotBytes, qt.IsTrue)
	control := restart(t, timer, dir, aubregistry.ActivationOn)
	qt.Assert(t, len(usable(control)) > 100, qt.IsTrue)
	qt.Assert(t, slices.ContainsFunc(offered(control), func(record *aubwire.BackendRecord) bool {
		return record.GetId() == "departed" && record.GetState() == gone
	}), qt.IsTrue)
}
