// Package aubload is the open-loop load tool: it plays one seeded trace of
// arrivals against one or more targets in turn and reports what callers saw.
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

// Plan says what is sent, where and for how long.
type Plan struct {
	// Seeds are the seeds of the traces; each is played once.
	Seeds []uint64 `yaml:"seeds"`
	// Duration of one trace.
	Duration time.Duration `yaml:"duration"`
	// Block is the length of the slices in which targets take turns; 0 means Duration.
	Block time.Duration `yaml:"block"`
	// FirstToken and InterToken are the objectives behind attainment.
	FirstToken time.Duration `yaml:"first_token"`
	InterToken time.Duration `yaml:"inter_token"`
	Targets    []Target      `yaml:"targets"`
	Workspaces []Workspace   `yaml:"workspaces"`
}

// Target is one thing under load.
type Target struct {
	Name string `yaml:"name"`
	// URLs are the base addresses; requests alternate between them by URLShare.
	URLs []string `yaml:"urls"`
	// Skew is the share of requests that go to the first address on top of its
	// even share, from 0 to 1.
	Skew float64 `yaml:"skew"`
	// Metrics are the pages read before and after, by process name.
	Metrics map[string]string `yaml:"metrics"`
}

// Workspace is one source of requests.
type Workspace struct {
	Name string `yaml:"name"`
	Key  string `yaml:"key"`
	// Rate of requests a second.
	Rate     float64 `yaml:"rate"`
	Arrivals string  `yaml:"arrivals"`
	// Factor is how many times the rate a burst has; bursts last a tenth of Period.
	Factor float64       `yaml:"factor"`
	Period time.Duration `yaml:"period"`
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
	// PromptBytes and OutputTokens are means; requests vary by a half around them.
	PromptBytes  int  `yaml:"prompt_bytes"`
	OutputTokens int  `yaml:"output_tokens"`
	Stream       bool `yaml:"stream"`
	// Prefixes is the number of different prompt beginnings, which half of each
	// prompt is made of; 0 means that prompts share nothing.
	Prefixes int `yaml:"prefixes"`
}

// PlanError says what is wrong with a plan.
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

// ParsePlan decodes and checks a plan; unknown names are refused.
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
		return &PlanError{Path: path + ".arrivals", Reason: "allowed: poisson, bursty"}
	case w.Arrivals == ArrivalsBursty && (w.Factor <= 1 || w.Factor > burstPeriodParts || w.Period <= 0):
		return &PlanError{Path: path, Reason: "bursty needs a factor from 1 to 10 and a period"}
	case len(w.Mix) == 0:
		return &PlanError{Path: path + ".mix", Reason: "needs at least one"}
	}
	return nil
}
