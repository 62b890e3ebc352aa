package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// program is what the build of the deploy file makes.
	program = "target/auburndale"
	// machineCount is the number of edge machines; each runs one relay and one control process.
	machineCount = 3

	portFront    = 8221
	portReady    = 8224
	portControl  = 8229
	portInternal = 7600
	portWorker   = 8080
	// firstWorkerHost is the last octet of the first worker's address, lockHost that of an
	// address that reserves the subnet.
	firstWorkerHost = 50
	lockHost        = 254

	// startTimeout limits the start of all processes, stopTimeout the wait for one to exit.
	startTimeout = 25 * time.Second
	stopTimeout  = 5 * time.Second
	callTimeout  = time.Second
	pollInterval = 100 * time.Millisecond
)

// errNoSubnet means that no loopback subnet is free.
var errNoSubnet = errors.New("no free loopback subnet")

// errNotReady means that the programs did not become ready in time.
var errNotReady = errors.New("the programs did not become ready")

// process is one process of the program under test.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// site holds the processes of one case.
type site struct {
	rec      *recorder
	dir      string
	subnet   string
	lock     net.Listener
	client   *http.Client
	stopOnce sync.Once

	// mu guards processes.
	mu        sync.Mutex
	processes []*process
}

// newSite reserves a subnet of the loopback network and a temporary folder.
func newSite(rec *recorder) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, dir: dir, client: &http.Client{Timeout: callTimeout}}
	for i := range 100 {
		n := os.Getpid() + i*7919
		s.subnet = fmt.Sprintf("127.%d.%d", 64+n%128, n/128%250)
		s.lock, err = new(net.ListenConfig).Listen(context.Background(), "tcp", s.address(lockHost, portInternal))
		if err == nil {
			return s, nil
		}
	}
	return nil, errNoSubnet
}

func (s *site) host(last int) string { return fmt.Sprintf("%s.%d", s.subnet, last) }

func (s *site) address(last, port int) string { return fmt.Sprintf("%s.%d:%d", s.subnet, last, port) }

// front returns the address at which a relay serves clients.
func (s *site) front(machine int) string { return s.address(machine+1, portFront) }

// settings renders a template of the deploy folder for a machine, with the bounds of a small site.
func (s *site) settings(role string, machine int) (string, error) {
	text, err := os.ReadFile(filepath.Join("deploy", role+".yaml.tmpl"))
	if err != nil {
		return "", err
	}
	var seeds []string
	for i := range machineCount {
		seeds = append(seeds, fmt.Sprintf("%q", s.address(i+1, portControl)))
	}
	rendered := strings.NewReplacer(
		`{{#seeds}}"{{.}}"{{,}}{{/seeds}}`, strings.Join(seeds, ","),
		`{{#zones}}"{{@}}": "{{.}}"{{,}}{{/zones}}`, `"sul-a": "sul"`,
		"{{node_name}}", fmt.Sprintf("edge-sul-a-%d", machine+1), "{{zone}}", "sul-a", "{{ip}}", s.host(machine+1),
		"{{port_range.0}}", fmt.Sprint(portInternal), "{{data_dir}}", filepath.Join(s.dir, fmt.Sprintf("data-%d", machine)),
		"{{bootstrap|json}}", "true", "{{heartbeat_ms}}", "1200",
		"{{listen.front}}", s.address(machine+1, portFront), "{{listen.ready}}", s.address(machine+1, portReady),
		"{{listen.control}}", s.address(machine+1, portControl),
		"{{fault_tolerance.machines}}", "1", "{{bounds.grace_s}}", "8", "{{bounds.lease_ms}}", "3000",
		"{{bounds.quota_overrun}}", "0.1", "{{bounds.quota_slack}}", "110000", "{{bounds.retry_ratio}}", "0.2",
		"{{bounds.retry_slack}}", "58", "{{bounds.retry_window_s}}", "10", "{{bounds.config_apply_ms}}", "2000",
		"{{bounds.evacuate_ms}}", "",
	).Replace(string(text))
	if left := regexp.MustCompile(`\{\{.*?\}\}`).FindString(rendered); left != "" {
		return "", fmt.Errorf("template of %s has the unknown placeholder %s", role, left)
	}
	file := filepath.Join(s.dir, fmt.Sprintf("%s-%d.yaml", role, machine))
	return file, os.WriteFile(file, []byte(rendered), 0o600)
}

// startProcess starts one role on a machine with the command of the deploy file.
func (s *site) startProcess(role string, machine int) error {
	file, err := s.settings(role, machine)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s-%d", role, machine)
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(context.Background(), program, role, "--settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{name: name, cmd: cmd, exited: make(chan struct{})}
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	return nil
}

// start starts the programs, applies the configuration and waits until all relays are ready.
func (s *site) start(ctx context.Context, workers []*worker, configuration string) error {
	for _, w := range workers {
		if err := w.start(ctx, s); err != nil {
			return err
		}
	}
	for machine := range machineCount {
		for _, role := range []string{"control", "relay"} {
			if err := s.startProcess(role, machine); err != nil {
				return err
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.await(ctx, func() bool { return s.putConfiguration(ctx, configuration) }); err != nil {
		return err
	}
	s.rec.add("configuration acknowledged")
	if err := s.await(ctx, func() bool { return s.areRelaysReady(ctx) }); err != nil {
		return err
	}
	s.rec.add("all relays are ready")
	return nil
}

// await repeats the check until it is true.
func (s *site) await(ctx context.Context, check func() bool) error {
	for !check() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w; their logs are in %s", errNotReady, s.dir)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// call makes one call to a platform interface of the programs and returns its status, 0 without
// an answer.
func (s *site) call(ctx context.Context, method, url string, body []byte) int {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// putConfiguration reports whether a control process acknowledged the configuration.
func (s *site) putConfiguration(ctx context.Context, configuration string) bool {
	for machine := range machineCount {
		url := "http://" + s.address(machine+1, portControl) + "/configuration"
		if s.call(ctx, http.MethodPut, url, []byte(configuration)) == http.StatusOK {
			return true
		}
	}
	return false
}

func (s *site) areRelaysReady(ctx context.Context) bool {
	for machine := range machineCount {
		if s.call(ctx, http.MethodGet, "http://"+s.address(machine+1, portReady)+"/readiness", nil) != http.StatusOK {
			return false
		}
	}
	return true
}

// signal sends a signal to a process that the case started.
func (s *site) signal(name string, sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		if p.name == name {
			s.rec.add("%s gets signal %s", name, sig)
			_ = p.cmd.Process.Signal(sig)
		}
	}
}

// stop ends all processes that the case started, by their ids, and removes its folder.
func (s *site) stop() {
	s.stopOnce.Do(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, p := range s.processes {
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
		}
		for _, p := range s.processes {
			select {
			case <-p.exited:
			case <-time.After(stopTimeout):
				s.rec.add("%s did not exit", p.name)
			}
		}
		_ = s.lock.Close()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(s.dir)
		}
	})
}
