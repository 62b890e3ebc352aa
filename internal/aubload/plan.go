// Package aubload is an open-loop load generator: it sends the same seeded trace
// of requests to one or more targets and reports what their callers observed.
package aubload

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"go.yaml.in/yaml/v3"
)

// Arrival patterns.
const (
	ArrivalsPoisson = "poisson"
	ArrivalsBursty  = "bursty"
)

// Plan configures a load run: the targets, the workspaces with their requests,
// and the duration.
type Plan struct {
	// Seeds are the seeds of the traces; each trace is sent once to each target.
	Seeds []uint64 `yaml:"seeds"`
	// Duration is the length of one trace.
	Duration time.Duration `yaml:"duration"`
	// Block is the length of the slices of a trace that are sent to the targets in
	// round-robin order; 0 means Duration.
	Block time.Duration `yaml:"block"`
	// FirstToken and InterToken are the latency objectives of attainment.
	FirstToken time.Duration `yaml:"first_token"`
	InterToken time.Duration `yaml:"inter_token"`
	Targets    []Target      `yaml:"targets"`
	Workspaces []Workspace   `yaml:"workspaces"`
}

// Target is one system under load.
type Target struct {
	Name string `yaml:"name"`
	// URLs are the base URLs over which the requests are spread at random.
	URLs []string `yaml:"urls"`
	// Skew is the share of requests, from 0 to 1, that are sent to the first URL;
	// the others are spread evenly over all URLs.
	Skew float64 `yaml:"skew"`
	// Metrics are the URLs of the metrics pages that are read before and after
	// each block, by process name.
	Metrics map[string]string `yaml:"metrics"`
}

// Workspace configures the requests of one workspace.
type Workspace struct {
	Name string `yaml:"name"`
	Key  string `yaml:"key"`
	// Rate is the mean number of requests per second, without surge.
	Rate float64 `yaml:"rate"`
	// Arrivals is ArrivalsPoisson or ArrivalsBursty; empty means Poisson.
	Arrivals string `yaml:"arrivals"`
	// BurstFactor multiplies the rate during a burst, which lasts a tenth of BurstPeriod.
	BurstFactor float64       `yaml:"factor"`
	BurstPeriod time.Duration `yaml:"period"`
	// Surge multiplies the rate from SurgeFrom to SurgeTo of each trace.
	Surge     float64       `yaml:"surge"`
	SurgeFrom time.Duration `yaml:"surge_from"`
	SurgeTo   time.Duration `yaml:"surge_to"`
	Mix       []Mix         `yaml:"mix"`
}

// Mix is one kind of request of a workspace.
type Mix struct {
	Model  string  `yaml:"model"`
	Weight float64 `yaml:"weight"`
	// PromptBytes and OutputTokens are means; the values of the requests are
	// distributed uniformly from half to one and a half of them.
	PromptBytes  int  `yaml:"prompt_bytes"`
	OutputTokens int  `yaml:"output_tokens"`
	Stream       bool `yaml:"stream"`
	// Prefixes is the number of shared prompt prefixes, each half as long as
	// PromptBytes; 0 means that prompts share no prefix.
	Prefixes int `yaml:"prefixes"`
}

// PlanError reports an invalid field of a plan and the reason.
type PlanError struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *PlanError) Error() string { return fmt.Sprintf("load plan: %s: %s", e.Path, e.Reason) }

// ReadPlan reads and checks a plan file.
func ReadPlan(file string) (Plan, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Plan{}, err
	}
	return ParsePlan(data)
}

// ParsePlan decodes and checks a plan; unknown fields are an error.
func ParsePlan(data []byte) (Plan, error) {
	var p Plan
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&p); err != nil {
		return p, &PlanError{Path: "file", Reason: err.Error()}
	}
	p = p.withDefaults()
	return p, p.check()
}

func (p Plan) withDefaults() Plan {
	if len(p.Seeds) == 0 {
		p.Seeds = []uint64{1}
	}
	if p.Block == 0 {
		p.Block = p.Duration
	}
	return p
}

func (p Plan) check() error {
	switch {
	case p.Duration <= 0:
		return &PlanError{Path: "duration", Reason: "must be above 0s"}
	case len(p.Targets) == 0:
		return &PlanError{Path: "targets", Reason: "needs at least one"}
	case len(p.Workspaces) == 0:
		return &PlanError{Path: "workspaces", Reason: "needs at least one"}
	}
	for i, t := range p.Targets {
		if len(t.URLs) == 0 {
			return &PlanError{Path: fmt.Sprintf("targets[%d].urls", i), Reason: "needs at least one"}
		}
	}
	for i, w := range p.Workspaces {
		if err := w.check(fmt.Sprintf("workspaces[%d]", i)); err != nil {
			return err
		}
	}
	return nil
}

func (w Workspace) check(path string) error {
	switch {
	case w.Rate <= 0:
		return &PlanError{Path: path + ".rate", Reason: "must be above 0"}
	case w.Arrivals != "" && w.Arrivals != ArrivalsPoisson && w.Arrivals != ArrivalsBursty:
		return &PlanError{Path: path + ".arrivals", Reason: fmt.Sprintf("%q is unknown; allowed: poisson, bursty", w.Arrivals)}
	case w.Arrivals == ArrivalsBursty && (w.BurstFactor <= 1 || w.BurstFactor > burstPeriodParts || w.BurstPeriod <= 0):
		return &PlanError{Path: path, Reason: "bursty needs a factor above 1 and at most 10, and a period above 0s"}
	case len(w.Mix) == 0:
		return &PlanError{Path: path + ".mix", Reason: "needs at least one"}
	}
	return nil
}
