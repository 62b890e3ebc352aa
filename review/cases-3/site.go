package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
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

const (
	binary = "target/auburndale"
	// Ports are the same on all machines.
	portInternal = 7600
	portControl  = 8229
	portFront    = 8221
	portReady    = 8224
	portWorker   = 8308
	portMetrics  = 7601
	// Last octets of the addresses: core machines, other machines, workers behind their links.
	hostCore   = 10
	hostEdge   = 20
	hostWorker = 40
	// linkOffset is added to the last octet of a worker's address for the address at which it listens itself.
	linkOffset = 100
	hostLock   = 250

	coreMachines = 3
	edgeMachines = 2
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = time.Second
	// fieldName is a field of many objects of the platform.
	fieldName   = "name"
	graceTime   = 8 * time.Second
	callTimeout = time.Second
)

// Bounds and settings follow the sheet of zilina-rozpis and the templates of the deploy file.
const relaySettings = `name: "%[1]s"
zone: "%[2]s"
regions: { "zone-a": "r", "zone-b": "r", "zone-c": "r" }
machine: { memory: 144MB }
control: { seeds: [%[3]s], port: 7600 }
membership: { listen: "%[4]s:7600", direct_peers: 64 }
caller: { listen: "%[4]s:8221", write_timeout: 2s, max_unread: 24MiB }
platform: { listen: "%[4]s:7601", ready: "%[4]s:8224" }
registry: { heartbeat: "1200ms", activation_timeout: "2000ms", drain_timeout: "0ms" }
limits: { policy: shared_counters, overrun: 0.1, slack: 110000 }
routing: { retry_share: 0.2, retry_window: 10s, retry_slack: 62 }
admission: { objective_spread: 8, zone_share: 0.06, direct_peers: 16 }
shutdown: { delay: 2.2s, timeout: 8s, grace: 8s }
`

const controlSettings = `name: "%[1]s"
zone: "%[2]s"
regions: { "zone-a": "r", "zone-b": "r", "zone-c": "r" }
machine: { memory: 284MB }
internal: { listen: "%[4]s:7600" }
control: { data_dir: "%[5]s", seeds: [%[3]s], port: 7600, form: %[6]t, losses: 1, silence: 2s }
registry: { listen: "%[4]s:8229", heartbeat: "1200ms", snapshot_interval: 1s }
platform: { listen: "%[4]s:7602" }
placement: { interval: 400ms, handover: "3000ms" }
admission: { objective_spread: 8 }
shutdown: { delay: 0s, timeout: 8s, grace: 8s }
`

var zones = []string{"zone-a", "zone-b", "zone-c"}

// site is all processes and stand-ins of one case.
type site struct {
	dir    string
	subnet string
	lock   net.Listener
	began  time.Time

	controls []*program
	relays   []*program

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
}

// newSite chooses free addresses and a temporary folder.
func newSite(recordFile string) (*site, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("build of the deploy file: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, began: time.Now()}
	if s.file, err = os.Create(recordFile); err != nil {
		return nil, err
	}
	s.record = bufio.NewWriter(s.file)
	for range 200 {
		s.subnet = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(250))
		lock, err := new(net.ListenConfig).Listen(context.Background(), "tcp", s.address(hostLock, portInternal))
		if err == nil {
			s.lock = lock
			break
		}
	}
	if s.lock == nil {
		return nil, errors.New("no free addresses")
	}
	for i := range coreMachines {
		s.controls = append(s.controls, &program{site: s, role: "control", name: fmt.Sprintf("core-%d", i), zone: zones[i%3], ip: s.ip(hostCore + i)})
		s.relays = append(s.relays, &program{site: s, role: "relay", name: fmt.Sprintf("core-%d", i), zone: zones[i%3], ip: s.ip(hostCore + i)})
	}
	for i := range edgeMachines {
		s.relays = append(s.relays, &program{site: s, role: "relay", name: fmt.Sprintf("edge-%d", i), zone: zones[i%3], ip: s.ip(hostEdge + i)})
	}
	return s, nil
}

func (s *site) ip(host int) string { return fmt.Sprintf("%s.%d", s.subnet, host) }

func (s *site) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", s.subnet, host, port) }

func (s *site) programs() []*program { return append(append([]*program{}, s.controls...), s.relays...) }

// close kills all processes that the case has started and removes their files.
func (s *site) close() {
	for _, p := range s.programs() {
		p.kill()
	}
	_ = s.lock.Close()
	_ = os.RemoveAll(s.dir)
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.record.Flush()
	_ = s.file.Close()
}

// logf writes a line with the time since the start of the case.
func (s *site) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f ", time.Since(s.began).Seconds())
	fmt.Fprintf(s.record, format, args...)
	fmt.Fprintln(s.record)
}

// senderZone returns the zone of the control process whose order the bytes hold; empty if they hold none.
func (s *site) senderZone(data []byte) string {
	for _, p := range s.controls {
		if bytes.Contains(data, []byte(`"holder":"`+p.name+`"`)) {
			return p.zone
		}
	}
	return ""
}

// program is one process of the project, which is started anew after each end.
type program struct {
	site *site
	role string
	name string
	zone string
	ip   string

	mu      sync.Mutex
	process *os.Process
	exited  chan struct{}
}

// start writes the settings and starts the process.
func (p *program) start(isFirst bool) error {
	seeds := make([]string, 0, coreMachines)
	for i := range coreMachines {
		seeds = append(seeds, fmt.Sprintf("%q", p.site.address(hostCore+i, portControl)))
	}
	list := strings.Join(seeds, ", ")
	text := fmt.Sprintf(relaySettings, p.name, p.zone, list, p.ip)
	if p.role == "control" {
		text = fmt.Sprintf(controlSettings, p.name, p.zone, list, p.ip, filepath.Join(p.site.dir, "data-"+p.name), isFirst)
	}
	file := filepath.Join(p.site.dir, p.role+"-"+p.name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(p.site.dir, p.role+"-"+p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(context.Background(), binary, p.role, "--settings", file)
	cmd.Stdout, cmd.Stderr = output, output
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	p.process, p.exited = cmd.Process, make(chan struct{})
	p.site.logf("start %s of %s in %s, pid %d", p.role, p.name, p.zone, cmd.Process.Pid)
	exited := p.exited
	go func() {
		err := cmd.Wait()
		_ = output.Close()
		p.site.logf("%s of %s has ended: %v", p.role, p.name, err)
		close(exited)
	}()
	return nil
}

func (p *program) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process != nil {
		p.site.logf("%s to %s of %s", sig, p.role, p.name)
		_ = p.process.Signal(sig)
	}
}

func (p *program) kill() {
	p.mu.Lock()
	process, exited := p.process, p.exited
	p.mu.Unlock()
	if process != nil {
		_ = process.Kill()
		<-exited
	}
}

// restart sends SIGTERM, SIGKILL after the grace time, and starts the process again.
func (p *program) restart(ctx context.Context) {
	p.signal(syscall.SIGTERM)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(graceTime):
		p.kill()
	case <-ctx.Done():
		return
	}
	if sleep(ctx, restartDelay) == nil {
		if err := p.start(false); err != nil {
			p.site.logf("%s of %s does not start: %v", p.role, p.name, err)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// startAll starts all processes, puts the configuration and waits until all relays are ready.
func (s *site) startAll(ctx context.Context, configuration map[string]any) error {
	for _, p := range s.programs() {
		if err := p.start(true); err != nil {
			return err
		}
	}
	document, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	limit := time.Now().Add(30 * time.Second)
	for {
		if status, _ := s.call(ctx, http.MethodPut, "http://"+s.address(hostCore, portControl)+"/configuration", document); status == http.StatusOK {
			break
		}
		if time.Now().After(limit) {
			return errors.New("the configuration is not acknowledged")
		}
		_ = sleep(ctx, 200*time.Millisecond)
	}
	s.logf("configuration acknowledged")
	for _, p := range s.relays {
		for {
			if status, _ := s.call(ctx, http.MethodGet, "http://"+p.ip+fmt.Sprintf(":%d/readiness", portReady), nil); status == http.StatusOK {
				break
			}
			if time.Now().After(limit) {
				return errors.New("a relay is not ready")
			}
			_ = sleep(ctx, 100*time.Millisecond)
		}
	}
	s.logf("all relays are ready")
	return nil
}

var standinClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call makes one call and returns the status, 0 without a complete response, and the body.
func (s *site) call(ctx context.Context, method, url string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := standinClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}
