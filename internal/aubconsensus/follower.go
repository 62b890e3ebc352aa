package aubconsensus

import (
	"github.com/auburndale/auburndale/internal/aubwire"
)

// stepAppend appends entries of the leader, or rejects them with a hint of the
// index to continue from.
func (n *Node) stepAppend(m *aubwire.ConsensusMessage, req *aubwire.AppendRequest) {
	resp := &aubwire.AppendResponse{Round: req.GetRound(), SentAtNs: req.GetSentAtNs()}
	n.respond(m, &aubwire.ConsensusMessage{Body: &aubwire.ConsensusMessage_AppendResponse{AppendResponse: resp}})
	prev := req.GetPrevIndex()
	entries := req.GetEntries()
	if prev < n.commit {
		// Committed entries are equal on all members; only later ones can be
		// new.
		for len(entries) > 0 && entries[0].GetIndex() <= n.commit {
			entries = entries[1:]
		}
		prev = n.commit
	} else if term, ok := n.log.term(prev); !ok || term != req.GetPrevTerm() {
		resp.Rejected = true
		resp.Match = n.matchHint(prev)
		return
	}
	if len(entries) > 0 && entries[0].GetIndex() != prev+1 {
		resp.Rejected = true
		resp.Match = n.commit
		return
	}
	if err := n.appendNew(entries); err != nil {
		n.stop(err)
		return
	}
	resp.Match = prev + uint64(len(entries))
	n.commit = max(n.commit, min(req.GetCommit(), resp.Match))
}

// appendNew appends the entries that the log lacks and removes conflicting ones.
func (n *Node) appendNew(entries []*aubwire.LogEntry) error {
	for i, e := range entries {
		term, ok := n.log.term(e.GetIndex())
		if ok && term == e.GetTerm() {
			continue
		}
		if ok {
			n.log.truncate(e.GetIndex())
		}
		return n.log.append(entries[i:]...)
	}
	return nil
}

// matchHint returns an index up to which the two logs may be equal.
func (n *Node) matchHint(prev uint64) uint64 {
	if last := n.log.lastIndex(); last < prev {
		return last
	}
	conflict, _ := n.log.term(prev)
	i := prev
	for i > n.commit {
		if term, ok := n.log.term(i); !ok || term != conflict {
			break
		}
		i--
	}
	return i
}
