package aubconsensus

import (
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// published is the state of the node that other goroutines may read.
type published struct {
	status Status
	// leading is set while this node is the leader and accepts commands; the lease
	// then lasts until leaseUntil.
	leading    bool
	leaseUntil time.Time
	// leaderContactAt is when a leader's message was last received.
	leaderContactAt time.Time
}

// Status is a node's view of itself and its cluster.
type Status struct {
	Self      Peer
	Leader    Peer
	IsLeader  bool
	Term      uint64
	Applied   uint64
	Commit    uint64
	ClusterID string
	Voters    []Peer
	Learners  []Peer
	// IsVoter is false while this member's disk is not one of the voters.
	IsVoter bool
	// IsChangePending is set until a membership change is complete and committed,
	// IsJoint while decisions need a majority of the old and of the new voters.
	IsChangePending bool
	IsJoint         bool
}

// publish makes the durable state visible to other goroutines.
func (n *Node) publish() {
	members := n.log.membership()
	p := published{status: Status{
		Self:            n.opts.Self,
		Leader:          n.leaderPeer(),
		IsLeader:        n.leadership != nil,
		Term:            n.term,
		Applied:         n.applied,
		Commit:          n.commit,
		ClusterID:       members.wire.GetClusterId(),
		Voters:          toPeers(members.wire.GetVoters()),
		Learners:        toPeers(members.wire.GetLearners()),
		IsVoter:         members.isVoter(n.self.GetDiskId()),
		IsJoint:         members.isJoint(),
		IsChangePending: members.isJoint() || n.log.membershipIndex() > n.commit,
	}}
	p.leaderContactAt = n.leaderContactAt
	if n.leadership != nil && n.leadership.ready && n.leadership.transfer == nil {
		p.leading = true
		p.leaseUntil = n.leaseUntil()
	}
	n.updateMetrics(p.status)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.err == nil {
		n.published = p
	}
}

func (n *Node) updateMetrics(s Status) {
	n.common.Metrics.Gauge("term").Update(float64(s.Term))
	n.common.Metrics.Gauge("applied_index").Update(float64(s.Applied))
	isLeader := 0.0
	if s.IsLeader {
		isLeader = 1
	}
	n.common.Metrics.Gauge("leads").Update(isLeader)
}

func (n *Node) leaderPeer() Peer {
	m, ok := n.log.membership().member(n.leaderID)
	if !ok {
		return Peer{}
	}
	return toPeer(m)
}

func toPeer(m *aubwire.ConsensusMember) Peer {
	return Peer{Name: m.GetName(), Address: m.GetAddress()}
}

func toPeers(members []*aubwire.ConsensusMember) []Peer {
	peers := make([]Peer, 0, len(members))
	for _, m := range members {
		peers = append(peers, toPeer(m))
	}
	return peers
}
