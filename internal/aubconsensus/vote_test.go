package aubconsensus_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// ballot asks replicas for votes by messages made by hand.
type ballot struct {
	c         *cluster
	clusterID string
	disks     map[string]string
}

type voteAnswer int

const (
	noAnswer voteAnswer = iota
	refusedVote
	grantedVote
)

func newBallot(c *cluster) ballot {
	p, _ := c.process(c.leader())
	b := ballot{c: c, clusterID: p.node.Status().ClusterID, disks: make(map[string]string)}
	for name, platter := range c.platters {
		b.disks[name] = platter.id
	}
	return b
}

func (b ballot) ask(from, to string, term uint64, req *aubwire.VoteRequest) voteAnswer {
	p, ok := b.c.process(to)
	qt.Assert(b.c.t, ok, qt.IsTrue)
	answers := b.c.network.tap(to, from)
	p.node.Deliver(&aubwire.ConsensusMessage{
		ClusterId: b.clusterID, Term: term, From: b.disks[from], FromAddress: from, To: b.disks[to],
		Body: &aubwire.ConsensusMessage_Vote{Vote: req},
	})
	timeout := time.After(2 * electionTimeout)
	for {
		select {
		case m := <-answers:
			if r := m.GetVoteResponse(); r != nil && r.GetPre() == req.GetPre() {
				if r.GetGranted() {
					return grantedVote
				}
				return refusedVote
			}
		case <-timeout:
			return noAnswer
		}
	}
}

// whole is a request of a candidate that holds more than anyone.
func whole(pre, transfer bool) *aubwire.VoteRequest {
	return &aubwire.VoteRequest{Pre: pre, Transfer: transfer, LastIndex: 1000, LastTerm: 1000}
}

// TestVoteSurvivesRestartAndNotTheDisk: a replica votes once in a term, also after
// a restart, and a new disk under the old name does not answer for the old one.
func TestVoteSurvivesRestartAndNotTheDisk(t *testing.T) {
	c := newCluster(t, 3, 4)
	b := newBallot(c)
	c.kill("b")
	c.kill("c")
	qt.Assert(t, b.ask("b", "a", 1000, whole(false, true)), qt.Equals, grantedVote)
	c.restart("a")
	qt.Assert(t, b.ask("c", "a", 1000, whole(false, true)), qt.Equals, refusedVote)
	qt.Assert(t, b.ask("b", "a", 1000, whole(false, true)), qt.Equals, grantedVote)
	c.loseDisk("a", false)
	c.start("a")
	qt.Assert(t, b.ask("b", "a", 1000, whole(false, true)), qt.Equals, noAnswer)
}

// TestNoVoteThatBreaksALeaseOrLosesEntries: while a leader may hold its lease, no
// one votes against it; no one votes for a candidate that lacks entries.
func TestNoVoteThatBreaksALeaseOrLosesEntries(t *testing.T) {
	c := newCluster(t, 3, 5)
	c.append("k", "v")
	c.hasEverywhere("k", "v,")
	b := newBallot(c)
	leader := c.leader()
	first := c.any(leader)
	second := c.any(leader, first)

	// Time stands still for the one that is asked, after it heard the leader.
	manual := aubtimer.NewManual(time.Now())
	c.timer = manual
	c.restart(second)
	manual.Advance(2 * electionTimeout)
	c.append("k", "w")
	c.hasEverywhere("k", "v,w,")
	qt.Assert(t, b.ask(first, second, 1000, whole(true, false)), qt.Equals, refusedVote)
	qt.Assert(t, b.ask(first, second, 1000, whole(false, false)), qt.Equals, refusedVote)

	// A restarted replica forgot whom it heard: its time stands still until moved.
	c.kill(leader)
	c.kill(first)
	c.restart(second)
	qt.Assert(t, b.ask(first, second, 1000, whole(true, false)), qt.Equals, refusedVote)
	manual.Advance(electionTimeout - 1)
	qt.Assert(t, b.ask(first, second, 1000, whole(false, false)), qt.Equals, refusedVote)
	manual.Advance(1)
	short := &aubwire.VoteRequest{Pre: true, LastIndex: 1, LastTerm: 1}
	qt.Assert(t, b.ask(first, second, 1001, short), qt.Equals, refusedVote)
	qt.Assert(t, b.ask(first, second, 1001, whole(true, false)), qt.Equals, grantedVote)
}
