package aubdistribution_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubauth"
	"github.com/auburndale/auburndale/internal/aubdistribution"
	"github.com/auburndale/auburndale/internal/aubstate/aubcodec"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// checkVersions fails the test if the source publishes a version below the previous
// one or content that differs from that of the version. The result stops the check.
func (s *testSite) checkVersions(ctx context.Context, source aubquery.ConfigSource, configs []aubquery.Config) func() {
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer close(done)
		last := uint64(0)
		for {
			cfg := source.Config()
			if cfg.Version() < last {
				s.t.Errorf("version decreased from %d to %d", last, cfg.Version())
			}
			if cfg.Digest() != configs[cfg.Version()].Digest() {
				s.t.Errorf("version %d has wrong content", cfg.Version())
			}
			last = cfg.Version()
			select {
			case <-source.Changed(last):
			case <-ctx.Done():
				return
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// hasVersion returns a condition that is met while the source publishes the version.
func hasVersion(source aubquery.ConfigSource, version uint64) func() bool {
	return func() bool { return source.Config().Version() == version }
}

func TestFollowerReachesEveryVersion(t *testing.T) {
	s := newTestSite(t)
	r := s.addReplica("a")
	r.applyUntil(t, 3)
	f := s.follow(s.ctx, "", "a")
	defer s.checkVersions(s.ctx, f, historyConfigs(t, 40))()
	s.waitUntil("the first version", hasVersion(f, 3))
	for v := uint64(4); v <= 40; v++ {
		r.applyUntil(t, v)
		s.waitUntil("the next version", hasVersion(f, v))
	}
	s.waitUntil("confirmations continue", func() bool { return s.timer.Now().Sub(f.ConfirmedAt()) < 3*time.Second })
	qt.Assert(t, int(s.dials.Load()), qt.Equals, 1)
}

func TestFaultyStreamsNeverPublishWrongContent(t *testing.T) {
	for seed := range uint64(3) {
		s := newTestSite(t)
		r := s.addReplica("a")
		r.setSendFilter(randomFaults(rand.New(rand.NewPCG(seed, 0))))
		f := s.follow(s.ctx, "", "a")
		stop := s.checkVersions(s.ctx, f, historyConfigs(t, 60))
		for v := uint64(1); v <= 60; v++ {
			r.applyUntil(t, v)
			s.advance(50 * time.Millisecond)
		}
		s.waitUntil("the last version despite dropped, duplicated and delayed messages", hasVersion(f, 60))
		stop()
	}
}

func TestWrongContentIsRepairedByTheFullState(t *testing.T) {
	s := newTestSite(t)
	r := s.addReplica("a")
	r.applyUntil(t, 3)
	f := s.follow(s.ctx, "", "a")
	s.waitUntil("the first version", hasVersion(f, 3))
	fullStates := 0
	r.setSendFilter(func(m *aubwire.WatchResponse) []*aubwire.WatchResponse {
		if d := m.GetDelta(); d != nil {
			incomplete := &aubwire.ConfigDelta{FromVersion: d.GetFromVersion(), ToVersion: d.GetToVersion(), Digest: d.GetDigest()}
			return []*aubwire.WatchResponse{{Message: &aubwire.WatchResponse_Delta{Delta: incomplete}}}
		}
		if m.GetFull() != nil {
			fullStates++
		}
		return []*aubwire.WatchResponse{m}
	})
	r.applyUntil(t, 4)
	s.waitUntil("the repaired version", hasVersion(f, 4))
	qt.Assert(t, f.Config().Digest(), qt.Equals, r.table.Config().Digest())
	r.mu.Lock()
	defer r.mu.Unlock()
	qt.Assert(t, fullStates, qt.Equals, 1)
}

func TestSilentStreamIsReplaced(t *testing.T) {
	s := newTestSite(t)
	silent, working := s.addReplica("silent"), s.addReplica("working")
	silent.applyUntil(t, 1)
	f := s.follow(s.ctx, "", "silent", "working")
	s.waitUntil("the first version", hasVersion(f, 1))
	silent.setSendFilter(func(*aubwire.WatchResponse) []*aubwire.WatchResponse { return nil })
	silent.applyUntil(t, 2)
	working.applyUntil(t, 2)
	startedAt := s.timer.Now()
	s.waitUntil("the next version from the other replica", hasVersion(f, 2))
	qt.Assert(t, s.timer.Now().Sub(startedAt) < 20*time.Second, qt.IsTrue)
	qt.Assert(t, int(s.dials.Load()), qt.Equals, 2)
}

// TestReconnectToALaggingReplica checks that a follower keeps its version when it
// switches to a replica with an older one.
func TestReconnectToALaggingReplica(t *testing.T) {
	s := newTestSite(t)
	ahead, behind := s.addReplica("ahead"), s.addReplica("behind")
	ahead.applyUntil(t, 6)
	behind.applyUntil(t, 2)
	f := s.follow(s.ctx, "", "ahead", "behind")
	defer s.checkVersions(s.ctx, f, historyConfigs(t, 8))()
	s.waitUntil("the first version", hasVersion(f, 6))
	ahead.setSendFilter(func(*aubwire.WatchResponse) []*aubwire.WatchResponse { return nil })
	// The lagging replica sends its older full state before each message.
	behind.setSendFilter(func(m *aubwire.WatchResponse) []*aubwire.WatchResponse {
		cfg := behind.table.Config()
		older := &aubwire.ConfigFull{State: aubcodec.ConfigToWire(cfg), Digest: cfg.Digest().Bytes()}
		return []*aubwire.WatchResponse{{Message: &aubwire.WatchResponse_Full{Full: older}}, m}
	})
	s.waitUntil("the second stream", func() bool { return s.dials.Load() == 2 })
	s.advance(2 * time.Second)
	qt.Assert(t, f.Config().Version(), qt.Equals, uint64(6))
	behind.applyUntil(t, 8)
	s.waitUntil("the version that the lagging replica caught up to", hasVersion(f, 8))
}

// TestLargeStateArrivesOverASlowLink guards against a transfer that is longer than the timeout of a silent stream.
func TestLargeStateArrivesOverASlowLink(t *testing.T) {
	s := newTestSite(t)
	s.transferLargeState(t, s.addReplica("server"))
}

// lateTimer is a timer whose caller is preempted before it subscribes.
type lateTimer struct{ aubtimer.Service }

// After implements aubtimer.Service.
func (l lateTimer) After(ctx context.Context, d time.Duration) <-chan time.Time {
	time.Sleep(5 * time.Millisecond)
	return l.Service.After(ctx, d)
}

// TestSlowLinkIgnoresPreemption guards against a slow link that waits for a time which the test's clock never reaches.
func TestSlowLinkIgnoresPreemption(t *testing.T) {
	s := newTestSite(t)
	server := s.addReplica("server")
	server.timer = lateTimer{Service: s.timer}
	s.transferLargeState(t, server)
}

// transferLargeState sends a state of 10,000 workspaces over a link of 20,000 bytes a second,
// on one connection.
func (s *testSite) transferLargeState(t *testing.T, server *replica) {
	t.Helper()
	const workspaceCount, bytesPerSecond = 10_000, 20_000
	ticket := aubapi.Ticket{Number: 1}
	for i := range workspaceCount {
		ticket.Workspaces = append(ticket.Workspaces, aubapi.Workspace{Name: "workspace-" + strconv.Itoa(i), Rate: 1, Burst: 1})
	}
	server.apply(t, ticket)
	server.mu.Lock()
	server.linkBytesPerSecond = bytesPerSecond
	server.mu.Unlock()
	f := s.follow(s.ctx, "", "server")
	s.waitForTransfer("the large state", server, hasVersion(f, 1))
	qt.Assert(t, s.dials.Load(), qt.Equals, int32(1))
}

func TestFollowerSwitchesFromUnconfirmedReplica(t *testing.T) {
	s := newTestSite(t)
	unconfirmed, confirmed := s.addUnconfirmedReplica("unconfirmed"), s.addReplica("confirmed")
	unconfirmed.applyUntil(t, 1)
	confirmed.applyUntil(t, 2)
	f := s.follow(s.ctx, "", "unconfirmed", "confirmed")
	s.waitUntil("the version of the confirmed replica", hasVersion(f, 2))
}

func TestRestartWithCachedConfiguration(t *testing.T) {
	cases := []struct {
		name string
		// serverVersion is the version of the only server; confirmed is true if the
		// leader confirms it.
		serverVersion uint64
		confirmed     bool
		corruptCache  bool
		// The versions published before and after the startup timeout.
		versionBeforeTimeout, versionAfterTimeout uint64
	}{
		{name: "unconfirmed server that lags: the cached version is published", serverVersion: 2, versionBeforeTimeout: 0, versionAfterTimeout: 5},
		{name: "unconfirmed server that is ahead", serverVersion: 7, versionBeforeTimeout: 0, versionAfterTimeout: 7},
		{name: "confirmed server", serverVersion: 7, confirmed: true, versionBeforeTimeout: 7, versionAfterTimeout: 7},
		{name: "damaged cache and unconfirmed server: the server's version is published", serverVersion: 2, corruptCache: true, versionBeforeTimeout: 0, versionAfterTimeout: 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestSite(t)
			dir := t.TempDir()
			s.fillCache(t, dir, 5)
			if c.corruptCache {
				corruptFile(t, filepath.Join(dir, "config.cache"))
			}
			server := s.addUnconfirmedReplica("server")
			server.reader.unconfirmed.Store(!c.confirmed)
			server.applyUntil(t, c.serverVersion)
			f := s.follow(s.ctx, dir, "server")
			defer s.checkVersions(s.ctx, f, historyConfigs(t, 8))()
			s.advance(6 * time.Second)
			qt.Assert(t, f.Config().Version(), qt.Equals, c.versionBeforeTimeout)
			s.advance(6 * time.Second)
			qt.Assert(t, f.Config().Version(), qt.Equals, c.versionAfterTimeout)
			qt.Assert(t, f.ConfirmedAt().IsZero(), qt.Equals, !c.confirmed)
		})
	}
}

// fillCache runs a follower until it has published the version and written it to the
// cache.
func (s *testSite) fillCache(t *testing.T, dir string, version uint64) {
	t.Helper()
	r := s.addReplica("before")
	r.applyUntil(t, version)
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	f := s.follow(ctx, dir, "before")
	s.waitUntil("the version before the restart", hasVersion(f, version))
}

// corruptFile inverts a byte in the middle of a file.
func corruptFile(t *testing.T, name string) {
	t.Helper()
	data, err := os.ReadFile(name)
	qt.Assert(t, err, qt.IsNil)
	data[len(data)/2] ^= 0xff
	qt.Assert(t, os.WriteFile(name, data, 0o600), qt.IsNil)
}

func TestKeyWithdrawalReachesConnectedFollower(t *testing.T) {
	s := newTestSite(t)
	r := s.addReplica("a")
	secret, key, err := aubauth.NewKey("desk", "zilina")
	qt.Assert(t, err, qt.IsNil)
	r.apply(t, aubapi.Ticket{
		Number:     1,
		Workspaces: []aubapi.Workspace{{Name: "zilina", Rate: 1, Burst: 1}},
		Keys:       []aubapi.Key{key},
	})
	f := s.follow(s.ctx, "", "a")
	s.waitUntil("the version with the key", hasVersion(f, 1))
	auth := aubauth.NewAuthenticator(s.common, f)
	id, err := auth.Authenticate(secret)
	qt.Assert(t, err, qt.IsNil)

	key.Withdrawn = true
	r.apply(t, aubapi.Ticket{Number: 2, Keys: []aubapi.Key{key}})
	startedAt := s.timer.Now()
	s.waitUntil("the withdrawal of the key", func() bool {
		_, err := auth.Authenticate(secret)
		return err != nil
	})
	qt.Assert(t, s.timer.Now().Sub(startedAt) < 5*time.Second, qt.IsTrue)
	var refused *aubauth.UnauthenticatedError
	qt.Assert(t, errors.As(auth.Recheck(id), &refused), qt.IsTrue)
}

func TestLocalSourceWaitsForConfirmation(t *testing.T) {
	s := newTestSite(t)
	r := s.addReplica("a")
	r.applyUntil(t, 2)
	reader := &fakeReader{}
	reader.unconfirmed.Store(true)
	dir := t.TempDir()
	start := func(ctx context.Context) *aubdistribution.LocalSource {
		return aubdistribution.NewLocalSource(ctx, s.common, aubdistribution.LocalSourceOpts{Table: r.table, Reader: reader, DataDir: dir})
	}
	ctx, cancel := context.WithCancel(s.ctx)
	l := start(ctx)
	s.advance(3 * time.Second)
	qt.Assert(t, l.Config().Version(), qt.Equals, uint64(0))
	reader.unconfirmed.Store(false)
	s.waitUntil("the confirmed version", hasVersion(l, 2))
	r.applyUntil(t, 4)
	s.waitUntil("the next versions", hasVersion(l, 4))
	cancel()

	// After a restart the log is replayed from an older version.
	replayed := s.addReplica("replayed")
	replayed.applyUntil(t, 1)
	r.table = replayed.table
	reader.unconfirmed.Store(true)
	l = start(s.ctx)
	s.advance(12 * time.Second)
	qt.Assert(t, l.Config().Version(), qt.Equals, uint64(4))
	qt.Assert(t, l.ConfirmedAt().IsZero(), qt.IsTrue)
}

func TestGapsAreRepairedByDeltas(t *testing.T) {
	cases := []struct {
		name string
		// laterVersion is the version committed after the lost delta; 0 for none.
		laterVersion uint64
	}{
		{name: "gap detected by a later delta", laterVersion: 5},
		{name: "gap detected by a heartbeat"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestSite(t)
			r := s.addReplica("a")
			r.applyUntil(t, 3)
			f := s.follow(s.ctx, "", "a")
			s.waitUntil("the first version", hasVersion(f, 3))
			lostDeltas, fullStates := 0, 0
			r.setSendFilter(func(m *aubwire.WatchResponse) []*aubwire.WatchResponse {
				if m.GetFull() != nil {
					fullStates++
				}
				if m.GetDelta() != nil && lostDeltas == 0 {
					lostDeltas++
					return nil
				}
				return []*aubwire.WatchResponse{m}
			})
			r.applyUntil(t, 4)
			s.waitUntil("the loss of a delta", func() bool {
				r.mu.Lock()
				defer r.mu.Unlock()
				return lostDeltas == 1
			})
			if c.laterVersion > 0 {
				r.applyUntil(t, c.laterVersion)
			}
			s.waitUntil("the newest version after the gap", hasVersion(f, max(4, c.laterVersion)))
			r.mu.Lock()
			defer r.mu.Unlock()
			qt.Assert(t, fullStates, qt.Equals, 0)
		})
	}
}

func TestRestartAfterManyChanges(t *testing.T) {
	cases := []struct {
		name       string
		version    uint64
		fullStates int
	}{
		// The removal in version 896 must override the earlier changes of the object.
		{name: "one delta with all changes", version: 897},
		{name: "full state once the changes are no longer stored", version: 1600, fullStates: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestSite(t)
			dir := t.TempDir()
			s.fillCache(t, dir, 5)
			r := s.addReplica("a")
			r.applyUntil(t, c.version)
			fullStates, deltas := 0, 0
			r.setSendFilter(func(m *aubwire.WatchResponse) []*aubwire.WatchResponse {
				if m.GetFull() != nil {
					fullStates++
				}
				if m.GetDelta() != nil {
					deltas++
				}
				return []*aubwire.WatchResponse{m}
			})
			f := s.follow(s.ctx, dir, "a")
			s.waitUntil("the newest version", hasVersion(f, c.version))
			r.mu.Lock()
			defer r.mu.Unlock()
			qt.Assert(t, f.Config().Digest(), qt.Equals, r.table.Config().Digest())
			qt.Assert(t, fullStates, qt.Equals, c.fullStates)
			qt.Assert(t, deltas, qt.Equals, 1-c.fullStates)
		})
	}
}
