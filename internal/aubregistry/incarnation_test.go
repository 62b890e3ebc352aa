package aubregistry_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubincarnation"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

func incarnation(id string, started int64, state aubwire.BackendState) *aubwire.Incarnation {
	return &aubwire.Incarnation{Id: id, Service: "s", StartedMs: started, Sequence: 5, State: state}
}

// TestCommittedIncarnationOutlivesARestart guards against a registration that arrives late at a process which has
// restarted since, and against one of the next incarnation that is ignored.
func TestCommittedIncarnationOutlivesARestart(t *testing.T) {
	unnamed := &aubwire.Incarnation{Id: "i1", StartedMs: 2, State: gone}
	foreign := &aubwire.Incarnation{Id: "i1", Service: "foreign", StartedMs: 9, State: gone}
	for _, test := range []struct {
		name      string
		committed *aubwire.Incarnation
		record    *aubwire.BackendRecord
		want      []string
	}{
		{"registration before a departure", incarnation("i1", 2, gone), record("i1", "a:1", 2, 4, ready), nil},
		{"registration with a higher sequence than was known at the departure", incarnation("i1", 2, gone), record("i1", "a:1", 2, 7, ready), nil},
		{"registration before draining", incarnation("i1", 2, draining), record("i1", "a:1", 2, 4, ready), nil},
		{"registration of an earlier incarnation", incarnation("i1", 2, gone), record("i1", "a:1", 1, 9, ready), nil},
		{"registration before a later start", incarnation("i1", 2, ready), record("i1", "a:1", 1, 9, ready), nil},
		{"registration of the incarnation that started later", incarnation("i1", 2, ready), record("i1", "a:1", 2, 1, ready), []string{"i1"}},
		{"next incarnation", incarnation("i1", 2, gone), record("i1", "a:1", 3, 1, ready), []string{"i1"}},
		{"another backend server at the address", incarnation("i1", 2, gone), record("i2", "a:1", 3, 1, ready), []string{"i2"}},
		{"departure of an unknown backend server", unnamed, record("i1", "a:1", 2, 4, ready), nil},
		{"next incarnation after such a departure", unnamed, record("i1", "a:1", 3, 1, ready), []string{"i1"}},
		{"departure of another service under the id", foreign, record("i1", "a:1", 2, 4, ready), []string{"i1"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, isKnownFirst := range []bool{true, false} {
				r, timer := newRegistry()
				note := func() { r.NoteIncarnations([]*aubwire.Incarnation{test.committed}) }
				if isKnownFirst {
					note()
				}
				r.Register(test.record)
				r.Merge([]*aubwire.BackendRecord{test.record})
				note()
				qt.Check(t, usable(r), qt.DeepEquals, test.want, qt.Commentf("known first: %t", isKnownFirst))
				// It holds for longer than the registry keeps the records of departed backend servers.
				timer.Advance(10 * time.Minute)
				r.Register(record("i9", "a:9", 1, 1, ready))
				r.Register(test.record)
				qt.Check(t, len(usable(r)), qt.Equals, len(test.want)+1)
			}
		})
	}
}

// TestUnconfirmedRecordOfADepartedBackendServer guards against the snapshot of a process that was away when a
// departure was acknowledged.
func TestUnconfirmedRecordOfADepartedBackendServer(t *testing.T) {
	timer := aubtimer.NewManual(time.Unix(100, 0))
	dir := saveSnapshot(t, timer, func(r *aubregistry.Registry) {
		r.Register(record("i1", "a:1", 1, 5, ready))
		r.Register(record("i2", "a:2", 1, 5, ready))
	})
	for _, isKnownFirst := range []bool{true, false} {
		r := aubregistry.NewRegistry(aubcommon.NewCommon(timer), 4*time.Second)
		if isKnownFirst {
			r.NoteIncarnations([]*aubwire.Incarnation{incarnation("i1", 1, gone)})
		}
		keepSnapshots(t, timer, r, dir, aubregistry.ActivationOn)
		eventually(t, func() bool { return len(usable(r)) > 0 })
		r.NoteIncarnations([]*aubwire.Incarnation{incarnation("i1", 1, gone)})
		qt.Check(t, usable(r), qt.DeepEquals, []string{"i2"})
	}
}

// TestOrderOfLateCallsDoesNotMatter applies registrations, departures and what is committed of them in two orders
// to two registries. Both must use the same backend server.
func TestOrderOfLateCallsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type call struct {
			record    *aubwire.BackendRecord
			committed *aubwire.Incarnation
		}
		calls := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) call {
			started := rapid.Int64Range(1, 3).Draw(t, "started")
			state := rapid.SampledFrom([]aubwire.BackendState{ready, draining, gone}).Draw(t, "state")
			if rapid.Bool().Draw(t, "committed") {
				return call{committed: incarnation("i1", started, state)}
			}
			return call{record: record("i1", "a:1", started, rapid.Int64Range(1, 5).Draw(t, "sequence"), state)}
		}), 1, 12).Draw(t, "calls")
		shuffled := rapid.Permutation(calls).Draw(t, "shuffled")
		apply := func(r *aubregistry.Registry, c call) {
			if c.committed != nil {
				r.NoteIncarnations([]*aubwire.Incarnation{c.committed})
				return
			}
			r.Merge([]*aubwire.BackendRecord{c.record})
		}
		first, _ := newRegistry()
		second, _ := newRegistry()
		for i := range calls {
			apply(first, calls[i])
			apply(second, shuffled[i])
		}
		if len(usable(first)) != len(usable(second)) {
			t.Fatalf("%v and %v", usable(first), usable(second))
		}
	})
}

// incarnationLog is a replicated table of incarnations that commits at once unless err is set.
type incarnationLog struct {
	table   *aubincarnation.Table
	commits []*aubwire.Incarnation
	err     error
}

func (l *incarnationLog) ensure(_ context.Context, incarnation *aubwire.Incarnation) error {
	if l.err != nil {
		return &aubincarnation.CommitError{ID: incarnation.GetId(), Err: l.err}
	}
	if l.table.Holds(incarnation) {
		return nil
	}
	l.commits = append(l.commits, incarnation)
	body, err := proto.Marshal(&aubwire.IncarnationCommand{Incarnation: incarnation})
	if err != nil {
		return err
	}
	l.table.Apply(aubcontrol.Command{Index: uint64(len(l.commits)), Body: body})
	return nil
}

func newIncarnationServer(r *aubregistry.Registry) (*aubregistry.Server, *incarnationLog) {
	log := &incarnationLog{table: aubincarnation.NewTable()}
	return aubregistry.NewServer(aubcommon.NewCommon(aubtimer.NewReal()), aubregistry.ServerOpts{
		Registry: r, Incarnations: log.table, EnsureIncarnation: log.ensure,
		EnsureSoftware: func(context.Context, string, string) error { return nil },
	}), log
}

// TestDepartureIsCommittedFirst guards against the acknowledgement of a departure that a restart of all processes
// would forget.
func TestDepartureIsCommittedFirst(t *testing.T) {
	r, _ := newRegistry()
	s, log := newIncarnationServer(r)
	var departure *aubregistry.DepartureError
	qt.Assert(t, s.Register(t.Context(), record("i1", "a:1", 1, 1, ready)), qt.IsNil)
	qt.Assert(t, s.Register(t.Context(), record("i2", "a:2", 1, 1, ready)), qt.IsNil)
	log.err = errors.New("no leader")
	qt.Assert(t, errors.As(s.Leave(t.Context(), record("i1", "a:1", 1, 2, draining)), &departure), qt.IsTrue)
	qt.Assert(t, errors.As(s.Deregister(t.Context(), "i2", 0), &departure), qt.IsTrue)
	// They take effect all the same.
	qt.Assert(t, usable(r), qt.HasLen, 0)
	log.err = nil
	qt.Assert(t, s.Leave(t.Context(), record("i1", "a:1", 1, 3, draining)), qt.IsNil)
	qt.Assert(t, s.Leave(t.Context(), record("i1", "a:1", 1, 4, draining)), qt.IsNil)
	qt.Assert(t, s.Deregister(t.Context(), "i2", 1), qt.IsNil)
	qt.Assert(t, log.commits, qt.HasLen, 2)
	qt.Assert(t, log.commits[0].GetState(), qt.Equals, draining)
	qt.Assert(t, log.commits[1].GetState(), qt.Equals, gone)
	qt.Assert(t, log.commits[1].GetStartedMs(), qt.Equals, int64(1))
}

// TestDepartureOfAnUnknownIncarnation guards against an acknowledged departure that names no incarnation, so that
// nothing tells a late registration apart.
func TestDepartureOfAnUnknownIncarnation(t *testing.T) {
	r, _ := newRegistry()
	s, log := newIncarnationServer(r)
	var departure *aubregistry.DepartureError
	qt.Assert(t, errors.As(s.Deregister(t.Context(), "i1", 0), &departure), qt.IsTrue)
	qt.Assert(t, log.commits, qt.HasLen, 0)
	qt.Assert(t, s.Deregister(t.Context(), "i1", 2), qt.IsNil)
	qt.Assert(t, log.commits, qt.HasLen, 1)
	// A repeated call of a backend server whose answer was lost, after a restart.
	r.NoteIncarnations([]*aubwire.Incarnation{incarnation("i2", 4, draining)})
	qt.Assert(t, s.Deregister(t.Context(), "i2", 0), qt.IsNil)
	qt.Assert(t, log.commits[1].GetStartedMs(), qt.Equals, int64(4))
	qt.Assert(t, log.commits[1].GetState(), qt.Equals, gone)
}

// TestDepartureOfALaterIncarnation guards against a departure that is noted for an earlier incarnation, because
// the process did not know the one that departed.
func TestDepartureOfALaterIncarnation(t *testing.T) {
	r, _ := newRegistry()
	s, log := newIncarnationServer(r)
	qt.Assert(t, s.Register(t.Context(), record("i1", "a:1", 1, 1, ready)), qt.IsNil)
	qt.Assert(t, s.Deregister(t.Context(), "i1", 2), qt.IsNil)
	qt.Assert(t, log.commits[0].GetStartedMs(), qt.Equals, int64(2))
	r.Register(record("i1", "a:1", 2, 9, ready))
	qt.Assert(t, usable(r), qt.HasLen, 0)
	r.Register(record("i1", "a:1", 3, 1, ready))
	qt.Assert(t, usable(r), qt.DeepEquals, []string{"i1"})
}

// TestLaterStartIsCommittedOnce guards against a commit for each heartbeat, and against an acknowledged start after
// which a registration of the earlier incarnation counts again.
func TestLaterStartIsCommittedOnce(t *testing.T) {
	r, _ := newRegistry()
	s, log := newIncarnationServer(r)
	beat := func(started, sequence int64) error {
		return s.Register(t.Context(), record("i1", "a:1", started, sequence, ready))
	}
	for sequence := range int64(50) {
		qt.Assert(t, beat(1, sequence), qt.IsNil)
	}
	qt.Assert(t, log.commits, qt.HasLen, 0)
	log.err = errors.New("no leader")
	qt.Assert(t, beat(2, 1), qt.IsNotNil)
	// It is served before that.
	qt.Assert(t, r.Records()[0].GetStartedMs(), qt.Equals, int64(2))
	log.err = nil
	for sequence := range int64(50) {
		qt.Assert(t, beat(2, 2+sequence), qt.IsNil)
		changed, _, _ := log.table.ChangedSince(0)
		r.NoteIncarnations(changed)
	}
	qt.Assert(t, log.commits, qt.HasLen, 1)
	qt.Assert(t, log.commits[0].GetState(), qt.Equals, ready)
	// So does a process that has restarted since the earlier incarnation departed.
	r.NoteIncarnations([]*aubwire.Incarnation{incarnation("i3", 5, gone)})
	qt.Assert(t, s.Register(t.Context(), record("i3", "a:3", 6, 1, ready)), qt.IsNil)
	qt.Assert(t, log.commits, qt.HasLen, 2)
	// A process that hears of the earlier one only later commits as well.
	qt.Assert(t, s.Register(t.Context(), record("i2", "a:2", 5, 1, ready)), qt.IsNil)
	r.Merge([]*aubwire.BackendRecord{record("i2", "a:2", 4, 9, ready)})
	qt.Assert(t, s.Register(t.Context(), record("i2", "a:2", 5, 2, ready)), qt.IsNil)
	qt.Assert(t, log.commits, qt.HasLen, 3)
}

// TestRelayKnowsIncarnationsBeforeItServes guards against a relay that learns a configuration before the departures
// that are committed, and uses what a process without them has told it.
func TestRelayKnowsIncarnationsBeforeItServes(t *testing.T) {
	common := aubcommon.NewCommon(aubtimer.NewReal())
	control := newControlProcess(t, common)
	control.confirmed.Store(false)
	control.incarnations.Apply(incarnationCommand(t, 1, incarnation("i1", 1, gone)))
	control.revisions.current.Store(&aubwire.SiteRevision{Number: 4, Document: []byte("x")})
	conn, err := control.dial("")
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stream, err := aubwire.NewRegistryClient(conn).Watch(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, stream.Send(&aubwire.RegistryRequest{Process: "r1", Relay: true}), qt.IsNil)
	isKnown, count := false, 0
	for announced := uint64(0); announced == 0; {
		resp, err := stream.Recv()
		qt.Assert(t, err, qt.IsNil)
		announced = resp.GetNewestRevision()
		isKnown = isKnown || len(resp.GetIncarnations()) > 0
		if count++; count == 1 {
			qt.Assert(t, isKnown || announced > 0, qt.IsFalse)
			control.confirmed.Store(true)
		}
	}
	qt.Assert(t, isKnown, qt.IsTrue)
	// Once is enough.
	resp, err := stream.Recv()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.GetIncarnations(), qt.HasLen, 0)
}

func incarnationCommand(t *testing.T, index uint64, i *aubwire.Incarnation) aubcontrol.Command {
	body, err := proto.Marshal(&aubwire.IncarnationCommand{Incarnation: i})
	qt.Assert(t, err, qt.IsNil)
	return aubcontrol.Command{Index: index, Body: body}
}
