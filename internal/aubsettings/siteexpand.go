package aubsettings

import (
	"fmt"
	"path/filepath"
	"reflect"

	"go.yaml.in/yaml/v3"
)

// Third numbers of the addresses of each kind of process.
const (
	netEntry  = 1
	netAgent  = 2
	netEngine = 3
	netStore  = 4
)

// firstService is the last number of the first plain service's address.
const firstService = 201

// Ports of every process.
const (
	portInternal   = 7000
	portMembership = 7100
	portAdmin      = 7200
	portPlatform   = 7300
	portCaller     = 8080
	portStandin    = 9000
)

// Expand returns the settings of every process of a site as YAML, by process
// name. Only what differs from the defaults is written. The part of the name
// before the first dash is the role; a service runs in the engine role.
func Expand(p SitePlan) (map[string][]byte, error) {
	files := map[string][]byte{}
	for _, s := range p.processes() {
		text, err := writeDifferent(s)
		if err != nil {
			return nil, err
		}
		files[s.Name] = text
	}
	return files, nil
}

func (p SitePlan) processes() []Settings {
	count := 1 + len(p.Zones)*(1+2*p.EnginesPerZone+2*len(p.Services))
	all := make([]Settings, 0, count)
	all = append(all, p.store())
	for z, zone := range p.Zones {
		all = append(all, p.entry(z, zone))
		for i := range p.EnginesPerZone {
			n := z*p.EnginesPerZone + i + 1
			name := fmt.Sprintf("%s%d", zone, i+1)
			all = append(all, p.engine("engine-"+name, zone, n), p.engineAgent("agent-"+name, zone, n))
		}
		for i, service := range p.Services {
			n := firstService + z*len(p.Services) + i
			name := service + "-" + zone
			all = append(all, p.service("service-"+name, zone, service, n), p.serviceAgent("agent-"+name, zone, service, n))
		}
	}
	return all
}

func (p SitePlan) address(net, last, port int) Address {
	return Address(fmt.Sprintf("%s.%d.%d:%d", p.Prefix, net, last, port))
}

func (p SitePlan) url(net, last int) string {
	return "http://" + p.address(net, last, portStandin).String()
}

func (p SitePlan) eachEntry(port int) []Address {
	list := make([]Address, 0, len(p.Zones))
	for z := range p.Zones {
		list = append(list, p.address(netEntry, z+1, port))
	}
	return list
}

func (p SitePlan) base(name, zone string) Settings {
	s := Default()
	s.Name = name
	s.Zone = zone
	s.Log.Format = "console"
	return s
}

// member returns the settings of a process that announces itself.
func (p SitePlan) member(name, zone string, net, last int) Settings {
	s := p.base(name, zone)
	s.SecretFile = p.SecretFile
	s.Internal.Listen = p.address(net, last, portInternal)
	s.Membership.Listen = p.address(net, last, portMembership)
	s.Membership.Seeds = p.eachEntry(portMembership)
	s.Platform.Listen = p.address(net, last, portPlatform)
	return s
}

func (p SitePlan) entry(z int, zone string) Settings {
	s := p.member("entry-"+zone, zone, netEntry, z+1)
	s.Control.DataDir = filepath.Join(p.DataDir, s.Name)
	for i, address := range p.eachEntry(portInternal) {
		s.Control.Voters = append(s.Control.Voters, Peer{Name: "entry-" + p.Zones[i], Address: address})
	}
	s.Caller.Listen = p.address(netEntry, z+1, portCaller)
	s.Caller.QueueTimeout = p.QueueTimeout
	s.Admin.Listen = p.address(netEntry, z+1, portAdmin)
	s.Admin.CredentialFile = p.CredentialFile
	s.Limits.Policy = p.Policies.Limits
	s.Queue.Policy = p.Policies.Queue
	s.Queue.PerBackend = p.Engine.MaxBatch
	s.Routing.Policy = p.Policies.Routing
	s.Placement.Policy = p.Policies.Placement
	s.Placement.Objective = p.Placement.Objective
	s.Placement.StoreRate = p.WeightStore.Rate
	s.Placement.StoreConcurrency = p.WeightStore.Concurrency
	s.Placement.AdapterLoadsAtOnce = p.WeightStore.AdapterKnee
	s.Objectives = p.Objectives
	return s
}

func (p SitePlan) agent(name, zone string, n int) Settings {
	s := p.member(name, zone, netAgent, n)
	s.Control.Addresses = p.eachEntry(portInternal)
	s.Agent.DataDir = filepath.Join(p.DataDir, s.Name)
	return s
}

func (p SitePlan) engineAgent(name, zone string, n int) Settings {
	s := p.agent(name, zone, n)
	s.Agent.EngineURL = p.url(netEngine, n)
	s.Agent.Memory = p.Engine.Memory
	s.Agent.EngineChecksFence = true
	return s
}

func (p SitePlan) serviceAgent(name, zone, service string, n int) Settings {
	s := p.agent(name, zone, n)
	s.Agent.ServiceURL = p.url(netEngine, n)
	s.Agent.Services = []string{service}
	return s
}

func (p SitePlan) engine(name, zone string, n int) Settings {
	s := p.base(name, zone)
	s.Standin.Listen = p.address(netEngine, n, portStandin)
	s.Standin.Memory = p.Engine.Memory
	s.Standin.PrefillRate = p.Engine.PrefillRate
	s.Standin.InterToken = p.Engine.InterToken
	s.Standin.InterTokenStep = p.Engine.InterTokenStep
	s.Standin.MaxBatch = p.Engine.MaxBatch
	s.Standin.LoadTime = p.WeightStore.LoadTime
	s.Standin.AdapterLoadTime = p.WeightStore.AdapterLoadTime
	s.Standin.StoreURL = p.url(netStore, 1)
	return s
}

func (p SitePlan) service(name, zone, service string, n int) Settings {
	s := p.base(name, zone)
	s.Standin.Listen = p.address(netEngine, n, portStandin)
	s.Standin.Service = service
	return s
}

// store returns the settings of the weight store, which stands in the first zone.
func (p SitePlan) store() Settings {
	s := p.base("store", p.Zones[0])
	s.Standin.Listen = p.address(netStore, 1, portStandin)
	s.Standin.WeightStore = WeightStore{
		Serve:       true,
		Rate:        p.WeightStore.Rate,
		Concurrency: p.WeightStore.Concurrency,
		AdapterKnee: p.WeightStore.AdapterKnee,
	}
	return s
}

// writeDifferent writes the settings that differ from the defaults.
func writeDifferent(s Settings) ([]byte, error) {
	root, err := differentNode(reflect.ValueOf(s), reflect.ValueOf(Default()))
	if err != nil {
		return nil, err
	}
	return yaml.Marshal(root)
}

func differentNode(v, base reflect.Value) (*yaml.Node, error) {
	group := &yaml.Node{Kind: yaml.MappingNode}
	for i := range v.NumField() {
		if reflect.DeepEqual(v.Field(i).Interface(), base.Field(i).Interface()) {
			continue
		}
		value, err := valueNode(v.Field(i), base.Field(i))
		if err != nil {
			return nil, err
		}
		name := &yaml.Node{Kind: yaml.ScalarNode, Value: v.Type().Field(i).Tag.Get("yaml")}
		group.Content = append(group.Content, name, value)
	}
	return group, nil
}

func valueNode(v, base reflect.Value) (*yaml.Node, error) {
	if v.Kind() == reflect.Struct {
		return differentNode(v, base)
	}
	value := &yaml.Node{}
	return value, value.Encode(v.Interface())
}
