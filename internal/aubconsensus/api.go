package aubconsensus

import (
	"context"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// proposal is a command submitted to the leader; result receives at most one
// outcome.
type proposal struct {
	data   []byte
	term   uint64
	result chan outcome
}

// outcome is the result of a proposal, a read or a wait.
type outcome struct {
	index uint64
	data  []byte
	err   error
}

// Propose commits a command and returns its index and result. After
// *NotLeaderError, *OverwrittenError and *CommandSizeError the command is not
// committed and never will be; after *UnknownOutcomeError it may be.
func (n *Node) Propose(ctx context.Context, data []byte) (uint64, []byte, error) {
	if len(data) > MaxCommandBytes {
		return 0, nil, &CommandSizeError{Bytes: len(data)}
	}
	p := &proposal{data: data, result: make(chan outcome, 1)}
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return 0, nil, &NotLeaderError{}
	case <-n.done:
		return 0, nil, &NotLeaderError{}
	}
	result := n.await(ctx, p.result)
	return result.index, result.data, result.err
}

// ReadIndex returns a commit index once a quorum has confirmed this node's
// leadership in a round that started after the call. It fails with
// *NotLeaderError if this node is not the leader.
func (n *Node) ReadIndex(ctx context.Context) (uint64, error) {
	result := make(chan outcome, 1)
	if err := n.call(ctx, func() { n.startReadIndex(result) }); err != nil {
		return 0, err
	}
	o := n.await(ctx, result)
	return o.index, o.err
}

// WaitApplied waits until this node has applied the entry at the index.
func (n *Node) WaitApplied(ctx context.Context, index uint64) error {
	result := make(chan outcome, 1)
	if err := n.call(ctx, func() { n.addAppliedWaiter(index, result) }); err != nil {
		return err
	}
	return n.await(ctx, result).err
}

// Leading returns the term, and true while this node holds the leader's lease by
// its local monotonic clock.
func (n *Node) Leading() (uint64, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.published
	return p.status.Term, p.leading && n.common.Timer.Now().Before(p.leaseUntil)
}

// Status returns the node's last published status.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.published.status
}

// Deliver queues a received message. It drops the message when the inbox is
// full.
func (n *Node) Deliver(m *aubwire.ConsensusMessage) {
	select {
	case n.inbox <- m:
	default:
	}
}

// Done is closed once the node has stopped.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns a *StoppedError once the node has stopped, and nil before.
func (n *Node) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.err
}

// call runs f on the node's goroutine and waits until it has run.
func (n *Node) call(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	call := func() {
		f()
		close(ran)
	}
	select {
	case n.calls <- call:
	case <-ctx.Done():
		return &UnknownOutcomeError{Err: ctx.Err()}
	case <-n.done:
		return n.Err()
	}
	select {
	case <-ran:
		return nil
	case <-n.done:
		return n.Err()
	}
}

func (n *Node) await(ctx context.Context, result <-chan outcome) outcome {
	select {
	case o := <-result:
		return o
	case <-ctx.Done():
		return outcome{err: &UnknownOutcomeError{Err: ctx.Err()}}
	case <-n.done:
	}
	// The result may have been sent just before the node stopped.
	select {
	case o := <-result:
		return o
	default:
		return outcome{err: &UnknownOutcomeError{Err: n.Err()}}
	}
}
