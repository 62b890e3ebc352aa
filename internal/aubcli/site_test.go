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

// roleEnv makes the test binary run as the program itself, so that the tests
// meet real processes.
const roleEnv = "AUBURNDALE_TEST_RUN"

const (
	sitePatience   = 30 * time.Second
	siteCredential = "site-test-credential"
)

func TestMain(m *testing.M) {
	if os.Getenv(roleEnv) != "" {
		os.Exit(Run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// settings is a settings file as a tree.
type settings map[string]any

// site is a whole site of separate processes on loopback.
type site struct {
	dir       string
	files     map[string]string
	processes map[string]*process
	entries   []string
	admin     map[string]string
	callers   map[string]string
	standins  map[string]string
	platform  map[string]string
}

// process is one running role.
type process struct {
	cmd  *exec.Cmd
	log  *logBuffer
	done chan struct{}
}

// logBuffer gathers a process's log and may be read while it is written.
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

// newSite starts three entries, two engines with agents, and a roster service.
func newSite(t *testing.T) *site {
	s := &site{
		dir: t.TempDir(), files: map[string]string{}, processes: map[string]*process{},
		admin: map[string]string{}, callers: map[string]string{}, standins: map[string]string{}, platform: map[string]string{},
	}
	writeFile(t, s.path("secret"), "site-test-secret")
	writeFile(t, s.path("credential"), siteCredential)
	s.layOut(t)
	t.Cleanup(func() { s.stopAll(t) })
	for name := range s.files {
		s.start(t, name)
	}
	s.apply(t)
	return s
}

func (s *site) path(name string) string { return filepath.Join(s.dir, name) }

// layOut writes the settings of every process.
func (s *site) layOut(t *testing.T) {
	ports := addressPicker{}
	zones := []string{"a", "b", "c"}
	voters := make([]settings, 0, len(zones))
	seeds, internals := make([]string, 0, len(zones)), make([]string, 0, len(zones))
	for _, zone := range zones {
		s.entries = append(s.entries, "entry-"+zone)
		internals = append(internals, ports.next())
		seeds = append(seeds, ports.next())
		voters = append(voters, settings{"name": "entry-" + zone, "address": internals[len(internals)-1]})
	}
	for i, name := range s.entries {
		s.admin[name], s.callers[name] = ports.next(), ports.next()
		s.write(t, ports, name, i, settings{
			"internal":   settings{"listen": internals[i]},
			"membership": settings{"listen": seeds[i], "seeds": seeds, "interval": "200ms", "timeout": "2s", "budget": "64KiB"},
			"control":    settings{"data_dir": s.path("data-" + name), "voters": voters},
			"caller":     settings{"listen": s.callers[name]},
			"admin":      settings{"listen": s.admin[name], "credential_file": s.path("credential")},
			"placement":  settings{"interval": "200ms"},
		})
	}
	for i, name := range []string{"a", "b", "roster"} {
		listen := ports.next()
		address := "http://" + listen
		s.standins["engine-"+name] = address
		standin := settings{"listen": listen, "load_time": "50ms", "inter_token": "10ms"}
		agent := settings{"engine_url": address, "memory": "48GiB", "engine_checks_fence": true}
		if name == "roster" {
			standin["service"] = "roster"
			agent = settings{"service_url": address, "services": []string{"roster"}}
		}
		s.write(t, ports, "engine-"+name, i, settings{"standin": standin})
		s.write(t, ports, "agent-"+name, i, settings{
			"internal":   settings{"listen": ports.next()},
			"membership": settings{"listen": ports.next(), "seeds": seeds, "interval": "200ms", "timeout": "2s", "budget": "64KiB"},
			"control":    settings{"addresses": internals},
			"agent":      agent,
		})
	}
}

func (s *site) write(t *testing.T, ports addressPicker, name string, i int, cfg settings) {
	cfg["name"] = name
	cfg["zone"] = string(rune('a' + i))
	cfg["secret_file"] = s.path("secret")
	cfg["log"] = settings{"level": "info", "format": "console"}
	s.platform[name] = ports.next()
	cfg["platform"] = settings{"listen": s.platform[name]}
	cfg["shutdown"] = settings{"delay": "300ms", "timeout": "120s"}
	data, err := yaml.Marshal(cfg)
	qt.Assert(t, err, qt.IsNil)
	s.files[name] = s.path(name + ".yaml")
	writeFile(t, s.files[name], string(data))
}

func (s *site) start(t *testing.T, name string) {
	role, _, _ := strings.Cut(name, "-")
	p := &process{log: &logBuffer{}, done: make(chan struct{})}
	p.cmd = exec.Command(os.Args[0], role, "--settings", s.files[name])
	p.cmd.Env = append(os.Environ(), roleEnv+"=1")
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	qt.Assert(t, p.cmd.Start(), qt.IsNil)
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	s.processes[name] = p
}

// signal sends a signal and waits for the process to end.
func (s *site) signal(t *testing.T, name string, sig syscall.Signal) int {
	p := s.processes[name]
	_ = p.cmd.Process.Signal(sig)
	select {
	case <-p.done:
	case <-time.After(sitePatience):
		t.Errorf("%s does not end", name)
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

// apply applies the example ticket until it is accepted and waits until the
// example models answer through every entry.
func (s *site) apply(t *testing.T) {
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
		eventually(t, model+" answers on "+entry, func() bool {
			r := call(s.callers[entry], model, 2, false)
			return r.whole()
		})
	}
}

func (s *site) client(entry string) *aubclient.Client {
	return aubclient.NewClient(aubclient.ClientOpts{BaseURL: "http://" + s.admin[entry], Credential: siteCredential})
}

// addressPicker hands out loopback addresses that no other test process uses and
// that no outgoing connection can take, because those come from 127.0.0.1.
type addressPicker struct{}

// addressesUsed counts over all sites of this test process.
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

func tail(text string) string {
	const most = 4000
	return text[max(len(text)-most, 0):]
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(sitePatience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not reached: %s", what)
}

// answer is what a caller got.
type answer struct {
	status int
	body   string
	err    error
	header http.Header
}

// whole reports whether a model's answer came to its end.
func (a answer) whole() bool {
	if a.err != nil || a.status != http.StatusOK {
		return false
	}
	return strings.Contains(a.body, `"finish_reason":"length"`)
}

// call asks a model for an answer of n tokens.
func call(address, model string, n int, stream bool) answer {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":"hello"}]}`, model, n, stream)
	return post(address, "/v1/chat/completions", body, "")
}

func post(address, path, body, idempotencyKey string) answer {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+aubexample.Key)
	if idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}
	client := &http.Client{Timeout: sitePatience, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(data), err: err, header: resp.Header}
}
