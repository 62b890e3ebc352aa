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

// In the simulation each model receives a Poisson-distributed number of requests every
// second, divided among its ready copies. The share of a backend server's responses
// that meet the target falls with its load as the planner assumes. Requests for a model
// without a ready copy wait and miss the target.
const (
	simulatedSeconds = 600
	demandStepAt     = 200
	zoneLossAt       = 400
	modelLoadSeconds = 4
	capacity         = 8.0
	rateSmoothing    = 0.2
)

type siteSize struct {
	name                             string
	backends, models, adapters       int
	rate                             float64
	loadRate                         float64
	loadConcurrency, maxAdapterLoads int
}

var siteSizes = []siteSize{
	{name: "zilina", backends: 12, models: 20, adapters: 75, rate: 45, loadRate: 1.5, loadConcurrency: 4, maxAdapterLoads: 30},
	{name: "pampa", backends: 18, models: 30, adapters: 100, rate: 70, loadRate: 2, loadConcurrency: 7, maxAdapterLoads: 55},
}

// policySimulation runs a planner against simulated requests.
type policySimulation struct {
	*simulatedSite

	size siteSize
	rnd  *rand.Rand
	// doneAt is the second in which each load ends.
	doneAt      map[aubplacement.CopyKey]int
	rates       map[aubplacement.Key]float64
	storeTokens float64
	requests    float64
	attained    float64
	// unreachable counts the model seconds with callers but without a ready copy.
	unreachable int
	// unreachableAfterStep counts those from demandStepAt on, when the first loads are
	// done.
	unreachableAfterStep int
	waitSeconds          map[aubplacement.Key]int
	maxWait              int
	// requestsByWorkspace counts all requests, attainedByWorkspace those within target.
	requestsByWorkspace, attainedByWorkspace map[string]float64
}

func newPolicySimulation(b *testing.B, size siteSize, seed uint64) *policySimulation {
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
	site := newSimulatedSite(b, size.backends, 80*gib, items...)
	site.snapshot.Demand.LateShare = map[string]float64{}
	return &policySimulation{
		simulatedSite: site, size: size, rnd: rnd,
		requestsByWorkspace: map[string]float64{}, attainedByWorkspace: map[string]float64{},
		doneAt: map[aubplacement.CopyKey]int{}, rates: map[aubplacement.Key]float64{}, waitSeconds: map[aubplacement.Key]int{},
	}
}

// expectedRate returns the model's mean rate in a second: Zipf-like, with a tenfold
// rate for a rarely requested model from demandStepAt on.
func (s *policySimulation) expectedRate(i, second int) float64 {
	var weights float64
	for k := range s.size.models {
		weights += 1 / float64(k+1)
	}
	rate := s.size.rate / float64(i+1) / weights
	if i == s.size.models/2 && second >= demandStepAt {
		rate *= 10
	}
	return rate
}

// simulateSecond draws the requests of one second and counts those that meet the
// target.
func (s *policySimulation) simulateSecond(second int) {
	loads := map[string]float64{}
	counts := make([]float64, s.size.models)
	for i := range s.size.models {
		key := s.snapshot.Items[i].Key
		counts[i] = poisson(s.rnd, s.expectedRate(i, second))
		s.rates[key] += rateSmoothing * (counts[i] - s.rates[key])
		for _, name := range s.holders(key) {
			loads[name] += s.rates[key] / float64(len(s.holders(key)))
		}
	}
	missedCounts, requestCounts := map[string]float64{}, map[string]float64{}
	for i, count := range counts {
		key := s.snapshot.Items[i].Key
		holders := s.holders(key)
		s.recordDemand(key, count, len(holders), second)
		var attained float64
		for _, name := range holders {
			attained += count / float64(len(holders)) / (1 + math.Pow(loads[name]/capacity, 4))
		}
		s.requests += count
		s.attained += attained
		workspace := workspaceOf(key)
		s.requestsByWorkspace[workspace] += count
		s.attainedByWorkspace[workspace] += attained
		requestCounts[workspace] += count
		missedCounts[workspace] += count - attained
	}
	for workspace, n := range requestCounts {
		lateShare := s.snapshot.Demand.LateShare[workspace]
		if n > 0 {
			s.snapshot.Demand.LateShare[workspace] = lateShare + rateSmoothing*(missedCounts[workspace]/n-lateShare)
		}
	}
}

// workspaceOf divides the models among five workspaces, two of them large.
func workspaceOf(key aubplacement.Key) string {
	var i int
	_, _ = fmt.Sscanf(key.Name, "m%d", &i)
	return []string{"a", "b", "a", "c", "b", "a", "d", "b", "a", "e"}[i%10]
}

// worstAttainment returns the share of requests within target of the worst-served
// workspace.
func (s *policySimulation) worstAttainment() float64 {
	worst := 1.0
	for workspace, requests := range s.requestsByWorkspace {
		worst = min(worst, s.attainedByWorkspace[workspace]/requests)
	}
	return worst
}

func (s *policySimulation) recordDemand(key aubplacement.Key, count float64, holders, second int) {
	demand := s.snapshot.Demand.Items[key]
	demand.Rate = map[string]float64{workspaceOf(key): s.rates[key]}
	demand.ServiceSeconds, demand.Forecast = 1, 1
	if count > 0 {
		demand.LastArrival = time.Duration(second+1) * time.Second
	}
	if holders > 0 {
		s.waitSeconds[key], demand.Waiting = 0, 0
	} else if count > 0 || s.waitSeconds[key] > 0 {
		s.waitSeconds[key]++
		demand.Waiting = 1
		s.unreachable++
		if second >= demandStepAt {
			s.unreachableAfterStep++
		}
		s.maxWait = max(s.maxWait, s.waitSeconds[key])
	}
	s.snapshot.Demand.Items[key] = demand
}

func (s *policySimulation) holders(key aubplacement.Key) []string {
	var names []string
	for _, backend := range s.snapshot.Backends {
		if backend.Residents[key] == aubwire.Residency_RESIDENCY_READY {
			names = append(names, backend.Name)
		}
	}
	return names
}

// planSecond completes loads, plans within the weight store's limits and executes the
// orders.
func (s *policySimulation) planSecond(second int, planner aubplacement.Planner[aubplacement.Snapshot, aubplacement.Plan]) {
	s.storeTokens = min(s.storeTokens+s.size.loadRate, float64(s.size.loadConcurrency))
	loading := 0
	for key, at := range s.doneAt {
		backend := s.backend(key.Backend)
		if backend == nil || at <= second {
			delete(s.doneAt, key)
			if backend != nil {
				backend.Residents[key.Item] = aubwire.Residency_RESIDENCY_READY
			}
			continue
		}
		if !key.Item.Adapter {
			loading++
		}
	}
	s.snapshot.ModelLoadBudget = max(min(int(s.storeTokens), s.size.loadConcurrency-loading), 0)
	s.snapshot.AdapterLoadBudget = s.size.maxAdapterLoads
	plan := planner.Plan(s.snapshot)
	for _, o := range plan.Orders {
		s.execute(o, second)
	}
	s.snapshot.Reservations = plan.Reservations
	s.snapshot.Now += time.Second
}

func (s *policySimulation) execute(o aubplacement.Order, second int) {
	backend := s.backend(o.Backend)
	key := o.Item.Key
	if o.Action == aubplacement.ActionConfirm {
		return
	}
	if !key.Adapter {
		s.orders++
	}
	move := aubplacement.CopyKey{Backend: o.Backend, Item: key}
	s.snapshot.Moves[move] = aubplacement.Move{Action: o.Action, At: s.snapshot.Now}
	if o.Action == aubplacement.ActionUnload {
		delete(backend.Residents, key)
		backend.UsedBytes -= o.Item.MemoryBytes
		return
	}
	backend.Residents[key] = aubwire.Residency_RESIDENCY_LOADING
	backend.UsedBytes += o.Item.MemoryBytes
	s.doneAt[move] = second + 1
	if !key.Adapter {
		s.storeTokens--
		s.doneAt[move] = second + modelLoadSeconds
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

// BenchmarkPolicies compares the policies and objectives on the same requests: a
// tenfold demand step for one model, then the loss of an availability zone. Run it with
// -benchtime 1x.
func BenchmarkPolicies(b *testing.B) {
	runs := []struct {
		policy    string
		objective aubplacement.Objective
	}{
		{aubplacement.PolicyMarginalAttainment, aubplacement.ObjectiveWorstServed},
		{aubplacement.PolicyMarginalAttainment, aubplacement.ObjectiveRefusals},
		{aubplacement.PolicyLeastRecentlyUsed, aubplacement.ObjectiveRefusals},
	}
	for _, size := range siteSizes {
		for seed := range uint64(3) {
			for _, run := range runs {
				b.Run(fmt.Sprintf("site=%s/seed=%d/policy=%s/objective=%s", size.name, seed, run.policy, run.objective), func(b *testing.B) {
					planner, err := aubplacement.NewPlanner(run.policy)
					if err != nil {
						b.Fatal(err)
					}
					sim := newPolicySimulation(b, size, seed)
					sim.snapshot.Objective = run.objective
					for second := range simulatedSeconds {
						if second == zoneLossAt {
							sim.removeZone("a")
						}
						sim.simulateSecond(second)
						sim.planSecond(second, planner)
					}
					sim.reportMetrics(b)
				})
			}
		}
	}
}

func (s *policySimulation) reportMetrics(b *testing.B) {
	b.ReportMetric(s.attained/s.requests*100, "attained-%")
	b.ReportMetric(s.worstAttainment()*100, "worst-workspace-%")
	b.ReportMetric(s.attained/simulatedSeconds/float64(s.size.backends), "attained/s/accelerator")
	b.ReportMetric(float64(s.orders), "moves")
	b.ReportMetric(float64(s.unreachable), "unreachable-model-s")
	b.ReportMetric(float64(s.unreachableAfterStep), "unreachable-later-model-s")
	b.ReportMetric(float64(s.maxWait), "longest-s")
	b.ReportMetric(0, "ns/op")
}
