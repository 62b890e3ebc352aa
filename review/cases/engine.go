package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// engine is the model engine of a stand-in worker. It takes orders as the users' pages say.
type engine struct {
	// weightsMB is the memory for weights, sizes holds the size of each model's weights.
	weightsMB float64
	sizes     map[string]float64
	loadTime  time.Duration

	mu sync.Mutex
	// models are those that the engine holds, loading is the one that it loads.
	models  map[string]bool
	loading string
	// seq is the number of orders accepted.
	seq int64
	// overcommits lists the orders that exceed the memory; the worker crashes at the first one.
	overcommits []string
	// crashed is closed when the worker crashes.
	crashed chan struct{}
}

const (
	// A stream has streamEvents events, eventPause apart.
	streamEvents = 30
	eventPause   = 100 * time.Millisecond
)

// serveStream runs a request and writes the events of its stream. It returns false if the
// connection ends before the stream does.
func (e *engine) serveStream(w *worker, conn net.Conn, req *http.Request) bool {
	attempt := req.Header.Get(headerAttempt)
	e.mu.Lock()
	isHeld := e.models[req.Header.Get("X-Auburndale-Model")]
	e.mu.Unlock()
	if req.Header.Get(headerInstance) != w.id || !isHeld {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerAttempt, attempt)
		return err == nil
	}
	w.mu.Lock()
	w.runs[attempt]++
	w.mu.Unlock()
	w.site.rec.add("%s runs %s", w.id, attempt)
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
		headerAttempt, attempt, headerSeal, w.id); err != nil {
		return false
	}
	for i := range streamEvents {
		select {
		case <-e.crashed:
			w.site.rec.add("%s has crashed; its stream of %s breaks off after %d events", w.id, attempt, i)
			return false
		case <-time.After(eventPause):
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, attempt)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// hasCrashed reports whether the worker has crashed.
func (e *engine) hasCrashed() bool {
	select {
	case <-e.crashed:
		return true
	default:
		return false
	}
}

// orderBody is the body of an order.
type orderBody struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expect    *int64 `json:"expect"`
	Holder    string `json:"holder"`
	Fence     uint64 `json:"fence"`
}

func jsonAnswer(status int, body any) string {
	data, _ := json.Marshal(body)
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(data), data)
}

// modelList returns the models as registrations and reports list them.
func (e *engine) modelList() []map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]map[string]any, 0, len(e.models))
	for _, name := range slices.Sorted(maps.Keys(e.models)) {
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return list
}

func (e *engine) report() map[string]any {
	models := e.modelList()
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"stage": "both", "models": models, "busy": e.loading != "", "seq": e.seq, "queued": 0, "running": 0,
		"kv_used": 0, "kv_total": 232000, "handles": 0,
	}
}

// usedMB returns the memory that the models take, with the one that is being loaded; the caller
// holds mu.
func (e *engine) usedMB() float64 {
	used := e.sizes[e.loading]
	for name := range e.models {
		used += e.sizes[name]
	}
	return used
}

// order carries out an order and returns the answer.
func (e *engine) order(w *worker, body []byte) string {
	var o orderBody
	if err := json.Unmarshal(body, &o); err != nil || o.Holder == "" || o.Fence == 0 {
		return jsonAnswer(http.StatusBadRequest, struct{}{})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.apply(o)
	w.site.rec.add("%s is ordered by %s (fence %d): %s of %s, status %d; %.0f of %.0f MB are taken, by %v and %q",
		w.id, o.Holder, o.Fence, o.Operation, o.Model, status, e.usedMB(), e.weightsMB, slices.Sorted(maps.Keys(e.models)), e.loading)
	if used := e.usedMB(); used > e.weightsMB && !e.hasCrashed() {
		close(e.crashed)
		e.overcommits = append(e.overcommits, fmt.Sprintf("LIMIT: %s is ordered to load %s beside %v: %.0f of %.0f MB", w.id, o.Model, slices.Sorted(maps.Keys(e.models)), used, e.weightsMB))
	}
	return jsonAnswer(status, struct{}{})
}

// apply applies an order and returns the status of the answer; the caller holds mu.
func (e *engine) apply(o orderBody) int {
	switch {
	case e.loading != "" || o.Expect != nil && *o.Expect != e.seq:
		return http.StatusConflict
	case o.Operation == "model_load" && e.models[o.Model], o.Operation == "model_unload" && !e.models[o.Model]:
		return http.StatusOK
	case o.Operation == "model_unload":
		delete(e.models, o.Model)
	default:
		e.loading = o.Model
		time.AfterFunc(e.loadTime, e.finishLoad)
	}
	e.seq++
	return http.StatusAccepted
}

func (e *engine) finishLoad() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.models[e.loading], e.loading = true, ""
}
