package aubconsensus

import (
	"github.com/auburndale/auburndale/internal/aubwire"
)

func (n *Node) broadcastIfWanted() {
	l := n.lead
	if l == nil || !l.wantBroadcast {
		return
	}
	l.wantBroadcast = false
	l.round++
	l.broadcastAt = n.now()
	n.syncProgress()
	for id, p := range l.progress {
		n.sendAppend(id, p)
	}
}

// sendAppend sends a member what it lacks; without news it is a heartbeat.
func (n *Node) sendAppend(id string, p *progress) {
	req := &aubwire.AppendRequest{
		Commit:   n.commit,
		Round:    n.lead.round,
		SentAtNs: int64(n.now().Sub(n.lead.since)),
	}
	prevTerm, known := n.log.term(p.next - 1)
	if known {
		p.snapshot = nil
		req.PrevIndex = p.next - 1
		req.PrevTerm = prevTerm
		if p.next-p.match <= maxInFlight {
			req.Entries = n.log.slice(p.next, maxMessageBytes)
		}
		p.next += uint64(len(req.Entries))
	}
	// A heartbeat at index zero matches every log.
	n.sendMember(id, &aubwire.ConsensusMessage{Body: &aubwire.ConsensusMessage_Append{Append: req}})
	if !known {
		n.sendSnapshot(id, p)
	}
}

func (n *Node) sendMember(id string, m *aubwire.ConsensusMessage) {
	if o, ok := n.address(id, m); ok {
		n.sendNow = append(n.sendNow, o)
	}
}

func (n *Node) stepAppendResponse(m *aubwire.ConsensusMessage, resp *aubwire.AppendResponse) {
	if n.lead == nil {
		return
	}
	p, ok := n.lead.progress[m.GetFrom()]
	if !ok {
		return
	}
	n.noteAnswer(p, resp.GetRound(), resp.GetSentAtNs())
	if resp.GetRejected() {
		p.next = max(p.match+1, min(p.next, resp.GetMatch()+1))
		n.sendAppend(m.GetFrom(), p)
		return
	}
	p.match = max(p.match, resp.GetMatch())
	p.next = max(p.next, p.match+1)
	n.promoteIfWhole(m.GetFrom(), p)
	if p.next <= n.log.lastIndex() && p.snapshot == nil {
		n.sendAppend(m.GetFrom(), p)
	}
}
