package aubconsensus_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubconsensus"
	"github.com/auburndale/auburndale/internal/aubstore"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// slowDisk is a disk whose writes take a random time around a mean.
type slowDisk struct {
	aubconsensus.Disk

	delays *delays
}

// Save implements aubconsensus.Disk.
func (d slowDisk) Save(u aubstore.Update) error {
	time.Sleep(d.delays.draw())
	return d.Disk.Save(u)
}

// slowEndpoint is a network whose messages take a random time around a mean.
type slowEndpoint struct {
	endpoint

	delays *delays
}

// Send implements aubconsensus.Transport.
func (e slowEndpoint) Send(address string, m *aubwire.ConsensusMessage) {
	time.AfterFunc(e.delays.draw(), func() { e.endpoint.Send(address, m) })
}

// delays draws delays between half and one and a half of a mean.
type delays struct {
	mu   sync.Mutex
	rand *rand.Rand
	mean time.Duration
}

func (d *delays) draw() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mean == 0 {
		return 0
	}
	return d.mean/2 + time.Duration(d.rand.Int64N(int64(d.mean)))
}

// electionTime returns how long a bare majority of the replicas needs for a leader after
// all restarted. A vote takes four delays on average: two syncs and two messages.
func electionTime(t *testing.T, size int, seed uint64, voteTime time.Duration) time.Duration {
	var elapsed time.Duration
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, size, seed)
		d := &delays{rand: rand.New(rand.NewPCG(seed, 3)), mean: voteTime / 4}
		c.changeOpts = func(opts *aubconsensus.Opts) {
			opts.Rand = rand.New(rand.NewPCG(seed, uint64(opts.Self.Name[0])))
			opts.Disk = slowDisk{Disk: opts.Disk, delays: d}
			opts.Transport = slowEndpoint{endpoint: endpoint{network: c.network, self: opts.Self.Name}, delays: d}
		}
		for _, name := range c.names() {
			c.kill(name)
		}
		startedAt := time.Now()
		for _, name := range c.names()[:size/2+1] {
			c.start(name)
		}
		c.eventually("a leader is followed", c.hasFollowedLeader)
		elapsed = time.Since(startedAt)
	})
	return elapsed
}

// hasFollowedLeader reports whether all running replicas follow one of them.
func (c *cluster) hasFollowedLeader() bool {
	leaders := make(map[string]bool)
	hasLeader := false
	for _, name := range c.names() {
		if replica, ok := c.replica(name); ok {
			s := replica.node.Status()
			leaders[s.Leader.Name] = true
			hasLeader = hasLeader || s.IsLeader
		}
	}
	return hasLeader && len(leaders) == 1 && !leaders[""]
}

// TestMajorityElectsALeaderWithinTenTimeouts logs, without a bound, the times for votes above the election timeout.
func TestMajorityElectsALeaderWithinTenTimeouts(t *testing.T) {
	const (
		seeds       = 100
		maxTimeouts = 10
	)
	for _, size := range []int{3, 5} {
		for _, share := range []float64{0.1, 0.5, 0.9, 1.5} {
			t.Run(fmt.Sprintf("%d replicas, vote of %.1f timeouts", size, share), func(t *testing.T) {
				times := make([]float64, 0, seeds)
				for seed := range uint64(seeds) {
					elapsed := electionTime(t, size, seed, time.Duration(share*float64(electionTimeout)))
					times = append(times, float64(elapsed)/float64(electionTimeout))
					if share < 1 {
						qt.Check(t, times[seed] <= maxTimeouts, qt.IsTrue, qt.Commentf("seed %d: %.2f election timeouts", seed, times[seed]))
					}
				}
				slices.Sort(times)
				t.Logf("election timeouts: p50 %.2f, p95 %.2f, max %.2f", times[seeds/2], times[seeds*95/100], times[seeds-1])
			})
		}
	}
}
