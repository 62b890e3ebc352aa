package aubplacement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/auburndale/auburndale/internal/aubplacement"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// The demand model: every second each model gets a Poisson number of requests,
// shared out to its ready copies. The share of a backend server's answers that
// meet the target falls with its load as the planner assumes. Requests for a
// model without a ready copy wait; they miss the target.
const (
	modelSeconds  = 600
	modelStepAt   = 200
	modelLostAt   = 400
	modelLoadTime = 4
	modelCapacity = 8.0
	modelSmooth   = 0.2
)

type siteSize struct {
	name                        string
	workers, models, adapters   int
	rate                        float64
	loadRate                    float64
	loadConcurrency, adapterMax int
}

var siteSizes = []siteSize{
	{name: "zilina", workers: 12, models: 20, adapters: 75, rate: 45, loadRate: 1.5, loadConcurrency: 4, adapterMax: 30},
	{name: "pampa", workers: 18, models: 30, adapters: 100, rate: 70, loadRate: 2, loadConcurrency: 7, adapterMax: 55},
}

type demandModel struct {
	*board

	size siteSize
	rnd  *rand.Rand
	// doneAt is when each load ends.
	doneAt   map[aubplacement.MoveKey]int
	rates    map[aubplacement.Key]float64
	tokens   float64
	requests float64
	attained float64
	// unreachable counts model seconds with callers and without a ready copy.
	unreachable int
	// unreachableLater counts those after the first loads were done.
	unreachableLater int
	waited           map[aubplacement.Key]int
	longest          int
}

func newDemandModel(b *testing.B, size siteSize, seed uint64) *demandModel {
	rnd := rand.New(rand.NewPCG(seed, 0))
	items := make([]aubplacement.Item, 0, size.models+size.adapters)
	for i := range size.models {
		items = append(items, model(fmt.Sprintf("m%02d", i), int64(10+rnd.IntN(20))*gib))
	}
	for i := range size.adapters {
		items = append(items, aubplacement.Item{
			Key:  aubplacement.Key{Name: fmt.Sprintf("a%03d", i), Adapter: true},
			Base: fmt.Sprintf("m%02d", i%size.models), MemoryBytes: gib / 4, Copies: 2,
		})
	}
	return &demandModel{
		board: newBoard(b, size.workers, 80*gib, items...), size: size, rnd: rnd,
		doneAt: map[aubplacement.MoveKey]int{}, rates: map[aubplacement.Key]float64{}, waited: map[aubplacement.Key]int{},
	}
}

// expected is the model's rate at a second: Zipf-like, and tenfold for a rarely
// called model from the step on.
func (d *demandModel) expected(i, second int) float64 {
	var weights float64
	for k := range d.size.models {
		weights += 1 / float64(k+1)
	}
	rate := d.size.rate / float64(i+1) / weights
	if i == d.size.models/2 && second >= modelStepAt {
		rate *= 10
	}
	return rate
}

// second lets requests arrive and counts those that meet the target.
func (d *demandModel) second(second int) {
	loads := map[string]float64{}
	counts := make([]float64, d.size.models)
	for i := range d.size.models {
		key := d.snapshot.Items[i].Key
		counts[i] = poisson(d.rnd, d.expected(i, second))
		d.rates[key] += modelSmooth * (counts[i] - d.rates[key])
		for _, name := range d.holders(key) {
			loads[name] += d.rates[key] / float64(len(d.holders(key)))
		}
	}
	for i, count := range counts {
		key := d.snapshot.Items[i].Key
		holders := d.holders(key)
		d.note(key, count, len(holders), second)
		d.requests += count
		for _, name := range holders {
			d.attained += count / float64(len(holders)) / (1 + math.Pow(loads[name]/modelCapacity, 4))
		}
	}
}

func (d *demandModel) note(key aubplacement.Key, count float64, holders, second int) {
	demand := d.snapshot.Demand.Items[key]
	demand.Rate = map[string]float64{"ws": d.rates[key]}
	demand.ServiceSeconds, demand.Forecast = 1, 1
	if count > 0 {
		demand.LastArrival = time.Duration(second+1) * time.Second
	}
	if holders > 0 {
		d.waited[key], demand.Waiting = 0, 0
	} else if count > 0 || d.waited[key] > 0 {
		d.waited[key]++
		demand.Waiting = 1
		d.unreachable++
		if second >= modelStepAt {
			d.unreachableLater++
		}
		d.longest = max(d.longest, d.waited[key])
	}
	d.snapshot.Demand.Items[key] = demand
}

func (d *demandModel) holders(key aubplacement.Key) []string {
	var names []string
	for _, backend := range d.snapshot.Backends {
		if backend.Residents[key] == aubwire.Residency_RESIDENCY_READY {
			names = append(names, backend.Name)
		}
	}
	return names
}

// step plans within the weight store's limits and carries loads on.
func (d *demandModel) step(second int, planner aubplacement.Planner[aubplacement.Snapshot, aubplacement.Plan]) {
	d.tokens = min(d.tokens+d.size.loadRate, float64(d.size.loadConcurrency))
	loading := 0
	for key, at := range d.doneAt {
		backend := d.backend(key.Backend)
		if backend == nil || at <= second {
			delete(d.doneAt, key)
			if backend != nil {
				backend.Residents[key.Item] = aubwire.Residency_RESIDENCY_READY
			}
			continue
		}
		if !key.Item.Adapter {
			loading++
		}
	}
	d.snapshot.ModelLoads = max(min(int(d.tokens), d.size.loadConcurrency-loading), 0)
	d.snapshot.AdapterLoads = d.size.adapterMax
	plan := planner.Plan(d.snapshot)
	for _, o := range plan.Orders {
		d.order(o, second)
	}
	d.snapshot.Intents = plan.Intents
	d.snapshot.Now += time.Second
}

func (d *demandModel) order(o aubplacement.Order, second int) {
	backend := d.backend(o.Backend)
	key := o.Item.Key
	if o.Action == aubplacement.ActionConfirm {
		return
	}
	if !key.Adapter {
		d.orders++
	}
	move := aubplacement.MoveKey{Backend: o.Backend, Item: key}
	d.snapshot.Moves[move] = aubplacement.Move{Action: o.Action, At: d.snapshot.Now}
	if o.Action == aubplacement.ActionUnload {
		delete(backend.Residents, key)
		backend.UsedBytes -= o.Item.MemoryBytes
		return
	}
	backend.Residents[key] = aubwire.Residency_RESIDENCY_LOADING
	backend.UsedBytes += o.Item.MemoryBytes
	d.doneAt[move] = second + 1
	if !key.Adapter {
		d.tokens--
		d.doneAt[move] = second + modelLoadTime
	}
}

func poisson(rnd *rand.Rand, mean float64) float64 {
	limit, product, n := math.Exp(-mean), rnd.Float64(), 0.0
	for product > limit {
		product *= rnd.Float64()
		n++
	}
	return n
}

// BenchmarkPolicies compares the policies on the same requests: a tenfold step
// for one model and then the loss of a zone. Run it with -benchtime 1x.
func BenchmarkPolicies(b *testing.B) {
	for _, size := range siteSizes {
		for seed := range uint64(3) {
			for _, policy := range []string{aubplacement.PolicyMarginalAttainment, aubplacement.PolicyLeastRecentlyUsed} {
				b.Run(fmt.Sprintf("site=%s/seed=%d/policy=%s", size.name, seed, policy), func(b *testing.B) {
					planner, err := aubplacement.NewPlanner(policy)
					if err != nil {
						b.Fatal(err)
					}
					d := newDemandModel(b, size, seed)
					for second := range modelSeconds {
						if second == modelLostAt {
							d.lose("a")
						}
						d.second(second)
						d.step(second, planner)
					}
					b.ReportMetric(d.attained/d.requests*100, "attained-%")
					b.ReportMetric(d.attained/modelSeconds/float64(size.workers), "attained/s/accelerator")
					b.ReportMetric(float64(d.orders), "moves")
					b.ReportMetric(float64(d.unreachable), "unreachable-model-s")
					b.ReportMetric(float64(d.unreachableLater), "unreachable-later-model-s")
					b.ReportMetric(float64(d.longest), "longest-s")
					b.ReportMetric(0, "ns/op")
				})
			}
		}
	}
}
