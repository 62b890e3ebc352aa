package aubdistribution_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubauth"
	"github.com/auburndale/auburndale/internal/aubdistribution"
	"github.com/auburndale/auburndale/internal/aubstate/aubcodec"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// watchVersions fails the test if the source publishes a version below the previous
// one or content that differs from that of the version. The result stops the check.
func (s *site) watchVersions(ctx context.Context, source aubquery.Source, configs []aubquery.Config) func() {
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

// reaches returns a condition: the source has published the version.
func reaches(source aubquery.Source, version uint64) func() bool {
	return func() bool { return source.Config().Version() == version }
}

func TestFollowerReachesEveryVersion(t *testing.T) {
	s := newSite(t)
	r := s.addReplica("a")
	r.grow(t, 3)
	f := s.follow(s.ctx, "", "a")
	defer s.watchVersions(s.ctx, f, history(t, 40))()
	s.until("the first version", reaches(f, 3))
	for v := uint64(4); v <= 40; v++ {
		r.grow(t, v)
		s.until("the next version", reaches(f, v))
	}
	s.until("confirmations continue", func() bool { return s.timer.Now().Sub(f.ConfirmedAt()) < 3*time.Second })
	qt.Assert(t, int(s.dials.Load()), qt.Equals, 1)
}

func TestSpoiledStreamsNeverShowWrongContent(t *testing.T) {
	for seed := range uint64(3) {
		s := newSite(t)
		r := s.addReplica("a")
		r.setSpoil(shuffle(rand.New(rand.NewPCG(seed, 0))))
		f := s.follow(s.ctx, "", "a")
		stop := s.watchVersions(s.ctx, f, history(t, 60))
		for v := uint64(1); v <= 60; v++ {
			r.grow(t, v)
			s.pass(50 * time.Millisecond)
		}
		s.until("the last version despite dropped, duplicated and delayed messages", reaches(f, 60))
		stop()
	}
}

func TestWrongContentIsRepairedByTheFullState(t *testing.T) {
	s := newSite(t)
	r := s.addReplica("a")
	r.grow(t, 3)
	f := s.follow(s.ctx, "", "a")
	s.until("the first version", reaches(f, 3))
	fulls := 0
	r.setSpoil(func(m *aubwire.WatchResponse) []*aubwire.WatchResponse {
		if d := m.GetDelta(); d != nil {
			lacking := &aubwire.ConfigDelta{FromVersion: d.GetFromVersion(), ToVersion: d.GetToVersion(), Digest: d.GetDigest()}
			return []*aubwire.WatchResponse{{Message: &aubwire.WatchResponse_Delta{Delta: lacking}}}
		}
		if m.GetFull() != nil {
			fulls++
		}
		return []*aubwire.WatchResponse{m}
	})
	r.grow(t, 4)
	s.until("the repaired version", reaches(f, 4))
	qt.Assert(t, f.Config().Digest(), qt.Equals, r.table.Config().Digest())
	r.mu.Lock()
	defer r.mu.Unlock()
	qt.Assert(t, fulls, qt.Equals, 1)
}

func TestSilentStreamIsReplaced(t *testing.T) {
	s := newSite(t)
	silent, sound := s.addReplica("silent"), s.addReplica("sound")
	silent.grow(t, 1)
	f := s.follow(s.ctx, "", "silent", "sound")
	s.until("the first version", reaches(f, 1))
	silent.setSpoil(func(*aubwire.WatchResponse) []*aubwire.WatchResponse { return nil })
	silent.grow(t, 2)
	sound.grow(t, 2)
	began := s.timer.Now()
	s.until("the next version from the other replica", reaches(f, 2))
	qt.Assert(t, s.timer.Now().Sub(began) < 20*time.Second, qt.IsTrue)
	qt.Assert(t, int(s.dials.Load()), qt.Equals, 2)
}

func TestReconnectToALaggingReplica(t *testing.T) {
	s := newSite(t)
	ahead, behind := s.addReplica("ahead"), s.addReplica("behind")
	ahead.grow(t, 6)
	behind.grow(t, 2)
	f := s.follow(s.ctx, "", "ahead", "behind")
	defer s.watchVersions(s.ctx, f, history(t, 8))()
	s.until("the first version", reaches(f, 6))
	ahead.setSpoil(func(*aubwire.WatchResponse) []*aubwire.WatchResponse { return nil })
	// The lagging replica sends its older full state before each message.
	behind.setSpoil(func(m *aubwire.WatchResponse) []*aubwire.WatchResponse {
		cfg := behind.table.Config()
		older := &aubwire.ConfigFull{State: aubcodec.StateToWire(cfg), Digest: cfg.Digest().Bytes()}
		return []*aubwire.WatchResponse{{Message: &aubwire.WatchResponse_Full{Full: older}}, m}
	})
	s.until("the second stream", func() bool { return s.dials.Load() == 2 })
	s.pass(2 * time.Second)
	qt.Assert(t, f.Config().Version(), qt.Equals, uint64(6))
	behind.grow(t, 8)
	s.until("the version that the lagging replica caught up to", reaches(f, 8))
}

func TestUnconfirmedReplicaIsLeft(t *testing.T) {
	s := newSite(t)
	cut, sound := s.addCutOffReplica("cut"), s.addReplica("sound")
	cut.grow(t, 1)
	sound.grow(t, 2)
	f := s.follow(s.ctx, "", "cut", "sound")
	s.until("the version of the replica that the leader confirms", reaches(f, 2))
}

func TestRestartWithACopy(t *testing.T) {
	cases := []struct {
		name string
		// peer is the version of the only server; confirmed is true if the leader
		// confirms it.
		peer      uint64
		confirmed bool
		spoilCopy bool
		// early is the version published before the startup timeout, late the one
		// published after it.
		early, late uint64
	}{
		{name: "unconfirmed server that lags: the cached version is published", peer: 2, early: 0, late: 5},
		{name: "unconfirmed server that is ahead", peer: 7, early: 0, late: 7},
		{name: "confirmed server", peer: 7, confirmed: true, early: 7, late: 7},
		{name: "damaged cache and unconfirmed server: the server's version is published", peer: 2, spoilCopy: true, early: 0, late: 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t)
			dir := t.TempDir()
			s.fillCopy(t, dir, 5)
			if c.spoilCopy {
				spoilFile(t, filepath.Join(dir, "config.cache"))
			}
			peer := s.addCutOffReplica("peer")
			peer.reader.cutOff.Store(!c.confirmed)
			peer.grow(t, c.peer)
			f := s.follow(s.ctx, dir, "peer")
			defer s.watchVersions(s.ctx, f, history(t, 8))()
			s.pass(6 * time.Second)
			qt.Assert(t, f.Config().Version(), qt.Equals, c.early)
			s.pass(6 * time.Second)
			qt.Assert(t, f.Config().Version(), qt.Equals, c.late)
			qt.Assert(t, f.ConfirmedAt().IsZero(), qt.Equals, !c.confirmed)
		})
	}
}

// fillCopy runs a follower until it has published the version and written it to the
// cache.
func (s *site) fillCopy(t *testing.T, dir string, version uint64) {
	t.Helper()
	r := s.addReplica("before")
	r.grow(t, version)
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	f := s.follow(ctx, dir, "before")
	s.until("the version before the restart", reaches(f, version))
}

func spoilFile(t *testing.T, name string) {
	t.Helper()
	data, err := os.ReadFile(name)
	qt.Assert(t, err, qt.IsNil)
	data[len(data)/2] ^= 0xff
	qt.Assert(t, os.WriteFile(name, data, 0o600), qt.IsNil)
}

func TestWithdrawalWhileConnected(t *testing.T) {
	s := newSite(t)
	r := s.addReplica("a")
	secret, key, err := aubauth.NewKey("desk", "zilina")
	qt.Assert(t, err, qt.IsNil)
	r.apply(t, aubapi.Ticket{
		Number:     1,
		Workspaces: []aubapi.Workspace{{Name: "zilina", Rate: 1, Burst: 1}},
		Keys:       []aubapi.Key{key},
	})
	f := s.follow(s.ctx, "", "a")
	s.until("the version with the key", reaches(f, 1))
	auth := aubauth.NewAuthenticator(s.common, f)
	id, err := auth.Authenticate(secret)
	qt.Assert(t, err, qt.IsNil)

	key.Withdrawn = true
	r.apply(t, aubapi.Ticket{Number: 2, Keys: []aubapi.Key{key}})
	began := s.timer.Now()
	s.until("the withdrawal of the key", func() bool {
		_, err := auth.Authenticate(secret)
		return err != nil
	})
	qt.Assert(t, s.timer.Now().Sub(began) < 5*time.Second, qt.IsTrue)
	var refused *aubauth.UnauthenticatedError
	qt.Assert(t, errors.As(auth.Recheck(id), &refused), qt.IsTrue)
}

func TestLocalSourceWaitsForTheLeader(t *testing.T) {
	s := newSite(t)
	r := s.addReplica("a")
	r.grow(t, 2)
	reader := &fakeReader{}
	reader.cutOff.Store(true)
	dir := t.TempDir()
	start := func(ctx context.Context) *aubdistribution.LocalSource {
		return aubdistribution.NewLocalSource(ctx, s.common, aubdistribution.LocalSourceOpts{Table: r.table, Reader: reader, DataDir: dir})
	}
	ctx, cancel := context.WithCancel(s.ctx)
	l := start(ctx)
	s.pass(3 * time.Second)
	qt.Assert(t, l.Config().Version(), qt.Equals, uint64(0))
	reader.cutOff.Store(false)
	s.until("the confirmed version", reaches(l, 2))
	r.grow(t, 4)
	s.until("the next versions", reaches(l, 4))
	cancel()

	// After a restart the log is replayed from an older version.
	replayed := s.addReplica("replayed")
	replayed.grow(t, 1)
	r.table = replayed.table
	reader.cutOff.Store(true)
	l = start(s.ctx)
	s.pass(12 * time.Second)
	qt.Assert(t, l.Config().Version(), qt.Equals, uint64(4))
	qt.Assert(t, l.ConfirmedAt().IsZero(), qt.IsTrue)
}

func TestGapsAreRepairedByDeltas(t *testing.T) {
	cases := []struct {
		name string
		// later is the version committed after the lost delta; 0 for none.
		later uint64
	}{
		{name: "gap detected by a later delta", later: 5},
		{name: "gap detected by a heartbeat"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t)
			r := s.addReplica("a")
			r.grow(t, 3)
			f := s.follow(s.ctx, "", "a")
			s.until("the first version", reaches(f, 3))
			lost, fulls := 0, 0
			r.setSpoil(func(m *aubwire.WatchResponse) []*aubwire.WatchResponse {
				if m.GetFull() != nil {
					fulls++
				}
				if m.GetDelta() != nil && lost == 0 {
					lost++
					return nil
				}
				return []*aubwire.WatchResponse{m}
			})
			r.grow(t, 4)
			s.until("the loss of a delta", func() bool {
				r.mu.Lock()
				defer r.mu.Unlock()
				return lost == 1
			})
			if c.later > 0 {
				r.grow(t, c.later)
			}
			s.until("the newest version after the gap", reaches(f, max(4, c.later)))
			r.mu.Lock()
			defer r.mu.Unlock()
			qt.Assert(t, fulls, qt.Equals, 0)
		})
	}
}

func TestRestartAfterManyChanges(t *testing.T) {
	cases := []struct {
		name    string
		version uint64
		fulls   int
	}{
		// The removal in version 896 must override the earlier changes of the object.
		{name: "one delta with all changes", version: 897},
		{name: "full state once the changes are no longer stored", version: 1600, fulls: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t)
			dir := t.TempDir()
			s.fillCopy(t, dir, 5)
			r := s.addReplica("a")
			r.grow(t, c.version)
			fulls, deltas := 0, 0
			r.setSpoil(func(m *aubwire.WatchResponse) []*aubwire.WatchResponse {
				if m.GetFull() != nil {
					fulls++
				}
				if m.GetDelta() != nil {
					deltas++
				}
				return []*aubwire.WatchResponse{m}
			})
			f := s.follow(s.ctx, dir, "a")
			s.until("the newest version", reaches(f, c.version))
			r.mu.Lock()
			defer r.mu.Unlock()
			qt.Assert(t, f.Config().Digest(), qt.Equals, r.table.Config().Digest())
			qt.Assert(t, fulls, qt.Equals, c.fulls)
			qt.Assert(t, deltas, qt.Equals, 1-c.fulls)
		})
	}
}
