package aubconsensus

// pendingRead is a read that waits until a quorum has acknowledged a round that
// started after it.
type pendingRead struct {
	round  uint64
	index  uint64
	result chan outcome
}

// appliedWaiter is a call that waits until an index is applied.
type appliedWaiter struct {
	index  uint64
	result chan outcome
}

// startReadIndex registers a read for the next round. Its index includes the
// start entry of the term, whose commit covers all entries of earlier leaders.
func (n *Node) startReadIndex(result chan outcome) {
	l := n.leadership
	if l == nil || l.transfer != nil {
		result <- outcome{err: &NotLeaderError{Leader: n.otherLeader()}}
		return
	}
	l.reads = append(l.reads, pendingRead{
		round:  l.round + 1,
		index:  max(n.commit, l.startIndex),
		result: result,
	})
	l.broadcastPending = true
}

func (n *Node) addAppliedWaiter(index uint64, result chan outcome) {
	if n.applied >= index {
		result <- outcome{index: n.applied}
		return
	}
	n.appliedWaiters = append(n.appliedWaiters, appliedWaiter{index: index, result: result})
}

func (n *Node) completeAppliedWaiters() {
	remaining := n.appliedWaiters[:0]
	for _, w := range n.appliedWaiters {
		if w.index > n.applied {
			remaining = append(remaining, w)
			continue
		}
		w.result <- outcome{index: n.applied}
	}
	n.appliedWaiters = remaining
}
