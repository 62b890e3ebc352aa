package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	// The pages' answer_lost: half of the workers lose 0.03 of the answers of requests that they
	// ran, here for 5 s. One worker of two is half of them.
	lostShare    = 0.03
	lostTime     = 5 * time.Second
	lostWarmUp   = 2 * time.Second
	lostClients  = 8
	lostWorkTime = 20 * time.Millisecond
)

// playIdempotencyKey sends unsafe requests without a body and with an idempotency key, while one
// worker of two loses a few of its answers.
func playIdempotencyKey(ctx context.Context, s *site, withTrouble bool) ([]string, error) {
	workers := []*worker{newWorker(0, plainService), newWorker(1, plainService)}
	for _, w := range workers {
		w.workTime = lostWorkTime
	}
	workers[0].lostShare = lostShare
	if err := s.start(ctx, workers, plainConfiguration); err != nil {
		return nil, err
	}
	var clients []*client
	for i := range lostClients {
		clients = append(clients, &client{
			rec: s.rec, front: s.front(i % machineCount), method: http.MethodPost, path: pathConfirm,
			extra: fmt.Sprintf("Idempotency-Key: client-%d\r\n", i),
		})
	}
	time.AfterFunc(lostWarmUp, func() { workers[0].isTrouble.Store(withTrouble) })
	time.AfterFunc(lostWarmUp+lostTime, func() { workers[0].isTrouble.Store(false) })
	results := load{clients: clients}.run(ctx, lostWarmUp+lostTime+time.Second)
	s.rec.add("answers by status: %v; answers lost %d", countStatuses(results), workers[0].lost)
	return checkOnce(results, workers), nil
}
