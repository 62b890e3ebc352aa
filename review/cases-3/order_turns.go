package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	workerCount   = 9
	adapterCount  = 99
	requestPause  = 6 * time.Millisecond
	rounds        = 11
	firstRound    = 6 * time.Second
	roundTime     = 9 * time.Second
	lossTime      = 5500 * time.Millisecond
	lossLead      = 1500 * time.Millisecond
	lossShare     = 0.04
	leaseTime     = 3 * time.Second
	thawTime      = 300 * time.Millisecond
	minimumOrders = 200
	host          = "desk.example"
	key           = "k7f3b9wu3fexd9dnn2ct"
)

func configuration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			fieldName: "r-ask", "host": host, "path_prefix": "/ask/", "route_kind": "streaming", "timeout_ms": 5000, "slo_ms": 4000, "priority": 0,
			"service": serviceName, "max_attempts": 2, "anonymous": false, "sticky": true, "resumable": false, "gap_slo_ms": 500,
		}},
		"services": []map[string]any{{
			fieldName: serviceName, "health_path": "/healthz", "max_conns": 390, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kv_capacity": 260530, "kv_token_bytes": 163840, "weights_mb": 230000, "adapter_slots": adapterSlots, "loads_per_s": 1.4,
				"models": []map[string]any{{fieldName: modelName, "weights_mb": 65100, "load_s": 2.6, "adapters": adapterCount, "adapter_mb": 12, "warm_s": 0.3, "disk_load_s": 0.52}},
			},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{fieldName: "t0", "api_keys": []string{key}, "priority": 1, "unit": "token_count", "plain_tokens": 200, "rate_per_s": 0, "burst": 0}},
	}
}

// playOrderTurns stops and starts the machine that gives the orders while its zone's links lose packets, again and again, and looks
// for orders of two holders that reach one worker within the lease.
func playOrderTurns(ctx context.Context, s *site, isTroubled bool) (int, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	losses := &loss{share: lossShare}
	var workers []*worker
	for i := range workerCount {
		w := newWorker(s, i)
		way := &link{site: s, loss: losses, zone: w.zone, upstream: s.address(w.host+linkOffset, portWorker)}
		if err := errors.Join(w.start(ctx), way.serve(ctx, s.address(w.host, portWorker))); err != nil {
			return 0, err
		}
		workers = append(workers, w)
	}
	if err := s.startAll(ctx, configuration()); err != nil {
		return 0, err
	}
	var healedAt []time.Time
	var clients sync.WaitGroup
	clientCtx, stopClients := context.WithCancel(ctx)
	clients.Go(func() { sendRequests(clientCtx, s) })
	_ = sleep(ctx, firstRound)
	for range rounds {
		if !isTroubled {
			_ = sleep(ctx, roundTime)
			continue
		}
		end := time.Now().Add(roundTime)
		healedAt = append(healedAt, disturb(ctx, s, workers, losses))
		_ = sleep(ctx, time.Until(end))
	}
	stopClients()
	clients.Wait()
	return judgeTurns(s, workers, healedAt)
}

// disturb plays one round and returns when the links lost no more packets.
func disturb(ctx context.Context, s *site, workers []*worker, losses *loss) time.Time {
	leader := holder(workers)
	i := slices.IndexFunc(s.controls, func(p *program) bool { return p.name == leader })
	if i < 0 {
		return time.Now()
	}
	zone := s.controls[i].zone
	s.logf("links between %s and the other zones lose %v of the packets", zone, lossShare)
	losses.zone.Store(&zone)
	healed := time.Now().Add(lossTime)
	_ = sleep(ctx, lossLead)
	for _, p := range s.programs() {
		if p.name == leader {
			go p.restart(ctx)
		}
	}
	_ = sleep(ctx, time.Until(healed))
	losses.zone.Store(nil)
	s.logf("links lose no more packets")
	return time.Now()
}

// holder returns the holder of the newest order.
func holder(workers []*worker) string {
	var newest arrival
	for _, w := range workers {
		w.mu.Lock()
		if n := len(w.arrivals); n > 0 && w.arrivals[n-1].at.After(newest.at) {
			newest = w.arrivals[n-1]
		}
		w.mu.Unlock()
	}
	return newest.Holder
}

// judgeTurns counts pairs of orders of two holders that reached one worker within the lease, and those under a wrong fence.
func judgeTurns(s *site, workers []*worker, healedAt []time.Time) (int, error) {
	broken, orders := 0, 0
	for _, w := range workers {
		w.mu.Lock()
		arrivals := slices.Clone(w.arrivals)
		w.mu.Unlock()
		orders += len(arrivals)
		arrivals = slices.DeleteFunc(arrivals, func(a arrival) bool {
			return slices.ContainsFunc(healedAt, func(at time.Time) bool { return a.at.After(at) && a.at.Sub(at) < thawTime })
		})
		for i := 1; i < len(arrivals); i++ {
			before, after := arrivals[i-1], arrivals[i]
			if before.Holder != after.Holder {
				s.logf("turn at %s: %s (fence %v) at %.3f, %s (fence %v) %.3f s later", w.id, before.Holder, before.Fence, before.at.Sub(s.began).Seconds(),
					after.Holder, after.Fence, after.at.Sub(before.at).Seconds())
			}
			if before.Holder != after.Holder && after.at.Sub(before.at) < leaseTime || after.Fence < before.Fence || after.Fence == before.Fence && before.Holder != after.Holder {
				broken++
				s.logf("BROKEN ONE at %s: %s with fence %v, then %s with fence %v after %.3f s", w.id, before.Holder, before.Fence, after.Holder, after.Fence, after.at.Sub(before.at).Seconds())
			}
		}
	}
	s.logf("%d orders reached the workers", orders)
	if orders < minimumOrders {
		return broken, fmt.Errorf("only %d orders", orders)
	}
	return broken, nil
}

// sendRequests sends requests for one adapter after the other to the relays until ctx ends.
func sendRequests(ctx context.Context, s *site) {
	var group sync.WaitGroup
	var count atomic.Int64
	for ctx.Err() == nil {
		n := count.Add(1)
		relay, adapter := s.relays[rand.IntN(len(s.relays))], 1+n%adapterCount
		id := fmt.Sprintf("%08x%08x", rand.Uint32(), n)
		group.Go(func() {
			status := sendRequest(ctx, relay, id, adapter)
			s.logf("request %s for a%d at %s-%s -> %d", id, adapter, relay.role, relay.name, status)
		})
		_ = sleep(ctx, requestPause)
	}
	group.Wait()
}

func sendRequest(ctx context.Context, relay *program, id string, adapter int64) int {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/ask/2f", relay.ip, portFront), strings.NewReader("q"))
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("X-Auburndale-Attempt-Id", id)
	req.Header.Set("X-Auburndale-Deadline-Ms", "5000")
	req.Header.Set("X-Auburndale-Model", fmt.Sprintf("%s/a%d", modelName, adapter))
	req.Header.Set("X-Auburndale-Token-Count", "700,24")
	req.Header.Set("X-Auburndale-Prompt-Prefix", "5c1e07a2:200,"+id+":500")
	resp, err := standinClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
