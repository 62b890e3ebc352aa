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

// forceBound is the maximum time until an accepted configuration is active in every
// reachable process.
const forceBound = 20 * time.Second

// joined is a follower with the times at which it published each version.
type joined struct {
	follower *aubdistribution.Follower
	// at is the start time of the follower.
	at      time.Time
	last    uint64
	shownAt map[uint64]time.Time
}

// look records the time of versions that were published since the last call.
func (j *joined) look(now time.Time) {
	version := j.follower.Config().Version()
	for j.last < version {
		j.last++
		j.shownAt[j.last] = now
	}
}

// TestEveryVersionIsInForceWithinTheBound starts followers one by one while streams
// drop, duplicate and reorder messages, one replica lags by 3 seconds and another one
// sends nothing for 30 seconds. Every version must be active in every process within
// propagationBound after its commit or after the start of the process.
func TestEveryVersionIsInForceWithinTheBound(t *testing.T) {
	const (
		versions  = 24
		processes = 8
		step      = 50 * time.Millisecond
		every     = 2 * time.Second
	)
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSite(t)
			random := rand.New(rand.NewPCG(seed, 1))
			replicas := []*replica{s.addReplica("a"), s.addReplica("b"), s.addReplica("c")}
			for i, r := range replicas {
				r.setSpoil(shuffle(rand.New(rand.NewPCG(seed, uint64(i)))))
			}
			began := s.timer.Now()
			committedAt := map[uint64]time.Time{}
			var all []*joined
			for s.timer.Now().Sub(began) < versions*every+forceBound {
				elapsed := s.timer.Now().Sub(began)
				committed := min(uint64(elapsed/every), versions)
				if _, ok := committedAt[committed]; !ok {
					committedAt[committed] = s.timer.Now()
				}
				replicas[0].grow(t, committed)
				replicas[1].grow(t, committed)
				replicas[2].grow(t, min(uint64(max(0, elapsed-3*time.Second)/every), versions))
				if elapsed == 20*time.Second {
					replicas[1].setSpoil(func(*aubwire.WatchResponse) []*aubwire.WatchResponse { return nil })
				}
				if elapsed == 50*time.Second {
					replicas[1].setSpoil(nil)
				}
				if len(all) < processes && elapsed >= time.Duration(len(all))*4*time.Second {
					addresses := []string{"a", "b", "c"}
					random.Shuffle(3, func(i, k int) { addresses[i], addresses[k] = addresses[k], addresses[i] })
					all = append(all, &joined{
						follower: s.follow(s.ctx, "", addresses...), at: s.timer.Now(), shownAt: map[uint64]time.Time{},
					})
				}
				s.pass(step)
				for _, j := range all {
					j.look(s.timer.Now())
				}
			}
			worst := time.Duration(0)
			for i, j := range all {
				for version := uint64(1); version <= versions; version++ {
					from := committedAt[version]
					if j.at.After(from) {
						from = j.at
					}
					shownAt, ok := j.shownAt[version]
					qt.Assert(t, ok, qt.IsTrue, qt.Commentf("process %d never published version %d", i, version))
					qt.Assert(t, shownAt.Sub(from) <= forceBound, qt.IsTrue,
						qt.Commentf("process %d published version %d after %v", i, version, shownAt.Sub(from)))
					worst = max(worst, shownAt.Sub(from))
				}
			}
			t.Logf("all versions active in all processes within %v", worst)
		})
	}
}
