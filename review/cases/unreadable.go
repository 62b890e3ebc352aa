package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// unreadableID is the id of a writer that is no worker of this site, as a path: its last byte
	// is a letter in Latin-1. Nobody listens at the address of foreignHost.
	unreadableID = "i-7f3a91c%E9"
	foreignHost  = 99
	// unreadableWarmUp is the time between the begin of the disruption and the change of the
	// configuration.
	unreadableWarmUp = 4 * time.Second
	// applyTime is config_apply_ms of a small site, applySlack is added for the clients' clocks.
	applyTime  = 2 * time.Second
	applySlack = 500 * time.Millisecond
	// oldServiceTime is how long clients look which configuration is in force.
	oldServiceTime = 5 * time.Second
	unreadablePace = 100 * time.Millisecond
	// unreadableModel is a model's name in Latin-1, of which the configuration has none.
	unreadableModel     = "reda\xe7\xe3o"
	unreadableModelPace = 500 * time.Millisecond
)

// beatUnreadable repeats a registration whose id is no readable text, as a worker does: each
// heartbeat_ms, at the next control process.
func beatUnreadable(ctx context.Context, s *site) {
	born := time.Now().UnixMilli()
	for seq := 1; ctx.Err() == nil; seq++ {
		body := fmt.Sprintf(`{"service":"portail","address":"%s","zone":"sul-a","version":"v1","slots":6,"state":"ready","cold_left_ms":0,"born":%d,"seq":%d}`,
			s.address(foreignHost, portWorker), born, seq)
		machine := seq % machineCount
		url := "http://" + s.address(machine+1, portControl) + "/instances/" + unreadableID
		s.rec.add("foreign writer registers at control process %d: status %d", machine, s.call(ctx, http.MethodPut, url, []byte(body)))
		select {
		case <-ctx.Done():
		case <-time.After(registrationInterval):
		}
	}
}

// playUnreadableID has a foreign writer register with an id that can't be read, and then moves the
// routes to another service.
func playUnreadableID(ctx context.Context, s *site, withTrouble bool) ([]string, error) {
	return playMove(ctx, s, plainConfiguration, func(ctx context.Context) {
		if withTrouble {
			go beatUnreadable(ctx, s)
		}
	})
}

// playUnreadableModel has a client ask for a model whose name is not UTF-8, and then moves the
// routes to another service.
func playUnreadableModel(ctx context.Context, s *site, withTrouble bool) ([]string, error) {
	const plain = `"protocol":"h1","tls":false}`
	engine := `"protocol":"h1","tls":false,"engine":{"weights_mb":200000,"adapter_slots":5,"loads_per_s":2.1,"models":[{"name":"daka510000","weights_mb":65100,"load_s":3.8,"adapters":2,"adapter_mb":12}]}}`
	configuration := strings.Replace(plainConfiguration, plain, engine, 1)
	model := "redacao"
	if withTrouble {
		model = unreadableModel
	}
	return playMove(ctx, s, configuration, func(ctx context.Context) {
		for machine := range machineCount {
			c := &client{rec: s.rec, front: s.front(machine), method: http.MethodGet, path: pathRead, extra: "X-Auburndale-Model: " + model + "\r\n"}
			go load{clients: []*client{c}, pause: unreadableModelPace}.run(ctx, maxRunTime)
		}
	})
}

// playMove begins the disruption, moves the routes to another service and returns the requests that
// the old service ran although they were sent later than the bound after the acknowledgement.
func playMove(ctx context.Context, s *site, configuration string, disturb func(ctx context.Context)) ([]string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	workers := []*worker{newWorker(0, plainService), newWorker(1, plainService), newWorker(2, otherService), newWorker(3, otherService)}
	for _, w := range workers {
		w.workTime = lostWorkTime
	}
	if err := s.start(ctx, workers, configuration); err != nil {
		return nil, err
	}
	disturb(ctx)
	time.Sleep(unreadableWarmUp)
	if err := s.await(ctx, func() bool { return s.putConfiguration(ctx, movedConfiguration(configuration)) }); err != nil {
		return nil, err
	}
	s.rec.add("new configuration acknowledged")
	time.Sleep(applyTime + applySlack)
	var clients []*client
	for machine := range machineCount {
		clients = append(clients, &client{rec: s.rec, front: s.front(machine), method: http.MethodGet, path: pathRead})
	}
	results := load{clients: clients, pause: unreadablePace}.run(ctx, oldServiceTime)
	s.rec.add("answers by status: %v", countStatuses(results))
	old := countRuns(workers[:2])
	var violations []string
	for _, r := range results {
		if old[r.attempt] > 0 {
			violations = append(violations, fmt.Sprintf("CONFIG: attempt %s ran at the old service, status %d", r.attempt, r.status))
		}
	}
	return violations, nil
}
