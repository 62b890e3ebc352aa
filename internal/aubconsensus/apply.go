package aubconsensus

import (
	"errors"
	"fmt"

	"github.com/auburndale/auburndale/internal/aubwire"
)

var errSkippedBySnapshot = errors.New("a snapshot took the entry's place")

// advance installs a received snapshot, commits and applies entries, and
// completes the calls that wait for them. It runs after the iteration's changes
// are synced.
func (n *Node) advance() {
	if snap := n.pendingInstall; snap != nil {
		n.pendingInstall = nil
		if err := n.opts.Machine.Restore(snap.GetData()); err != nil {
			n.stop(err)
			return
		}
		n.applied = snap.GetIndex()
		n.appliedBytes = 0
	}
	if n.leadership != nil {
		n.advanceCommit()
	}
	for n.applied < n.commit && n.Err() == nil {
		n.applyNext()
	}
	if n.leadership != nil {
		n.finishMembershipChange()
		n.completeReads()
	}
	n.completeAppliedWaiters()
	n.compactIfDue()
}

func (n *Node) applyNext() {
	e, ok := n.log.entry(n.applied + 1)
	if !ok {
		n.stop(fmt.Errorf("committed entry %d is missing from the log", n.applied+1))
		return
	}
	var result []byte
	switch e.GetKind() {
	case aubwire.EntryKind_ENTRY_KIND_COMMAND:
		result = n.opts.Machine.Apply(e.GetIndex(), e.GetData())
		n.appliedBytes += len(e.GetData())
	case aubwire.EntryKind_ENTRY_KIND_EMPTY:
		n.applyTermStart(e)
	}
	n.applied = e.GetIndex()
	n.completeProposal(e, result)
}

// applyTermStart marks the leader as ready once the empty entry that opens its
// term is committed.
func (n *Node) applyTermStart(e *aubwire.LogEntry) {
	if n.leadership == nil || e.GetIndex() != n.leadership.startIndex {
		return
	}
	n.leadership.ready = true
	n.opts.Machine.Elected(n.leadership.electedAt)
}

func (n *Node) completeProposal(e *aubwire.LogEntry, result []byte) {
	p, ok := n.pendingProposals[e.GetIndex()]
	if !ok {
		return
	}
	delete(n.pendingProposals, e.GetIndex())
	if p.term != e.GetTerm() {
		p.result <- outcome{err: &OverwrittenError{Index: e.GetIndex()}}
		return
	}
	p.result <- outcome{index: e.GetIndex(), data: result}
}

// failSkippedProposals fails the proposals up to the index, whose entries a
// snapshot replaced: their outcome is unknown.
func (n *Node) failSkippedProposals(index uint64) {
	for i, p := range n.pendingProposals {
		if i <= index {
			delete(n.pendingProposals, i)
			p.result <- outcome{err: &UnknownOutcomeError{Err: errSkippedBySnapshot}}
		}
	}
}

func (n *Node) failPendingProposals() {
	for i, p := range n.pendingProposals {
		delete(n.pendingProposals, i)
		p.result <- outcome{err: &UnknownOutcomeError{Err: n.Err()}}
	}
	if n.leadership != nil {
		n.endLeadership()
	}
}
