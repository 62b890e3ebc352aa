//go:build !race

// The model runs without the race detector, whose runtime crashes on its timers in a synctest
// bubble (Go 1.26: SIGSEGV in timer.modify, or "CHECK failed: tsan_rtl.cpp:346").

package aubconsensus_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubconsensus"
	"github.com/auburndale/auburndale/internal/aubstore"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// replicaFaults are the faults of one replica's disk and links. A link has the faults of both
// its ends; messages overtake each other as their times vary.
type replicaFaults struct {
	// syncTime and messageTime are means; the times vary between a half and one and a half.
	syncTime, messageTime time.Duration
	// loss is the share of messages that are lost, and of those that are duplicated.
	loss float64
	// deaf replicas receive nothing, mute ones send nothing.
	deaf, mute bool
}

// faultModel applies faults to a cluster in simulated time and records what it does.
type faultModel struct {
	*cluster

	mu     sync.Mutex
	random *rand.Rand
	faults map[string]replicaFaults
	// leaders holds the disk id of the leader of each term.
	leaders map[uint64]string
	// conflicts holds the terms with two leaders.
	conflicts []uint64
	frozen    map[string]bool
	emptied   map[string]bool
	diskCount int
}

func newFaultModel(t *testing.T, size int, seed uint64) *faultModel {
	m := &faultModel{
		cluster: newCluster(t, size, seed),
		random:  rand.New(rand.NewPCG(seed, 3)),
		faults:  make(map[string]replicaFaults),
		leaders: make(map[uint64]string),
		frozen:  make(map[string]bool),
		emptied: make(map[string]bool),
	}
	for _, name := range m.names() {
		m.kill(name)
		m.emptyDisk(name)
	}
	m.changeOpts = func(opts *aubconsensus.Opts) {
		name := opts.Self.Name
		opts.Rand = rand.New(rand.NewPCG(seed, m.rand.Uint64()))
		opts.Disk = faultyDisk{Disk: opts.Disk, model: m, name: name}
		opts.Transport = faultyEndpoint{endpoint: endpoint{network: m.network, self: name}, model: m}
	}
	for _, name := range m.names() {
		m.start(name)
	}
	m.waitLeader()
	return m
}

// emptyDisk gives a stopped replica an empty disk. Its id comes from the seed, because ids
// decide which of two candidates yields.
func (m *faultModel) emptyDisk(name string) {
	m.loseDisk(name, false)
	m.diskCount++
	m.disks[name].id = fmt.Sprintf("%016x-%d", m.rand.Uint64(), m.diskCount)
}

// faultyDisk is a disk whose writes take the time of its replica's faults.
type faultyDisk struct {
	aubconsensus.Disk

	model *faultModel
	name  string
}

// Save implements aubconsensus.Disk.
func (d faultyDisk) Save(u aubstore.Update) error {
	time.Sleep(d.model.drawTime(d.model.faultsOf(d.name).syncTime))
	return d.Disk.Save(u)
}

// faultyEndpoint is a network with the faults of both ends.
type faultyEndpoint struct {
	endpoint

	model *faultModel
}

// Send implements aubconsensus.Transport.
func (e faultyEndpoint) Send(address string, message *aubwire.ConsensusMessage) {
	e.network.waitThawed(e.self)
	e.model.recordLeader(message)
	for _, delay := range e.model.drawDeliveries(e.self, address) {
		time.AfterFunc(delay, func() { e.network.send(e.self, address, message) })
	}
}

// Hello implements aubconsensus.Transport.
func (e faultyEndpoint) Hello(ctx context.Context, address string, req *aubwire.HelloRequest) (*aubwire.HelloResponse, error) {
	there, back := e.model.drawDeliveries(e.self, address), e.model.drawDeliveries(address, e.self)
	if len(there) == 0 || len(back) == 0 {
		return nil, errNoRoute
	}
	select {
	case <-time.After(there[0] + back[0]):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return e.endpoint.Hello(ctx, address, req)
}

// drawDeliveries returns the delay of each delivery of a message; there is none if it is lost.
func (m *faultModel) drawDeliveries(from, to string) []time.Duration {
	sender, receiver := m.faultsOf(from), m.faultsOf(to)
	mean := max(sender.messageTime, receiver.messageTime)
	delays := []time.Duration{m.drawTime(mean)}
	m.mu.Lock()
	chance := m.random.Float64()
	m.mu.Unlock()
	loss := max(sender.loss, receiver.loss)
	switch {
	case sender.mute || receiver.deaf || chance < loss:
		return nil
	case chance < 2*loss:
		return append(delays, 2*m.drawTime(mean))
	default:
		return delays
	}
}

func (m *faultModel) faultsOf(name string) replicaFaults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults[name]
}

func (m *faultModel) setFaults(name string, f replicaFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults[name] = f
}

// drawTime returns a time between a half and one and a half of the mean.
func (m *faultModel) drawTime(mean time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return mean/2 + time.Duration(m.random.Int64N(int64(mean)+1))
}

// drawFaults returns random faults: syncs and messages of up to twice the election timeout on
// average, up to 40% of the messages lost, and one direction cut off in a quarter of the cases.
func (m *faultModel) drawFaults() replicaFaults {
	cut := m.rand.IntN(8)
	return replicaFaults{
		syncTime:    time.Duration(m.rand.Int64N(int64(2 * electionTimeout))),
		messageTime: time.Duration(m.rand.Int64N(int64(2 * electionTimeout))),
		loss:        0.4 * m.rand.Float64(),
		deaf:        cut == 0,
		mute:        cut == 1,
	}
}

// recordLeader records the sender of an append message as the leader of its term.
func (m *faultModel) recordLeader(message *aubwire.ConsensusMessage) {
	if message.GetAppend() == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if known, ok := m.leaders[message.GetTerm()]; ok && known != message.GetFrom() {
		m.conflicts = append(m.conflicts, message.GetTerm())
	}
	m.leaders[message.GetTerm()] = message.GetFrom()
}

// stop kills a replica, also a frozen one.
func (m *faultModel) stop(name string) {
	m.network.thaw(name)
	delete(m.frozen, name)
	m.kill(name)
}

// startIfStopped starts a replica that doesn't run.
func (m *faultModel) startIfStopped(name string) {
	if _, ok := m.replica(name); !ok {
		m.start(name)
	}
}

// injectFault applies one random fault. A minority of the disks is emptied in a run at most, which
// is what the cluster must tolerate.
func (m *faultModel) injectFault() {
	name := m.randomReplica()
	switch m.rand.IntN(6) {
	case 0:
		m.stop(name)
	case 1:
		m.stop(name)
		m.start(name)
	case 2:
		if _, ok := m.replica(name); ok && !m.frozen[name] {
			m.frozen[name] = true
			m.network.freeze(name)
		}
	case 3:
		if len(m.emptied) >= (len(m.peers)-1)/2 || m.emptied[name] {
			return
		}
		m.emptied[name] = true
		m.stop(name)
		m.emptyDisk(name)
		m.start(name)
	case 4:
		m.setFaults(name, m.drawFaults())
	default:
		m.network.thaw(name)
		delete(m.frozen, name)
		m.startIfStopped(name)
		m.setFaults(name, replicaFaults{})
	}
}

// connectMajority leaves a bare majority of disks that were never emptied running and connected,
// with votes of at most 1.5 times voteTime. Every leader ends. The others are stopped; with
// disturbed, two thirds of them keep running with faults.
func (m *faultModel) connectMajority(voteTime time.Duration, disturbed bool) []string {
	names := m.names()
	m.rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	slices.SortStableFunc(names, func(a, b string) int {
		if m.emptied[a] == m.emptied[b] {
			return 0
		}
		if m.emptied[a] {
			return 1
		}
		return -1
	})
	majority, others := names[:len(names)/2+1], names[len(names)/2+1:]
	for _, name := range names {
		m.stop(name)
	}
	for _, name := range others {
		m.setFaults(name, m.drawFaults())
		if disturbed && m.rand.IntN(3) > 0 {
			m.start(name)
		}
	}
	for _, name := range majority {
		// A vote takes two syncs and two messages.
		m.setFaults(name, replicaFaults{syncTime: voteTime / 4, messageTime: voteTime / 4})
		m.start(name)
	}
	return majority
}

// isLed reports whether all the named replicas follow one running replica that leads.
func (m *faultModel) isLed(names []string) bool {
	first, ok := m.replica(names[0])
	if !ok {
		return false
	}
	leader, ok := m.replica(first.node.Status().Leader.Name)
	if !ok || !leader.node.Status().IsLeader {
		return false
	}
	return !slices.ContainsFunc(names, func(name string) bool {
		replica, ok := m.replica(name)
		return !ok || replica.node.Status().Leader != leader.node.Status().Self
	})
}

// client appends numbers one after the other and records the acknowledged ones.
type client struct {
	acknowledged []string
	// rejected are the numbers that are certain not to be committed.
	rejected []string
}

// run appends until ctx ends. Every number is proposed once only.
func (c *client) run(ctx context.Context, m *faultModel) {
	for i := 0; ctx.Err() == nil; i++ {
		replica, ok := m.replica(m.peers[i%len(m.peers)].Name)
		if ok {
			opCtx, cancel := context.WithTimeout(ctx, opTimeout)
			_, _, err := replica.node.Propose(opCtx, []byte(fmt.Sprintf("k %d", i)))
			cancel()
			var unknown *aubconsensus.UnknownOutcomeError
			if err == nil {
				c.acknowledged = append(c.acknowledged, fmt.Sprint(i))
			} else if !errors.As(err, &unknown) {
				c.rejected = append(c.rejected, fmt.Sprint(i))
			}
		}
		time.Sleep(heartbeat)
	}
}

// checkEntries checks that the text of the leader holds every acknowledged number, in order, no
// number twice, and none that was rejected.
func (c *client) checkEntries(t *testing.T, text string) {
	t.Helper()
	numbers := strings.Split(strings.TrimSuffix(text, ","), ",")
	seen := make(map[string]int)
	for _, number := range numbers {
		seen[number]++
		qt.Check(t, seen[number], qt.Equals, 1, qt.Commentf("number %s", number))
	}
	var kept []string
	for _, number := range numbers {
		if slices.Contains(c.acknowledged, number) {
			kept = append(kept, number)
		}
	}
	qt.Check(t, kept, qt.DeepEquals, c.acknowledged)
	for _, number := range c.rejected {
		qt.Check(t, seen[number], qt.Equals, 0, qt.Commentf("rejected number %s", number))
	}
}

// readLeader returns the text after a read that a quorum confirmed.
func (m *faultModel) readLeader(key string) string {
	var text string
	m.eventually("a read is confirmed", func() bool {
		for _, name := range m.names() {
			replica, ok := m.replica(name)
			if !ok || !replica.node.Status().IsLeader {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), 4*electionTimeout)
			index, err := replica.node.ReadIndex(ctx)
			if err == nil {
				err = replica.node.WaitApplied(ctx, index)
			}
			cancel()
			if err == nil {
				text = replica.machine.get(key)
				return true
			}
		}
		return false
	})
	return text
}

// electionTimeAfterFaults returns how long a connected majority needs, after random faults, until
// all of it follows one leader. It checks the leaders and the entries of the run.
func electionTimeAfterFaults(t *testing.T, size int, seed uint64, voteTime time.Duration, disturbed bool) time.Duration {
	var elapsed time.Duration
	synctest.Test(t, func(t *testing.T) {
		m := newFaultModel(t, size, seed)
		c := &client{}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { c.run(ctx, m) })
		// No goroutine may outlive a run that fails.
		defer func() {
			cancel()
			wg.Wait()
			for _, name := range m.names() {
				m.stop(name)
			}
		}()
		for range 20 {
			m.injectFault()
			time.Sleep(m.drawTime(electionTimeout))
		}
		majority := m.connectMajority(voteTime, disturbed)
		connectedAt := time.Now()
		m.eventually("a leader is followed", func() bool { return m.isLed(majority) })
		elapsed = time.Since(connectedAt)
		cancel()
		wg.Wait()
		c.checkEntries(t, m.readLeader("k"))
		qt.Check(t, m.conflicts, qt.HasLen, 0)
	})
	return elapsed
}

// TestMajorityElectsALeaderAfterFaults guards against two leaders in one term, lost entries, and a
// connected majority that stays without a leader.
func TestMajorityElectsALeaderAfterFaults(t *testing.T) { checkElections(t, false) }

// TestMajorityElectsALeaderBesideFaultyReplicas guards against replicas with slow syncs, lost
// messages or one cut direction that keep a connected majority from a leader.
func TestMajorityElectsALeaderBesideFaultyReplicas(t *testing.T) { checkElections(t, true) }

func checkElections(t *testing.T, disturbed bool) {
	t.Helper()
	const (
		seeds       = 50
		maxTimeouts = 10
	)
	for _, size := range []int{3, 5} {
		// Votes of 0.6 timeouts on average take at most 0.9.
		for _, share := range []float64{0.1, 0.3, 0.6} {
			t.Run(fmt.Sprintf("%d replicas, vote of %.1f timeouts", size, share), func(t *testing.T) {
				t.Parallel()
				times := make([]float64, 0, seeds)
				for seed := range uint64(seeds) {
					elapsed := electionTimeAfterFaults(t, size, seed, time.Duration(share*float64(electionTimeout)), disturbed)
					times = append(times, float64(elapsed)/float64(electionTimeout))
					qt.Check(t, times[seed] <= maxTimeouts, qt.IsTrue, qt.Commentf("seed %d: %.2f election timeouts", seed, times[seed]))
				}
				slices.Sort(times)
				t.Logf("election timeouts: p50 %.2f, p99 %.2f, max %.2f", times[seeds/2], times[seeds*99/100], times[seeds-1])
			})
		}
	}
}
