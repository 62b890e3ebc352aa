package aubconsensus_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubconsensus"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// newJoinableCluster starts three replicas that form a cluster, and the joining
// ones, which the settings don't list.
func newJoinableCluster(t *testing.T, maxVoters int, joining ...string) *cluster {
	c := newCluster(t, 3, 7)
	founders := c.peers
	c.changeOpts = func(opts *aubconsensus.Opts) {
		opts.Voters = founders
		opts.JoinOnly = true
		opts.MaxVoters = maxVoters
		opts.ReplaceAfter = 4 * electionTimeout
	}
	for _, name := range c.names() {
		c.restart(name)
	}
	for _, name := range joining {
		c.peers = append(c.peers, aubconsensus.Peer{Name: name, Address: name})
		c.disks[name] = newStoredDisk(false)
		c.start(name)
	}
	return c
}

// voters returns the names of the voters in the leader's membership.
func (c *cluster) voters() map[string]bool {
	replica, ok := c.replica(c.waitLeader())
	voters := make(map[string]bool)
	if !ok {
		return voters
	}
	for _, v := range replica.node.Status().Voters {
		voters[v.Name] = true
	}
	return voters
}

func TestReplicasJoinUpToMaxVoters(t *testing.T) {
	t.Parallel()
	c := newJoinableCluster(t, 5, "d", "e", "f")
	c.commitValue("k", "v")
	c.waitValueOnAll("k", "v,")
	c.eventually("five replicas are voters", func() bool { return len(c.voters()) == 5 })
	c.sleepTimeouts(8)
	qt.Assert(t, c.voters(), qt.HasLen, 5)
}

// TestFiveVotersSurviveTwoDiskLosses loses two disks at the same time, the
// failures that five voters must tolerate.
func TestFiveVotersSurviveTwoDiskLosses(t *testing.T) {
	t.Parallel()
	c := newJoinableCluster(t, 5, "d", "e", "f")
	c.eventually("five replicas are voters", func() bool { return len(c.voters()) == 5 })
	c.commitValue("k", "kept")
	c.loseDisk("a", false)
	c.loseDisk("b", false)
	c.commitValue("k", "after")
	c.start("a")
	c.start("b")
	c.waitValueOnAll("k", "kept,after,")
	c.eventually("five replicas are voters again", func() bool { return len(c.voters()) == 5 })
}

func TestLearnerReplacesUnresponsiveVoter(t *testing.T) {
	t.Parallel()
	c := newJoinableCluster(t, 3, "d")
	c.commitValue("k", "kept")
	c.waitValueOnAll("k", "kept,")
	killed := "a"
	if c.waitLeader() == killed {
		killed = "b"
	}
	c.kill(killed)
	c.eventually("the learner is a voter", func() bool {
		voters := c.voters()
		return voters["d"] && !voters[killed] && len(voters) == 3
	})
	c.commitValue("k", "after")
	// The replaced replica restarts on its old disk and stays a learner.
	c.start(killed)
	c.waitValueOnAll("k", "kept,after,")
	qt.Assert(t, c.voters()[killed], qt.IsFalse)
}

// unresponsiveHello is a transport on which one address never responds to Hello.
type unresponsiveHello struct {
	aubconsensus.Transport

	address string
}

func (h unresponsiveHello) Hello(ctx context.Context, address string, req *aubwire.HelloRequest) (*aubwire.HelloResponse, error) {
	if address == h.address {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return h.Transport.Hello(ctx, address, req)
}

// TestReplicaJoinsDespiteUnresponsivePeer covers a listed peer that never
// responds to Hello: the new replica must still handle the responses of the
// others.
func TestReplicaJoinsDespiteUnresponsivePeer(t *testing.T) {
	t.Parallel()
	c := newJoinableCluster(t, 3)
	c.commitValue("k", "kept")
	killed := "a"
	if c.waitLeader() == killed {
		killed = "b"
	}
	c.kill(killed)
	baseOpts := c.changeOpts
	c.changeOpts = func(opts *aubconsensus.Opts) {
		baseOpts(opts)
		opts.Transport = unresponsiveHello{Transport: opts.Transport, address: killed}
	}
	started := time.Now()
	c.peers = append(c.peers, aubconsensus.Peer{Name: "d", Address: "d"})
	c.disks["d"] = newStoredDisk(false)
	c.start("d")
	c.eventually("the new replica holds what was committed", func() bool {
		replica, ok := c.replica("d")
		return ok && replica.machine.get("k") == "kept,"
	})
	elapsed := time.Since(started)
	qt.Assert(t, elapsed < 10*electionTimeout, qt.IsTrue, qt.Commentf("joined only after %v", elapsed))
}
