package aubresume_test

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubresume"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// softwareLog applies commands to a table at once, stamped with the clock of a manual timer. It
// implements aubcontrol.Proposer and aubcontrol.Leadership.
type softwareLog struct {
	table *aubresume.SoftwareTable
	timer *aubtimer.Manual

	mu      sync.Mutex
	commits int
	bytes   int
	err     error
	leads   bool
}

func newSoftwareLog() *softwareLog {
	return &softwareLog{table: aubresume.NewSoftwareTable(), timer: aubtimer.NewManual(time.Unix(0, 0))}
}

func (l *softwareLog) Apply(_ context.Context, table string, body []byte) (aubcontrol.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil || table != aubresume.SoftwareTableName {
		return aubcontrol.Result{}, l.err
	}
	l.commits++
	l.bytes += len(body)
	return aubcontrol.Result{Body: l.table.Apply(aubcontrol.Command{Clock: l.timer.Now().Sub(time.Unix(0, 0)), Body: body})}, nil
}

func (l *softwareLog) Leading() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 1, l.leads
}

func (l *softwareLog) set(err error, leads bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err, l.leads = err, leads
}

func (l *softwareLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.commits
}

func (l *softwareLog) newCommitter(ctx context.Context, seen func() []*aubwire.SoftwareSeen) *aubresume.SoftwareCommitter {
	return aubresume.NewSoftwareCommitter(ctx, aubcommon.NewCommon(l.timer), aubresume.CommitterOpts{
		Table: l.table, Proposer: l, Leadership: l, Seen: seen,
	})
}

func softwareCommand(t *testing.T, versions ...string) []byte {
	command := &aubwire.SoftwareCommand{}
	for _, version := range versions {
		command.Registered = append(command.Registered, &aubwire.SoftwareVersion{Service: "s", Software: version})
	}
	body, err := proto.Marshal(command)
	qt.Assert(t, err, qt.IsNil)
	return body
}

// TestSoftwareTableExpiresByTheReplicatedClock guards against a version that is forgotten while its streams may be
// taken up, and against one that is held for good. Snapshots must restore to the same bytes.
func TestSoftwareTableExpiresByTheReplicatedClock(t *testing.T) {
	table := aubresume.NewSoftwareTable()
	apply := func(clock time.Duration, versions ...string) {
		table.Apply(aubcontrol.Command{Clock: clock, Body: softwareCommand(t, versions...)})
		snap, err := table.Snapshot()
		qt.Assert(t, err, qt.IsNil)
		restored := aubresume.NewSoftwareTable()
		qt.Assert(t, restored.Restore(snap), qt.IsNil)
		again, err := restored.Snapshot()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, bytes.Equal(snap, again), qt.IsTrue)
	}
	names := func() string {
		seen := table.Seen([]string{"s"})
		names := make([]string, 0, len(seen))
		for _, seen := range seen {
			names = append(names, seen.GetSoftware())
		}
		return strings.Join(names, ",")
	}
	apply(time.Minute, "v2", "v1")
	qt.Assert(t, names(), qt.Equals, "v1,v2")
	qt.Assert(t, table.Seen([]string{"other"}), qt.HasLen, 0)
	apply(time.Minute+110*time.Second, "v2")
	qt.Assert(t, table.Holds("s", "v1"), qt.IsTrue)
	apply(time.Minute+130*time.Second, "v2")
	// It may expire soon, so that its next registration must be committed.
	qt.Assert(t, table.Holds("s", "v1"), qt.IsFalse)
	apply(time.Minute+150*time.Second, "v2")
	qt.Assert(t, names(), qt.Equals, "v1,v2")
	apply(time.Minute+151*time.Second, "v2")
	qt.Assert(t, names(), qt.Equals, "v2")
	qt.Assert(t, table.Restore([]byte{0xff}), qt.ErrorMatches, "snapshot of software versions: .*")
}

// TestFullSoftwareTableRefusesVersions guards against names that fill the memory, and against the eviction of a
// version whose streams may be taken up.
func TestFullSoftwareTableRefusesVersions(t *testing.T) {
	log := newSoftwareLog()
	c := log.newCommitter(t.Context(), func() []*aubwire.SoftwareSeen { return nil })
	qt.Assert(t, c.Ensure(t.Context(), "s", "v1"), qt.IsNil)
	err := c.Ensure(t.Context(), "s", strings.Repeat("x", 1<<20))
	var commitErr *aubresume.CommitError
	qt.Assert(t, errors.As(err, &commitErr), qt.IsTrue)
	qt.Assert(t, err, qt.ErrorMatches, ".*the table is full")
	qt.Assert(t, log.table.Seen([]string{"s"}), qt.HasLen, 1)
}

// TestNewVersionIsCommittedFirst guards against a registration of a version that the log does not hold, and against
// a commit for each registration.
func TestNewVersionIsCommittedFirst(t *testing.T) {
	log := newSoftwareLog()
	c := log.newCommitter(t.Context(), func() []*aubwire.SoftwareSeen { return nil })
	log.set(errors.New("no leader"), false)
	qt.Assert(t, c.Ensure(t.Context(), "s", "v1"), qt.ErrorMatches, `software version "v1" of service s is not committed: no leader`)
	log.set(nil, false)
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() { qt.Check(t, c.Ensure(t.Context(), "s", "v1"), qt.IsNil) })
	}
	group.Wait()
	qt.Assert(t, log.table.Holds("s", "v1"), qt.IsTrue)
	commits := log.count()
	log.set(errors.New("no leader"), false)
	qt.Assert(t, c.Ensure(t.Context(), "s", "v1"), qt.IsNil)
	qt.Assert(t, log.count(), qt.Equals, commits)
}

// TestLeaderRefreshesVersions guards against versions that expire while they are registered, and against a commit
// for each heartbeat.
func TestLeaderRefreshesVersions(t *testing.T) {
	log := newSoftwareLog()
	log.set(nil, true)
	var isRegistered atomic.Bool
	isRegistered.Store(true)
	lastAt := log.timer.Now()
	looked := make(chan struct{})
	log.newCommitter(t.Context(), func() []*aubwire.SoftwareSeen {
		defer func() { looked <- struct{}{} }()
		if isRegistered.Load() {
			lastAt = log.timer.Now()
		}
		return []*aubwire.SoftwareSeen{{Service: "s", Software: "v1", SeenAgoMs: log.timer.Now().Sub(lastAt).Milliseconds()}}
	})
	advance := func(seconds int) {
		for range seconds {
			log.timer.Advance(time.Second)
			<-looked
		}
	}
	advance(300)
	commits := log.count()
	// One at the begin and one every 30 s; the last may not have been counted yet.
	qt.Assert(t, commits == 10 || commits == 9, qt.IsTrue, qt.Commentf("%d commits in 300 s", commits))
	isRegistered.Store(false)
	advance(300)
	qt.Assert(t, log.count() <= commits+2, qt.IsTrue, qt.Commentf("%d commits after the last registration", log.count()-commits))
	log.set(nil, false)
	commits = log.count()
	isRegistered.Store(true)
	log.timer.Advance(time.Minute)
	qt.Assert(t, log.count() <= commits+1, qt.IsTrue)
}

// TestOnlyVersionTellsTheOrigin guards against an only version that not enough control processes confirm, or that
// this process and they don't agree on.
func TestOnlyVersionTellsTheOrigin(t *testing.T) {
	seen := func(versions ...string) []*aubwire.SoftwareSeen {
		all := make([]*aubwire.SoftwareSeen, 0, 1+len(versions))
		all = append(all, &aubwire.SoftwareSeen{Service: "other", Software: "v9"})
		for _, version := range versions {
			all = append(all, &aubwire.SoftwareSeen{Service: "s", Software: version})
		}
		return all
	}
	for _, test := range []struct {
		name      string
		committed []*aubwire.SoftwareSeen
		own       []string
		want      string
		wantOK    bool
	}{
		{name: "nothing known", committed: seen()},
		{name: "one version", committed: seen("v1", "v1"), own: []string{"v1"}, want: "v1", wantOK: true},
		{name: "only committed", committed: seen("v1"), want: "v1", wantOK: true},
		{name: "only seen here", committed: seen(), own: []string{"v1"}, want: "v1", wantOK: true},
		{name: "old version committed", committed: seen("v1", "v2"), own: []string{"v2"}},
		{name: "old version committed, new one seen here", committed: seen("v1"), own: []string{"v2"}},
		{name: "no version stated", committed: seen(""), own: []string{""}, wantOK: true},
	} {
		got, ok := aubresume.Answer{Software: test.committed}.SoleSoftware("s", test.own)
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf(test.name))
		qt.Check(t, ok, qt.Equals, test.wantOK, qt.Commentf(test.name))
	}
	for coverage, want := range map[aubresume.Coverage][2]bool{
		aubresume.CoverageMinority: {false, false}, aubresume.CoverageMajority: {true, false}, aubresume.CoverageAll: {true, true},
	} {
		answer := aubresume.Answer{Coverage: coverage}
		qt.Check(t, [2]bool{answer.Covers(false), answer.Covers(true)}, qt.Equals, want)
	}
}
