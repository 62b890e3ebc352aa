package aubconsensus

import (
	"errors"

	"github.com/auburndale/auburndale/internal/aubwire"
)

var errSkippedBySnapshot = errors.New("a snapshot took the entry's place")

// advance commits, applies and answers after the changes are synced.
func (n *Node) advance() {
	if snap := n.install; snap != nil {
		n.install = nil
		if err := n.opts.Machine.Restore(snap.GetData()); err != nil {
			n.stop(err)
			return
		}
		n.applied = snap.GetIndex()
		n.appliedBytes = 0
	}
	if n.lead != nil {
		n.advanceCommit()
	}
	for n.applied < n.commit && n.Err() == nil {
		n.applyNext()
	}
	if n.lead != nil {
		n.finishChange()
		n.completeReads()
	}
	n.completeWaits()
	n.compactIfDue()
}

func (n *Node) applyNext() {
	e, ok := n.log.entry(n.applied + 1)
	if !ok {
		n.stop(errors.New("a committed entry is missing"))
		return
	}
	var result []byte
	switch e.GetKind() {
	case aubwire.EntryKind_ENTRY_KIND_COMMAND:
		result = n.opts.Machine.Apply(e.GetIndex(), e.GetData())
		n.appliedBytes += len(e.GetData())
	case aubwire.EntryKind_ENTRY_KIND_EMPTY:
		n.applyStart(e)
	}
	n.applied = e.GetIndex()
	n.answerWaiter(e, result)
}

// applyStart makes the leader ready once its own start entry is committed.
func (n *Node) applyStart(e *aubwire.LogEntry) {
	if n.lead == nil || e.GetIndex() != n.lead.startIndex {
		return
	}
	n.lead.ready = true
	n.opts.Machine.Elected(n.lead.since)
}

func (n *Node) answerWaiter(e *aubwire.LogEntry, result []byte) {
	p, ok := n.waiters[e.GetIndex()]
	if !ok {
		return
	}
	delete(n.waiters, e.GetIndex())
	if p.term != e.GetTerm() {
		p.result <- outcome{err: &OverwrittenError{Index: e.GetIndex()}}
		return
	}
	p.result <- outcome{index: e.GetIndex(), data: result}
}

// skipWaiters answers the proposals whose entries a snapshot replaced.
func (n *Node) skipWaiters(index uint64) {
	for i, p := range n.waiters {
		if i <= index {
			delete(n.waiters, i)
			p.result <- outcome{err: &UnknownOutcomeError{Err: errSkippedBySnapshot}}
		}
	}
}

func (n *Node) failWaiters() {
	for i, p := range n.waiters {
		delete(n.waiters, i)
		p.result <- outcome{err: &UnknownOutcomeError{Err: n.Err()}}
	}
	if n.lead != nil {
		n.endLeadership()
	}
}
