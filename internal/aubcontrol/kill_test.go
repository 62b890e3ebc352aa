package aubcontrol_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"google.golang.org/grpc"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

// childReplicaEnv makes the test binary run a replica. Its value is the data
// folder, the replica's name, then name=address of every replica, separated by
// commas.
const childReplicaEnv = "AUBCONTROL_TEST_REPLICA"

func TestMain(m *testing.M) {
	if spec := os.Getenv(childReplicaEnv); spec != "" {
		runChild(strings.Split(spec, ","))
		return
	}
	goleak.VerifyTestMain(m)
}

func runChild(spec []string) {
	dir, self := spec[0], spec[1]
	opts := aubcontrol.ReplicaOpts{Member: self, DataDir: dir, Tables: []aubcontrol.Table{&journal{}}, Dial: dial}
	for _, peer := range spec[2:] {
		name, address, _ := strings.Cut(peer, "=")
		opts.Voters = append(opts.Voters, aubcontrol.Peer{Name: name, Address: address})
		if name == self {
			opts.Address = address
		}
	}
	r, err := aubcontrol.NewReplica(context.Background(), aubcommon.NewCommon(aubtimer.NewReal()), opts)
	if err != nil {
		panic(err)
	}
	l, err := net.Listen("tcp", opts.Address)
	if err != nil {
		panic(err)
	}
	server := grpc.NewServer()
	r.Register(server)
	panic(server.Serve(l))
}

// childReplicas runs replicas in child processes.
type childReplicas struct {
	t       *testing.T
	dir     string
	peers   []string
	running map[string]*exec.Cmd
}

func (c *childReplicas) start(name string) {
	binary, err := os.Executable()
	qt.Assert(c.t, err, qt.IsNil)
	cmd := exec.Command(binary)
	spec := append([]string{filepath.Join(c.dir, name), name}, c.peers...)
	cmd.Env = append(os.Environ(), childReplicaEnv+"="+strings.Join(spec, ","))
	cmd.Stderr = os.Stderr
	qt.Assert(c.t, cmd.Start(), qt.IsNil)
	c.running[name] = cmd
}

func (c *childReplicas) kill(name string) {
	cmd := c.running[name]
	qt.Assert(c.t, cmd.Process.Kill(), qt.IsNil)
	_ = cmd.Wait()
}

// TestKilledProcessesLoseNoCommands kills replica processes with SIGKILL while
// clients append. Every command with a response must be applied exactly once, in
// the order that the responses showed.
func TestKilledProcessesLoseNoCommands(t *testing.T) {
	names := []string{"a", "b", "c"}
	c := &childReplicas{t: t, dir: t.TempDir(), running: make(map[string]*exec.Cmd)}
	addresses := make([]string, 0, len(names))
	for _, name := range names {
		addresses = append(addresses, freeAddress(t))
		c.peers = append(c.peers, name+"="+addresses[len(addresses)-1])
	}
	for _, name := range names {
		c.start(name)
	}
	t.Cleanup(func() {
		for _, name := range names {
			c.kill(name)
		}
	})

	ctx := newContext(t)
	client := aubcontrol.NewClient(aubcommon.NewCommon(aubtimer.NewReal()), aubcontrol.ClientOpts{Addresses: addresses, Dial: dial})
	t.Cleanup(client.Close)
	_, err := client.Apply(ctx, "journal", []byte("start,"))
	qt.Assert(t, err, qt.IsNil)

	responses := make(map[string]string)
	clientCtx, stopClients := context.WithCancel(ctx)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for id := range 4 {
		wg.Go(func() {
			for i := 0; clientCtx.Err() == nil; i++ {
				value := fmt.Sprintf("%d.%d,", id, i)
				if result, err := client.Apply(ctx, "journal", []byte(value)); err == nil {
					mu.Lock()
					responses[value] = string(result.Body)
					mu.Unlock()
				}
			}
		})
	}
	random := rand.New(rand.NewPCG(3, 3))
	for range 5 {
		name := names[random.IntN(len(names))]
		c.kill(name)
		_, err := client.Apply(ctx, "journal", []byte("-,"))
		qt.Assert(t, err, qt.IsNil)
		c.start(name)
		_, err = client.Apply(ctx, "journal", []byte("+,"))
		qt.Assert(t, err, qt.IsNil)
	}
	stopClients()
	wg.Wait()
	result, err := client.Apply(ctx, "journal", []byte("end,"))
	qt.Assert(t, err, qt.IsNil)
	final := string(result.Body)
	for value, response := range responses {
		qt.Assert(t, strings.HasPrefix(final, response), qt.IsTrue, qt.Commentf("response to %q is not a prefix of the final state", value))
		qt.Assert(t, strings.Count(","+final, ","+value), qt.Equals, 1, qt.Commentf("value %q", value))
	}
	t.Logf("%d commands got a response", len(responses))
}
