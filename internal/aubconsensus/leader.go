package aubconsensus

import (
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// leadership is the state of one term of leading.
type leadership struct {
	term      uint64
	electedAt time.Time
	// startIndex is the empty entry that opened the term.
	startIndex uint64
	// ready is set once the start entry is applied: the state holds everything
	// that earlier leaders committed.
	ready            bool
	progress         map[string]*progress
	round            uint64
	broadcastAt      time.Time
	broadcastPending bool
	reads            []pendingRead
	transfer         *transfer
	replacement      *replacement
}

// progress is what the leader knows of one member.
type progress struct {
	match uint64
	next  uint64
	// ackedSentAt is the send time of the newest message answered, since the term's start.
	ackedSentAt time.Duration
	ackedRound  uint64
	// lastResponseAt is when the last answer came.
	lastResponseAt time.Time
	snapshot       *outgoingSnapshot
}

func (n *Node) becomeLeader() {
	n.role = leader
	n.leaderID = n.self.GetDiskId()
	n.leadership = &leadership{
		term:       n.term,
		electedAt:  n.now(),
		startIndex: n.log.lastIndex() + 1,
		progress:   make(map[string]*progress),
	}
	n.syncProgress()
	n.common.Metrics.Counter("elections_won").Inc(1)
	n.common.Log.Info("Leadership begins.", zap.Uint64("term", n.term))
	n.appendAsLeader(aubwire.EntryKind_ENTRY_KIND_EMPTY, nil)
}

// endLeadership drops the state of the term. Proposals in the log keep waiting:
// the next leader may commit them.
func (n *Node) endLeadership() {
	l := n.leadership
	n.leadership = nil
	for _, r := range l.reads {
		r.result <- outcome{err: &NotLeaderError{}}
	}
}

// syncProgress follows the newest membership.
func (n *Node) syncProgress() {
	members := n.log.membership()
	for id := range n.leadership.progress {
		if _, ok := members.member(id); !ok {
			delete(n.leadership.progress, id)
		}
	}
	for _, m := range members.all() {
		id := m.GetDiskId()
		if _, ok := n.leadership.progress[id]; !ok && id != n.self.GetDiskId() {
			n.leadership.progress[id] = &progress{next: n.log.lastIndex() + 1}
		}
	}
}

// appendAsLeader appends an entry of the leader's own term.
func (n *Node) appendAsLeader(kind aubwire.EntryKind, data []byte) uint64 {
	e := &aubwire.LogEntry{Index: n.log.lastIndex() + 1, Term: n.term, Kind: kind, Data: data}
	if err := n.log.append(e); err != nil {
		n.stop(err)
	}
	n.leadership.broadcastPending = true
	return e.GetIndex()
}

// propose appends a command, or refuses it when this node can't.
func (n *Node) propose(p *proposal) {
	if n.leadership == nil || !n.leadership.ready || n.leadership.transfer != nil {
		p.result <- outcome{err: &NotLeaderError{Leader: n.otherLeader()}}
		return
	}
	p.term = n.term
	index := n.appendAsLeader(aubwire.EntryKind_ENTRY_KIND_COMMAND, p.data)
	n.pendingProposals[index] = p
}

// otherLeader returns the leader to turn to instead of this node.
func (n *Node) otherLeader() Peer {
	if n.leaderID == n.self.GetDiskId() {
		return Peer{}
	}
	return n.leaderPeer()
}

func (n *Node) tickLeader() {
	l := n.leadership
	now := n.now()
	if now.Sub(l.electedAt.Add(n.quorumAck(now))) > n.opts.ElectionTimeout {
		n.common.Log.Warn("Majority is silent; the leader steps down.")
		n.becomeFollower(n.term, "")
		return
	}
	if now.Sub(l.broadcastAt) >= n.opts.Heartbeat {
		l.broadcastPending = true
	}
	n.tickTransfer(now)
}

// quorumAck returns the send time, since the term's start, of the newest message
// that a quorum has answered.
func (n *Node) quorumAck(now time.Time) time.Duration {
	return time.Duration(quorumValue(n.log.membership(), func(id string) int64 {
		if id == n.self.GetDiskId() {
			return int64(now.Sub(n.leadership.electedAt))
		}
		return int64(n.progressOf(id).ackedSentAt)
	}))
}

func (n *Node) leaseUntil() time.Time {
	return n.leadership.electedAt.Add(n.quorumAck(n.now())).Add(n.opts.leaseDuration())
}

// progressOf returns the progress of a member; a zero one if it has none.
func (n *Node) progressOf(id string) *progress {
	if p, ok := n.leadership.progress[id]; ok {
		return p
	}
	return &progress{}
}

// recordResponse records that a member heard the leader.
func (n *Node) recordResponse(p *progress, round uint64, sentAtNs int64) {
	p.lastResponseAt = n.now()
	p.ackedSentAt = max(p.ackedSentAt, time.Duration(sentAtNs))
	p.ackedRound = max(p.ackedRound, round)
}

// isActive reports whether the member answered within an election timeout.
func (n *Node) isActive(id string) bool {
	if id == n.self.GetDiskId() {
		return true
	}
	p := n.progressOf(id)
	return !p.lastResponseAt.IsZero() && n.now().Sub(p.lastResponseAt) < n.opts.ElectionTimeout
}

// advanceCommit commits what a quorum holds, once it is of the leader's term.
func (n *Node) advanceCommit() {
	index := quorumValue(n.log.membership(), func(id string) uint64 {
		if id == n.self.GetDiskId() {
			return n.log.lastIndex()
		}
		return n.progressOf(id).match
	})
	if term, ok := n.log.term(index); index <= n.commit || !ok || term != n.term {
		return
	}
	n.commit = index
	n.leadership.broadcastPending = true
}

// completeReads answers the reads whose round a quorum has confirmed.
func (n *Node) completeReads() {
	l := n.leadership
	round := quorumValue(n.log.membership(), func(id string) uint64 {
		if id == n.self.GetDiskId() {
			return math.MaxUint64
		}
		return n.progressOf(id).ackedRound
	})
	remaining := l.reads[:0]
	for _, r := range l.reads {
		if r.round > round || r.index > n.commit {
			remaining = append(remaining, r)
			continue
		}
		r.result <- outcome{index: r.index}
	}
	l.reads = remaining
}
