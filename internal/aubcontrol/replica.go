package aubcontrol

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubconsensus"
	"github.com/auburndale/auburndale/internal/aubstore"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	defaultApplyTimeout = 10 * time.Second
	// clockRefresh is the age after which a leader's cached clock is requested
	// again.
	clockRefresh = 10 * time.Second
)

// Replica is one control replica: the replicated log, its state machine, and the
// connections to the leader.
//
// Lock order: mu is taken alone.
type Replica struct {
	common  aubcommon.Common
	opts    ReplicaOpts
	machine *Machine
	node    *aubconsensus.Node
	pool    *connPool
	sender  sender

	mu            sync.Mutex
	cachedClockMs int64
	cachedClockAt time.Time
}

var (
	_ Proposer   = (*Replica)(nil)
	_ Reader     = (*Replica)(nil)
	_ Leadership = (*Replica)(nil)
)

// NewReplica opens the data folder and starts a replica, which runs until ctx
// ends. Call Register to serve it. The replicas form the site once all voters of
// the settings have reached each other for the first time.
func NewReplica(ctx context.Context, common aubcommon.Common, opts ReplicaOpts) (*Replica, error) {
	machine, err := NewMachine(opts.Tables)
	if err != nil {
		return nil, err
	}
	disk, err := aubstore.Open(common, aubstore.Opts{DataDir: opts.DataDir, Member: opts.Member})
	if err != nil {
		return nil, &StorageError{Err: err}
	}
	if opts.ElectionTimeout == 0 {
		opts.ElectionTimeout = aubconsensus.DefaultElectionTimeout
	}
	contacts, err := openContacts(opts)
	if err != nil {
		_ = disk.Close()
		return nil, &StorageError{Err: err}
	}
	node, err := aubconsensus.NewNode(ctx, common, aubconsensus.Opts{
		Self:            aubconsensus.Peer{Name: opts.Member, Address: opts.Address},
		Voters:          toConsensusPeers(opts.Voters),
		JoinOnly:        opts.JoinOnly,
		MaxVoters:       opts.MaxVoters,
		ReplaceAfter:    opts.ReplaceAfter,
		Disk:            disk,
		Transport:       aubconsensus.NewRemoteTransport(ctx, common, opts.Dial, 2*opts.ElectionTimeout),
		Machine:         machine,
		ElectionTimeout: opts.ElectionTimeout,
		Heartbeat:       opts.Heartbeat,
		Contacts:        contacts,
		KeepsContacts:   opts.KeepsContacts,
	})
	if err != nil {
		_ = disk.Close()
		if contacts != nil {
			_ = contacts.Close()
		}
		return nil, &StorageError{Err: err}
	}
	r := &Replica{
		common:  common.WithPart("replica"),
		opts:    opts,
		machine: machine,
		node:    node,
		pool:    newConnPool(ctx, opts.Dial),
	}
	r.sender = sender{timer: common.Timer, timeout: opts.ApplyTimeout, attempt: r.attempt}
	return r, nil
}

// openContacts opens the contact record; nil if none is kept. A record of an earlier run that is not
// kept up to date is removed.
func openContacts(opts ReplicaOpts) (aubconsensus.ContactRecord, error) {
	if opts.KeepsContacts == nil {
		return nil, aubstore.RemoveContactFile(opts.DataDir)
	}
	return aubstore.OpenContactFile(opts.DataDir)
}

// Register registers the replica's services on a gRPC server.
func (r *Replica) Register(s grpc.ServiceRegistrar) {
	aubwire.RegisterControlServer(s, &controlService{replica: r})
	aubwire.RegisterConsensusServer(s, aubconsensus.NewService(r.node))
}

// Apply implements Proposer.
func (r *Replica) Apply(ctx context.Context, table string, body []byte) (Result, error) {
	return r.sender.apply(ctx, table, body)
}

// attempt submits a command once: to the log if this replica leads, otherwise to
// the leader.
func (r *Replica) attempt(ctx context.Context, req *aubwire.ApplyRequest) (*aubwire.ApplyResponse, error) {
	if !r.machine.HasTable(req.GetTable()) {
		return nil, &NotCommittedError{Reason: "unknown table " + req.GetTable(), Err: errPermanent}
	}
	leader, isLocal, err := r.leader()
	if err != nil {
		return nil, err
	}
	if isLocal {
		return r.propose(ctx, req)
	}
	if req.GetForwarded() {
		return nil, &NotCommittedError{Reason: "this replica does not lead"}
	}
	ctx, cancel := r.untilSucceeded(ctx, leader)
	defer cancel()
	if req.GetIssuedMs() == 0 {
		if req.IssuedMs, err = r.leaderClock(ctx, leader); err != nil {
			return nil, &NotCommittedError{Reason: "leader did not answer", Err: err}
		}
	}
	forwarded := proto.CloneOf(req)
	forwarded.Forwarded = true
	resp, err := r.pool.apply(ctx, leader.Address, forwarded)
	if errors.Is(err, errExpired) {
		r.invalidateClock()
	}
	return resp, err
}

// untilSucceeded returns a context that ends once another replica is known to lead: a leader
// that was replaced may never answer.
func (r *Replica) untilSucceeded(ctx context.Context, leader aubconsensus.Peer) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for aubtimer.Wait(ctx, r.common.Timer, retryInterval) == nil {
			if next, isLocal, err := r.leader(); err == nil && (isLocal || next != leader) {
				cancel()
			}
		}
	}()
	return ctx, cancel
}

// leader returns the known leader and whether it is this replica.
func (r *Replica) leader() (aubconsensus.Peer, bool, error) {
	if err := r.node.Err(); err != nil {
		return aubconsensus.Peer{}, false, &NotCommittedError{Reason: "replica stopped", Err: errors.Join(errPermanent, err)}
	}
	status := r.node.Status()
	if status.Leader.Name == "" && !status.IsLeader {
		return aubconsensus.Peer{}, false, &NotCommittedError{Reason: "no leader is known"}
	}
	return status.Leader, status.IsLeader, nil
}

func (r *Replica) propose(ctx context.Context, req *aubwire.ApplyRequest) (*aubwire.ApplyResponse, error) {
	stamp := r.machine.Stamp(r.common.Timer.Now()).Milliseconds()
	if req.GetIssuedMs() == 0 {
		// The clock starts at 0, which means unknown in IssuedMs.
		req.IssuedMs = max(stamp, 1)
	}
	data, err := proto.Marshal(&aubwire.Envelope{
		Table:     req.GetTable(),
		Body:      req.GetBody(),
		ClockMs:   stamp,
		CommandId: req.GetCommandId(),
		IssuedMs:  req.GetIssuedMs(),
	})
	if err != nil {
		return nil, &NotCommittedError{Reason: "command can't be encoded", Err: errors.Join(errPermanent, err)}
	}
	_, encoded, err := r.node.Propose(ctx, data)
	if err != nil {
		return nil, fromConsensusError(err)
	}
	result := &aubwire.CommandResult{}
	if err := proto.Unmarshal(encoded, result); err != nil {
		return nil, &UncertainError{Reason: "result can't be decoded", Err: err}
	}
	if result.GetCommandId() != req.GetCommandId() {
		return nil, &NotCommittedError{Reason: "command came too long after its issue", Err: errExpired}
	}
	return &aubwire.ApplyResponse{Result: result.GetResult(), Index: result.GetIndex(), ClockMs: result.GetClockMs()}, nil
}

// WaitReady waits until the local state has reached the leader's confirmed
// commit index.
func (r *Replica) WaitReady(ctx context.Context) error {
	_, err := r.confirm(ctx)
	return err
}

// Leading implements Leadership.
func (r *Replica) Leading() (uint64, bool) { return r.node.Leading() }

// Clock returns the replicated clock of the last applied command.
func (r *Replica) Clock() time.Duration { return r.machine.Clock() }

// Status returns the replica's view of the site.
func (r *Replica) Status() Status {
	s := r.node.Status()
	return Status{
		Member:   r.opts.Member,
		Leader:   s.Leader.Name,
		Term:     s.Term,
		Applied:  s.Applied,
		Commit:   s.Commit,
		Voters:   fromConsensusPeers(s.Voters),
		Learners: fromConsensusPeers(s.Learners),
	}
}

// TransferLeadership transfers the leadership to another voter. On a replica
// that is not the leader it does nothing.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	ctx, cancel := withDefaultTimeout(ctx, r.opts.ApplyTimeout)
	defer cancel()
	return fromMembershipError(r.node.TransferLeadership(ctx))
}

// ReplaceMember replaces a failed voter by a joining replica that runs on an
// empty data folder, and returns once the new voter holds everything committed.
// It may be called on any replica, and repeated after an error.
func (r *Replica) ReplaceMember(ctx context.Context, replaced string, joining Peer) error {
	leader, isLocal, err := r.leader()
	if err != nil {
		return &MembershipError{Reason: "no leader is known", Err: err}
	}
	if isLocal {
		return fromMembershipError(r.node.ReplaceMember(ctx, replaced, aubconsensus.Peer(joining)))
	}
	return r.pool.replaceMember(ctx, leader.Address, &aubwire.ReplaceMemberRequest{
		Dead:           replaced,
		JoiningName:    joining.Name,
		JoiningAddress: joining.Address,
	})
}

// Done is closed once the replica has stopped because its context ended or its
// storage failed.
func (r *Replica) Done() <-chan struct{} { return r.node.Done() }

// Err returns the failure that stopped the replica. It is nil while the replica
// runs and after its context ended.
func (r *Replica) Err() error {
	var stopped *aubconsensus.StoppedError
	if !errors.As(r.node.Err(), &stopped) || stopped.Err == nil {
		return nil
	}
	return &StorageError{Err: stopped.Err}
}

func toConsensusPeers(peers []Peer) []aubconsensus.Peer {
	converted := make([]aubconsensus.Peer, 0, len(peers))
	for _, p := range peers {
		converted = append(converted, aubconsensus.Peer(p))
	}
	return converted
}

func fromConsensusPeers(peers []aubconsensus.Peer) []Peer {
	converted := make([]Peer, 0, len(peers))
	for _, p := range peers {
		converted = append(converted, Peer(p))
	}
	return converted
}
