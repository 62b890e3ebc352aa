package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds and ports of a small deployment, as the pages state them.
const (
	portInternal = 7600
	portRelay    = 7601
	portMetrics  = 7602
	portFront    = 8221
	portReady    = 8224
	portControl  = 8229
	portWorker   = 8080

	heartbeat     = 1200 * time.Millisecond
	contactTime   = 3000 * time.Millisecond
	drainTime     = 2000 * time.Millisecond
	ackTimeout    = time.Second
	readyDeadline = 20 * time.Second
)

const controlSettings = `name: "edge-%[1]d"
zone: "z%[1]d"
regions: { "z1": "r", "z2": "r", "z3": "r" }
machine:
  memory: 284MB
internal:
  listen: "%[2]s:7600"
control:
  data_dir: "%[3]s"
  seeds: [%[4]s]
  port: 7600
  form: %[5]t
  losses: 1
  silence: 2s
registry:
  listen: "%[2]s:8229"
  heartbeat: "1200ms"
  snapshot_interval: 1s
platform:
  listen: "%[2]s:7602"
placement:
  interval: 400ms
  handover: "3000ms"
admission:
  objective_spread: 8
shutdown:
  delay: 0s
  timeout: 8s
  grace: 8s
`

const relaySettings = `name: "edge-%[1]d"
zone: "z%[1]d"
regions: { "z1": "r", "z2": "r", "z3": "r" }
machine:
  memory: 144MB
control:
  seeds: [%[3]s]
  port: 7600
membership:
  listen: "%[2]s:7600"
  direct_peers: 64
caller:
  listen: "%[2]s:8221"
  write_timeout: 2s
  max_unread: 24MiB
platform:
  listen: "%[2]s:7601"
  ready: "%[2]s:8224"
registry:
  heartbeat: "1200ms"
  activation_timeout: "2000ms"
  drain_timeout: "0ms"
limits:
  policy: shared_counters
  overrun: 0.1
  slack: 110000
routing:
  retry_share: 0.2
  retry_window: 10s
  retry_slack: 62
admission:
  objective_spread: 8
  zone_share: 0.06
  direct_peers: 16
shutdown:
  delay: 2.2s
  timeout: 8s
  grace: 8s
`

// machineCount is the number of machines of the system. Each runs a relay and a control process and has a disk.
const machineCount = 3

// site holds the processes of the system under test.
type site struct {
	record *record
	binary string
	dir    string
	subnet string
	// lock keeps other sites from the subnet.
	lock      net.Listener
	processes []*process
}

// process is one process of the system, a new one after each start.
type process struct {
	site    *site
	role    string
	machine int

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// isFirst is set until the first start.
	isFirst bool
}

func newSite(ctx context.Context, r *record, binary string) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{record: r, binary: binary, dir: dir}
	for n := os.Getpid(); s.lock == nil; n += 97 {
		s.subnet = fmt.Sprintf("127.%d.%d", 64+n%120, n/120%250)
		lock, err := new(net.ListenConfig).Listen(ctx, "tcp", s.subnet+".254:7600")
		if err == nil {
			s.lock = lock
		}
	}
	for _, role := range []string{"control", "relay"} {
		for machine := 1; machine <= machineCount; machine++ {
			s.processes = append(s.processes, &process{site: s, role: role, machine: machine, isFirst: true})
		}
	}
	return s, nil
}

// address returns an address of a machine.
func (s *site) address(machine, port int) string {
	return fmt.Sprintf("%s.%d:%d", s.subnet, machine, port)
}

// workerAddress returns the address of a worker.
func (s *site) workerAddress(index int) string { return s.address(50+index, portWorker) }

// killAll kills all processes at the same moment.
func (s *site) killAll() {
	for _, p := range s.processes {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range s.processes {
		p.kill()
	}
}

// runAgain starts all processes again.
func (s *site) runAgain() error {
	for _, p := range s.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// close kills all processes that it started and removes its folder.
func (s *site) close() {
	for _, p := range s.processes {
		p.kill()
	}
	_ = s.lock.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// startAll starts the processes and waits until a configuration is acknowledged.
func (s *site) startAll(ctx context.Context, configuration string) error {
	for _, p := range s.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	return s.putConfiguration(ctx, configuration)
}

// awaitReady waits until every relay answers its readiness check with 200.
func (s *site) awaitReady(ctx context.Context) error {
	for machine := 1; machine <= machineCount; machine++ {
		if err := s.await(ctx, func() bool {
			status := call(ctx, http.MethodGet, "http://"+s.address(machine, portReady)+"/readiness", "")
			return status == http.StatusOK
		}); err != nil {
			return fmt.Errorf("relay %d is not ready: %w", machine, err)
		}
	}
	return nil
}

// putConfiguration sends a configuration until it is acknowledged.
func (s *site) putConfiguration(ctx context.Context, configuration string) error {
	machine := 0
	return s.await(ctx, func() bool {
		machine = machine%machineCount + 1
		status := call(ctx, http.MethodPut, "http://"+s.address(machine, portControl)+"/configuration", configuration)
		s.record.add("operator: PUT /configuration at machine %d: %d", machine, status)
		return status == http.StatusOK
	})
}

func (s *site) await(ctx context.Context, isDone func() bool) error {
	deadline := time.Now().Add(readyDeadline)
	for !isDone() {
		if time.Now().After(deadline) {
			return context.DeadlineExceeded
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
	return nil
}

// call sends one request within a second and returns the status of the answer, 0 without one.
func call(ctx context.Context, method, url, body string) int {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// settings returns the settings of the process, as the templates of the deploy file give them.
func (p *process) settings() string {
	var seeds []string
	for machine := 1; machine <= machineCount; machine++ {
		seeds = append(seeds, `"`+p.site.address(machine, portControl)+`"`)
	}
	ip, _, _ := net.SplitHostPort(p.site.address(p.machine, portControl))
	if p.role == "relay" {
		return fmt.Sprintf(relaySettings, p.machine, ip, strings.Join(seeds, ","))
	}
	return fmt.Sprintf(controlSettings, p.machine, ip, p.dataDir(), strings.Join(seeds, ","), p.isFirst)
}

func (p *process) dataDir() string {
	return filepath.Join(p.site.dir, fmt.Sprintf("data-%d", p.machine))
}

func (p *process) name() string { return fmt.Sprintf("%s-%d", p.role, p.machine) }

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	settings := filepath.Join(p.site.dir, p.name()+".yaml")
	if err := os.WriteFile(settings, []byte(p.settings()), 0o600); err != nil {
		return err
	}
	p.isFirst = false
	output, err := os.OpenFile(filepath.Join(p.site.dir, p.name()+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	// The process ends by a signal of the case, not with a context.
	command := exec.CommandContext(context.Background(), p.site.binary, p.role, "--settings", settings)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.command, p.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	p.site.record.add("platform: %s starts", p.name())
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal)
		p.site.record.add("platform: %s gets %s", p.name(), signal)
	}
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	_ = p.command.Process.Signal(syscall.SIGKILL)
	<-p.exited
	p.command = nil
	p.site.record.add("platform: %s was killed", p.name())
}
