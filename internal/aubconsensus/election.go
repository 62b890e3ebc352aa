package aubconsensus

import (
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// preVoteRepeatDivisor gives the time from a refused pre-vote to the next one after a start,
	// as a part of the election timeout.
	preVoteRepeatDivisor = 4
	// preVoteRepeatTimeouts is the time after the start in which refused pre-votes are repeated
	// soon, in election timeouts. Later that makes no election quicker: where a vote takes 0.6
	// election timeouts, it made the slowest ones slower.
	preVoteRepeatTimeouts = 3
)

func (n *Node) tick() {
	if n.leadership != nil {
		n.tickLeader()
		return
	}
	if n.now().Before(n.electionDeadline) || !n.log.membership().isVoter(n.self.GetDiskId()) {
		return
	}
	n.startPreVote()
}

// resetElectionDeadline sets a new election deadline with a random delay of one to two
// election timeouts.
func (n *Node) resetElectionDeadline() {
	timeout := n.opts.ElectionTimeout
	jitter := time.Duration(n.opts.Rand.Int64N(int64(timeout)))
	n.electionDeadline = n.now().Add(timeout + jitter)
}

func (n *Node) becomeFollower(term uint64, leaderID string) {
	if term > n.term {
		n.term = term
		n.vote = ""
		n.hardStateDirty = true
	}
	n.role = follower
	n.leaderID = leaderID
	n.votes = nil
	n.resetElectionDeadline()
	if n.leadership == nil {
		return
	}
	n.common.Log.Info("Leadership ended.", zap.Uint64("term", n.leadership.term))
	n.revokeLease()
	n.endLeadership()
}

// revokeLease ends the published lease before any message of the same iteration
// is sent.
func (n *Node) revokeLease() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.published.leading = false
}

// recordLeaderContact follows the sender of a leader's message of the current
// term and restarts the election timeout.
func (n *Node) recordLeaderContact(m *aubwire.ConsensusMessage) {
	if n.role != follower || n.leaderID != m.GetFrom() {
		n.becomeFollower(m.GetTerm(), m.GetFrom())
	}
	n.leaderContactAt = n.now()
	n.resetElectionDeadline()
	n.keepContact()
}

// startPreVote asks the voters whether this member could win an election,
// without increasing its term.
func (n *Node) startPreVote() {
	n.role = preCandidate
	n.leaderID = ""
	n.preVotes = map[string]bool{n.self.GetDiskId(): true}
	n.resetElectionDeadline()
	n.repeatPreVoteEarly()
	if n.log.membership().hasQuorum(n.hasPreVote) {
		n.startElection(false)
		return
	}
	n.requestVotes(n.term+1, &aubwire.VoteRequest{Pre: true})
}

func (n *Node) startElection(transfer bool) {
	n.role = candidate
	n.leaderID = ""
	n.term++
	n.vote = n.self.GetDiskId()
	n.hardStateDirty = true
	n.votes = map[string]bool{n.self.GetDiskId(): true}
	n.resetElectionDeadline()
	n.common.Log.Info("Election begins.", zap.Uint64("term", n.term), zap.Bool("transfer", transfer),
		zap.Uint64("last_index", n.log.lastIndex()), zap.Uint64("last_term", n.log.lastTerm()))
	if n.log.membership().hasQuorum(n.hasVote) {
		n.becomeLeader()
		return
	}
	n.requestVotes(n.term, &aubwire.VoteRequest{Transfer: transfer})
}

func (n *Node) requestVotes(term uint64, req *aubwire.VoteRequest) {
	req.LastIndex = n.log.lastIndex()
	req.LastTerm = n.log.lastTerm()
	members := n.log.membership()
	for _, m := range members.all() {
		if m.GetDiskId() == n.self.GetDiskId() || !members.isVoter(m.GetDiskId()) {
			continue
		}
		message := &aubwire.ConsensusMessage{Term: term, Body: &aubwire.ConsensusMessage_Vote{Vote: req}}
		if o, ok := n.newOutgoingMessage(m.GetDiskId(), message); ok {
			n.sendAfterSync = append(n.sendAfterSync, o)
		}
	}
}

// voteOutcome is the answer to a vote or pre-vote request in logs.
type voteOutcome string

// Outcomes of vote and pre-vote requests.
const (
	voteGranted      voteOutcome = "granted"
	voteOldTerm      voteOutcome = "term_outdated"
	voteRecentLeader voteOutcome = "recent_leader"
	voteLogBehind    voteOutcome = "log_behind"
	voteGiven        voteOutcome = "vote_given"
	voteLeads        voteOutcome = "leads"
	voteOwnPreVote   voteOutcome = "own_pre_vote"
)

// stepVote handles a vote or pre-vote request.
func (n *Node) stepVote(m *aubwire.ConsensusMessage, req *aubwire.VoteRequest) {
	outcome, term := n.decideVote(m, req)
	n.common.Log.Info("Vote requested.",
		zap.String("candidate", m.GetFrom()), zap.Bool("pre_vote", req.GetPre()), zap.Bool("transfer", req.GetTransfer()),
		zap.String("outcome", string(outcome)), zap.Uint64("requested_term", m.GetTerm()), zap.Uint64("term", n.term), zap.String("vote", n.vote),
		zap.Uint64("candidate_last_index", req.GetLastIndex()), zap.Uint64("candidate_last_term", req.GetLastTerm()),
		zap.Uint64("last_index", n.log.lastIndex()), zap.Uint64("last_term", n.log.lastTerm()),
		zap.Int64("leader_contact_ms", n.now().Sub(n.leaderContactAt).Milliseconds()))
	n.respondVote(m, req.GetPre(), outcome == voteGranted, term)
}

// decideVote applies a vote or pre-vote request and returns its outcome and the term of the
// response.
func (n *Node) decideVote(m *aubwire.ConsensusMessage, req *aubwire.VoteRequest) (outcome voteOutcome, term uint64) {
	switch {
	case m.GetTerm() < n.term:
		return voteOldTerm, n.term
	case n.hasRecentLeader() && !req.GetTransfer():
		return voteRecentLeader, n.term
	case req.GetPre():
		// Only a granted pre-vote is of the requested term. The candidate adopts the term of a
		// refusal, and nobody has begun the requested one.
		if outcome := n.decidePreVote(m, req); outcome != voteGranted {
			return outcome, n.term
		}
		return voteGranted, m.GetTerm()
	case m.GetTerm() > n.term:
		n.becomeFollower(m.GetTerm(), "")
	}
	switch {
	case !n.isUpToDate(req):
		return voteLogBehind, n.term
	case n.vote != "" && n.vote != m.GetFrom():
		return voteGiven, n.term
	case n.leadership != nil:
		return voteLeads, n.term
	}
	n.vote = m.GetFrom()
	n.hardStateDirty = true
	n.resetElectionDeadline()
	return voteGranted, n.term
}

func (n *Node) decidePreVote(m *aubwire.ConsensusMessage, req *aubwire.VoteRequest) voteOutcome {
	switch {
	case m.GetTerm() <= n.term:
		return voteOldTerm
	case !n.isUpToDate(req):
		return voteLogBehind
	case n.role == preCandidate && !n.yieldsTo(m.GetFrom(), req):
		return voteOwnPreVote
	}
	n.deferElection()
	return voteGranted
}

// yieldsTo reports whether this member gives up its own pre-vote for that of the candidate,
// whose log is at least as up to date: if it is longer or, so that only one of two gives
// up, if the candidate's disk id is lower.
func (n *Node) yieldsTo(candidate string, req *aubwire.VoteRequest) bool {
	isLonger := req.GetLastTerm() != n.log.lastTerm() || req.GetLastIndex() > n.log.lastIndex()
	return isLonger || candidate < n.self.GetDiskId()
}

// deferElection leaves the candidate to which a pre-vote was granted one election timeout
// to win. It is not longer, so that one which gets no answers blocks nobody.
func (n *Node) deferElection() {
	if n.role == preCandidate {
		n.role = follower
	}
	if earliest := n.now().Add(n.opts.ElectionTimeout); n.electionDeadline.Before(earliest) {
		n.electionDeadline = earliest
	}
}

func (n *Node) respondVote(m *aubwire.ConsensusMessage, pre, granted bool, term uint64) {
	n.respond(m, &aubwire.ConsensusMessage{Term: term, Body: &aubwire.ConsensusMessage_VoteResponse{
		VoteResponse: &aubwire.VoteResponse{Pre: pre, Granted: granted},
	}})
}

// hasRecentLeader reports whether a leader may hold a lease that depends on this
// member's acknowledgement.
func (n *Node) hasRecentLeader() bool {
	if n.leadership != nil {
		return true
	}
	return n.now().Sub(n.leaderContactAt) < n.opts.ElectionTimeout
}

// isUpToDate reports whether the candidate's log is at least as up to date as
// this member's.
func (n *Node) isUpToDate(req *aubwire.VoteRequest) bool {
	if term := n.log.lastTerm(); req.GetLastTerm() != term {
		return req.GetLastTerm() > term
	}
	return req.GetLastIndex() >= n.log.lastIndex()
}

func (n *Node) stepVoteResponse(m *aubwire.ConsensusMessage, resp *aubwire.VoteResponse) {
	if !resp.GetGranted() {
		if resp.GetPre() && n.role == preCandidate {
			n.repeatPreVoteSoon()
		}
		return
	}
	switch {
	case resp.GetPre() && n.role == preCandidate && m.GetTerm() == n.term+1:
		n.preVotes[m.GetFrom()] = true
		if n.log.membership().hasQuorum(n.hasPreVote) {
			n.startElection(false)
		}
	case !resp.GetPre() && n.votes != nil && m.GetTerm() == n.term && n.leadership == nil:
		// A vote holds for the whole term, also after the candidate has begun to ask for
		// the next one.
		n.votes[m.GetFrom()] = true
		if n.log.membership().hasQuorum(n.hasVote) {
			n.becomeLeader()
		}
	}
}

// repeatPreVoteSoon brings the next pre-vote forward after a start. A member that has just
// restarted refuses for an election timeout, because it doesn't know when it last had contact
// with a leader. After a restart of all members the pre-vote succeeds as soon as that time is over
// at a majority.
func (n *Node) repeatPreVoteSoon() {
	if n.now().Sub(n.startedAt) > preVoteRepeatTimeouts*n.opts.ElectionTimeout {
		return
	}
	if next := n.now().Add(n.opts.ElectionTimeout / preVoteRepeatDivisor); next.Before(n.electionDeadline) {
		n.electionDeadline = next
	}
}

func (n *Node) hasPreVote(id string) bool { return n.preVotes[id] }

func (n *Node) hasVote(id string) bool { return n.votes[id] }

// stepTransfer starts an election without a pre-vote, because the leader
// transferred its leadership to this member.
func (n *Node) stepTransfer() {
	if n.leadership != nil || !n.log.membership().isVoter(n.self.GetDiskId()) {
		return
	}
	n.startElection(true)
}
