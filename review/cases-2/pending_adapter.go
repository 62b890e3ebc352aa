package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const draftConfiguration = `{"version":1,"routes":[{"name":"draft","host":"roster.example","path_prefix":"/draft/","route_kind":"streaming","timeout_ms":5000,"slo_ms":800,"priority":1,"service":"llm","max_attempts":2,"sticky":true,"resumable":false,"gap_slo_ms":500}],"services":[{"name":"llm","health_path":"/healthz","max_conns":390,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":260530,"models":[{"name":"large","weights_mb":120000,"load_s":2.6,"adapters":30,"adapter_mb":66,"warm_s":0.3,"disk_load_s":0.52},{"name":"small","weights_mb":79780,"load_s":2.6,"adapters":0,"adapter_mb":66,"warm_s":0.3,"disk_load_s":0.52}],"weights_mb":200000,"adapter_slots":4,"loads_per_s":1.4}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	// adapterCount is the number of adapters of the large model.
	adapterCount = 30
	// engineCount is the number of engines. The last one holds the small model.
	engineCount = 6
	// crashCount is the number of crashes of the engine that holds the small model, each for downTime.
	crashCount = 4
	downTime   = 4500 * time.Millisecond
	// draftDeadline is the clients' deadline.
	draftDeadline = 5 * time.Second
)

// playPendingAdapter crashes the engine with the only copy of a model while adapters come and go on the other one.
func playPendingAdapter(ctx context.Context, s *site, isTroubled bool) (bool, error) {
	if err := s.startAll(ctx, draftConfiguration); err != nil {
		return false, err
	}
	size := engineSize{
		megabytes: 200000, adapterSlots: 4, adapterMegabytes: 66, callTime: 5 * time.Millisecond,
		models: map[string]model{
			"large": {name: "large", megabytes: 120000, loadTime: 2600 * time.Millisecond},
			"small": {name: "small", megabytes: 79780, loadTime: 2600 * time.Millisecond},
		},
	}
	var engines []*engine
	for i := 1; i <= engineCount; i++ {
		engines = append(engines, newEngine(s, i, size))
	}
	holder := engines[engineCount-1]
	for _, e := range engines {
		name := "large"
		if e == holder {
			name = "small"
		}
		if err := e.start(ctx, name); err != nil {
			return false, err
		}
	}
	overloads := func() (sum int) {
		for _, e := range engines {
			sum += e.overloadCount()
		}
		return sum
	}
	if err := s.awaitReady(ctx); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	clients := newCaller(s, "roster.example")
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	var all sync.WaitGroup
	send := func(interval time.Duration, tokens string, modelName func() string) {
		for i := 0; sending.Err() == nil; i++ {
			all.Go(func() {
				clients.send(ctx, 1+i%machineCount, http.MethodPost, "/draft/1", draftDeadline, map[string]string{
					"X-Auburndale-Model": modelName(), "X-Auburndale-Token-Count": tokens, "X-Auburndale-Prompt-Prefix": fmt.Sprintf("%x:100", i),
				}, "draft")
			})
			time.Sleep(interval)
		}
	}
	go send(16*time.Millisecond, "600,20", func() string { return fmt.Sprintf("large/a%d", 1+rand.IntN(adapterCount)) })
	// So few requests need no second copy.
	go send(700*time.Millisecond, "150,10", func() string { return "small" })
	time.Sleep(8 * time.Second)
	for i := 0; i < crashCount && overloads() == 0; i++ {
		if isTroubled {
			holder.crash()
		}
		time.Sleep(downTime)
		if isTroubled {
			if err := holder.start(ctx); err != nil {
				return false, err
			}
		}
		time.Sleep(8 * time.Second)
	}
	stopSending()
	time.Sleep(draftDeadline)
	statuses := make(map[int]int)
	for _, a := range clients.results() {
		statuses[a.status]++
	}
	s.record.tell("answers by status %v; engines were ordered to load more than they hold %d times", statuses, overloads())
	return overloads() > 0, nil
}
