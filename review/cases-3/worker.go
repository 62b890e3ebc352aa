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

const (
	heartbeat    = 1200 * time.Millisecond
	adapterSlots = 5
	adapterTime  = 5 * time.Millisecond
	modelName    = "m0"
	serviceName  = "llm"
	streamEvents = 4
	eventPause   = 5 * time.Millisecond
)

// order is the body of an order.
type order struct {
	Operation string  `json:"operation"`
	Model     string  `json:"model"`
	Adapter   string  `json:"adapter"`
	Holder    string  `json:"holder"`
	Fence     float64 `json:"fence"`
	Expect    *int64  `json:"expect"`
}

// arrival is an order that has reached a worker.
type arrival struct {
	worker string
	at     time.Time
	order
}

// worker is a stand-in model worker that holds one model and takes orders for its adapters.
type worker struct {
	site  *site
	id    string
	zone  string
	host  int
	born  int64
	index int

	mu       sync.Mutex
	beats    int64
	sequence int64
	// adapters holds the loaded adapters with the number of requests that use each.
	adapters map[string]int
	// leaving holds the adapters that are unloaded once no request uses them.
	leaving  map[string]bool
	arrivals []arrival
	server   *http.Server
}

func newWorker(s *site, index int) *worker {
	return &worker{
		site: s, index: index, host: hostWorker + index, id: fmt.Sprintf("i-%d", index), zone: zones[index%3],
		born: time.Now().UnixMilli(), adapters: make(map[string]int), leaving: make(map[string]bool),
	}
}

// start serves and registers until ctx ends.
func (w *worker) start(ctx context.Context) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", w.site.address(w.host+linkOffset, portWorker))
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = w.server.Serve(listener) }()
	go func() {
		for n := w.index; ctx.Err() == nil; n++ {
			w.register(ctx, n)
			_ = sleep(ctx, heartbeat)
		}
	}()
	return nil
}

// register sends one registration to the control processes, one after the other until one acknowledges it.
func (w *worker) register(ctx context.Context, first int) {
	for i := range coreMachines {
		w.mu.Lock()
		w.beats++
		body := map[string]any{
			"service": serviceName, "address": w.site.address(w.host, portWorker), "zone": w.zone, "version": "v1", "slots": 64, "state": "ready",
			"cold_left_ms": 0, "stage": "both", "models": w.models(), "seq": w.beats, "born": w.born,
			"available": map[string]any{"in_memory": []string{modelName}, "on_disk": []string{modelName}},
		}
		w.mu.Unlock()
		data, err := json.Marshal(body)
		if err != nil {
			return
		}
		url := "http://" + w.site.address(hostCore+(first+i)%coreMachines, portControl) + "/instances/" + w.id
		if status, _ := w.site.call(ctx, http.MethodPut, url, data); status == http.StatusOK {
			return
		}
	}
}

// models returns the models as registrations and reports state them; the caller holds mu.
func (w *worker) models() []map[string]any {
	return []map[string]any{{fieldName: modelName, "version": 1, "adapters": slices.Sorted(maps.Keys(w.adapters))}}
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Auburndale-Expect-Instance"); want != "" && want != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		w.serveReport(rw)
	case "/order":
		w.serveOrder(rw, r)
	case "/healthz":
		rw.Header().Set("X-Auburndale-Instance-Id", w.id)
	default:
		w.serveStream(rw, r)
	}
}

func (w *worker) serveReport(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{
		"stage": "both", "models": w.models(), "busy": false, "seq": w.sequence, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 260530,
		"handles": 0, "pending": []string{}, "state": "ready",
	})
}

func (w *worker) serveOrder(rw http.ResponseWriter, r *http.Request) {
	at := time.Now()
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	w.arrivals = append(w.arrivals, arrival{worker: w.id, at: at, order: o})
	status := w.apply(o)
	w.mu.Unlock()
	w.site.logf("order to %s: %s %s/%s holder %s fence %v -> %d", w.id, o.Operation, o.Model, o.Adapter, o.Holder, o.Fence, status)
	rw.WriteHeader(status)
}

// apply carries out an order and returns the status of the response; the caller holds mu.
func (w *worker) apply(o order) int {
	_, isLoaded := w.adapters[o.Adapter]
	switch {
	case o.Expect != nil && *o.Expect != w.sequence:
		return http.StatusConflict
	case o.Model != modelName || o.Adapter == "":
		// The model is there already, and no order may unload the only one.
		return http.StatusOK
	case o.Operation == "model_load" && isLoaded:
		return http.StatusOK
	case o.Operation == "model_load" && len(w.adapters) >= adapterSlots:
		w.site.logf("%s is ordered to load more adapters than it holds", w.id)
		return http.StatusConflict
	case o.Operation == "model_load":
		w.adapters[o.Adapter] = 0
		w.sequence++
		return http.StatusAccepted
	case !isLoaded:
		return http.StatusOK
	case w.adapters[o.Adapter] > 0:
		w.leaving[o.Adapter] = true
		w.sequence++
		return http.StatusAccepted
	}
	delete(w.adapters, o.Adapter)
	w.sequence++
	return http.StatusOK
}

// begin counts a request for an adapter and returns 0, or the status of a refusal.
func (w *worker) begin(adapter string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.adapters[adapter]; !ok {
		return http.StatusMisdirectedRequest
	}
	if w.leaving[adapter] {
		return http.StatusServiceUnavailable
	}
	w.adapters[adapter]++
	return 0
}

func (w *worker) end(adapter string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.adapters[adapter]--
	if w.leaving[adapter] && w.adapters[adapter] == 0 {
		delete(w.adapters, adapter)
		delete(w.leaving, adapter)
	}
}

func (w *worker) serveStream(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Auburndale-Attempt-Id")
	rw.Header().Set("X-Auburndale-Attempt-Id", id)
	_, _ = io.Copy(io.Discard, r.Body)
	model, adapter, _ := strings.Cut(r.Header.Get("X-Auburndale-Model"), "/")
	status := http.StatusMisdirectedRequest
	if model == modelName {
		status = w.begin(adapter)
	}
	if status != 0 {
		rw.Header().Set("X-Auburndale-Not-Executed", "1")
		rw.WriteHeader(status)
		return
	}
	defer w.end(adapter)
	rw.Header().Set("X-Auburndale-Server-Seal", w.id+"."+id)
	rw.Header().Set("X-Auburndale-Weight-Versions", "1")
	rw.Header().Set("Content-Type", "text/event-stream")
	_ = sleep(r.Context(), adapterTime)
	flusher, ok := rw.(http.Flusher)
	if !ok {
		return
	}
	for n := range streamEvents {
		fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n+1, id)
		flusher.Flush()
		if sleep(r.Context(), eventPause) != nil {
			return
		}
	}
}
