package aubsettings

import (
	"fmt"
	"net/netip"
	"os"
	"reflect"

	"github.com/samber/oops"
	"go.yaml.in/yaml/v3"
)

// SitePlan describes a site with stand-in engines; Expand derives the settings of
// each process from it.
type SitePlan struct {
	Name           string          `yaml:"name" doc:"Name of the site." required:"true"`
	Prefix         string          `yaml:"prefix" doc:"First two octets of the site's addresses, such as 127.10." required:"true"`
	Zones          []string        `yaml:"zones" doc:"Availability zones; each has one entry with a control replica."`
	SecretFile     string          `yaml:"secret_file" doc:"File with the secret that the site's processes share."`
	CredentialFile string          `yaml:"credential_file" doc:"File with the operators' bearer credential." required:"true"`
	DataDir        string          `yaml:"data_dir" doc:"Folder that holds the data folders of all processes." required:"true"`
	EnginesPerZone int             `yaml:"engines_per_zone" doc:"Model engines in each zone."`
	Services       []string        `yaml:"services" doc:"Plain services; each has one instance in each zone."`
	QueueTimeout   Duration        `yaml:"queue_timeout" doc:"Maximum time that a request waits for a backend server."`
	Engine         EnginePlan      `yaml:"engine" doc:"Time model of the stand-in engines."`
	WeightStore    WeightStorePlan `yaml:"weight_store" doc:"Weight store that the engines share."`
	Policies       PolicyPlan      `yaml:"policies" doc:"Policies to compare."`
	Placement      PlacementPlan   `yaml:"placement" doc:"Placement of models and adapters."`
	Objectives     Objectives      `yaml:"objectives" doc:"Service-level objectives."`
}

// EnginePlan holds the memory size and the time model of each stand-in engine.
type EnginePlan struct {
	Memory         Size     `yaml:"memory" doc:"Accelerator memory."`
	PrefillRate    float64  `yaml:"prefill_rate" doc:"Prompt tokens processed per second."`
	InterToken     Duration `yaml:"inter_token" doc:"Time between two tokens in a batch of one."`
	InterTokenStep Duration `yaml:"inter_token_step" doc:"Time that each further answer in the batch adds."`
	MaxBatch       int      `yaml:"max_batch" doc:"Maximum number of answers generated concurrently; entries run as many requests on each backend server."`
}

// WeightStorePlan holds the limits of the weight store, which placement observes.
type WeightStorePlan struct {
	Rate               float64  `yaml:"rate" doc:"Model loads per second."`
	Concurrency        int      `yaml:"concurrency" doc:"Concurrent model loads served at full speed."`
	AdapterConcurrency int      `yaml:"adapter_knee" doc:"Concurrent adapter loads served at full speed."`
	LoadTime           Duration `yaml:"load_time" doc:"Duration of one model load at full speed."`
	AdapterLoadTime    Duration `yaml:"adapter_load_time" doc:"Duration of one adapter load at full speed."`
}

// PolicyPlan names the policy of each decision.
type PolicyPlan struct {
	Queue     Choice `yaml:"queue" allowed:"fair fcfs" doc:"Order in which waiting requests run."`
	Routing   Choice `yaml:"routing" allowed:"expected_first_token least_in_flight round_robin" doc:"How the backend server is chosen."`
	Placement Choice `yaml:"placement" allowed:"marginal_attainment least_recently_used" doc:"How copies are placed."`
	Limits    Choice `yaml:"limits" allowed:"leased equal_shares" doc:"How allowances are shared."`
}

// PlacementPlan holds the settings of placement.
type PlacementPlan struct {
	Objective Choice `yaml:"objective" allowed:"worst_served_workspace refusals_within_rate" doc:"What placement optimizes first."`
}

// Maximum numbers that the address layout has room for.
const (
	maxZones          = 9
	maxEnginesPerZone = 20
	maxServices       = 9
)

// LoadSitePlan reads and checks a site plan. Faults of the plan are returned as a
// *FaultsError that lists all of them.
func LoadSitePlan(file string) (SitePlan, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return SitePlan{}, oops.In("settings").Wrapf(err, "read site plan %s", file)
	}
	return ParseSitePlan(file, data)
}

// ParseSitePlan decodes and checks the text of a site plan; file is the name used in
// errors.
func ParseSitePlan(file string, data []byte) (SitePlan, error) {
	p := defaultSitePlan()
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err != nil {
		return p, &FaultsError{File: file, Faults: []Fault{{Line: 1, Path: "file", Message: err.Error()}}}
	}
	d := decoder{nodes: map[string]*yaml.Node{}}
	if len(doc.Content) > 0 {
		d.decode(doc.Content[0], reflect.ValueOf(&p).Elem(), "", "")
	}
	d.requireValues(reflect.ValueOf(p), "")
	d.checkSitePlan(p)
	if len(d.faults) > 0 {
		return p, &FaultsError{File: file, Faults: d.faults}
	}
	return p, nil
}

func defaultSitePlan() SitePlan {
	s := Default()
	return SitePlan{
		Zones:          []string{"a", "b", "c"},
		EnginesPerZone: 1,
		QueueTimeout:   s.Caller.QueueTimeout,
		Engine: EnginePlan{
			Memory:         s.Standin.Memory,
			PrefillRate:    s.Standin.PrefillRate,
			InterToken:     s.Standin.InterToken,
			InterTokenStep: s.Standin.InterTokenStep,
			MaxBatch:       s.Standin.MaxBatch,
		},
		WeightStore: WeightStorePlan{
			Rate:               s.Placement.StoreRate,
			Concurrency:        s.Placement.StoreConcurrency,
			AdapterConcurrency: s.Placement.AdapterConcurrency,
			LoadTime:           s.Standin.LoadTime,
			AdapterLoadTime:    s.Standin.AdapterLoadTime,
		},
		Policies: PolicyPlan{
			Queue:     s.Queue.Policy,
			Routing:   s.Routing.Policy,
			Placement: s.Placement.Policy,
			Limits:    s.Limits.Policy,
		},
		Placement:  PlacementPlan{Objective: s.Placement.Objective},
		Objectives: s.Objectives,
	}
}

func (d *decoder) checkSitePlan(p SitePlan) {
	if _, err := netip.ParseAddr(p.Prefix + ".0.1"); err != nil && p.Prefix != "" {
		d.addFaultAt("prefix", "allowed: two numbers, such as 127.10")
	}
	if len(p.Zones)%2 == 0 || len(p.Zones) > maxZones {
		d.addFaultAt("zones", fmt.Sprintf("allowed: an odd number of zones up to %d", maxZones))
	}
	if p.EnginesPerZone < 1 || p.EnginesPerZone > maxEnginesPerZone {
		d.addFaultAt("engines_per_zone", fmt.Sprintf("allowed: 1 to %d", maxEnginesPerZone))
	}
	if len(p.Services) > maxServices {
		d.addFaultAt("services", fmt.Sprintf("allowed: up to %d", maxServices))
	}
	if p.Engine.MaxBatch < 1 {
		d.addFaultAt("engine.max_batch", "allowed: 1 or more")
	}
}
