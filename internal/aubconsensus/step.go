package aubconsensus

import (
	"github.com/auburndale/auburndale/internal/aubwire"
)

// step handles one received message.
func (n *Node) step(m *aubwire.ConsensusMessage) {
	if m.GetTo() != n.self.GetDiskId() || m.GetClusterId() != n.clusterID() || m.GetClusterId() == "" {
		return
	}
	if vote := m.GetVote(); vote != nil {
		n.stepVote(m, vote)
		return
	}
	if m.GetTerm() < n.term {
		n.rejectStaleLeader(m)
		return
	}
	if isGrantedPreVote(m) {
		n.stepVoteResponse(m, m.GetVoteResponse())
		return
	}
	if m.GetTerm() > n.term {
		n.becomeFollower(m.GetTerm(), "")
	}
	switch body := m.GetBody().(type) {
	case *aubwire.ConsensusMessage_Append:
		n.recordLeaderContact(m)
		n.stepAppend(m, body.Append)
	case *aubwire.ConsensusMessage_Snapshot:
		n.recordLeaderContact(m)
		n.stepSnapshot(m, body.Snapshot)
	case *aubwire.ConsensusMessage_AppendResponse:
		n.stepAppendResponse(m, body.AppendResponse)
	case *aubwire.ConsensusMessage_SnapshotResponse:
		n.stepSnapshotResponse(m, body.SnapshotResponse)
	case *aubwire.ConsensusMessage_VoteResponse:
		n.stepVoteResponse(m, body.VoteResponse)
	case *aubwire.ConsensusMessage_Transfer:
		n.stepTransfer()
	}
}

// rejectStaleLeader responds to a leader of an older term with the current term.
func (n *Node) rejectStaleLeader(m *aubwire.ConsensusMessage) {
	if m.GetAppend() == nil && m.GetSnapshot() == nil {
		return
	}
	n.respond(m, &aubwire.ConsensusMessage{Body: &aubwire.ConsensusMessage_AppendResponse{
		AppendResponse: &aubwire.AppendResponse{Rejected: true},
	}})
}

// respond sends a response once all changes of this iteration are synced.
func (n *Node) respond(request, response *aubwire.ConsensusMessage) {
	n.setHeader(request.GetFrom(), response)
	n.sendAfterSync = append(n.sendAfterSync, outgoingMessage{address: request.GetFromAddress(), message: response})
}

// newOutgoingMessage sets the header of a message to a member; it returns false
// if the member is unknown.
func (n *Node) newOutgoingMessage(id string, m *aubwire.ConsensusMessage) (outgoingMessage, bool) {
	member, ok := n.log.membership().member(id)
	if !ok {
		return outgoingMessage{}, false
	}
	n.setHeader(id, m)
	return outgoingMessage{address: member.GetAddress(), message: m}, true
}

func (n *Node) setHeader(to string, m *aubwire.ConsensusMessage) {
	m.ClusterId = n.clusterID()
	m.From = n.self.GetDiskId()
	m.FromAddress = n.self.GetAddress()
	m.To = to
	if m.GetTerm() == 0 {
		m.Term = n.term
	}
}

func (n *Node) clusterID() string { return n.log.membership().wire.GetClusterId() }

func isGrantedPreVote(m *aubwire.ConsensusMessage) bool {
	r := m.GetVoteResponse()
	return r.GetPre() && r.GetGranted()
}
