package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// model is one model of the configuration.
type model struct {
	name      string
	megabytes float64
	loadTime  time.Duration
}

// engineSize is what an engine holds.
type engineSize struct {
	megabytes        float64
	adapterSlots     int
	adapterMegabytes float64
	// callTime is the time of the way of an order with its new connection.
	callTime time.Duration
	models   map[string]model
}

// order is the body of an order.
type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expect    *int64 `json:"expect"`
	Holder    string `json:"holder"`
	Fence     int64  `json:"fence"`
}

// engine is a stand-in of a model worker. It takes orders as the pages say, and crashes if it is ordered to load more than it holds.
//
// Lock order: mu is a leaf lock.
type engine struct {
	site    *site
	size    engineSize
	index   int
	address string

	mu     sync.Mutex
	starts int
	id     string
	bornMs int64
	beatNo int64
	seq    int64
	server *http.Server
	cancel context.CancelFunc
	// models holds the adapters of each model, also those that are being loaded; loading is the model that an order is about.
	models    map[string]map[string]bool
	loading   string
	running   map[string]int
	overloads []string
	machine   int
}

func newEngine(s *site, index int, size engineSize) *engine {
	return &engine{site: s, size: size, index: index, address: s.workerAddress(index), machine: 1 + index%machineCount}
}

// start starts the engine with some models and under a new id.
func (e *engine) start(ctx context.Context, models ...string) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", e.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	e.id, e.bornMs, e.beatNo, e.seq = fmt.Sprintf("i-llm-%d-%d", e.index, e.starts), time.Now().UnixMilli(), 0, 0
	e.models, e.loading, e.running = make(map[string]map[string]bool), "", make(map[string]int)
	for _, name := range models {
		e.models[name] = make(map[string]bool)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /report", e.report)
	mux.HandleFunc("POST /order", e.order)
	mux.HandleFunc("/", e.serve)
	e.server, e.cancel = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}, cancel
	server := e.server
	go func() { _ = server.Serve(listener) }()
	go e.beat(ctx)
	e.site.record.add("engine %s: starts with %v", e.id, models)
	return nil
}

// crash ends the engine with all that it holds.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.site.record.add("engine %s: crashes", e.id)
	e.cancel()
	_ = e.server.Close()
}

// used returns the memory that models and adapters take; the caller holds mu.
func (e *engine) used() (megabytes float64, adapters int) {
	for name, loaded := range e.models {
		megabytes += e.size.models[name].megabytes + float64(len(loaded))*e.size.adapterMegabytes
		adapters += len(loaded)
	}
	return megabytes, adapters
}

// describe returns the models as the engine states them; the caller holds mu.
func (e *engine) describe() []map[string]any {
	models := []map[string]any{}
	for _, name := range slices.Sorted(maps.Keys(e.models)) {
		if name != e.loading {
			models = append(models, map[string]any{"name": name, "version": 1, "adapters": slices.Sorted(maps.Keys(e.models[name]))})
		}
	}
	return models
}

func (e *engine) isMisdirected(rw http.ResponseWriter, req *http.Request) bool {
	expected := req.Header.Get("X-Auburndale-Expect-Instance")
	if expected == "" || expected == e.id {
		return false
	}
	rw.Header().Set("X-Auburndale-Instance-Id", e.id)
	rw.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (e *engine) report(rw http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{
		"stage": "both", "models": e.describe(), "busy": e.loading != "", "seq": e.seq, "queued": 0, "running": len(e.running),
		"kv_used": 0, "kv_total": 200000, "handles": 0,
	})
}

// order takes one order.
func (e *engine) order(rw http.ResponseWriter, req *http.Request) {
	time.Sleep(e.size.callTime)
	var o order
	if json.NewDecoder(req.Body).Decode(&o) != nil || o.Holder == "" {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isMisdirected(rw, req) {
		return
	}
	status := e.accept(o)
	megabytes, adapters := e.used()
	e.site.record.add("engine %s: order %s %s/%s expect %v by %s with fence %d: %d; now %.0f of %.0f MB, %d adapters", e.id, o.Operation, o.Model, o.Adapter, value(o.Expect), o.Holder, o.Fence, status, megabytes, e.size.megabytes, adapters)
	rw.WriteHeader(status)
	if status == http.StatusAccepted && o.Operation == "model_load" && (megabytes > e.size.megabytes || adapters > e.size.adapterSlots) {
		e.overloads = append(e.overloads, fmt.Sprintf("%s was ordered to hold %.0f of %.0f MB and %d of %d adapters", e.id, megabytes, e.size.megabytes, adapters, e.size.adapterSlots))
		e.site.record.tell("rule broken: %s", e.overloads[len(e.overloads)-1])
		go e.crash()
	}
}

func value(n *int64) any {
	if n == nil {
		return "nothing"
	}
	return *n
}

// accept carries out an order; the caller holds mu.
func (e *engine) accept(o order) int {
	loaded, isPresent := e.models[o.Model]
	switch {
	case e.loading != "" || o.Expect != nil && *o.Expect != e.seq:
		return http.StatusConflict
	case o.Adapter != "" && !isPresent:
		return http.StatusMisdirectedRequest
	case o.Operation == "model_load" && o.Adapter != "":
		if loaded[o.Adapter] {
			return http.StatusOK
		}
		loaded[o.Adapter] = true
	case o.Operation == "model_unload" && o.Adapter != "":
		delete(loaded, o.Adapter)
		e.seq++
		return http.StatusOK
	case o.Operation == "model_load":
		if isPresent {
			return http.StatusOK
		}
		e.models[o.Model], e.loading = make(map[string]bool), o.Model
		e.finishAfter(e.size.models[o.Model].loadTime, nil)
	case o.Operation == "model_unload":
		if !isPresent {
			return http.StatusOK
		}
		e.loading = o.Model
		e.finishAfter(50*time.Millisecond, func() { delete(e.models, o.Model) })
	default:
		return http.StatusBadRequest
	}
	e.seq++
	return http.StatusAccepted
}

// finishAfter ends the order in progress; the caller holds mu.
func (e *engine) finishAfter(d time.Duration, finish func()) {
	starts := e.starts
	time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.starts != starts {
			return
		}
		if finish != nil {
			finish()
		}
		e.loading = ""
	})
}

// serve runs one stream.
func (e *engine) serve(rw http.ResponseWriter, req *http.Request) {
	callID := req.Header.Get("X-Auburndale-Attempt-Id")
	_, _ = io.Copy(io.Discard, req.Body)
	rw.Header().Set("X-Auburndale-Attempt-Id", callID)
	name, adapter, _ := strings.Cut(req.Header.Get("X-Auburndale-Model"), "/")
	e.mu.Lock()
	if e.isMisdirected(rw, req) {
		e.mu.Unlock()
		return
	}
	loaded, isPresent := e.models[name]
	if !isPresent || name == e.loading || adapter != "" && !loaded[adapter] {
		e.mu.Unlock()
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Unlock()
	rw.Header().Set("X-Auburndale-Server-Seal", "seal-"+callID)
	rw.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= 3; i++ {
		time.Sleep(10 * time.Millisecond)
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s %d\n\n", i, callID, i); err != nil {
			return
		}
		_ = http.NewResponseController(rw).Flush()
	}
}

// beat registers every heartbeat.
func (e *engine) beat(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		e.beatNo++
		id, machine := e.id, e.machine
		data, _ := json.Marshal(map[string]any{
			"service": "llm", "address": e.address, "zone": fmt.Sprintf("z%d", 1+e.index%machineCount), "version": "v1", "slots": 64,
			"state": "ready", "cold_left_ms": 0, "stage": "both", "models": e.describe(), "seq": e.beatNo, "born": e.bornMs,
		})
		e.mu.Unlock()
		status := call(ctx, http.MethodPut, "http://"+e.site.address(machine, portControl)+"/instances/"+id, string(data))
		if status != http.StatusOK {
			e.mu.Lock()
			e.machine = machine%machineCount + 1
			e.mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// overloadCount returns how often the engine was ordered to load more than it holds.
func (e *engine) overloadCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.overloads)
}
