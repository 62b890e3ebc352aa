package aubdistribution_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubdistribution"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// propagationBound is the maximum time until an accepted configuration is active in
// every reachable process.
const propagationBound = 20 * time.Second

// observedFollower is a follower with the times at which it published each version.
type observedFollower struct {
	follower *aubdistribution.Follower
	// startedAt is the start time of the follower.
	startedAt   time.Time
	lastVersion uint64
	publishedAt map[uint64]time.Time
}

// observe records the time of versions that were published since the last call.
func (f *observedFollower) observe(now time.Time) {
	version := f.follower.Config().Version()
	for f.lastVersion < version {
		f.lastVersion++
		f.publishedAt[f.lastVersion] = now
	}
}

// TestEveryVersionIsActiveWithinTheBound starts followers one by one while streams
// drop, duplicate and reorder messages, one replica lags by 3 seconds and another one
// sends nothing for 30 seconds. Every version must be active in every process within
// propagationBound after its commit or after the start of the process.
func TestEveryVersionIsActiveWithinTheBound(t *testing.T) {
	const (
		versions       = 24
		processes      = 8
		step           = 50 * time.Millisecond
		commitInterval = 2 * time.Second
	)
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newTestSite(t)
			random := rand.New(rand.NewPCG(seed, 1))
			replicas := []*replica{s.addReplica("a"), s.addReplica("b"), s.addReplica("c")}
			for i, r := range replicas {
				r.setSendFilter(randomFaults(rand.New(rand.NewPCG(seed, uint64(i)))))
			}
			startedAt := s.timer.Now()
			committedAt := map[uint64]time.Time{}
			var followers []*observedFollower
			for s.timer.Now().Sub(startedAt) < versions*commitInterval+propagationBound {
				elapsed := s.timer.Now().Sub(startedAt)
				committed := min(uint64(elapsed/commitInterval), versions)
				if _, ok := committedAt[committed]; !ok {
					committedAt[committed] = s.timer.Now()
				}
				replicas[0].applyUntil(t, committed)
				replicas[1].applyUntil(t, committed)
				replicas[2].applyUntil(t, min(uint64(max(0, elapsed-3*time.Second)/commitInterval), versions))
				if elapsed == 20*time.Second {
					replicas[1].setSendFilter(func(*aubwire.WatchResponse) []*aubwire.WatchResponse { return nil })
				}
				if elapsed == 50*time.Second {
					replicas[1].setSendFilter(nil)
				}
				if len(followers) < processes && elapsed >= time.Duration(len(followers))*4*time.Second {
					addresses := []string{"a", "b", "c"}
					random.Shuffle(3, func(i, k int) { addresses[i], addresses[k] = addresses[k], addresses[i] })
					followers = append(followers, &observedFollower{
						follower: s.follow(s.ctx, "", addresses...), startedAt: s.timer.Now(), publishedAt: map[uint64]time.Time{},
					})
				}
				s.advance(step)
				for _, f := range followers {
					f.observe(s.timer.Now())
				}
			}
			worst := time.Duration(0)
			for i, f := range followers {
				for version := uint64(1); version <= versions; version++ {
					dueSince := committedAt[version]
					if f.startedAt.After(dueSince) {
						dueSince = f.startedAt
					}
					publishedAt, ok := f.publishedAt[version]
					qt.Assert(t, ok, qt.IsTrue, qt.Commentf("process %d never published version %d", i, version))
					qt.Assert(t, publishedAt.Sub(dueSince) <= propagationBound, qt.IsTrue,
						qt.Commentf("process %d published version %d after %v", i, version, publishedAt.Sub(dueSince)))
					worst = max(worst, publishedAt.Sub(dueSince))
				}
			}
			t.Logf("all versions active in all processes within %v", worst)
		})
	}
}
