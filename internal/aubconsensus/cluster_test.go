package aubconsensus_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubconsensus"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

const (
	electionTimeout = 150 * time.Millisecond
	heartbeat       = 25 * time.Millisecond
	testTimeout     = 60 * time.Second
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// listMachine holds one text for each key; a command "key value" appends to it.
type listMachine struct {
	mu    sync.Mutex
	texts map[string]string
}

func newListMachine() *listMachine { return &listMachine{texts: make(map[string]string)} }

func (m *listMachine) Apply(_ uint64, data []byte) []byte {
	key, value, _ := strings.Cut(string(data), " ")
	m.mu.Lock()
	defer m.mu.Unlock()
	m.texts[key] += value + ","
	return []byte(m.texts[key])
}

func (m *listMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(m.texts)
}

func (m *listMachine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.texts = make(map[string]string)
	return json.Unmarshal(data, &m.texts)
}

func (m *listMachine) Elected(time.Time) {}

func (m *listMachine) get(key string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.texts[key]
}

// runningReplica is one replica and its state machine.
type runningReplica struct {
	node    *aubconsensus.Node
	machine *listMachine
	cancel  context.CancelFunc
}

// cluster runs replicas over fake disks and a fake network.
type cluster struct {
	t       *testing.T
	network *fakeNetwork
	peers   []aubconsensus.Peer
	rand    *rand.Rand
	// timer is used by replicas started from now on.
	timer aubtimer.Service
	// changeOpts changes the options of replicas started from now on, if it is
	// set.
	changeOpts func(opts *aubconsensus.Opts)

	mu      sync.Mutex
	disks   map[string]*storedDisk
	running map[string]*runningReplica
}

func newCluster(t *testing.T, size int, seed uint64) *cluster {
	c := &cluster{
		t:       t,
		network: newFakeNetwork(seed),
		timer:   aubtimer.NewReal(),
		rand:    rand.New(rand.NewPCG(seed, 2)),
		disks:   make(map[string]*storedDisk),
		running: make(map[string]*runningReplica),
	}
	for _, name := range []string{"a", "b", "c", "d", "e"}[:size] {
		c.peers = append(c.peers, aubconsensus.Peer{Name: name, Address: name})
		c.disks[name] = newStoredDisk(false)
	}
	for _, p := range c.peers {
		c.start(p.Name)
	}
	t.Cleanup(func() {
		for _, name := range c.names() {
			c.network.thaw(name)
			c.kill(name)
		}
	})
	c.waitLeader()
	return c
}

func (c *cluster) names() []string {
	names := make([]string, 0, len(c.peers))
	for _, p := range c.peers {
		names = append(names, p.Name)
	}
	return names
}

func (c *cluster) start(name string) {
	c.mu.Lock()
	disk := c.disks[name].open()
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	machine := newListMachine()
	opts := aubconsensus.Opts{
		Self:            aubconsensus.Peer{Name: name, Address: name},
		Voters:          c.peers,
		Disk:            disk,
		Transport:       endpoint{network: c.network, self: name},
		Machine:         machine,
		ElectionTimeout: electionTimeout,
		Heartbeat:       heartbeat,
		SnapshotEntries: 40,
		KeepEntries:     10,
	}
	if c.changeOpts != nil {
		c.changeOpts(&opts)
	}
	node, err := aubconsensus.NewNode(ctx, aubcommon.NewCommon(c.timer), opts)
	qt.Assert(c.t, err, qt.IsNil)
	c.mu.Lock()
	c.running[name] = &runningReplica{node: node, machine: machine, cancel: cancel}
	c.mu.Unlock()
	c.network.attach(name, node)
}

// kill stops a replica immediately: writes that are not synced are lost.
func (c *cluster) kill(name string) {
	c.network.detach(name)
	c.mu.Lock()
	replica, ok := c.running[name]
	delete(c.running, name)
	c.disks[name].setFault(crashBeforeSync)
	c.mu.Unlock()
	if !ok {
		return
	}
	replica.cancel()
	<-replica.node.Done()
}

func (c *cluster) restart(name string) {
	c.kill(name)
	c.start(name)
}

// loseDisk kills a replica and gives its name an empty disk.
func (c *cluster) loseDisk(name string, afterDamage bool) {
	c.kill(name)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disks[name] = newStoredDisk(afterDamage)
}

// failWrite makes the next write of a replica fail and waits until the replica
// has stopped.
func (c *cluster) failWrite(name string, fault diskFault) {
	replica, ok := c.replica(name)
	if !ok {
		return
	}
	c.mu.Lock()
	c.disks[name].setFault(fault)
	c.mu.Unlock()
	c.eventually("replica stops after a failed write", func() bool {
		select {
		case <-replica.node.Done():
			return true
		default:
			return false
		}
	})
}

func (c *cluster) replica(name string) (*runningReplica, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	replica, ok := c.running[name]
	return replica, ok
}

// waitLeader waits until a replica holds the leader's lease and returns its
// name.
func (c *cluster) waitLeader() string {
	var leader string
	c.eventually("a leader is elected", func() bool {
		for _, name := range c.names() {
			if replica, ok := c.replica(name); ok {
				if _, isLeading := replica.node.Leading(); isLeading {
					leader = name
					return true
				}
			}
		}
		return false
	})
	return leader
}

// randomReplica returns the name of a random replica that is not excluded.
func (c *cluster) randomReplica(excluded ...string) string {
	for {
		name := c.peers[c.rand.IntN(len(c.peers))].Name
		isExcluded := false
		for _, other := range excluded {
			isExcluded = isExcluded || other == name
		}
		if !isExcluded {
			return name
		}
	}
}

// waitVoter waits until the replica is a voter and no membership change is in
// progress.
func (c *cluster) waitVoter(name string) {
	c.eventually(name+" is a voter", func() bool {
		replica, ok := c.replica(name)
		if !ok {
			return false
		}
		s := replica.node.Status()
		return s.IsVoter && !s.IsChangePending && s.Leader.Name != "" && len(s.Voters) == len(c.peers)
	})
}

func (c *cluster) eventually(description string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out: %s", description)
		}
		time.Sleep(heartbeat / 5)
	}
}

// sleepTimeouts sleeps for some election timeouts, while the clients continue.
func (c *cluster) sleepTimeouts(timeouts int) { time.Sleep(time.Duration(timeouts) * electionTimeout) }

func newContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), testTimeout)
}
