package aubsettings

import (
	"net/url"
	"slices"
	"strings"
)

// checkTogether adds the faults that only show between settings.
func (d *decoder) checkTogether(s Settings) {
	d.checkTLS("internal.tls", s.Internal.TLS)
	d.checkTLS("caller.tls", s.Caller.TLS)
	d.checkTLS("admin.tls", s.Admin.TLS)
	d.checkVoters(s)
	d.checkURL("agent.engine_url", s.Agent.EngineURL)
	d.checkURL("agent.service_url", s.Agent.ServiceURL)
	if s.Membership.Timeout < 2*s.Membership.Interval {
		d.addPath("membership.timeout", "allowed: at least twice membership.interval")
	}
	if s.Control.Election < 3*s.Control.Heartbeat {
		d.addPath("control.election", "allowed: at least three times control.heartbeat")
	}
	if s.Routing.Attempts < 1 {
		d.addPath("routing.attempts", "allowed: 1 or more")
	}
	if s.Queue.PerBackend < 1 {
		d.addPath("queue.per_backend", "allowed: 1 or more")
	}
	if s.Admin.Listen != "" && s.Admin.CredentialFile == "" {
		d.addPath("admin.credential_file", "the setting is required with admin.listen")
	}
}

func (d *decoder) checkTLS(path string, t TLS) {
	if (t.CertFile == "") != (t.KeyFile == "") {
		d.addPath(path, "cert_file and key_file go together")
	}
	if t.CAFile != "" && t.CertFile == "" {
		d.addPath(path+".ca_file", "needs cert_file and key_file")
	}
}

func (d *decoder) checkVoters(s Settings) {
	if s.Control.DataDir == "" || len(s.Control.Seeds) > 0 {
		return
	}
	named := slices.ContainsFunc(s.Control.Voters, func(p Peer) bool { return p.Name == s.Name })
	if !named {
		d.addPath("control.voters", "must name this process while control.data_dir is set")
	}
	if len(s.Control.Voters)%2 == 0 {
		d.addPath("control.voters", "allowed: an odd number of replicas")
	}
}

func (d *decoder) checkURL(path, text string) {
	if text == "" {
		return
	}
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		d.addPath(path, "allowed: a base address, such as http://10.0.0.7:9000")
	}
}

// addPath adds a fault of a setting by its path. A setting that the file does not
// name is reported at the nearest group that it does.
func (d *decoder) addPath(path, allowed string) {
	f := Fault{Line: 1, Path: path, Allowed: allowed}
	if n, ok := d.places[path]; ok {
		f.Line, f.Value = n.Line, n.Value
	} else if n, ok := d.places[parent(path)]; ok {
		f.Line = n.Line
	}
	d.faults = append(d.faults, f)
}

func parent(path string) string {
	i := strings.LastIndexByte(path, '.')
	return path[:max(i, 0)]
}
