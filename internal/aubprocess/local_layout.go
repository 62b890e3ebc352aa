package aubprocess

import (
	"fmt"
	"path/filepath"
	"time"

	aubexample "github.com/auburndale/auburndale/examples"
	"github.com/auburndale/auburndale/internal/aubsettings"
)

// Offsets of the local site's ports from its base port. The number of the entry or
// engine is added.
const (
	portInternal   = 0
	portMembership = 10
	portAdmin      = 20
	portPlatform   = 30
	portCaller     = 40
	portEngine     = 50
	// portAgent is added for the agents' ports.
	portAgent = 5
	// portCount is the number of ports that a local site reserves.
	portCount = 60
)

// Range in which the base port is chosen, below the ephemeral port range.
const (
	firstLocalPort = 20000
	lastLocalPort  = 30000
)

// localLayout builds the settings of the processes of a local site.
type localLayout struct {
	opts       LocalOpts
	basePort   int
	secretFile string
}

func (l localLayout) address(offset int) aubsettings.Address {
	return aubsettings.Address(loopbackAddress(l.basePort + offset).String())
}

func (l localLayout) baseSettings(name, zone string) aubsettings.Settings {
	s := aubsettings.Default()
	s.Name = name
	s.Zone = zone
	s.SecretFile = l.secretFile
	s.Membership.Interval = aubsettings.Duration(200 * time.Millisecond)
	s.Membership.Timeout = aubsettings.Duration(2 * time.Second)
	s.Membership.Budget = 64 << 10
	s.Placement.Interval = aubsettings.Duration(200 * time.Millisecond)
	s.Shutdown.Delay = aubsettings.Duration(100 * time.Millisecond)
	for i := range localEntries {
		s.Membership.Seeds = append(s.Membership.Seeds, l.address(portMembership+i))
	}
	return s
}

func (l localLayout) entry(i int, credentialFile string) aubsettings.Settings {
	zone := string(rune('a' + i))
	s := l.baseSettings("entry-"+zone, zone)
	s.Internal.Listen = l.address(portInternal + i)
	s.Membership.Listen = l.address(portMembership + i)
	s.Admin.Listen = l.address(portAdmin + i)
	s.Admin.CredentialFile = credentialFile
	s.Platform.Listen = l.address(portPlatform + i)
	s.Caller.Listen = l.address(portCaller + i)
	if i == 0 {
		s.Caller.Listen = aubsettings.Address(l.opts.Listen)
	}
	s.Control.DataDir = filepath.Join(l.opts.DataDir, s.Name)
	for j := range localEntries {
		name := "entry-" + string(rune('a'+j))
		s.Control.Voters = append(s.Control.Voters, aubsettings.Peer{Name: name, Address: l.address(portInternal + j)})
	}
	return s
}

func (l localLayout) agent(name string, i int) aubsettings.Settings {
	s := l.baseSettings(name, string(rune('a'+i)))
	s.Internal.Listen = l.address(portInternal + portAgent + i)
	s.Membership.Listen = l.address(portMembership + portAgent + i)
	s.Agent.DataDir = filepath.Join(l.opts.DataDir, name)
	for j := range localEntries {
		s.Control.Addresses = append(s.Control.Addresses, l.address(portInternal+j))
	}
	return s
}

func (l localLayout) standin(name string, offset int, service string) aubsettings.Settings {
	s := l.baseSettings(name, "a")
	s.Standin.Listen = l.address(offset)
	s.Standin.Service = service
	s.Standin.LoadTime = aubsettings.Duration(200 * time.Millisecond)
	return s
}

// printInstructions prints how to call a model and how to apply a ticket.
func printInstructions(opts LocalOpts, credentialFile, adminAddress string) {
	fmt.Fprintf(opts.Out, `auburndale serves on http://%[1]s
Call a model:
  curl http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -H 'Content-Type: application/json' -d '{"model":"example-small","messages":[{"role":"user","content":"Hello"}]}'
Apply a ticket:
  auburndale ticket apply --admin http://%[3]s --credential_file %[4]s --wait TICKET.yaml
`, opts.Listen, aubexample.Key, adminAddress, credentialFile)
}
