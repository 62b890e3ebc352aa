package aubconsensus

import (
	"github.com/auburndale/auburndale/internal/aubwire"
)

func (n *Node) broadcastIfPending() {
	l := n.leadership
	if l == nil || !l.broadcastPending {
		return
	}
	l.broadcastPending = false
	l.round++
	l.broadcastAt = n.now()
	n.syncProgress()
	for id, p := range l.progress {
		n.sendAppend(id, p)
	}
}

// sendAppend sends a member the entries that it lacks, or a snapshot chunk if
// they are compacted; without entries the message is a heartbeat.
func (n *Node) sendAppend(id string, p *progress) {
	req := &aubwire.AppendRequest{
		Commit:   n.commit,
		Round:    n.leadership.round,
		SentAtNs: int64(n.now().Sub(n.leadership.electedAt)),
	}
	prevTerm, known := n.log.term(p.next - 1)
	if known {
		p.snapshot = nil
		req.PrevIndex = p.next - 1
		req.PrevTerm = prevTerm
		if p.next-p.match <= maxInFlight {
			req.Entries = n.log.slice(p.next, maxAppendBytes)
		}
		p.next += uint64(len(req.Entries))
	}
	// Without a known previous term the message is a heartbeat with previous
	// index 0, which matches every log.
	n.sendToMember(id, &aubwire.ConsensusMessage{Body: &aubwire.ConsensusMessage_Append{Append: req}})
	if !known {
		n.sendSnapshotChunk(id, p)
	}
}

func (n *Node) sendToMember(id string, m *aubwire.ConsensusMessage) {
	if o, ok := n.newOutgoingMessage(id, m); ok {
		n.sendBeforeSync = append(n.sendBeforeSync, o)
	}
}

func (n *Node) stepAppendResponse(m *aubwire.ConsensusMessage, resp *aubwire.AppendResponse) {
	if n.leadership == nil {
		return
	}
	p, ok := n.leadership.progress[m.GetFrom()]
	if !ok {
		return
	}
	n.recordResponse(p, resp.GetRound(), resp.GetSentAtNs())
	if resp.GetRejected() {
		p.next = max(p.match+1, min(p.next, resp.GetMatch()+1))
		n.sendAppend(m.GetFrom(), p)
		return
	}
	p.match = max(p.match, resp.GetMatch())
	p.next = max(p.next, p.match+1)
	n.promoteIfCaughtUp(m.GetFrom(), p)
	if p.next <= n.log.lastIndex() && p.snapshot == nil {
		n.sendAppend(m.GetFrom(), p)
	}
}
