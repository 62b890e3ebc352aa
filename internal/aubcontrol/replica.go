package aubcontrol

import (
	"context"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// Replica is one control replica. This version holds a single voter's state in
// memory only.
type Replica struct {
	common  aubcommon.Common
	opts    ReplicaOpts
	machine *Machine
	done    chan struct{}

	mu    sync.Mutex
	index uint64
}

var (
	_ Proposer   = (*Replica)(nil)
	_ Reader     = (*Replica)(nil)
	_ Leadership = (*Replica)(nil)
)

// NewReplica starts a replica; ctx ends it.
func NewReplica(_ context.Context, common aubcommon.Common, opts ReplicaOpts) (*Replica, error) {
	machine, err := NewMachine(opts.Tables)
	if err != nil {
		return nil, err
	}
	machine.Elected(common.Timer.Now())
	return &Replica{common: common, opts: opts, machine: machine, done: make(chan struct{})}, nil
}

// Register serves the replica on a gRPC server.
func (r *Replica) Register(grpc.ServiceRegistrar) {}

// Apply implements Proposer.
func (r *Replica) Apply(_ context.Context, table string, body []byte) (Result, error) {
	if !r.machine.HasTable(table) {
		return Result{}, &NotCommittedError{Reason: "unknown table " + table}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	stamp := r.machine.Stamp(r.common.Timer.Now()).Milliseconds()
	data, err := proto.Marshal(&aubwire.Envelope{Table: table, Body: body, ClockMs: stamp, IssuedMs: stamp})
	if err != nil {
		return Result{}, &NotCommittedError{Reason: "command can't be encoded", Err: err}
	}
	r.index++
	result := &aubwire.CommandResult{}
	if err := proto.Unmarshal(r.machine.Apply(r.index, data), result); err != nil {
		return Result{}, &UncertainError{Reason: "result can't be decoded", Err: err}
	}
	return Result{Index: result.GetIndex(), Body: result.GetResult()}, nil
}

// Confirm implements Reader.
func (r *Replica) Confirm(context.Context) (uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.index, nil
}

// Leading implements Leadership.
func (r *Replica) Leading() (uint64, bool) { return 1, true }

// Status returns what the replica knows of the site.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Status{Member: r.opts.Member, Leader: r.opts.Member, Term: 1, Applied: r.index, Commit: r.index, Voters: r.opts.Voters}
}

// TransferLeadership hands the leadership to another voter.
func (r *Replica) TransferLeadership(context.Context) error { return nil }

// ReplaceMember replaces a dead voter by a joining replica.
func (r *Replica) ReplaceMember(context.Context, string, Peer) error { return nil }

// WaitReady waits until the state is at or above the leader's confirmed index.
func (r *Replica) WaitReady(context.Context) error { return nil }

// Done is closed when the storage failed and the replica stopped.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns why the replica stopped, or nil.
func (r *Replica) Err() error { return nil }
