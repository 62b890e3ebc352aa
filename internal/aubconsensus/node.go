package aubconsensus

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubwire"
)

type role int

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// outgoingMessage is a message and the address that it is sent to.
type outgoingMessage struct {
	address string
	message *aubwire.ConsensusMessage
}

// Node is one member of the replicated log.
//
// All fields except witnessed and those under mu are owned by the goroutine of run. Lock
// order: mu is taken alone.
type Node struct {
	common aubcommon.Common
	opts   Opts
	self   *aubwire.ConsensusMember

	inbox     chan *aubwire.ConsensusMessage
	proposals chan *proposal
	calls     chan func()
	done      chan struct{}

	log  *memoryLog
	term uint64
	// vote is the disk id that this member voted for in the term, or empty.
	vote           string
	hardStateDirty bool
	role           role
	leaderID       string
	commit         uint64
	applied        uint64
	// appliedBytes counts the command bytes applied since the last snapshot.
	appliedBytes     int
	electionDeadline time.Time
	// leaderContactAt is when a leader's message was last received. For an
	// election timeout after it this member grants no vote, because the leader's
	// lease depends on that.
	leaderContactAt time.Time
	startedAt       time.Time
	// contactUntil is the end of the contact record that this run has written; zero for none.
	// isContactCleared is set once this run has removed the record.
	contactUntil     time.Time
	isContactCleared bool
	// startsEarly is set if the contact with a leader was known to be over at the start.
	startsEarly bool
	// preVotes holds the disk ids that granted the current pre-vote.
	preVotes map[string]bool
	// votes holds the disk ids that granted a vote in the term; it is nil unless this
	// member stood in it and knows no leader of it.
	votes map[string]bool
	// leadership is nil while this node is not the leader.
	leadership       *leadership
	incomingSnapshot *incomingSnapshot
	// pendingInstall is a received snapshot that is restored once it is synced.
	pendingInstall *aubwire.LogSnapshot

	// pendingProposals holds the proposals in the log by index.
	pendingProposals map[uint64]*proposal
	appliedWaiters   []appliedWaiter

	// sendBeforeSync holds messages that depend on no change of this iteration;
	// sendAfterSync is sent once the changes are synced.
	sendBeforeSync []outgoingMessage
	sendAfterSync  []outgoingMessage

	// witnessed holds the replicas that witnesses named last. The goroutine of
	// runDiscovery owns it.
	witnessed []Peer

	mu        sync.Mutex
	published published
	err       error
}

// NewNode starts a node on an opened disk. The node stops when ctx ends, and
// closes the disk.
func NewNode(ctx context.Context, common aubcommon.Common, opts Opts) (*Node, error) {
	opts = opts.withDefaults()
	n := &Node{
		common:           common.WithPart("consensus"),
		opts:             opts,
		inbox:            make(chan *aubwire.ConsensusMessage, maxInFlight),
		proposals:        make(chan *proposal, maxBatchInputs),
		calls:            make(chan func()),
		done:             make(chan struct{}),
		pendingProposals: make(map[uint64]*proposal),
		self: &aubwire.ConsensusMember{
			DiskId:  opts.Disk.DiskID(),
			Name:    opts.Self.Name,
			Address: opts.Self.Address,
		},
	}
	if err := n.load(); err != nil {
		return nil, err
	}
	n.publish()
	go n.run(ctx)
	go n.runDiscovery(ctx)
	return n, nil
}

func (n *Node) load() error {
	state, err := n.opts.Disk.Load()
	if err != nil {
		return err
	}
	if n.log, err = newMemoryLog(state); err != nil {
		return err
	}
	n.term = state.HardState.GetTerm()
	n.vote = state.HardState.GetVote()
	if data := state.Snapshot.GetData(); len(data) > 0 {
		if err := n.opts.Machine.Restore(data); err != nil {
			return err
		}
	}
	n.commit = n.log.snapIndex
	n.applied = n.log.snapIndex
	n.startedAt = n.now()
	n.loadContact()
	if n.isSoleVoter() {
		n.electionDeadline = n.now()
	}
	return nil
}

func (n *Node) run(ctx context.Context) {
	tick := n.common.Timer.Subscribe(ctx, n.opts.Heartbeat/ticksPerHeartbeat)
	for n.Err() == nil {
		select {
		case <-ctx.Done():
			n.stop(nil)
			return
		case <-tick:
			n.tick()
		case m := <-n.inbox:
			n.step(m)
		case p := <-n.proposals:
			n.propose(p)
		case call := <-n.calls:
			call()
		}
		n.drainInputs()
		n.flush()
	}
}

// drainInputs handles the other waiting inputs, so that one sync covers them
// all.
func (n *Node) drainInputs() {
	for range maxBatchInputs {
		select {
		case m := <-n.inbox:
			n.step(m)
		case p := <-n.proposals:
			n.propose(p)
		case call := <-n.calls:
			call()
		default:
			return
		}
	}
}

// flush makes this iteration's changes durable, then sends the messages and
// applies the entries that depend on them.
func (n *Node) flush() {
	for n.Err() == nil {
		n.broadcastIfPending()
		if n.hardStateDirty {
			// Messages of a term must not be sent before the term is on disk.
			n.sendAfterSync = append(n.sendBeforeSync, n.sendAfterSync...)
			n.sendBeforeSync = nil
		}
		n.send(&n.sendBeforeSync)
		if !n.save() {
			return
		}
		n.send(&n.sendAfterSync)
		n.advance()
		if !n.hasPendingWork() {
			break
		}
	}
	n.publish()
}

func (n *Node) hasPendingWork() bool {
	return n.hardStateDirty || !n.log.update.IsEmpty() || len(n.sendBeforeSync) > 0 || len(n.sendAfterSync) > 0 ||
		(n.leadership != nil && n.leadership.broadcastPending)
}

func (n *Node) save() bool {
	u := n.log.takeUpdate()
	if n.hardStateDirty {
		u.HardState = &aubwire.HardState{Term: n.term, Vote: n.vote}
		n.hardStateDirty = false
	}
	if u.IsEmpty() {
		return true
	}
	start := n.now()
	err := n.opts.Disk.Save(u)
	n.common.Metrics.Timer("sync_time").Record(n.now().Sub(start))
	if err != nil {
		n.stop(err)
		return false
	}
	return true
}

func (n *Node) send(queue *[]outgoingMessage) {
	for _, o := range *queue {
		n.opts.Transport.Send(o.address, o.message)
	}
	*queue = nil
}

// stop stops the node; err is nil when its context ended.
func (n *Node) stop(err error) {
	n.mu.Lock()
	if n.err != nil {
		n.mu.Unlock()
		return
	}
	n.err = &StoppedError{Err: err}
	n.published.leading = false
	n.mu.Unlock()
	if err != nil {
		n.common.Log.Error("Replica stopped after a failure of its storage or state machine.", zap.Error(err))
	}
	n.failPendingProposals()
	n.closeContact(err == nil)
	// The disk is closed before done, because a caller that waits for done may
	// open the data folder next.
	_ = n.opts.Disk.Close()
	close(n.done)
}

func (n *Node) now() time.Time { return n.common.Timer.Now() }

func (n *Node) isSoleVoter() bool {
	return n.log.membership().hasQuorum(func(id string) bool { return id == n.self.GetDiskId() })
}
