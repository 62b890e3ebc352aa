package aubcli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.yaml.in/yaml/v3"

	aubexample "github.com/auburndale/auburndale/examples"
	"github.com/auburndale/auburndale/pkg/aubapi"
	"github.com/auburndale/auburndale/pkg/aubclient"
)

// runAsProgramEnv is the environment variable that makes the test binary run as the
// program, so that the tests run against real processes.
const runAsProgramEnv = "AUBURNDALE_TEST_RUN"

const (
	// siteTimeout bounds the wait for a condition or for the end of a process.
	siteTimeout    = 30 * time.Second
	siteCredential = "site-test-credential"
)

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		os.Exit(Run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// settingsTree holds the content of a settings file by key.
type settingsTree map[string]any

// site is a site of separate processes on loopback. The maps are indexed by the name of
// the process.
type site struct {
	dir               string
	settingsFiles     map[string]string
	processes         map[string]*process
	entries           []string
	adminAddresses    map[string]string
	callerAddresses   map[string]string
	standinURLs       map[string]string
	platformAddresses map[string]string
}

// process is a process that runs one role. done is closed when it has ended.
type process struct {
	cmd  *exec.Cmd
	log  *logBuffer
	done chan struct{}
}

// logBuffer collects the output of a process and may be read while it is written.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// newSite starts three entries, two engines with agents, and a plain service with its
// agent, and waits until the site serves the example models.
func newSite(t *testing.T) *site {
	s := &site{
		dir: t.TempDir(), settingsFiles: map[string]string{}, processes: map[string]*process{},
		adminAddresses: map[string]string{}, callerAddresses: map[string]string{}, standinURLs: map[string]string{}, platformAddresses: map[string]string{},
	}
	writeFile(t, s.path("secret"), "site-test-secret")
	writeFile(t, s.path("credential"), siteCredential)
	s.writeAllSettings(t)
	t.Cleanup(func() { s.stopAll(t) })
	for name := range s.settingsFiles {
		s.start(t, name)
	}
	s.applyExampleTicket(t)
	return s
}

func (s *site) path(name string) string { return filepath.Join(s.dir, name) }

// writeAllSettings writes the settings of every process.
func (s *site) writeAllSettings(t *testing.T) {
	addresses := addressPicker{}
	zones := []string{"a", "b", "c"}
	voters := make([]settingsTree, 0, len(zones))
	seeds, internals := make([]string, 0, len(zones)), make([]string, 0, len(zones))
	for _, zone := range zones {
		s.entries = append(s.entries, "entry-"+zone)
		internals = append(internals, addresses.next())
		seeds = append(seeds, addresses.next())
		voters = append(voters, settingsTree{"name": "entry-" + zone, "address": internals[len(internals)-1]})
	}
	for i, name := range s.entries {
		s.adminAddresses[name], s.callerAddresses[name] = addresses.next(), addresses.next()
		s.writeSettings(t, addresses, name, i, settingsTree{
			"internal":   settingsTree{"listen": internals[i]},
			"membership": settingsTree{"listen": seeds[i], "seeds": seeds, "interval": "200ms", "timeout": "2s", "budget": "64KiB"},
			"control":    settingsTree{"data_dir": s.path("data-" + name), "voters": voters},
			"caller":     settingsTree{"listen": s.callerAddresses[name]},
			"admin":      settingsTree{"listen": s.adminAddresses[name], "credential_file": s.path("credential")},
			"placement":  settingsTree{"interval": "200ms"},
		})
	}
	for i, name := range []string{"a", "b", "roster"} {
		listen := addresses.next()
		address := "http://" + listen
		s.standinURLs["engine-"+name] = address
		standin := settingsTree{"listen": listen, "load_time": "50ms", "inter_token": "10ms"}
		agent := settingsTree{"engine_url": address, "memory": "48GiB", "engine_checks_fence": true}
		if name == "roster" {
			standin["service"] = "roster"
			agent = settingsTree{"service_url": address, "services": []string{"roster"}}
		}
		s.writeSettings(t, addresses, "engine-"+name, i, settingsTree{"standin": standin})
		s.writeSettings(t, addresses, "agent-"+name, i, settingsTree{
			"internal":   settingsTree{"listen": addresses.next()},
			"membership": settingsTree{"listen": addresses.next(), "seeds": seeds, "interval": "200ms", "timeout": "2s", "budget": "64KiB"},
			"control":    settingsTree{"addresses": internals},
			"agent":      agent,
		})
	}
}

func (s *site) writeSettings(t *testing.T, addresses addressPicker, name string, i int, cfg settingsTree) {
	cfg["name"] = name
	cfg["zone"] = string(rune('a' + i))
	cfg["secret_file"] = s.path("secret")
	cfg["log"] = settingsTree{"level": "info", "format": "console"}
	s.platformAddresses[name] = addresses.next()
	cfg["platform"] = settingsTree{"listen": s.platformAddresses[name]}
	cfg["shutdown"] = settingsTree{"delay": "300ms", "timeout": "120s"}
	data, err := yaml.Marshal(cfg)
	qt.Assert(t, err, qt.IsNil)
	s.settingsFiles[name] = s.path(name + ".yaml")
	writeFile(t, s.settingsFiles[name], string(data))
}

func (s *site) start(t *testing.T, name string) {
	role, _, _ := strings.Cut(name, "-")
	p := &process{log: &logBuffer{}, done: make(chan struct{})}
	p.cmd = exec.Command(os.Args[0], role, "--settings", s.settingsFiles[name])
	p.cmd.Env = append(os.Environ(), runAsProgramEnv+"=1")
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	qt.Assert(t, p.cmd.Start(), qt.IsNil)
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	s.processes[name] = p
}

// signal sends a signal, waits for the process to end and returns its exit code.
func (s *site) signal(t *testing.T, name string, sig syscall.Signal) int {
	p := s.processes[name]
	_ = p.cmd.Process.Signal(sig)
	select {
	case <-p.done:
	case <-time.After(siteTimeout):
		t.Errorf("%s did not end in time", name)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	return p.cmd.ProcessState.ExitCode()
}

func (s *site) stopAll(t *testing.T) {
	for name, p := range s.processes {
		_ = p.cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, tail(p.log.String()))
		}
	}
}

// applyExampleTicket retries to apply the example ticket until it is accepted and waits
// until every entry serves the example models.
func (s *site) applyExampleTicket(t *testing.T) {
	ticket, err := aubapi.DecodeTicket(aubexample.Ticket, aubapi.FormatYAML)
	qt.Assert(t, err, qt.IsNil)
	client := s.client("entry-a")
	eventually(t, "ticket 1 accepted", func() bool {
		outcome, err := client.ApplyTicket(context.Background(), ticket, time.Second)
		return err == nil && outcome.Status == aubapi.TicketAccepted
	})
	for _, name := range s.entries {
		s.awaitServing(t, name)
	}
}

func (s *site) awaitServing(t *testing.T, entry string) {
	for _, model := range []string{"example-small", "example-large"} {
		eventually(t, model+" responds on "+entry, func() bool {
			resp := callModel(s.callerAddresses[entry], model, 2, false)
			return resp.complete()
		})
	}
}

func (s *site) client(entry string) *aubclient.Client {
	return aubclient.NewClient(aubclient.ClientOpts{BaseURL: "http://" + s.adminAddresses[entry], Credential: siteCredential})
}

// addressPicker returns loopback addresses that no other test process uses. They differ
// from 127.0.0.1, so that no outgoing connection can have taken the port.
type addressPicker struct{}

// addressesUsed counts the addresses returned in this test process.
var addressesUsed atomic.Uint32

func (addressPicker) next() string {
	const perBlock, firstPort = 250, 7000
	n := int(addressesUsed.Add(1))
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 100+pid%100, pid/100%250, 1+n%perBlock, firstPort+n/perBlock)
}

func writeFile(t *testing.T, name, text string) {
	qt.Assert(t, os.WriteFile(name, []byte(text), 0o600), qt.IsNil)
}

// tail returns the end of a text.
func tail(text string) string {
	const maxBytes = 4000
	return text[max(len(text)-maxBytes, 0):]
}

func eventually(t *testing.T, condition string, isMet func() bool) {
	t.Helper()
	for deadline := time.Now().Add(siteTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if isMet() {
			return
		}
	}
	t.Fatalf("condition not met in time: %s", condition)
}

// response is the response to a caller, or the error of the call.
type response struct {
	status int
	body   string
	err    error
	header http.Header
}

// complete reports whether a model's answer was received up to its end.
func (r response) complete() bool {
	if r.err != nil || r.status != http.StatusOK {
		return false
	}
	return strings.Contains(r.body, `"finish_reason":"length"`)
}

// callModel requests a chat completion of maxTokens tokens.
func callModel(address, model string, maxTokens int, stream bool) response {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":"hello"}]}`, model, maxTokens, stream)
	return post(address, "/v1/chat/completions", body, "")
}

func post(address, path, body, idempotencyKey string) response {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+aubexample.Key)
	if idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}
	client := &http.Client{Timeout: siteTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, body: string(data), err: err, header: resp.Header}
}
