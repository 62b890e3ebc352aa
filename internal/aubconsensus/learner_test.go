package aubconsensus_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubconsensus"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// newOpenCluster starts three replicas that form a cluster, and more that join.
func newOpenCluster(t *testing.T, maxVoters int, joining ...string) *cluster {
	c := newCluster(t, 3, 7)
	formed := c.peers
	c.change = func(opts *aubconsensus.Opts) {
		opts.Voters = formed
		opts.JoinOnly = true
		opts.MaxVoters = maxVoters
		opts.ReplaceAfter = 4 * electionTimeout
	}
	for _, name := range c.names() {
		c.restart(name)
	}
	for _, name := range joining {
		c.peers = append(c.peers, aubconsensus.Peer{Name: name, Address: name})
		c.platters[name] = newPlatter(false)
		c.start(name)
	}
	return c
}

// voters returns the voters that the leader knows, by name.
func (c *cluster) voters() map[string]bool {
	p, ok := c.process(c.leader())
	voters := make(map[string]bool)
	if !ok {
		return voters
	}
	for _, v := range p.node.Status().Voters {
		voters[v.Name] = true
	}
	return voters
}

func TestReplicasJoinUntilThereAreEnoughVoters(t *testing.T) {
	t.Parallel()
	c := newOpenCluster(t, 5, "d", "e", "f")
	c.append("k", "v")
	c.hasEverywhere("k", "v,")
	c.eventually("five replicas vote", func() bool { return len(c.voters()) == 5 })
	c.run(8)
	qt.Assert(t, c.voters(), qt.HasLen, 5)
}

// TestTwoLossesOfFiveVoters loses two disks at once, as the stated tolerance allows.
func TestTwoLossesOfFiveVoters(t *testing.T) {
	t.Parallel()
	c := newOpenCluster(t, 5, "d", "e", "f")
	c.eventually("five replicas vote", func() bool { return len(c.voters()) == 5 })
	c.append("k", "kept")
	c.loseDisk("a", false)
	c.loseDisk("b", false)
	c.append("k", "after")
	c.start("a")
	c.start("b")
	c.hasEverywhere("k", "kept,after,")
	c.eventually("five replicas vote again", func() bool { return len(c.voters()) == 5 })
}

func TestLearnerTakesTheSilentVotersPlace(t *testing.T) {
	t.Parallel()
	c := newOpenCluster(t, 3, "d")
	c.append("k", "kept")
	c.hasEverywhere("k", "kept,")
	gone := "a"
	if c.leader() == gone {
		gone = "b"
	}
	c.kill(gone)
	c.eventually("the learner votes", func() bool {
		voters := c.voters()
		return voters["d"] && !voters[gone] && len(voters) == 3
	})
	c.append("k", "after")
	// The replaced replica comes back on its old disk and waits as a learner.
	c.start(gone)
	c.hasEverywhere("k", "kept,after,")
	qt.Assert(t, c.voters()[gone], qt.IsFalse)
}

// silentHello is a transport on which one address never answers a greeting.
type silentHello struct {
	aubconsensus.Transport

	silent string
}

func (s silentHello) Hello(ctx context.Context, address string, req *aubwire.HelloRequest) (*aubwire.HelloResponse, error) {
	if address == s.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return s.Transport.Hello(ctx, address, req)
}

// TestReplicaJoinsBesideASilentPeer covers a peer of the settings that is dark: the
// answers of the others count all the same.
func TestReplicaJoinsBesideASilentPeer(t *testing.T) {
	t.Parallel()
	c := newOpenCluster(t, 3)
	c.append("k", "kept")
	gone := "a"
	if c.leader() == gone {
		gone = "b"
	}
	c.kill(gone)
	open := c.change
	c.change = func(opts *aubconsensus.Opts) {
		open(opts)
		opts.Transport = silentHello{Transport: opts.Transport, silent: gone}
	}
	started := time.Now()
	c.peers = append(c.peers, aubconsensus.Peer{Name: "d", Address: "d"})
	c.platters["d"] = newPlatter(false)
	c.start("d")
	c.eventually("the new replica holds what was committed", func() bool {
		p, ok := c.process("d")
		return ok && p.machine.get("k") == "kept,"
	})
	took := time.Since(started)
	qt.Assert(t, took < 10*electionTimeout, qt.IsTrue, qt.Commentf("joined after %v", took))
}
