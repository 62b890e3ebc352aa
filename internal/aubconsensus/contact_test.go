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
)

// contactRecord is a record in memory that outlives the replica. A regular end does not clear it,
// because the tests kill replicas by it.
type contactRecord struct {
	mu    sync.Mutex
	end   time.Time
	isSet bool
}

func (r *contactRecord) Age() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.end), r.isSet
}

func (r *contactRecord) Extend(d time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end, r.isSet = time.Now().Add(d), true
	return nil
}

func (r *contactRecord) Clear() error { return nil }
func (r *contactRecord) Close() error { return nil }

// electionTimeWithRecords returns how long a bare majority of the replicas needs for a leader after
// all were down for the outage and started up to the skew one after the other. Replicas keep
// contact records if hasRecords is set.
func electionTimeWithRecords(t *testing.T, size int, seed uint64, voteTime, outage, skew time.Duration, hasRecords bool) time.Duration {
	var elapsed time.Duration
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, size, seed)
		d := &delays{rand: rand.New(rand.NewPCG(seed, 3)), mean: voteTime / 4}
		records := make(map[string]*contactRecord)
		for _, name := range c.names() {
			records[name] = &contactRecord{}
		}
		c.changeOpts = func(opts *aubconsensus.Opts) {
			opts.Rand = rand.New(rand.NewPCG(seed, uint64(opts.Self.Name[0])))
			opts.Disk = slowDisk{Disk: opts.Disk, delays: d}
			opts.Transport = slowEndpoint{endpoint: endpoint{network: c.network, self: opts.Self.Name}, delays: d}
			if hasRecords {
				opts.Contacts, opts.KeepsContacts = records[opts.Self.Name], func() bool { return true }
			}
		}
		for _, name := range c.names() {
			c.restart(name)
		}
		c.eventually("a leader is followed before the outage", c.hasFollowedLeader)
		for _, name := range c.names() {
			c.kill(name)
		}
		time.Sleep(outage)
		rnd := rand.New(rand.NewPCG(seed, 4))
		for _, i := range rnd.Perm(size)[:size/2+1] {
			if skew > 0 {
				time.Sleep(time.Duration(rnd.Int64N(int64(skew))))
			}
			c.start(c.names()[i])
		}
		startedAt := time.Now()
		c.eventually("a leader is followed", c.hasFollowedLeader)
		elapsed = time.Since(startedAt)
	})
	return elapsed
}

// TestMajorityElectsALeaderEarlyAfterAnOutage guards against an election that waits for a lease
// which is long over. The time counts from the start of the last replica of the majority, beside
// that of replicas without records. Votes of up to 0.9 timeouts must bring a leader within ten.
func TestMajorityElectsALeaderEarlyAfterAnOutage(t *testing.T) {
	const (
		seeds       = 50
		maxTimeouts = 10
		// maxFastTimeouts is the target of 0.4 s at the default election timeout of 0.4 s.
		maxFastTimeouts = 1
	)
	for _, size := range []int{3, 5} {
		for _, share := range []float64{0.1, 0.5, 0.9} {
			for _, skew := range []float64{0, 0.5} {
				t.Run(fmt.Sprintf("%d replicas, vote of %.1f timeouts, starts within %.1f", size, share, skew), func(t *testing.T) {
					times := make(map[bool][]float64)
					for seed := range uint64(seeds) {
						for _, hasRecords := range []bool{false, true} {
							scale := float64(electionTimeout)
							elapsed := electionTimeWithRecords(t, size, seed, time.Duration(share*scale), 3*electionTimeout, time.Duration(skew*scale), hasRecords)
							times[hasRecords] = append(times[hasRecords], float64(elapsed)/scale)
						}
						got := times[true][seed]
						qt.Check(t, got <= maxTimeouts, qt.IsTrue, qt.Commentf("seed %d: %.2f election timeouts", seed, got))
						if share < 0.5 {
							qt.Check(t, got <= maxFastTimeouts, qt.IsTrue, qt.Commentf("seed %d: %.2f election timeouts", seed, got))
						}
					}
					for _, hasRecords := range []bool{false, true} {
						slices.Sort(times[hasRecords])
						t.Logf("records %t, election timeouts: p50 %.2f, p95 %.2f, max %.2f", hasRecords,
							times[hasRecords][seeds/2], times[hasRecords][seeds*95/100], times[hasRecords][seeds-1])
					}
				})
			}
		}
	}
}

// TestLeaderKeepsItsContactBeforeItIsFollowed guards against a leader that is killed before its first
// tick and then waits for an election timeout, because it has no contact record.
func TestLeaderKeepsItsContactBeforeItIsFollowed(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 3, seed)
			records := make(map[string]*contactRecord)
			for _, name := range c.names() {
				records[name] = &contactRecord{}
			}
			c.changeOpts = func(opts *aubconsensus.Opts) {
				opts.Contacts, opts.KeepsContacts = records[opts.Self.Name], func() bool { return true }
			}
			for _, name := range c.names() {
				c.restart(name)
			}
			for !c.hasFollowedLeader() {
				time.Sleep(heartbeat / 1000)
			}
			for _, name := range c.names() {
				_, isSet := records[name].Age()
				qt.Check(t, isSet, qt.IsTrue, qt.Commentf("seed %d: %s", seed, name))
			}
		})
	}
}

// TestRestartedMemberWaitsForTheLease guards against a vote of a restarted replica while a leader
// may hold a lease that depends on what the replica acknowledged before.
func TestRestartedMemberWaitsForTheLease(t *testing.T) {
	for seed := range uint64(20) {
		elapsed := electionTimeWithRecords(t, 3, seed, 0, 0, 0, true)
		qt.Check(t, elapsed >= electionTimeout, qt.IsTrue, qt.Commentf("seed %d: leader after %s", seed, elapsed))
	}
}
