package aubconsensus_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// voteRequester sends vote requests that the test builds itself.
type voteRequester struct {
	cluster   *cluster
	clusterID string
	diskIDs   map[string]string
}

type voteResult int

const (
	noResponse voteResult = iota
	voteRefused
	voteGranted
)

func newVoteRequester(c *cluster) voteRequester {
	replica, _ := c.replica(c.waitLeader())
	requester := voteRequester{cluster: c, clusterID: replica.node.Status().ClusterID, diskIDs: make(map[string]string)}
	for name, disk := range c.disks {
		requester.diskIDs[name] = disk.id
	}
	return requester
}

func (r voteRequester) requestVote(from, to string, term uint64, req *aubwire.VoteRequest) voteResult {
	replica, ok := r.cluster.replica(to)
	qt.Assert(r.cluster.t, ok, qt.IsTrue)
	responses := r.cluster.network.tap(to, from)
	replica.node.Deliver(&aubwire.ConsensusMessage{
		ClusterId: r.clusterID, Term: term, From: r.diskIDs[from], FromAddress: from, To: r.diskIDs[to],
		Body: &aubwire.ConsensusMessage_Vote{Vote: req},
	})
	timeout := time.After(2 * electionTimeout)
	for {
		select {
		case m := <-responses:
			if resp := m.GetVoteResponse(); resp != nil && resp.GetPre() == req.GetPre() {
				if resp.GetGranted() {
					return voteGranted
				}
				return voteRefused
			}
		case <-timeout:
			return noResponse
		}
	}
}

// upToDateRequest returns the request of a candidate whose log is ahead of all
// others.
func upToDateRequest(pre, transfer bool) *aubwire.VoteRequest {
	return &aubwire.VoteRequest{Pre: pre, Transfer: transfer, LastIndex: 1000, LastTerm: 1000}
}

// TestVoteSurvivesRestartButNotDiskLoss checks that a replica votes once in a
// term, also after a restart, and that a new disk under the same name does not
// respond for the old one.
func TestVoteSurvivesRestartButNotDiskLoss(t *testing.T) {
	c := newCluster(t, 3, 4)
	requester := newVoteRequester(c)
	c.kill("b")
	c.kill("c")
	qt.Assert(t, requester.requestVote("b", "a", 1000, upToDateRequest(false, true)), qt.Equals, voteGranted)
	c.restart("a")
	qt.Assert(t, requester.requestVote("c", "a", 1000, upToDateRequest(false, true)), qt.Equals, voteRefused)
	qt.Assert(t, requester.requestVote("b", "a", 1000, upToDateRequest(false, true)), qt.Equals, voteGranted)
	c.loseDisk("a", false)
	c.start("a")
	qt.Assert(t, requester.requestVote("b", "a", 1000, upToDateRequest(false, true)), qt.Equals, noResponse)
}

// TestNoVoteAgainstLeaseOrForOutdatedLog checks that a replica refuses its vote
// while a leader may hold a lease, and to a candidate whose log lacks entries.
func TestNoVoteAgainstLeaseOrForOutdatedLog(t *testing.T) {
	c := newCluster(t, 3, 5)
	c.commitValue("k", "v")
	c.waitValueOnAll("k", "v,")
	requester := newVoteRequester(c)
	leader := c.waitLeader()
	first := c.randomReplica(leader)
	second := c.randomReplica(leader, first)

	// The clock of the requested replica stands still after its last contact
	// with the leader.
	manual := aubtimer.NewManual(time.Now())
	c.timer = manual
	c.restart(second)
	manual.Advance(2 * electionTimeout)
	c.commitValue("k", "w")
	c.waitValueOnAll("k", "v,w,")
	qt.Assert(t, requester.requestVote(first, second, 1000, upToDateRequest(true, false)), qt.Equals, voteRefused)
	qt.Assert(t, requester.requestVote(first, second, 1000, upToDateRequest(false, false)), qt.Equals, voteRefused)

	// A restarted replica does not know when it last had contact with a leader,
	// so it refuses its vote for an election timeout. Its clock stands still
	// until moved.
	c.kill(leader)
	c.kill(first)
	c.restart(second)
	qt.Assert(t, requester.requestVote(first, second, 1000, upToDateRequest(true, false)), qt.Equals, voteRefused)
	manual.Advance(electionTimeout - 1)
	qt.Assert(t, requester.requestVote(first, second, 1000, upToDateRequest(false, false)), qt.Equals, voteRefused)
	manual.Advance(1)
	outdated := &aubwire.VoteRequest{Pre: true, LastIndex: 1, LastTerm: 1}
	qt.Assert(t, requester.requestVote(first, second, 1001, outdated), qt.Equals, voteRefused)
	qt.Assert(t, requester.requestVote(first, second, 1001, upToDateRequest(true, false)), qt.Equals, voteGranted)
}

// TestRefusedPreVoteRaisesNoTerm guards against a candidate with too short a log that takes the
// term it asked for from the refusal: the terms grow, and the other replica's own pre-vote comes
// too late in each of them.
func TestRefusedPreVoteRaisesNoTerm(t *testing.T) {
	c := newCluster(t, 3, 6)
	c.commitValue("k", "v")
	c.waitValueOnAll("k", "v,")
	requester := newVoteRequester(c)
	leader := c.waitLeader()
	first := c.randomReplica(leader)
	second := c.randomReplica(leader, first)
	manual := aubtimer.NewManual(time.Now())
	c.timer = manual
	c.kill(leader)
	c.kill(first)
	c.restart(second)
	manual.Advance(electionTimeout)
	replica, _ := c.replica(second)
	term := replica.node.Status().Term

	responses := c.network.tap(second, leader)
	replica.node.Deliver(&aubwire.ConsensusMessage{
		ClusterId: requester.clusterID, Term: term + 1, From: requester.diskIDs[leader], FromAddress: leader, To: requester.diskIDs[second],
		Body: &aubwire.ConsensusMessage_Vote{Vote: &aubwire.VoteRequest{Pre: true, LastIndex: 1, LastTerm: 1}},
	})
	for {
		select {
		case m := <-responses:
			if resp := m.GetVoteResponse(); resp != nil {
				qt.Assert(t, resp.GetGranted(), qt.IsFalse)
				qt.Assert(t, m.GetTerm(), qt.Equals, term)
				return
			}
		case <-time.After(testTimeout):
			t.Fatal("no response")
		}
	}
}
