package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the users' pages.
const (
	headerAttempt  = "X-Auburndale-Attempt-Id"
	headerSeal     = "X-Auburndale-Server-Seal"
	headerNotRun   = "X-Auburndale-Not-Executed"
	headerInstance = "X-Auburndale-Expect-Instance"
)

// registrationInterval is heartbeat_ms of a small site.
const registrationInterval = 1200 * time.Millisecond

// repeatTarget is the attempt in whose place a repeated answer comes.
type repeatTarget int

// Repeat targets.
const (
	// repeatToOther sends it only if another attempt than its own comes next on the connection.
	repeatToOther repeatTarget = iota
	// repeatToSame sends it only if the same attempt comes next, because the relay sends it again.
	repeatToSame
)

// worker is a stand-in worker of a plain service. It writes its answers itself, so that a case
// decides about each byte.
type worker struct {
	index   int
	id      string
	service string
	address string
	site    *site
	// slots is the number of requests that run at once, places that of those that run or wait;
	// further ones are rejected as the pages say of a full worker.
	slots  chan struct{}
	places int
	// workTime is how long a request runs.
	workTime time.Duration
	// isTrouble is set while the disruption of the case lasts.
	isTrouble atomic.Bool
	// repeatShare is the share of the answers that come a second time, late, while isTrouble is
	// set; lostShare that of the answers that are lost with their connection.
	repeatShare float64
	lostShare   float64
	// repeatsTo limits the repeated answers to connections on which a certain attempt comes next.
	repeatsTo repeatTarget

	held atomic.Int64
	// engine is nil for a plain service.
	engine *engine

	mu sync.Mutex
	// runs counts the runs of each attempt, refusals and repeats what the worker answered.
	runs     map[string]int
	refusals int
	repeats  int
	lost     int
}

// Sizes of a worker of a plain service.
const (
	workerSlots = 6
	workerQueue = 3
	// unlimitedSlots is for workers that never are full in a case.
	unlimitedSlots = 64
)

func newWorker(index int, service string) *worker {
	return &worker{
		index: index, service: service, runs: make(map[string]int),
		slots: make(chan struct{}, unlimitedSlots), places: unlimitedSlots,
		id: fmt.Sprintf("i-%d-%08x", index, rand.Uint32()),
	}
}

// limit gives the worker the slots and the queue of a small site.
func (w *worker) limit() {
	w.slots, w.places = make(chan struct{}, workerSlots), workerSlots+workerQueue
}

// start serves and registers until ctx ends.
func (w *worker) start(ctx context.Context, s *site) error {
	w.site, w.address = s, s.address(firstWorkerHost+w.index, portWorker)
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", w.address)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	go w.register(ctx, time.Now().UnixMilli())
	return nil
}

// register repeats the registration, at any control process.
func (w *worker) register(ctx context.Context, born int64) {
	for seq := 1; ctx.Err() == nil && (w.engine == nil || !w.engine.hasCrashed()); seq++ {
		registration := map[string]any{
			"service": w.service, "address": w.address, "zone": "sul-a", "version": "v1", "slots": cap(w.slots),
			"state": "ready", "cold_left_ms": 0, "born": born, "seq": seq,
		}
		if w.engine != nil {
			registration["stage"], registration["models"] = "both", w.engine.modelList()
		}
		body, _ := json.Marshal(registration)
		for _, machine := range rand.Perm(machineCount) {
			url := "http://" + w.site.address(machine+1, portControl) + "/instances/" + w.id
			if w.site.call(ctx, http.MethodPut, url, body) == http.StatusOK {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(registrationInterval):
		}
	}
}

// repeatedAnswer is an answer that comes once more before the next one; empty for none.
type repeatedAnswer struct {
	attempt string
	text    string
}

// serve answers the requests of one connection, one at a time.
func (w *worker) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var repeated repeatedAnswer
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || w.engine != nil && w.engine.hasCrashed() {
			return
		}
		if w.engine != nil && req.URL.Path == pathDraft {
			if !w.engine.serveStream(w, conn, req) {
				return
			}
			continue
		}
		if !w.repeat(conn, req, repeated) {
			return
		}
		answer := w.answer(req, body)
		if _, err := io.WriteString(conn, answer); err != nil || answer == "" {
			return
		}
		repeated = repeatedAnswer{}
		if w.isTrouble.Load() && rand.Float64() < w.repeatShare {
			repeated = repeatedAnswer{attempt: req.Header.Get(headerAttempt), text: answer}
		}
	}
}

// repeat sends an earlier answer of the connection once more before the answer to the request, if the
// case wants it in the place of this one. It returns false if the connection has ended.
func (w *worker) repeat(conn net.Conn, req *http.Request, repeated repeatedAnswer) bool {
	attempt := req.Header.Get(headerAttempt)
	isSame := repeated.attempt == attempt
	if repeated.text == "" || isSame != (w.repeatsTo == repeatToSame) {
		return true
	}
	w.count(&w.repeats)
	w.site.rec.add("%s sends its answer to %s again, where that to %s is due", w.id, repeated.attempt, attempt)
	_, err := io.WriteString(conn, repeated.text)
	return err == nil
}

// answer runs or rejects a request and returns the bytes of the answer; none if it is lost.
func (w *worker) answer(req *http.Request, body []byte) string {
	attempt := req.Header.Get(headerAttempt)
	switch {
	case req.URL.Path == "/healthz":
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Auburndale-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
	case req.Header.Get(headerInstance) != w.id:
		return "HTTP/1.1 421 Misdirected Request\r\n" + headerAttempt + ": " + attempt + "\r\nContent-Length: 0\r\n\r\n"
	case w.engine != nil && req.URL.Path == "/report":
		return jsonAnswer(http.StatusOK, w.engine.report())
	case w.engine != nil && req.URL.Path == "/order":
		return w.engine.order(w, body)
	}
	if held := w.held.Add(1); held > int64(w.places) {
		w.held.Add(-1)
		w.count(&w.refusals)
		w.site.rec.add("%s is full and rejects %s", w.id, attempt)
		return "HTTP/1.1 503 Service Unavailable\r\n" + headerAttempt + ": " + attempt + "\r\n" + headerNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
	}
	defer w.held.Add(-1)
	w.slots <- struct{}{}
	defer func() { <-w.slots }()
	w.mu.Lock()
	w.runs[attempt]++
	w.mu.Unlock()
	w.site.rec.add("%s runs %s", w.id, attempt)
	time.Sleep(w.workTime/2 + rand.N(w.workTime+1))
	if w.isTrouble.Load() && rand.Float64() < w.lostShare {
		w.count(&w.lost)
		w.site.rec.add("%s has run %s and its answer is lost", w.id, attempt)
		return ""
	}
	content := answerBody(attempt)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headerAttempt, attempt, headerSeal, w.id, len(content), content)
}

func (w *worker) count(counter *int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*counter++
}

// answerBody returns the body of the answer to an attempt.
func answerBody(attempt string) string { return strings.Repeat(attempt+"\n", 20) }

// countRuns returns how often each attempt ran at any of the workers.
func countRuns(workers []*worker) map[string]int {
	runs := make(map[string]int)
	for _, w := range workers {
		w.mu.Lock()
		for attempt, n := range w.runs {
			runs[attempt] += n
		}
		w.mu.Unlock()
	}
	return runs
}
