package aubqueue_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubqueue"
)

// arrival is one request of the simulated traffic: time in seconds, cost in tokens.
type arrival struct {
	at        float64
	workspace string
	cost      int64
}

// simulatedServer simulates a backend server that runs requests concurrently. A request
// takes its cost divided by rate (tokens a second).
type simulatedServer struct {
	slots int
	rate  float64
}

// runningRequest is an admitted request and the second at which it ends.
type runningRequest struct {
	end  float64
	slot aubqueue.Slot
}

// completions is a min-heap of the running requests by end.
type completions []runningRequest

func (h completions) Len() int           { return len(h) }
func (h completions) Less(i, j int) bool { return h[i].end < h[j].end }
func (h completions) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

func (h *completions) Push(x any) {
	if s, ok := x.(runningRequest); ok {
		*h = append(*h, s)
	}
}

func (h *completions) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// waitingRequest is a request in the queue that has not started.
type waitingRequest struct {
	arrival
	aubqueue.QueuedItem
}

// run simulates the arrivals and returns the waits in seconds by workspace.
func (m simulatedServer) run(t *testing.T, opts aubqueue.Opts, arrivals []arrival) map[string][]float64 {
	opts.DefaultCapacity = m.slots
	opts.MaxWaiting = len(arrivals)
	q, timer := newQueue(opts)
	waits := make(map[string][]float64)
	running := &completions{}
	// The requests of one workspace start in order of arrival.
	queued := make(map[string][]waitingRequest)
	now := 0.0
	advance := func(to float64) {
		timer.Advance(time.Duration((to - now) * float64(time.Second)))
		now = to
	}
	for next := 0; next < len(arrivals) || running.Len() > 0; {
		if next < len(arrivals) && (running.Len() == 0 || arrivals[next].at <= (*running)[0].end) {
			a := arrivals[next]
			next++
			advance(a.at)
			item, err := q.Enqueue(aubqueue.Item{Workspace: a.workspace, Cost: a.cost, Group: "m"})
			qt.Assert(t, err, qt.IsNil)
			queued[a.workspace] = append(queued[a.workspace], waitingRequest{arrival: a, QueuedItem: item})
		} else if done, ok := heap.Pop(running).(runningRequest); ok {
			advance(done.end)
			done.slot.Release()
		}
		for name, waiting := range queued {
			for len(waiting) > 0 {
				slot, ok := waiting[0].Slot()
				if !ok {
					break
				}
				waits[name] = append(waits[name], now-waiting[0].at)
				heap.Push(running, runningRequest{end: now + float64(waiting[0].cost)/m.rate, slot: slot})
				waiting = waiting[1:]
			}
			queued[name] = waiting
		}
	}
	return waits
}

// poisson returns random arrivals of a workspace over the seconds, at a load in
// tokens a second.
func poisson(rng *rand.Rand, workspace string, load, seconds float64) []arrival {
	const meanCost = 400
	var arrivals []arrival
	for at := rng.ExpFloat64() * meanCost / load; at < seconds; at += rng.ExpFloat64() * meanCost / load {
		arrivals = append(arrivals, arrival{at: at, workspace: workspace, cost: 200 + rng.Int64N(400)})
	}
	return arrivals
}

// p95 returns the 95th percentile of the values, which it sorts.
func p95(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)*95/100]
}

// TestFairQueueIsolatesWorkspaces compares the p95 time to first token of the other
// workspaces while workspace a sends as much as each of them and while it sends five
// times that. The time to first token is the wait plus the prefill.
func TestFairQueueIsolatesWorkspaces(t *testing.T) {
	const (
		seconds = 120
		load    = 3200.0
		prefill = 0.2
	)
	m := simulatedServer{slots: 32, rate: 800}
	others := []string{"b", "c", "d", "e"}
	for seed := uint64(1); seed <= 3; seed++ {
		worstRise := func(opts aubqueue.Opts) float64 {
			worst := 0.0
			baseline := m.run(t, opts, trace(seed, others, load, load, seconds))
			overloaded := m.run(t, opts, trace(seed, others, load, 5*load, seconds))
			for _, name := range others {
				change := (p95(overloaded[name])+prefill)/(p95(baseline[name])+prefill) - 1
				worst = math.Max(worst, change)
			}
			return worst
		}
		fair := worstRise(aubqueue.Opts{})
		noReserve := worstRise(aubqueue.Opts{ReservePerMille: -1})
		fcfs := worstRise(aubqueue.Opts{Policy: aubqueue.PolicyFCFS})
		t.Logf("seed %d: p95 of the most affected workspace rose by %.1f%% (fair), %.1f%% (fair, no reserve), %.0f%% (fcfs)",
			seed, fair*100, noReserve*100, fcfs*100)
		qt.Check(t, fair <= 0.1, qt.IsTrue)
		qt.Check(t, noReserve > 0.1, qt.IsTrue)
		qt.Check(t, fcfs > 1, qt.IsTrue)
	}
}

// trace merges the arrivals of all workspaces by time. The arrivals of the other
// workspaces don't depend on the load of workspace a.
func trace(seed uint64, others []string, othersLoad, loadOfA, seconds float64) []arrival {
	arrivals := poisson(rand.New(rand.NewPCG(seed, 0)), "a", loadOfA, seconds)
	for i, name := range others {
		arrivals = append(arrivals, poisson(rand.New(rand.NewPCG(seed, uint64(i)+1)), name, othersLoad, seconds)...)
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int {
		if a.at < b.at {
			return -1
		}
		return 1
	})
	return arrivals
}
