package aubprocess

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	aubexample "github.com/auburndale/auburndale/examples"
	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubsettings"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/pkg/aubapi"
	"github.com/auburndale/auburndale/pkg/aubclient"
)

const (
	// localEntries is the number of entries with a control replica.
	localEntries = 3
	// localEngines is the number of stand-in engines.
	localEngines = 2
	// localMemory is the accelerator memory of a stand-in engine in bytes.
	localMemory = 48 << 30
	// localTicketWait bounds the wait until all processes have applied the example
	// ticket.
	localTicketWait = 20 * time.Second
	// localRetryInterval is the time between two attempts to reach the starting site.
	localRetryInterval = 100 * time.Millisecond
	// localPortsFile is the name of the file with the base port, in the data folder.
	localPortsFile = "local_ports"
)

// LocalOpts configures the local site.
type LocalOpts struct {
	// Listen is the loopback address on which the first entry serves callers.
	Listen string
	// DataDir is the folder for the site's state.
	DataDir string
	// Out receives the address and an example call once the site serves.
	Out io.Writer
}

// RunLocal runs all processes of a site in this process, on loopback, until ctx ends.
func RunLocal(ctx context.Context, common aubcommon.Common, opts LocalOpts) error {
	if err := checkLoopback(opts.Listen); err != nil {
		return err
	}
	site, err := newLocalSite(opts)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, cfg := range site.engines {
		group.Go(func() error { return RunEngine(ctx, common, cfg) })
	}
	for _, cfg := range site.agents {
		group.Go(func() error { return RunAgent(ctx, common, cfg) })
	}
	for _, cfg := range site.entries {
		group.Go(func() error { return RunEntry(ctx, common, cfg) })
	}
	group.Go(func() error { return ignoreCanceled(site.bootstrap(ctx, common, opts)) })
	return group.Wait()
}

func checkLoopback(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return &ListenError{Address: address, Reason: "allowed is an IP number and a port, such as 127.0.0.1:8080"}
	}
	if !parsed.Addr().IsLoopback() {
		return &ListenError{Address: address, Reason: "the local site listens on loopback only"}
	}
	return nil
}

// localSite holds the settings of every process of a local site.
type localSite struct {
	entries        []aubsettings.Settings
	agents         []aubsettings.Settings
	engines        []aubsettings.Settings
	credentialFile string
}

// newLocalSite returns the settings of the site. Ports and secrets are stored in the
// data folder: the replicas know each other by address, so that a restart must use the
// same ports.
func newLocalSite(opts LocalOpts) (*localSite, error) {
	if err := os.MkdirAll(opts.DataDir, 0o700); err != nil {
		return nil, oops.In("local").Wrapf(err, "make data folder")
	}
	ports, err := loadOrChooseBasePort(filepath.Join(opts.DataDir, localPortsFile))
	if err != nil {
		return nil, err
	}
	secretFile, err := ensureSecretFile(filepath.Join(opts.DataDir, "site.secret"))
	if err != nil {
		return nil, err
	}
	credentialFile, err := ensureSecretFile(filepath.Join(opts.DataDir, "admin.credential"))
	if err != nil {
		return nil, err
	}
	site := &localSite{credentialFile: credentialFile}
	site.buildSettings(opts, ports, secretFile)
	return site, nil
}

// buildSettings builds the settings of three entries, of two engines with their agents
// and of a plain service with its agent. All ports are offsets from basePort.
func (s *localSite) buildSettings(opts LocalOpts, basePort int, secretFile string) {
	layout := localLayout{opts: opts, basePort: basePort, secretFile: secretFile}
	for i := range localEntries {
		s.entries = append(s.entries, layout.entry(i, s.credentialFile))
	}
	for i := range localEngines {
		name := string(rune('a' + i))
		engine := layout.standin("engine-"+name, portEngine+i, "")
		s.engines = append(s.engines, engine)
		agent := layout.agent("agent-"+name, i)
		agent.Agent.EngineURL = "http://" + engine.Standin.Listen.String()
		agent.Agent.Memory = localMemory
		agent.Agent.EngineChecksFence = true
		s.agents = append(s.agents, agent)
	}
	service := layout.standin("service-roster", portEngine+localEngines, "roster")
	s.engines = append(s.engines, service)
	agent := layout.agent("agent-roster", localEngines)
	agent.Agent.ServiceURL = "http://" + service.Standin.Listen.String()
	agent.Agent.Services = []string{"roster"}
	s.agents = append(s.agents, agent)
}

// bootstrap applies the example ticket, waits until the site serves callers and prints
// how to call it.
func (s *localSite) bootstrap(ctx context.Context, common aubcommon.Common, opts LocalOpts) error {
	ticket, err := aubapi.DecodeTicket(aubexample.Ticket, aubapi.FormatYAML)
	if err != nil {
		return oops.In("local").Wrapf(err, "decode example ticket")
	}
	credential, err := readSecret(s.credentialFile)
	if err != nil {
		return err
	}
	client := aubclient.NewClient(aubclient.ClientOpts{
		BaseURL:    "http://" + s.entries[0].Admin.Listen.String(),
		Credential: string(credential),
	})
	if err := applyUntilAccepted(ctx, common, client, ticket); err != nil {
		return err
	}
	if err := awaitEntryServing(ctx, common, s.entries[0], opts.Listen); err != nil {
		return err
	}
	printInstructions(opts, s.credentialFile, s.entries[0].Admin.Listen.String())
	return nil
}

// applyUntilAccepted retries to apply the example ticket until the site has a leader. A
// ticket that was applied before is not applied again, so that a restarted site keeps
// the changes of later tickets.
func applyUntilAccepted(ctx context.Context, common aubcommon.Common, client *aubclient.Client, ticket aubapi.Ticket) error {
	for {
		outcome, err := client.ApplyTicket(ctx, ticket, localTicketWait)
		switch {
		case err == nil:
			common.Log.Info("Applied the example ticket.", zap.String("status", string(outcome.Status)))
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		}
		if err := aubtimer.Wait(ctx, common.Timer, localRetryInterval); err != nil {
			return err
		}
	}
}

// awaitEntryServing waits until the first entry is ready and serves callers.
func awaitEntryServing(ctx context.Context, common aubcommon.Common, entry aubsettings.Settings, listen string) error {
	for {
		if respondsOK(ctx, "http://"+entry.Platform.Listen.String()+"/readyz", "") && respondsOK(ctx, "http://"+listen+"/v1/models", aubexample.Key) {
			return nil
		}
		if err := aubtimer.Wait(ctx, common.Timer, localRetryInterval); err != nil {
			return err
		}
	}
}

// respondsOK reports whether a GET of the URL is answered with status 200.
func respondsOK(ctx context.Context, url, key string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// loadOrChooseBasePort returns the base port of the site's internal addresses. It is
// chosen at the first start and stored in the file.
func loadOrChooseBasePort(file string) (int, error) {
	data, err := os.ReadFile(file)
	if err == nil {
		port, err := strconv.Atoi(string(data))
		return port, oops.In("local").Wrapf(err, "parse %s", file)
	}
	if !os.IsNotExist(err) {
		return 0, oops.In("local").Wrapf(err, "read %s", file)
	}
	port, err := findFreePorts()
	if err != nil {
		return 0, err
	}
	return port, writeFileAtomically(file, strconv.Itoa(port))
}

// findFreePorts returns the first port of a range of portCount free ports, below the
// ephemeral port range.
func findFreePorts() (int, error) {
	for base := firstLocalPort; base < lastLocalPort; base += portCount {
		if arePortsFree(base) {
			return base, nil
		}
	}
	return 0, oops.In("local").Errorf("found no run of %d free ports", portCount)
}

func arePortsFree(base int) bool {
	for i := range portCount {
		l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(loopbackAddress(base+i)))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func loopbackAddress(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
}

// ensureSecretFile creates a file with a random secret unless it exists, and returns its
// path.
func ensureSecretFile(file string) (string, error) {
	if _, err := os.Stat(file); err == nil {
		return file, nil
	}
	return file, writeFileAtomically(file, uuid.NewString()+uuid.NewString())
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
