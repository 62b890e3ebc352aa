package aubsettings

import (
	"net/url"
	"slices"
	"strings"
)

// minMemory and minDescriptors are what a process needs to serve anything.
const (
	minMemory      = 16 << 20
	minDescriptors = 64
)

// checkCombinations adds the faults of settings whose valid values depend on other
// settings, and of URLs and counts.
func (d *decoder) checkCombinations(s Settings) {
	d.checkTLS("internal.tls", s.Internal.TLS)
	d.checkTLS("caller.tls", s.Caller.TLS)
	d.checkTLS("admin.tls", s.Admin.TLS)
	d.checkVoters(s)
	d.checkURL("agent.engine_url", s.Agent.EngineURL)
	d.checkURL("agent.service_url", s.Agent.ServiceURL)
	if s.Membership.Timeout < 2*s.Membership.Interval {
		d.addFaultAt("membership.timeout", "allowed: at least twice membership.interval")
	}
	if s.Control.ElectionTimeout < 3*s.Control.HeartbeatInterval {
		d.addFaultAt("control.election", "allowed: at least three times control.heartbeat")
	}
	if s.Routing.MaxAttempts < 1 {
		d.addFaultAt("routing.attempts", "allowed: 1 or more")
	}
	if s.Machine.Memory != 0 && s.Machine.Memory < minMemory {
		d.addFaultAt("machine.memory", "allowed: 16MiB or more, or 0B")
	}
	if s.Machine.Descriptors != 0 && s.Machine.Descriptors < minDescriptors {
		d.addFaultAt("machine.descriptors", "allowed: 64 or more, or 0")
	}
	if s.Queue.ConcurrencyPerBackend < 1 {
		d.addFaultAt("queue.per_backend", "allowed: 1 or more")
	}
	if s.Admin.Listen != "" && s.Admin.CredentialFile == "" {
		d.addFaultAt("admin.credential_file", "the setting is required with admin.listen")
	}
}

func (d *decoder) checkTLS(path string, t TLS) {
	if (t.CertFile == "") != (t.KeyFile == "") {
		d.addFaultAt(path, "cert_file and key_file go together")
	}
	if t.CAFile != "" && t.CertFile == "" {
		d.addFaultAt(path+".ca_file", "needs cert_file and key_file")
	}
}

func (d *decoder) checkVoters(s Settings) {
	if s.Control.DataDir == "" || len(s.Control.Seeds) > 0 {
		return
	}
	includesSelf := slices.ContainsFunc(s.Control.Voters, func(p Peer) bool { return p.Name == s.Name })
	if !includesSelf {
		d.addFaultAt("control.voters", "must name this process while control.data_dir is set")
	}
	if len(s.Control.Voters)%2 == 0 {
		d.addFaultAt("control.voters", "allowed: an odd number of replicas")
	}
}

func (d *decoder) checkURL(path, rawURL string) {
	if rawURL == "" {
		return
	}
	u, err := url.Parse(rawURL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		d.addFaultAt(path, "allowed: a base address, such as http://10.0.0.7:9000")
	}
}

// addFaultAt adds a fault of the setting at a path. The fault of a setting that is not
// in the file is reported at the line of its group, or at line 1.
func (d *decoder) addFaultAt(path, message string) {
	fault := Fault{Line: 1, Path: path, Message: message}
	if n, ok := d.nodes[path]; ok {
		fault.Line, fault.Value = n.Line, n.Value
	} else if n, ok := d.nodes[parentPath(path)]; ok {
		fault.Line = n.Line
	}
	d.faults = append(d.faults, fault)
}

// parentPath returns the path of the group that holds a setting, empty at the top.
func parentPath(path string) string {
	i := strings.LastIndexByte(path, '.')
	return path[:max(i, 0)]
}
