package main

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// A worker holds two of three models; a third one does not fit beside them.
	retiredWorkers   = 2
	draftClients     = 6
	retiredWeightsMB = 200000
	retiredModelMB   = 72700
	retiredLoadTime  = 800 * time.Millisecond
	// retiredCalm is the time before the change of the configuration, in which the leader begins to
	// send orders, and retiredWatch the time after it.
	retiredCalm  = 8 * time.Second
	retiredWatch = 8 * time.Second
)

// engineConfiguration has a service of model workers and three models.
const engineConfiguration = `{"version":7,"routes":[
{"name":"r-draft","host":"wuny96.example","path_prefix":"/draft/","route_kind":"streaming","timeout_ms":6000,"slo_ms":1000,"priority":2,"service":"dele69a","max_attempts":1,"anonymous":false,"sticky":true,"resumable":false,"gap_slo_ms":600}],
"services":[{"name":"dele69a","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":232000,"weights_mb":200000,"adapter_slots":5,"loads_per_s":2.1,"models":[
{"name":"daka510000","weights_mb":72700,"load_s":0.8,"adapters":0,"adapter_mb":12,"disk_load_s":0.8},
{"name":"rada7437b5","weights_mb":72700,"load_s":0.8,"adapters":0,"adapter_mb":12,"disk_load_s":0.8},
{"name":"ravo486f6a","weights_mb":72700,"load_s":0.8,"adapters":0,"adapter_mb":12,"disk_load_s":0.8}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}`

// playRetiredModel drops a model, which workers hold, from the configuration.
func playRetiredModel(ctx context.Context, s *site, withTrouble bool) ([]string, error) {
	const retired = `{"name":"daka510000","weights_mb":72700,"load_s":0.8,"adapters":0,"adapter_mb":12,"disk_load_s":0.8},`
	workers := make([]*worker, 0, retiredWorkers)
	for i := range retiredWorkers {
		w := newWorker(i, otherService)
		w.engine = &engine{
			weightsMB: retiredWeightsMB, loadTime: retiredLoadTime, models: map[string]bool{"daka510000": true, "rada7437b5": true}, crashed: make(chan struct{}),
			sizes: map[string]float64{"daka510000": retiredModelMB, "rada7437b5": retiredModelMB, "ravo486f6a": retiredModelMB},
		}
		workers = append(workers, w)
	}
	if err := s.start(ctx, workers, engineConfiguration); err != nil {
		return nil, err
	}
	var results []result
	var group sync.WaitGroup
	group.Go(func() { results = newDraftLoad(s).run(ctx, retiredCalm+retiredWatch) })
	time.Sleep(retiredCalm)
	next := strings.Replace(engineConfiguration, `"version":7`, `"version":9`, 1)
	if withTrouble {
		next = strings.Replace(next, retired, "", 1)
	}
	if err := s.await(ctx, func() bool { return s.putConfiguration(ctx, next) }); err != nil {
		return nil, err
	}
	s.rec.add("new configuration acknowledged")
	group.Wait()
	var violations []string
	for _, w := range workers {
		w.engine.mu.Lock()
		violations = append(violations, w.engine.overcommits...)
		w.engine.mu.Unlock()
	}
	s.rec.add("answers by status: %v (0: the stream broke off)", countStatuses(results))
	return violations, nil
}

// newDraftLoad returns clients that ask for streams of a model which stays in the configuration.
func newDraftLoad(s *site) load {
	clients := make([]*client, 0, draftClients)
	for i := range draftClients {
		clients = append(clients, &client{
			rec: s.rec, front: s.front(i % machineCount), method: http.MethodPost, path: pathDraft,
			extra: "X-Auburndale-Model: rada7437b5\r\nX-Auburndale-Token-Count: 1000,30\r\n", body: "{}",
		})
	}
	return load{clients: clients, pause: eventPause}
}
