package aubconsensus_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubconsensus"
	"github.com/auburndale/auburndale/internal/aubwire"
)

var errNoRoute = errors.New("fake network: no route")

// route is one direction between two addresses.
type route struct{ from, to string }

// fakeNetwork delivers messages between the nodes of one test.
type fakeNetwork struct {
	mu    sync.Mutex
	rand  *rand.Rand
	nodes map[string]*aubconsensus.Node
	// witnesses holds the processes without a disk.
	witnesses map[string]*aubconsensus.Witness
	blocked   map[route]bool
	frozen    map[string]chan struct{}
	taps      map[route]chan *aubwire.ConsensusMessage
	// dropFilter selects the messages that are lost; nil selects none.
	dropFilter func(m *aubwire.ConsensusMessage) bool
	// faultRate is the share of messages that are lost, of those delayed and of
	// those duplicated.
	faultRate float64
}

func newFakeNetwork(seed uint64) *fakeNetwork {
	return &fakeNetwork{
		rand:  rand.New(rand.NewPCG(seed, 1)),
		nodes: make(map[string]*aubconsensus.Node),

		witnesses: make(map[string]*aubconsensus.Witness),

		blocked: make(map[route]bool),
		frozen:  make(map[string]chan struct{}),
		taps:    make(map[route]chan *aubwire.ConsensusMessage),
	}
}

// endpoint is the network as seen from one address.
type endpoint struct {
	network *fakeNetwork
	self    string
}

func (e endpoint) Send(address string, m *aubwire.ConsensusMessage) {
	e.network.waitThawed(e.self)
	e.network.send(e.self, address, proto.CloneOf(m))
}

func (e endpoint) Hello(ctx context.Context, address string, req *aubwire.HelloRequest) (*aubwire.HelloResponse, error) {
	n := e.network
	if witness, ok := n.witnessAt(e.self, address); ok {
		return proto.CloneOf(witness.Hello(proto.CloneOf(req))), nil
	}
	node, ok := n.nodeAt(e.self, address)
	if !ok {
		return nil, errNoRoute
	}
	resp, err := node.Hello(ctx, proto.CloneOf(req))
	if !n.canReturn(address, e.self) || err != nil {
		return nil, errNoRoute
	}
	return proto.CloneOf(resp), nil
}

func (e endpoint) PromiseCluster(_ context.Context, address string, req *aubwire.PromiseClusterRequest) (*aubwire.PromiseClusterResponse, error) {
	witness, ok := e.network.witnessAt(e.self, address)
	if !ok {
		return nil, errNoRoute
	}
	return witness.PromiseCluster(proto.CloneOf(req)), nil
}

// witnessAt returns the witness at an address and whether the routes in both directions are
// open.
func (n *fakeNetwork) witnessAt(from, to string) (*aubconsensus.Witness, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	witness, ok := n.witnesses[to]
	return witness, ok && !n.blocked[route{from, to}] && !n.blocked[route{to, from}]
}

// canReturn reports whether a response reaches its caller.
func (n *fakeNetwork) canReturn(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	isRunning := n.nodes[to] != nil || n.witnesses[to] != nil
	return isRunning && !n.blocked[route{from, to}]
}

// nodeAt returns the node at an address and whether the route to it is open.
func (n *fakeNetwork) nodeAt(from, to string) (*aubconsensus.Node, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	node, ok := n.nodes[to]
	return node, ok && !n.blocked[route{from, to}]
}

func (n *fakeNetwork) send(from, to string, m *aubwire.ConsensusMessage) {
	n.mu.Lock()
	faultRate := n.faultRate
	lost := n.rand.Float64() < faultRate || (n.dropFilter != nil && n.dropFilter(m))
	duplicated := n.rand.Float64() < faultRate
	delayed := n.rand.Float64() < faultRate
	delay := time.Duration(n.rand.Int64N(int64(2 * electionTimeout)))
	tap := n.taps[route{from, to}]
	n.mu.Unlock()
	select {
	case tap <- m:
	default:
	}
	if duplicated {
		time.AfterFunc(delay, func() { n.deliver(from, to, m) })
	}
	switch {
	case lost:
	case delayed:
		time.AfterFunc(delay, func() { n.deliver(from, to, m) })
	default:
		n.deliver(from, to, m)
	}
}

func (n *fakeNetwork) deliver(from, to string, m *aubwire.ConsensusMessage) {
	if node, ok := n.nodeAt(from, to); ok {
		node.Deliver(proto.CloneOf(m))
	}
}

func (n *fakeNetwork) attach(address string, node *aubconsensus.Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = node
}

// setWitness sets the process without a disk at an address; nil removes it.
func (n *fakeNetwork) setWitness(address string, witness *aubconsensus.Witness) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.witnesses, address)
	if witness != nil {
		n.witnesses[address] = witness
	}
}

func (n *fakeNetwork) detach(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, address)
}

func (n *fakeNetwork) block(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[route{from, to}] = true
}

// isolate blocks the routes between an address and the others in the given
// directions.
func (n *fakeNetwork) isolate(address string, others []string, inbound, outbound bool) {
	for _, other := range others {
		if other == address {
			continue
		}
		if inbound {
			n.block(other, address)
		}
		if outbound {
			n.block(address, other)
		}
	}
}

// heal opens all routes and ends the random faults.
func (n *fakeNetwork) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.blocked)
	n.faultRate = 0
}

func (n *fakeNetwork) setFaultRate(rate float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faultRate = rate
}

// freeze blocks the node at an address at its next send, until thaw.
func (n *fakeNetwork) freeze(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[address] = make(chan struct{})
}

func (n *fakeNetwork) thaw(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c, ok := n.frozen[address]; ok {
		close(c)
		delete(n.frozen, address)
	}
}

func (n *fakeNetwork) waitThawed(address string) {
	n.mu.Lock()
	c, ok := n.frozen[address]
	n.mu.Unlock()
	if ok {
		<-c
	}
}

func (n *fakeNetwork) setDropFilter(filter func(m *aubwire.ConsensusMessage) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropFilter = filter
}

// tap returns the messages that are sent on a route from now on.
func (n *fakeNetwork) tap(from, to string) <-chan *aubwire.ConsensusMessage {
	n.mu.Lock()
	defer n.mu.Unlock()
	tap := make(chan *aubwire.ConsensusMessage, 1000)
	n.taps[route{from, to}] = tap
	return tap
}
