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

// serverModel simulates a backend server that runs requests concurrently. A request
// takes its cost divided by rate (tokens a second).
type model struct {
	places int
	rate   float64
}

// runningRequest is an admitted request and the second at which it ends.
type served struct {
	end  float64
	slot aubqueue.Slot
}

// completions is a min-heap of the running requests by end.
type ends []served

func (h ends) Len() int           { return len(h) }
func (h ends) Less(i, j int) bool { return h[i].end < h[j].end }
func (h ends) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

func (h *ends) Push(x any) {
	if s, ok := x.(served); ok {
		*h = append(*h, s)
	}
}

func (h *ends) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// waitingRequest is a request in the queue that has not started.
type waiting struct {
	arrival
	aubqueue.Arrival
}

// run simulates the arrivals and returns the waits in seconds by workspace.
func (m model) run(t *testing.T, opts aubqueue.Opts, arrivals []arrival) map[string][]float64 {
	opts.DefaultCapacity = m.places
	opts.MaxWaiting = len(arrivals)
	q, timer := newQueue(opts)
	waits := make(map[string][]float64)
	running := &ends{}
	// The requests of one workspace start in order of arrival.
	queued := make(map[string][]waiting)
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
			entered, err := q.Enter(aubqueue.Item{Workspace: a.workspace, Cost: a.cost, Group: "m"})
			qt.Assert(t, err, qt.IsNil)
			queued[a.workspace] = append(queued[a.workspace], waiting{arrival: a, Arrival: entered})
		} else if done, ok := heap.Pop(running).(served); ok {
			advance(done.end)
			done.slot.Release()
		}
		for name, all := range queued {
			for len(all) > 0 {
				slot, ok := all[0].Slot()
				if !ok {
					break
				}
				waits[name] = append(waits[name], now-all[0].at)
				heap.Push(running, served{end: now + float64(all[0].cost)/m.rate, slot: slot})
				all = all[1:]
			}
			queued[name] = all
		}
	}
	return waits
}

// poisson returns random arrivals of a workspace over the seconds, at a load in
// tokens a second.
func poisson(rng *rand.Rand, workspace string, load, seconds float64) []arrival {
	const meanCost = 400
	var all []arrival
	for at := rng.ExpFloat64() * meanCost / load; at < seconds; at += rng.ExpFloat64() * meanCost / load {
		all = append(all, arrival{at: at, workspace: workspace, cost: 200 + rng.Int64N(400)})
	}
	return all
}

func p95(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)*95/100]
}

// TestFairQueueIsolatesWorkspaces compares the p95 of the other workspaces while
// workspace a sends as much as each of them and while it sends five times that. The time to
// first token is the wait plus the prefill, so the comparison contains both.
func TestFairQueueShieldsOthers(t *testing.T) {
	const (
		seconds = 120
		share   = 3200.0
		prefill = 0.2
	)
	m := model{places: 32, rate: 800}
	others := []string{"b", "c", "d", "e"}
	for seed := uint64(1); seed <= 3; seed++ {
		moved := func(opts aubqueue.Opts) float64 {
			worst := 0.0
			quiet := m.run(t, opts, trace(seed, others, share, share, seconds))
			loud := m.run(t, opts, trace(seed, others, share, 5*share, seconds))
			for _, name := range others {
				change := (p95(loud[name])+prefill)/(p95(quiet[name])+prefill) - 1
				worst = math.Max(worst, change)
			}
			return worst
		}
		fair := moved(aubqueue.Opts{})
		plain := moved(aubqueue.Opts{ReservePerMille: -1})
		fcfs := moved(aubqueue.Opts{Policy: aubqueue.PolicyFCFS})
		t.Logf("seed %d: p95 of the most affected workspace rose by %.1f%% (fair), %.1f%% (fair, no reserve), %.0f%% (fcfs)",
			seed, fair*100, plain*100, fcfs*100)
		qt.Check(t, fair <= 0.1, qt.IsTrue)
		qt.Check(t, plain > 0.1, qt.IsTrue)
		qt.Check(t, fcfs > 1, qt.IsTrue)
	}
}

// trace merges the arrivals of all workspaces by time. The arrivals of the other
// workspaces don't depend on the load of workspace a.
func trace(seed uint64, others []string, share, load, seconds float64) []arrival {
	all := poisson(rand.New(rand.NewPCG(seed, 0)), "a", load, seconds)
	for i, name := range others {
		all = append(all, poisson(rand.New(rand.NewPCG(seed, uint64(i)+1)), name, share, seconds)...)
	}
	slices.SortStableFunc(all, func(a, b arrival) int {
		if a.at < b.at {
			return -1
		}
		return 1
	})
	return all
}
