package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a request that a worker has begun to run.
type run struct {
	callID  string
	path    string
	beganAt time.Time
	// isAnswered is set once the answer was written.
	isAnswered bool
}

// worker is a stand-in of a plain service. It registers every heartbeat and serves until it is stopped.
//
// Lock order: mu is a leaf lock.
type worker struct {
	site    *site
	id      string
	service string
	address string
	zone    string
	// work is the time that a request takes.
	work time.Duration

	server *http.Server
	bornMs int64

	mu   sync.Mutex
	seq  int64
	runs []*run
	// isSilent ends the heartbeats.
	isSilent bool
	// machine is the one that answered last.
	machine int
}

func newWorker(s *site, index int, service string, work time.Duration) *worker {
	return &worker{
		site: s, id: fmt.Sprintf("i-%s-%d", service, index), service: service, address: s.workerAddress(index),
		zone: fmt.Sprintf("z%d", 1+index%machineCount), work: work, machine: 1 + index%machineCount,
	}
}

// start listens and registers until ctx ends.
func (w *worker) start(ctx context.Context) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", w.address)
	if err != nil {
		return err
	}
	w.bornMs = time.Now().UnixMilli()
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("X-Auburndale-Instance-Id", w.id)
		rw.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("/", w.serve)
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(listener) }()
	go w.beat(ctx)
	return nil
}

// serve runs one request.
func (w *worker) serve(rw http.ResponseWriter, req *http.Request) {
	callID := req.Header.Get("X-Auburndale-Attempt-Id")
	_, _ = io.Copy(io.Discard, req.Body)
	rw.Header().Set("X-Auburndale-Attempt-Id", callID)
	if expected := req.Header.Get("X-Auburndale-Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("X-Auburndale-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	current := &run{callID: callID, path: req.URL.Path, beganAt: time.Now()}
	w.mu.Lock()
	w.runs = append(w.runs, current)
	w.mu.Unlock()
	w.site.record.add("worker %s: runs %s", w.id, callID)
	select {
	case <-time.After(w.work):
	case <-req.Context().Done():
		return
	}
	rw.Header().Set("X-Auburndale-Server-Seal", "seal-"+callID)
	_, err := fmt.Fprintf(rw, "done %s by %s\n", callID, w.id)
	w.mu.Lock()
	current.isAnswered = err == nil
	w.mu.Unlock()
}

// registration returns the next registration.
func (w *worker) registration(state string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	data, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 6, "state": state,
		"cold_left_ms": 0, "seq": w.seq, "born": w.bornMs,
	})
	return string(data)
}

// beat sends a registration every heartbeat.
func (w *worker) beat(ctx context.Context) {
	for {
		w.mu.Lock()
		isSilent := w.isSilent
		w.mu.Unlock()
		if isSilent {
			return
		}
		w.report(ctx, http.MethodPut, w.registration("ready"))
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

// report sends a message to the machine that answered last, then to the others. It returns the machine
// that acknowledged it, 0 for none.
func (w *worker) report(ctx context.Context, method, body string) int {
	for range 2 * machineCount {
		w.mu.Lock()
		machine := w.machine
		w.mu.Unlock()
		status := w.reportAt(ctx, machine, method, body)
		if status == http.StatusOK {
			return machine
		}
		w.mu.Lock()
		w.machine = machine%machineCount + 1
		w.mu.Unlock()
		if method == http.MethodPut {
			body = w.registration("ready")
		}
		select {
		case <-ctx.Done():
			return 0
		case <-time.After(100 * time.Millisecond):
		}
	}
	return 0
}

// reportAt sends a message to one machine.
func (w *worker) reportAt(ctx context.Context, machine int, method, body string) int {
	status := call(ctx, method, "http://"+w.site.address(machine, portControl)+"/instances/"+w.id, body)
	w.site.record.add("worker %s: %s /instances/%s %s at machine %d: %d", w.id, method, w.id, body, machine, status)
	return status
}

// silence ends the heartbeats.
func (w *worker) silence() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isSilent = true
}

// exit ends the worker with all that it is running.
func (w *worker) exit() {
	w.site.record.add("worker %s: exits", w.id)
	_ = w.server.Close()
}

// runsSince returns the runs that began at the time or later.
func (w *worker) runsSince(t time.Time) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var since []run
	for _, r := range w.runs {
		if !r.beganAt.Before(t) {
			since = append(since, *r)
		}
	}
	return since
}
