package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	stopClients  = 40
	stopWorkTime = 60 * time.Millisecond
	stopPause    = 5 * time.Millisecond
	stopAfter    = 3 * time.Second
	stopLoad     = 14 * time.Second
	// lossSlack is loss_slack_ms of a small site.
	lossSlack = 200 * time.Millisecond
)

// playPlannedStop terminates a relay while clients use it, half of them with a new connection for
// each request. It returns the requests that were cut as the rule LOST says.
func playPlannedStop(ctx context.Context, s *site, withTrouble bool) ([]string, error) {
	workers := []*worker{newWorker(0, plainService), newWorker(1, plainService)}
	for _, w := range workers {
		w.workTime = stopWorkTime
	}
	if err := s.start(ctx, workers, plainConfiguration); err != nil {
		return nil, err
	}
	clients := make([]*client, 0, stopClients)
	for i := range stopClients {
		c := &client{rec: s.rec, front: s.front(0), method: http.MethodPost, path: pathConfirm, body: strings.Repeat("x", 600)}
		c.isOnce = i%2 == 0
		clients = append(clients, c)
	}
	time.AfterFunc(stopAfter, func() {
		if withTrouble {
			s.signal("relay-0", syscall.SIGTERM)
		}
	})
	results := load{clients: clients, pause: stopPause}.run(ctx, stopLoad)
	s.rec.add("answers by status: %v", countStatuses(results))
	runs := countRuns(workers)
	var violations []string
	for _, r := range results {
		if r.status == 0 && r.wasSent && (runs[r.attempt] > 0 || r.took > lossSlack) {
			violations = append(violations, fmt.Sprintf("LOST: attempt %s ran %d times, its connection ended after %s", r.attempt, runs[r.attempt], r.took))
		}
	}
	return violations, nil
}
