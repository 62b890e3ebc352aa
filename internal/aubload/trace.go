package aubload

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// burstPeriodParts is the ratio of a burst period to its burst.
const burstPeriodParts = 10

// Arrival is one request of a trace.
type Arrival struct {
	// At is the planned send time, counted from the start of the trace.
	At time.Duration
	// Workspace and Mix are indexes in the plan.
	Workspace    int
	Mix          int
	Prompt       string
	OutputTokens int
	// AddressDraw selects one of the target's URLs; it is uniform in [0, 1).
	AddressDraw float64
}

// NewTrace returns the arrivals of a plan for one seed, in chronological order.
func NewTrace(p Plan, seed uint64) []Arrival {
	byWorkspace := make([][]Arrival, 0, len(p.Workspaces))
	for i, w := range p.Workspaces {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		byWorkspace = append(byWorkspace, newArrivals(p, i, w, r))
	}
	arrivals := slices.Concat(byWorkspace...)
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return arrivals
}

// newArrivals generates the arrivals of one workspace by thinning: it draws a
// Poisson process at the peak rate and accepts each arrival with the probability
// rateAt / peak.
func newArrivals(p Plan, index int, w Workspace, r *rand.Rand) []Arrival {
	peak := w.Rate * max(w.BurstFactor, 1) * max(w.Surge, 1)
	gaps := distuv.Exponential{Rate: peak, Src: r}
	arrivals := make([]Arrival, 0, int(w.Rate*p.Duration.Seconds()))
	for seconds := gaps.Rand(); seconds < p.Duration.Seconds(); seconds += gaps.Rand() {
		at := time.Duration(seconds * float64(time.Second))
		if r.Float64()*peak >= w.rateAt(at) {
			continue
		}
		arrivals = append(arrivals, newArrival(at, index, w, r))
	}
	return arrivals
}

func newArrival(at time.Duration, index int, w Workspace, r *rand.Rand) Arrival {
	mix := pickMix(w.Mix, r)
	return Arrival{
		At:           at,
		Workspace:    index,
		Mix:          mix,
		Prompt:       newPrompt(w.Mix[mix], r),
		OutputTokens: max(drawAround(w.Mix[mix].OutputTokens, r), 1),
		AddressDraw:  r.Float64(),
	}
}

// rateAt returns the rate at a time of the trace in requests per second.
func (w Workspace) rateAt(at time.Duration) float64 {
	rate := w.Rate
	if w.Arrivals == ArrivalsBursty {
		rate *= w.burstFactorAt(at)
	}
	if w.Surge > 0 && at >= w.SurgeFrom && at < w.SurgeTo {
		rate *= w.Surge
	}
	return rate
}

// burstFactorAt returns the factor of the rate at a time of the trace; its mean
// over a period is 1.
func (w Workspace) burstFactorAt(at time.Duration) float64 {
	if at%w.BurstPeriod < w.BurstPeriod/burstPeriodParts {
		return w.BurstFactor
	}
	return (burstPeriodParts - w.BurstFactor) / (burstPeriodParts - 1)
}

// pickMix draws the index of a mix in proportion to the weights.
func pickMix(mixes []Mix, r *rand.Rand) int {
	total := 0.0
	for _, m := range mixes {
		total += max(m.Weight, 0)
	}
	remaining := r.Float64() * total
	for i, m := range mixes {
		remaining -= max(m.Weight, 0)
		if remaining < 0 {
			return i
		}
	}
	return 0
}

// newPrompt draws a prompt, which starts with one of the shared prefixes if there are any.
func newPrompt(m Mix, r *rand.Rand) string {
	n := drawAround(m.PromptBytes, r)
	if m.Prefixes == 0 {
		return seededText(r.Uint64(), n)
	}
	shared := seededText(uint64(r.IntN(m.Prefixes)), m.PromptBytes/2)
	return shared + seededText(r.Uint64(), max(n-len(shared), 0))
}

// seededText returns n bytes of text that differ from seed to seed.
func seededText(seed uint64, n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%x-%d ", seed, i)
	}
	return b.String()[:max(n, 0)]
}

// drawAround draws a value from half to one and a half of the mean.
func drawAround(mean int, r *rand.Rand) int {
	if mean <= 0 {
		return 0
	}
	return mean/2 + r.IntN(mean+1)
}
