package aubconsensus_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubconsensus"
)

const (
	clientCount  = 4
	opTimeout    = 2 * electionTimeout
	checkTimeout = 30 * time.Second
)

// listInput is an append, or a read when the value is empty.
type listInput struct {
	key   string
	value string
}

// listOutput is the text of the key; unknown is set if the outcome is unknown.
type listOutput struct {
	text    string
	unknown bool
}

func inputOf(v any) listInput {
	in, _ := v.(listInput)
	return in
}

func outputOf(v any) listOutput {
	out, _ := v.(listOutput)
	return out
}

// listModel is the sequential specification of listMachine, checked for each key
// separately.
var listModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			key := inputOf(op.Input).key
			byKey[key] = append(byKey[key], op)
		}
		partitions := make([][]porcupine.Operation, 0, len(byKey))
		for _, partition := range byKey {
			partitions = append(partitions, partition)
		}
		return partitions
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in, out, text := inputOf(input), outputOf(output), fmt.Sprint(state)
		if in.value != "" {
			text += in.value + ","
		}
		return out.unknown || out.text == text, text
	},
}

// recorder runs clients and records the history of their operations.
type recorder struct {
	cluster *cluster
	start   time.Time
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu       sync.Mutex
	ops      []porcupine.Operation
	rejected []listInput
	appends  int
	reads    int
}

func startClients(c *cluster, seed uint64) *recorder {
	ctx, cancel := context.WithCancel(context.Background())
	r := &recorder{cluster: c, start: time.Now(), cancel: cancel}
	for id := range clientCount {
		random := rand.New(rand.NewPCG(seed, uint64(id)))
		r.wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				r.runOperation(ctx, random, id, i)
			}
		})
	}
	return r
}

func (r *recorder) runOperation(ctx context.Context, random *rand.Rand, id, i int) {
	in := listInput{key: fmt.Sprintf("k%d", random.IntN(3))}
	switch random.IntN(4) {
	case 0:
		r.read(ctx, random, id, in)
	case 1:
		r.leaseRead(id, in)
	default:
		in.value = fmt.Sprintf("%d.%d", id, i)
		r.append(ctx, random, id, in)
	}
	time.Sleep(time.Duration(random.Int64N(int64(8 * time.Millisecond))))
}

// append tries random replicas until one accepts the command.
func (r *recorder) append(ctx context.Context, random *rand.Rand, id int, in listInput) {
	call := r.now()
	ctx, cancel := context.WithTimeout(ctx, opTimeout)
	defer cancel()
	for ctx.Err() == nil {
		replica, ok := r.cluster.replica(r.cluster.peers[random.IntN(len(r.cluster.peers))].Name)
		if !ok {
			continue
		}
		_, text, err := replica.node.Propose(ctx, []byte(in.key+" "+in.value))
		var unknown *aubconsensus.UnknownOutcomeError
		if errors.As(err, &unknown) {
			r.recordOperation(porcupine.Operation{ClientId: id, Input: in, Call: call, Output: listOutput{unknown: true}, Return: math.MaxInt64})
			return
		}
		if err == nil {
			r.recordOperation(porcupine.Operation{ClientId: id, Input: in, Call: call, Output: listOutput{text: string(text)}, Return: r.now()})
			return
		}
		time.Sleep(time.Millisecond)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rejected = append(r.rejected, in)
}

// read confirms an index at the leader and reads at some replica. Client 1 acts
// as if it ran in the leader's process: it reads there, and waits as long as the
// leader is frozen.
func (r *recorder) read(ctx context.Context, random *rand.Rand, id int, in listInput) {
	call := r.now()
	timeout := opTimeout
	isLocal := id == 1
	if isLocal {
		timeout = testTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	names := r.cluster.names()
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		replica, ok := r.cluster.replica(name)
		if !ok {
			continue
		}
		index, err := replica.node.ReadIndex(ctx)
		if err != nil {
			continue
		}
		target := replica
		if !isLocal {
			target, ok = r.cluster.replica(names[0])
		}
		if ok && target.node.WaitApplied(ctx, index) == nil {
			r.recordOperation(porcupine.Operation{ClientId: id, Input: in, Call: call, Output: listOutput{text: target.machine.get(in.key)}, Return: r.now()})
		}
		return
	}
}

// leaseRead reads at a leader and checks the lease after the read. A freeze of
// the process may fall between the two.
func (r *recorder) leaseRead(id int, in listInput) {
	call := r.now()
	for _, name := range r.cluster.names() {
		replica, ok := r.cluster.replica(name)
		if !ok {
			continue
		}
		if _, isLeading := replica.node.Leading(); !isLeading {
			continue
		}
		if id == 0 {
			// Client 0 acts as if it ran in the replica's process and is frozen
			// with it.
			r.cluster.network.waitThawed(name)
		}
		text := replica.machine.get(in.key)
		if _, isLeading := replica.node.Leading(); isLeading {
			r.recordOperation(porcupine.Operation{ClientId: id, Input: in, Call: call, Output: listOutput{text: text}, Return: r.now()})
			return
		}
	}
}

// resolveUnknown sets the output of appends with unknown outcome from the final
// text, or drops them. The check stays as strict: an append that is in the text
// must have returned the text up to itself, and one that is not can only take
// effect after the final read.
func (r *recorder) resolveUnknown(key, text string) {
	resolved := r.ops[:0]
	for _, op := range r.ops {
		in, out := inputOf(op.Input), outputOf(op.Output)
		if in.key != key || !out.unknown {
			resolved = append(resolved, op)
			continue
		}
		before, _, found := strings.Cut(","+text, ","+in.value+",")
		if !found {
			continue
		}
		op.Output = listOutput{text: strings.TrimPrefix(before+","+in.value+",", ",")}
		resolved = append(resolved, op)
	}
	r.ops = resolved
}

func (r *recorder) now() int64 { return int64(time.Since(r.start)) }

func (r *recorder) recordOperation(op porcupine.Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, op)
	if inputOf(op.Input).value == "" {
		r.reads++
	} else if !outputOf(op.Output).unknown {
		r.appends++
	}
}

// waitProgress waits until count more appends have succeeded.
func (r *recorder) waitProgress(count int) {
	r.mu.Lock()
	want := r.appends + count
	r.mu.Unlock()
	r.cluster.eventually("clients make progress", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.appends >= want
	})
}

// finish stops the clients and checks the history: it is linearizable, no append
// that was reported as not committed took effect, and all replicas are equal.
func (r *recorder) finish() {
	t := r.cluster.t
	r.cancel()
	r.wg.Wait()
	leader, _ := r.cluster.replica(r.cluster.waitLeader())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var index uint64
	r.cluster.eventually("final read is confirmed", func() bool {
		var err error
		leader, _ = r.cluster.replica(r.cluster.waitLeader())
		index, err = leader.node.ReadIndex(ctx)
		return err == nil
	})
	for _, key := range []string{"k0", "k1", "k2"} {
		var want string
		for i, name := range r.cluster.names() {
			replica, ok := r.cluster.replica(name)
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%s runs", name))
			qt.Assert(t, replica.node.WaitApplied(ctx, index), qt.IsNil, qt.Commentf(name))
			text := replica.machine.get(key)
			if i == 0 {
				want = text
				r.recordOperation(porcupine.Operation{Input: listInput{key: key}, Call: r.now(), Output: listOutput{text: text}, Return: r.now()})
			}
			qt.Assert(t, text, qt.Equals, want, qt.Commentf("replica %s", name))
		}
		r.resolveUnknown(key, want)
		for _, in := range r.rejected {
			isPresent := in.key == key && strings.Contains(","+want, ","+in.value+",")
			qt.Assert(t, isPresent, qt.IsFalse, qt.Commentf("%v was reported as not committed", in))
		}
	}
	result := porcupine.CheckOperationsTimeout(listModel, r.ops, checkTimeout)
	qt.Assert(t, result, qt.Equals, porcupine.Ok)
	t.Logf("%d appends, %d reads, %d rejected, %d operations in total", r.appends, r.reads, len(r.rejected), len(r.ops))
}
