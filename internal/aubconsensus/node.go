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

// outgoing is a message on its way to an address.
type outgoing struct {
	address string
	message *aubwire.ConsensusMessage
}

// Node is one member of the replicated log.
//
// All fields but those under mu belong to the goroutine of run. Lock order: mu is
// taken alone.
type Node struct {
	common aubcommon.Common
	opts   Opts
	self   *aubwire.ConsensusMember

	inbox     chan *aubwire.ConsensusMessage
	proposals chan *proposal
	calls     chan func()
	done      chan struct{}

	log       *memoryLog
	term      uint64
	vote      string
	hardDirty bool
	role      role
	leaderID  string
	commit    uint64
	applied   uint64
	// appliedBytes counts the command bytes applied since the last snapshot.
	appliedBytes int
	electionDue  time.Time
	// heardAt is when a leader was last heard. Until an election timeout later this
	// member grants no vote: the leader's lease rests on it.
	heardAt  time.Time
	votes    map[string]bool
	lead     *leadership
	incoming *incomingSnapshot
	install  *aubwire.LogSnapshot

	waiters        map[uint64]*proposal
	appliedWaiters []appliedWaiter

	// sendNow needs nothing of this iteration on disk; sendAfter waits for the sync.
	sendNow   []outgoing
	sendAfter []outgoing

	mu        sync.Mutex
	published published
	err       error
}

// published is what other goroutines may read of the node.
type published struct {
	status     Status
	leading    bool
	leaseUntil time.Time
}

// Status is what a node knows of itself and its cluster.
type Status struct {
	Self       Peer
	Leader     Peer
	LeaderHere bool
	Term       uint64
	Applied    uint64
	Commit     uint64
	ClusterID  string
	Voters     []Peer
	Learners   []Peer
	// IsVoter is false while this member's disk is not part of the voters.
	IsVoter bool
	// InChange is set while a change of the members is not committed; IsJoint while
	// decisions need the old voters and the new ones.
	InChange bool
	IsJoint  bool
}

// NewNode starts a node over an opened disk, which it closes when ctx ends.
func NewNode(ctx context.Context, common aubcommon.Common, opts Opts) (*Node, error) {
	opts = opts.withDefaults()
	n := &Node{
		common:    common.WithPart("consensus"),
		opts:      opts,
		inbox:     make(chan *aubwire.ConsensusMessage, maxInFlight),
		proposals: make(chan *proposal, maxBatch),
		calls:     make(chan func()),
		done:      make(chan struct{}),
		waiters:   make(map[uint64]*proposal),
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
	go n.sayHello(ctx)
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
	// A promise made before a restart may still hold up a leader's lease.
	n.heardAt = n.now()
	n.resetElection()
	if n.isSoleVoter() {
		n.electionDue = n.now()
	}
	return nil
}

func (n *Node) run(ctx context.Context) {
	tick := n.common.Timer.Subscribe(ctx, n.opts.Heartbeat/ticksInHeartbeat)
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
		n.drain()
		n.flush()
	}
}

// drain takes what else is waiting, so that one sync carries it all.
func (n *Node) drain() {
	for range maxBatch {
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

// flush makes this iteration's changes durable and does what depends on them.
func (n *Node) flush() {
	for n.Err() == nil {
		n.broadcastIfWanted()
		if n.hardDirty {
			// Messages of a term must not leave before the term is on disk.
			n.sendAfter = append(n.sendNow, n.sendAfter...)
			n.sendNow = nil
		}
		n.send(&n.sendNow)
		if !n.save() {
			return
		}
		n.send(&n.sendAfter)
		n.advance()
		if !n.isPending() {
			break
		}
	}
	n.publish()
}

func (n *Node) isPending() bool {
	return n.hardDirty || !n.log.update.IsEmpty() || len(n.sendNow) > 0 || len(n.sendAfter) > 0 ||
		(n.lead != nil && n.lead.wantBroadcast)
}

func (n *Node) save() bool {
	u := n.log.takeUpdate()
	if n.hardDirty {
		u.HardState = &aubwire.HardState{Term: n.term, Vote: n.vote}
		n.hardDirty = false
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

func (n *Node) send(queue *[]outgoing) {
	for _, o := range *queue {
		n.opts.Transport.Send(o.address, o.message)
	}
	*queue = nil
}

// stop ends the node; err is nil when its context ended.
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
		n.common.Log.Error("Storage failed; the replica stopped.", zap.Error(err))
	}
	n.failWaiters()
	// Whoever waits for the end may open the folder next.
	_ = n.opts.Disk.Close()
	close(n.done)
}

// publish lets other goroutines see the state that is durable now.
func (n *Node) publish() {
	members := n.log.membership()
	p := published{status: Status{
		Self:       n.opts.Self,
		Leader:     n.leaderPeer(),
		LeaderHere: n.lead != nil,
		Term:       n.term,
		Applied:    n.applied,
		Commit:     n.commit,
		ClusterID:  members.wire.GetClusterId(),
		Voters:     toPeers(members.wire.GetVoters()),
		Learners:   toPeers(members.wire.GetLearners()),
		IsVoter:    members.isVoter(n.self.GetDiskId()),
		IsJoint:    members.isJoint(),
		InChange:   members.isJoint() || n.log.membershipIndex() > n.commit,
	}}
	if n.lead != nil && n.lead.ready && n.lead.transfer == nil {
		p.leading = true
		p.leaseUntil = n.leaseUntil()
	}
	n.report(p.status)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.err == nil {
		n.published = p
	}
}

func (n *Node) report(s Status) {
	n.common.Metrics.Gauge("term").Update(float64(s.Term))
	n.common.Metrics.Gauge("applied_index").Update(float64(s.Applied))
	leads := 0.0
	if s.LeaderHere {
		leads = 1
	}
	n.common.Metrics.Gauge("leads").Update(leads)
}

func (n *Node) leaderPeer() Peer {
	m, ok := n.log.membership().member(n.leaderID)
	if !ok {
		return Peer{}
	}
	return toPeer(m)
}

func (n *Node) now() time.Time { return n.common.Timer.Now() }

func (n *Node) isSoleVoter() bool {
	return n.log.membership().hasQuorum(func(id string) bool { return id == n.self.GetDiskId() })
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
