package aubcontrol

import (
	"time"

	"google.golang.org/grpc"
)

// Dial opens a gRPC connection to host:port. The replica closes it.
type Dial func(address string) (*grpc.ClientConn, error)

// Peer is the name and gRPC address, host:port, of a control replica.
type Peer struct {
	Name    string
	Address string
}

// ReplicaOpts configures a control replica.
type ReplicaOpts struct {
	// Member is this replica's name; it stays the same when its disk is replaced.
	Member  string
	Address string
	// Voters lists the replicas that form the site, this one included.
	Voters []Peer
	// JoinOnly, MaxVoters and ReplaceAfter are the options of the replicated
	// log: whether the replica may form a site, and which replicas may join
	// without an operator.
	JoinOnly     bool
	MaxVoters    int
	ReplaceAfter time.Duration
	// DataDir is the folder of the replica's durable state.
	DataDir string
	Tables  []Table
	Dial    func(address string) (*grpc.ClientConn, error)
	// ElectionTimeout is the minimum time without contact with the leader before
	// an election starts; zero means 300 ms. Followers draw a timeout between it
	// and twice its value.
	ElectionTimeout time.Duration
	// Heartbeat is the interval of the leader's heartbeats; zero means 60 ms.
	Heartbeat time.Duration
	// ApplyTimeout limits an Apply or Confirm whose context has no deadline;
	// zero means 10 s.
	ApplyTimeout time.Duration
	// KeepsContacts reports whether the time of the last contact with a leader is kept over a
	// restart, so that the replica may vote at once after an outage; nil means never.
	KeepsContacts func() bool
}

// Status is a replica's view of itself and its site.
type Status struct {
	Member string
	// Leader is the name of the known leader, or empty.
	Leader   string
	Term     uint64
	Applied  uint64
	Commit   uint64
	Voters   []Peer
	Learners []Peer
}

// ClientOpts configures the client of a process without a replica.
type ClientOpts struct {
	// Addresses lists the control replicas, host:port.
	Addresses []string
	Dial      func(address string) (*grpc.ClientConn, error)
	// ApplyTimeout limits an Apply or Confirm whose context has no deadline;
	// zero means 10 s.
	ApplyTimeout time.Duration
}
