package aubconsensus

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburndale/auburndale/internal/aubstore"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// Default settings of a node.
const (
	DefaultElectionTimeout = 300 * time.Millisecond
	DefaultHeartbeat       = 60 * time.Millisecond
	DefaultSnapshotEvery   = 4096
	DefaultSnapshotBytes   = 4 << 20
	DefaultKeepEntries     = 256

	// MaxCommandBytes bounds one command.
	MaxCommandBytes = 2 << 20

	maxBatchInputs     = 256
	maxAppendBytes     = 1 << 20
	maxInFlight        = 4096
	snapshotChunkBytes = 512 << 10
	helloInterval      = 250 * time.Millisecond
	ticksPerHeartbeat  = 3
)

// Peer is a replica by name and address.
type Peer struct {
	Name    string
	Address string
}

// Disk is the durable storage of a node. Save returns once the update is synced.
type Disk interface {
	DiskID() string
	AfterDamage() bool
	Load() (aubstore.State, error)
	Save(u aubstore.Update) error
	LoadSnapshot() (*aubwire.LogSnapshot, error)
	Close() error
}

// Transport carries messages between nodes.
type Transport interface {
	// Send hands over a message without waiting; it may be lost, late or doubled.
	Send(address string, m *aubwire.ConsensusMessage)
	// Hello asks the replica at the address what it holds.
	Hello(ctx context.Context, address string, req *aubwire.HelloRequest) (*aubwire.HelloResponse, error)
}

// Machine executes committed commands. The node calls it from one goroutine.
type Machine interface {
	Apply(index uint64, data []byte) []byte
	Snapshot() ([]byte, error)
	Restore(data []byte) error
	// Elected tells that this node won its election at the given time and has
	// applied everything committed before.
	Elected(at time.Time)
}

// Opts configures a node.
type Opts struct {
	// Self is this replica.
	Self Peer
	// Voters lists the replicas that form the cluster, this one included.
	Voters []Peer
	// JoinOnly keeps this replica from forming a cluster; it waits until one takes
	// it in.
	JoinOnly bool
	// MaxVoters lets replicas that the settings don't list join: as voters while
	// there are fewer, else as learners. 0 lets none join.
	MaxVoters int
	// ReplaceAfter is the silence after which a learner takes a voter's place; 0
	// leaves that to an operator.
	ReplaceAfter time.Duration
	Disk         Disk
	Transport    Transport
	Machine      Machine
	// ElectionTimeout is the least silence of a leader that starts an election.
	// The lease is shorter than it by a quarter, for clocks of unequal rate.
	ElectionTimeout time.Duration
	Heartbeat       time.Duration
	// SnapshotEvery is the number of applied entries, and SnapshotBytes the size
	// of their commands, after which the log is compacted.
	SnapshotEvery uint64
	SnapshotBytes int
	// KeepEntries is how many entries stay below a snapshot for slow followers.
	KeepEntries uint64
	// Rand draws the election timeouts; nil means a random seed.
	Rand *rand.Rand
}

func (o Opts) withDefaults() Opts {
	o.Voters = slices.Clone(o.Voters)
	if o.ElectionTimeout == 0 {
		o.ElectionTimeout = DefaultElectionTimeout
	}
	if o.Heartbeat == 0 {
		o.Heartbeat = DefaultHeartbeat
	}
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = DefaultSnapshotEvery
	}
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = DefaultSnapshotBytes
	}
	if o.KeepEntries == 0 {
		o.KeepEntries = DefaultKeepEntries
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return o
}

// leaseDuration is how long after sending a confirmed message a leader may act.
func (o Opts) leaseDuration() time.Duration { return o.ElectionTimeout * 3 / 4 }
