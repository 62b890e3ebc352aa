package aubsettings

import (
	"fmt"
	"path/filepath"
	"reflect"

	"go.yaml.in/yaml/v3"
)

// Third octets of the addresses of each kind of process.
const (
	subnetEntry       = 1
	subnetAgent       = 2
	subnetEngine      = 3
	subnetWeightStore = 4
)

// firstServiceHost is the last octet of the first plain service's address, and of its
// agent's.
const firstServiceHost = 201

// Ports, the same on every address.
const (
	portInternal   = 7000
	portMembership = 7100
	portAdmin      = 7200
	portPlatform   = 7300
	portCaller     = 8080
	portStandin    = 9000
)

// Expand returns the settings of every process of a site as YAML, by process
// name. Settings with the default value are left out. The part of the name before
// the first dash is the role, but services and the weight store run in the role
// engine.
func Expand(p SitePlan) (map[string][]byte, error) {
	files := map[string][]byte{}
	for _, s := range p.processes() {
		text, err := marshalNonDefaults(s)
		if err != nil {
			return nil, err
		}
		files[s.Name] = text
	}
	return files, nil
}

func (p SitePlan) processes() []Settings {
	count := 1 + len(p.Zones)*(1+2*p.EnginesPerZone+2*len(p.Services))
	processes := make([]Settings, 0, count)
	processes = append(processes, p.weightStore())
	for zoneIndex, zone := range p.Zones {
		processes = append(processes, p.entry(zoneIndex, zone))
		for i := range p.EnginesPerZone {
			host := zoneIndex*p.EnginesPerZone + i + 1
			name := fmt.Sprintf("%s%d", zone, i+1)
			processes = append(processes, p.engine("engine-"+name, zone, host), p.engineAgent("agent-"+name, zone, host))
		}
		for i, service := range p.Services {
			host := firstServiceHost + zoneIndex*len(p.Services) + i
			name := service + "-" + zone
			processes = append(processes, p.service("service-"+name, zone, service, host), p.serviceAgent("agent-"+name, zone, service, host))
		}
	}
	return processes
}

func (p SitePlan) address(subnet, host, port int) Address {
	return Address(fmt.Sprintf("%s.%d.%d:%d", p.Prefix, subnet, host, port))
}

func (p SitePlan) url(subnet, host int) string {
	return "http://" + p.address(subnet, host, portStandin).String()
}

func (p SitePlan) entryAddresses(port int) []Address {
	addresses := make([]Address, 0, len(p.Zones))
	for zoneIndex := range p.Zones {
		addresses = append(addresses, p.address(subnetEntry, zoneIndex+1, port))
	}
	return addresses
}

func (p SitePlan) base(name, zone string) Settings {
	s := Default()
	s.Name = name
	s.Zone = zone
	s.Log.Format = "console"
	return s
}

// member returns the settings of a process that takes part in membership.
func (p SitePlan) member(name, zone string, subnet, host int) Settings {
	s := p.base(name, zone)
	s.SecretFile = p.SecretFile
	s.Internal.Listen = p.address(subnet, host, portInternal)
	s.Membership.Listen = p.address(subnet, host, portMembership)
	s.Membership.Seeds = p.entryAddresses(portMembership)
	s.Platform.Listen = p.address(subnet, host, portPlatform)
	return s
}

func (p SitePlan) entry(zoneIndex int, zone string) Settings {
	s := p.member("entry-"+zone, zone, subnetEntry, zoneIndex+1)
	s.Control.DataDir = filepath.Join(p.DataDir, s.Name)
	for i, address := range p.entryAddresses(portInternal) {
		s.Control.Voters = append(s.Control.Voters, Peer{Name: "entry-" + p.Zones[i], Address: address})
	}
	s.Caller.Listen = p.address(subnetEntry, zoneIndex+1, portCaller)
	s.Caller.QueueTimeout = p.QueueTimeout
	s.Admin.Listen = p.address(subnetEntry, zoneIndex+1, portAdmin)
	s.Admin.CredentialFile = p.CredentialFile
	s.Limits.Policy = p.Policies.Limits
	s.Queue.Policy = p.Policies.Queue
	s.Queue.ConcurrencyPerBackend = p.Engine.MaxBatch
	s.Routing.Policy = p.Policies.Routing
	s.Placement.Policy = p.Policies.Placement
	s.Placement.Objective = p.Placement.Objective
	s.Placement.StoreRate = p.WeightStore.Rate
	s.Placement.StoreConcurrency = p.WeightStore.Concurrency
	s.Placement.AdapterConcurrency = p.WeightStore.AdapterConcurrency
	s.Objectives = p.Objectives
	return s
}

func (p SitePlan) agent(name, zone string, host int) Settings {
	s := p.member(name, zone, subnetAgent, host)
	s.Control.Addresses = p.entryAddresses(portInternal)
	s.Agent.DataDir = filepath.Join(p.DataDir, s.Name)
	return s
}

func (p SitePlan) engineAgent(name, zone string, host int) Settings {
	s := p.agent(name, zone, host)
	s.Agent.EngineURL = p.url(subnetEngine, host)
	s.Agent.Memory = p.Engine.Memory
	s.Agent.EngineChecksFence = true
	return s
}

func (p SitePlan) serviceAgent(name, zone, service string, host int) Settings {
	s := p.agent(name, zone, host)
	s.Agent.ServiceURL = p.url(subnetEngine, host)
	s.Agent.Services = []string{service}
	return s
}

func (p SitePlan) engine(name, zone string, host int) Settings {
	s := p.base(name, zone)
	s.Standin.Listen = p.address(subnetEngine, host, portStandin)
	s.Standin.Memory = p.Engine.Memory
	s.Standin.PrefillRate = p.Engine.PrefillRate
	s.Standin.InterToken = p.Engine.InterToken
	s.Standin.InterTokenStep = p.Engine.InterTokenStep
	s.Standin.MaxBatch = p.Engine.MaxBatch
	s.Standin.LoadTime = p.WeightStore.LoadTime
	s.Standin.AdapterLoadTime = p.WeightStore.AdapterLoadTime
	s.Standin.StoreURL = p.url(subnetWeightStore, 1)
	return s
}

func (p SitePlan) service(name, zone, service string, host int) Settings {
	s := p.base(name, zone)
	s.Standin.Listen = p.address(subnetEngine, host, portStandin)
	s.Standin.Service = service
	return s
}

// weightStore returns the settings of the weight store, which runs in the first zone.
func (p SitePlan) weightStore() Settings {
	s := p.base("store", p.Zones[0])
	s.Standin.Listen = p.address(subnetWeightStore, 1, portStandin)
	s.Standin.WeightStore = WeightStore{
		Serve:              true,
		Rate:               p.WeightStore.Rate,
		Concurrency:        p.WeightStore.Concurrency,
		AdapterConcurrency: p.WeightStore.AdapterConcurrency,
	}
	return s
}

// marshalNonDefaults encodes the settings that differ from the defaults as YAML.
func marshalNonDefaults(s Settings) ([]byte, error) {
	root, err := nonDefaultNode(reflect.ValueOf(s), reflect.ValueOf(Default()))
	if err != nil {
		return nil, err
	}
	return yaml.Marshal(root)
}

// nonDefaultNode returns a mapping of the fields of v that differ from defaults. Its
// keys are the yaml tags.
func nonDefaultNode(v, defaults reflect.Value) (*yaml.Node, error) {
	mapping := &yaml.Node{Kind: yaml.MappingNode}
	for i := range v.NumField() {
		if reflect.DeepEqual(v.Field(i).Interface(), defaults.Field(i).Interface()) {
			continue
		}
		value, err := valueNode(v.Field(i), defaults.Field(i))
		if err != nil {
			return nil, err
		}
		key := &yaml.Node{Kind: yaml.ScalarNode, Value: v.Type().Field(i).Tag.Get("yaml")}
		mapping.Content = append(mapping.Content, key, value)
	}
	return mapping, nil
}

func valueNode(v, defaults reflect.Value) (*yaml.Node, error) {
	if v.Kind() == reflect.Struct {
		return nonDefaultNode(v, defaults)
	}
	value := &yaml.Node{}
	return value, value.Encode(v.Interface())
}
