package aubconsensus

import (
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// leadership is the leader's state for one term.
type leadership struct {
	term      uint64
	electedAt time.Time
	// startIndex is the index of the empty entry that opens the term.
	startIndex uint64
	// ready is set once the start entry is applied: the machine then holds
	// everything that earlier leaders committed.
	ready            bool
	progress         map[string]*progress // by disk id
	round            uint64
	broadcastAt      time.Time
	broadcastPending bool
	reads            []pendingRead
	transfer         *transfer
	replacement      *replacement
}

// progress is the leader's record of one member's log and responses.
type progress struct {
	// match is the index up to which the member's log is known to equal the
	// leader's, next the index of the next entry to send.
	match uint64
	next  uint64
	// ackedSentAt is the send time, relative to the start of the term, of the
	// newest message that the member has acknowledged.
	ackedSentAt time.Duration
	ackedRound  uint64
	// lastResponseAt is when the last response was received.
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
	// A leader acknowledges no other, but it may be killed before its first tick, and a record from before
	// its election may be missing.
	n.keepContact()
	n.appendAsLeader(aubwire.EntryKind_ENTRY_KIND_EMPTY, nil)
}

// endLeadership drops the state of the term and fails its pending reads.
// Proposals in the log stay pending, because the next leader may commit them.
func (n *Node) endLeadership() {
	l := n.leadership
	n.leadership = nil
	for _, r := range l.reads {
		r.result <- outcome{err: &NotLeaderError{}}
	}
}

// syncProgress adds and removes progress records to match the newest membership.
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

// appendAsLeader appends an entry of the current term, schedules a broadcast and
// returns the entry's index.
func (n *Node) appendAsLeader(kind aubwire.EntryKind, data []byte) uint64 {
	e := &aubwire.LogEntry{Index: n.log.lastIndex() + 1, Term: n.term, Kind: kind, Data: data}
	if err := n.log.append(e); err != nil {
		n.stop(err)
	}
	n.leadership.broadcastPending = true
	return e.GetIndex()
}

// propose appends a command, or rejects it if this node is not a ready leader or
// is transferring its leadership.
func (n *Node) propose(p *proposal) {
	if n.leadership == nil || !n.leadership.ready || n.leadership.transfer != nil {
		p.result <- outcome{err: &NotLeaderError{Leader: n.otherLeader()}}
		return
	}
	p.term = n.term
	index := n.appendAsLeader(aubwire.EntryKind_ENTRY_KIND_COMMAND, p.data)
	n.pendingProposals[index] = p
}

// otherLeader returns the known leader, or the zero peer if this node leads or
// no leader is known.
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
		n.common.Log.Warn("No response from a majority; the leader steps down.")
		n.becomeFollower(n.term, "")
		return
	}
	if now.Sub(l.broadcastAt) >= n.opts.Heartbeat {
		l.broadcastPending = true
	}
	n.keepContact()
	n.tickTransfer(now)
}

// quorumAck returns the send time, relative to the start of the term, of the
// newest message that a quorum has acknowledged.
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

// progressOf returns the progress of a member, or a zero one if it has none.
func (n *Node) progressOf(id string) *progress {
	if p, ok := n.leadership.progress[id]; ok {
		return p
	}
	return &progress{}
}

// recordResponse records a member's response to a message of the leader.
func (n *Node) recordResponse(p *progress, round uint64, sentAtNs int64) {
	p.lastResponseAt = n.now()
	p.ackedSentAt = max(p.ackedSentAt, time.Duration(sentAtNs))
	p.ackedRound = max(p.ackedRound, round)
}

// isActive reports whether the member responded within the last election
// timeout.
func (n *Node) isActive(id string) bool {
	if id == n.self.GetDiskId() {
		return true
	}
	p := n.progressOf(id)
	return !p.lastResponseAt.IsZero() && n.now().Sub(p.lastResponseAt) < n.opts.ElectionTimeout
}

// advanceCommit commits up to the highest index that a quorum holds, if its
// entry is of the current term.
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

// completeReads completes the reads whose round a quorum has acknowledged and
// whose index is committed.
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
