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
	DefaultSnapshotEntries = 4096
	DefaultSnapshotBytes   = 4 << 20
	DefaultKeepEntries     = 256
	DefaultKeepBytes       = 4 << 20

	// MaxCommandBytes limits the size of one command.
	MaxCommandBytes = 2 << 20

	// maxBatchInputs limits the queued inputs that one sync covers.
	maxBatchInputs = 256
	// maxAppendBytes limits the entries of one message unless a single one is larger. A
	// slow link delivers it, or a snapshot chunk, well within one delivery timeout.
	maxAppendBytes = 64 << 10
	// maxInFlight limits the entries sent to a member without a response, and the
	// messages in the inbox.
	maxInFlight        = 4096
	snapshotChunkBytes = 64 << 10
	helloInterval      = 250 * time.Millisecond
	ticksPerHeartbeat  = 3
)

// Peer is the name and address of a replica.
type Peer struct {
	Name    string
	Address string
}

// Disk is the durable storage of a node. Save returns once the update is synced.
type Disk interface {
	// DiskID returns the id that identifies the member on this disk.
	DiskID() string
	// AfterDamage reports whether this storage replaced a damaged one.
	AfterDamage() bool
	Load() (aubstore.State, error)
	Save(u aubstore.Update) error
	LoadSnapshot() (*aubwire.LogSnapshot, error)
	Close() error
}

// Transport sends messages between nodes.
type Transport interface {
	// Send sends a message without waiting; it may be lost, delayed or
	// duplicated.
	Send(address string, m *aubwire.ConsensusMessage)
	// Hello requests the identity and membership of the replica at the address.
	Hello(ctx context.Context, address string, req *aubwire.HelloRequest) (*aubwire.HelloResponse, error)
}

// Machine executes committed commands. The node calls it from one goroutine.
type Machine interface {
	Apply(index uint64, data []byte) []byte
	Snapshot() ([]byte, error)
	Restore(data []byte) error
	// Elected is called once this node, elected at the given time, has applied
	// everything committed before its term.
	Elected(at time.Time)
}

// Opts configures a node.
type Opts struct {
	// Self is this replica.
	Self Peer
	// Voters lists the replicas that form the cluster, this one included.
	Voters []Peer
	// JoinOnly keeps this replica from forming a cluster; it waits until an
	// existing cluster admits it.
	JoinOnly bool
	// MaxVoters lets replicas join that the settings don't list: as voters while
	// there are fewer voters, otherwise as learners. 0 lets none join.
	MaxVoters int
	// ReplaceAfter is the time without a response after which a learner replaces
	// a voter; 0 leaves that to an operator.
	ReplaceAfter time.Duration
	Disk         Disk
	Transport    Transport
	Machine      Machine
	// ElectionTimeout is the minimum time without contact with a leader before
	// an election starts. The lease is a quarter shorter, because clocks may run
	// at different rates.
	ElectionTimeout time.Duration
	Heartbeat       time.Duration
	// SnapshotEntries is the number of applied entries, and SnapshotBytes the
	// total size of their commands, after which the log is compacted.
	SnapshotEntries uint64
	SnapshotBytes   int
	// KeepEntries and KeepBytes limit the entries, and the total size of their commands, that are
	// kept before a snapshot for slow followers.
	KeepEntries uint64
	KeepBytes   int
	// Contacts keeps the time of the last contact with a leader over a restart, so that a member
	// need not wait for an election timeout before it votes; nil keeps none. It is extended while
	// KeepsContacts returns true.
	Contacts      ContactRecord
	KeepsContacts func() bool
	// Rand draws the election timeouts; nil means a generator with a random
	// seed.
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
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = DefaultSnapshotEntries
	}
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = DefaultSnapshotBytes
	}
	if o.KeepEntries == 0 {
		o.KeepEntries = DefaultKeepEntries
	}
	if o.KeepBytes == 0 {
		o.KeepBytes = DefaultKeepBytes
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return o
}

// leaseDuration returns how long the leader's lease lasts after the send time of
// a message that a quorum has acknowledged.
func (o Opts) leaseDuration() time.Duration { return o.ElectionTimeout * 3 / 4 }
