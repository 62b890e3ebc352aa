package aubload

import (
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.yaml.in/yaml/v3"

	"github.com/auburndale/auburndale/pkg/aubapi"
)

// Bounds of the histograms in microseconds and their precision in decimal digits.
const (
	histogramMin    = 1
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Report is the result of a load run. Latencies are in milliseconds.
type Report struct {
	Seeds           []uint64       `yaml:"seeds"`
	DurationSeconds float64        `yaml:"duration_seconds"`
	Targets         []TargetReport `yaml:"targets"`
}

// TargetReport is the result for one target. The Added fields are differences
// from the first target.
type TargetReport struct {
	Name                 string                 `yaml:"name"`
	Total                Figures                `yaml:"total"`
	AddedFirstTokenP50MS float64                `yaml:"added_first_token_p50_ms"`
	AddedFirstTokenP99MS float64                `yaml:"added_first_token_p99_ms"`
	AddedInterTokenP99MS float64                `yaml:"added_inter_token_p99_ms"`
	WorstWorkspace       string                 `yaml:"worst_workspace"`
	WorstAttainment      float64                `yaml:"worst_attainment"`
	Workspaces           map[string]Figures     `yaml:"workspaces"`
	Processes            map[string]CostFigures `yaml:"processes,omitempty"`
}

// CostFigures is the resource usage of one process.
type CostFigures struct {
	CPUSeconds          float64 `yaml:"cpu_seconds"`
	CPUMicrosPerRequest float64 `yaml:"cpu_micros_per_request"`
	CPUMicrosPerToken   float64 `yaml:"cpu_micros_per_token"`
	MemoryMiB           float64 `yaml:"memory_mib"`
}

// Figures summarize a set of samples.
type Figures struct {
	Requests int `yaml:"requests"`
	Complete int `yaml:"whole"`
	// Incomplete counts responses without an error code that were not received to their end.
	Incomplete int `yaml:"incomplete"`
	// Unconnected counts requests without a response.
	Unconnected int `yaml:"unconnected"`
	// Refused counts responses with an error, by code.
	Refused map[string]int `yaml:"refused,omitempty"`
	// MayHaveRun counts the responses in Refused that don't state that the
	// request was not run.
	MayHaveRun int `yaml:"may_have_run"`
	// Attainment is the share of all requests that met both objectives.
	Attainment      float64 `yaml:"attainment"`
	FirstTokenP50MS float64 `yaml:"first_token_p50_ms"`
	FirstTokenP95MS float64 `yaml:"first_token_p95_ms"`
	FirstTokenP99MS float64 `yaml:"first_token_p99_ms"`
	InterTokenP50MS float64 `yaml:"inter_token_p50_ms"`
	InterTokenP95MS float64 `yaml:"inter_token_p95_ms"`
	InterTokenP99MS float64 `yaml:"inter_token_p99_ms"`
	Tokens          int     `yaml:"tokens"`
}

// NewReport computes the report of a run from its samples and from the costs by
// target and process name.
func NewReport(p Plan, samples []Sample, costs []map[string]Cost) Report {
	report := Report{Seeds: p.Seeds, DurationSeconds: p.Duration.Seconds()}
	for i, target := range p.Targets {
		t := newTargetReport(p, target.Name, samplesOfTarget(samples, i))
		t.Processes = costFigures(costs[i], t.Total)
		report.Targets = append(report.Targets, t)
	}
	for i := range report.Targets {
		report.Targets[i].addDifference(report.Targets[0].Total)
	}
	return report
}

// Write writes the report as YAML.
func (r Report) Write(w io.Writer) error {
	encoder := yaml.NewEncoder(w)
	defer encoder.Close()
	return encoder.Encode(r)
}

func newTargetReport(p Plan, name string, samples []Sample) TargetReport {
	t := TargetReport{Name: name, Workspaces: map[string]Figures{}, WorstAttainment: 1}
	t.Total = newFigures(p, samples)
	for i, w := range p.Workspaces {
		f := newFigures(p, samplesOfWorkspace(samples, i))
		t.Workspaces[w.Name] = f
		if f.Requests > 0 && f.Attainment <= t.WorstAttainment {
			t.WorstWorkspace, t.WorstAttainment = w.Name, f.Attainment
		}
	}
	return t
}

// addDifference sets the differences from the figures of the first target.
func (t *TargetReport) addDifference(base Figures) {
	t.AddedFirstTokenP50MS = t.Total.FirstTokenP50MS - base.FirstTokenP50MS
	t.AddedFirstTokenP99MS = t.Total.FirstTokenP99MS - base.FirstTokenP99MS
	t.AddedInterTokenP99MS = t.Total.InterTokenP99MS - base.InterTokenP99MS
}

func newFigures(p Plan, samples []Sample) Figures {
	f := Figures{Requests: len(samples), Refused: map[string]int{}}
	firstTokens, gaps := newHistogram(), newHistogram()
	metObjectives := 0
	for _, s := range samples {
		f.count(s)
		if !s.Complete {
			continue
		}
		recordDuration(firstTokens, s.FirstToken)
		for _, gap := range s.Gaps {
			recordDuration(gaps, gap)
		}
		if s.FirstToken <= p.FirstToken && meanGap(s) <= p.InterToken {
			metObjectives++
		}
	}
	if len(samples) > 0 {
		f.Attainment = float64(metObjectives) / float64(len(samples))
	}
	f.FirstTokenP50MS, f.FirstTokenP95MS, f.FirstTokenP99MS = quantiles(firstTokens)
	f.InterTokenP50MS, f.InterTokenP95MS, f.InterTokenP99MS = quantiles(gaps)
	return f
}

// count adds a sample to the counts of its outcome.
func (f *Figures) count(s Sample) {
	f.Tokens += s.Tokens
	switch {
	case s.Complete:
		f.Complete++
	case s.Status == 0:
		f.Unconnected++
	case s.Code == "":
		f.Incomplete++
	default:
		f.Refused[s.Code]++
		if s.Execution != aubapi.ExecutionNotRun {
			f.MayHaveRun++
		}
	}
}

func costFigures(costs map[string]Cost, total Figures) map[string]CostFigures {
	figures := make(map[string]CostFigures, len(costs))
	for name, c := range costs {
		figures[name] = CostFigures{
			CPUSeconds:          c.CPUSeconds,
			CPUMicrosPerRequest: c.CPUSeconds * 1e6 / max(float64(total.Requests), 1),
			CPUMicrosPerToken:   c.CPUSeconds * 1e6 / max(float64(total.Tokens), 1),
			MemoryMiB:           c.MemoryBytes / (1 << 20),
		}
	}
	return figures
}

func samplesOfTarget(samples []Sample, target int) []Sample {
	return filter(samples, func(s Sample) bool { return s.Target == target })
}

func samplesOfWorkspace(samples []Sample, workspace int) []Sample {
	return filter(samples, func(s Sample) bool { return s.Workspace == workspace })
}

func filter(samples []Sample, match func(Sample) bool) []Sample {
	var matching []Sample
	for _, s := range samples {
		if match(s) {
			matching = append(matching, s)
		}
	}
	return matching
}

func meanGap(s Sample) time.Duration {
	if len(s.Gaps) == 0 {
		return 0
	}
	var sum time.Duration
	for _, gap := range s.Gaps {
		sum += gap
	}
	return sum / time.Duration(len(s.Gaps))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped to the bounds, so that it can't be refused.
	_ = h.RecordValue(min(max(d.Microseconds(), histogramMin), histogramMax))
}

func quantiles(h *hdrhistogram.Histogram) (p50, p95, p99 float64) {
	const microsPerMilli = 1000
	return float64(h.ValueAtQuantile(50)) / microsPerMilli,
		float64(h.ValueAtQuantile(95)) / microsPerMilli,
		float64(h.ValueAtQuantile(99)) / microsPerMilli
}
