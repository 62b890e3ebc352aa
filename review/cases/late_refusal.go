package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// The pages' garble with how "extra late": 0.6 of the workers send 0.03 of their answers once
	// more for 5 s. One worker of two is half of them.
	lateShare  = 0.03
	lateTime   = 5 * time.Second
	lateWarmUp = 2 * time.Second
	// The disruption comes latePeriods times, latePeriod apart.
	latePeriods = 10
	latePeriod  = 6 * time.Second
	// The clients keep so many places taken that a few requests in a hundred find a full worker.
	lateClients  = 34
	lateWorkTime = 30 * time.Millisecond
	latePause    = 50 * time.Millisecond
)

// playLateRefusal has full workers reject unsafe requests; one of them sends a few of its answers a
// second time, late.
func playLateRefusal(ctx context.Context, s *site, withTrouble bool) ([]string, error) {
	workers := []*worker{newWorker(0, plainService), newWorker(1, plainService)}
	for _, w := range workers {
		w.limit()
		w.workTime = lateWorkTime
	}
	workers[0].repeatShare, workers[0].repeatsTo = lateShare, repeatToOther
	if err := s.start(ctx, workers, plainConfiguration); err != nil {
		return nil, err
	}
	var clients []*client
	for i := range lateClients {
		clients = append(clients, &client{rec: s.rec, front: s.front(i % machineCount), method: http.MethodPost, path: pathConfirm, body: strings.Repeat("x", 600)})
	}
	disturb(workers[0], withTrouble)
	results := load{clients: clients, pause: latePause}.run(ctx, lateWarmUp+latePeriods*latePeriod)
	s.rec.add("answers by status: %v; rejected %d and %d, sent again %d", countStatuses(results), workers[0].refusals, workers[1].refusals, workers[0].repeats)
	return checkOnce(results, workers), nil
}

// disturb makes the worker send answers a second time in each period.
func disturb(w *worker, withTrouble bool) {
	for i := range latePeriods {
		begin := lateWarmUp + time.Duration(i)*latePeriod
		time.AfterFunc(begin, func() { w.isTrouble.Store(withTrouble) })
		time.AfterFunc(begin+lateTime, func() { w.isTrouble.Store(false) })
	}
}

const (
	// The clients keep so many places of the only worker of their service taken that a few requests
	// in a hundred find it full.
	sameClients  = 14
	samePause    = 12 * time.Millisecond
	sameWorkTime = 15 * time.Millisecond
)

// playRepeatedRefusal has the only worker of a service reject unsafe requests, which the relay then
// sends to it again. A few of its answers come a second time, late.
func playRepeatedRefusal(ctx context.Context, s *site, withTrouble bool) ([]string, error) {
	workers := []*worker{newWorker(0, plainService), newWorker(1, otherService)}
	for _, w := range workers {
		w.limit()
		w.workTime = sameWorkTime
	}
	workers[0].repeatShare, workers[0].repeatsTo = lateShare, repeatToSame
	if err := s.start(ctx, workers, plainConfiguration); err != nil {
		return nil, err
	}
	var clients []*client
	for i := range sameClients {
		clients = append(clients, &client{rec: s.rec, front: s.front(i % machineCount), method: http.MethodPost, path: pathConfirm, body: strings.Repeat("x", 600)})
	}
	disturb(workers[0], withTrouble)
	results := load{clients: clients, pause: samePause}.run(ctx, lateWarmUp+latePeriods*latePeriod)
	s.rec.add("answers by status: %v; rejected %d, sent again %d", countStatuses(results), workers[0].refusals, workers[0].repeats)
	return checkOnce(results, workers), nil
}

// checkOnce returns the unsafe attempts that ran more than once, or that ran although the client
// was told that they did not.
func checkOnce(results []result, workers []*worker) []string {
	runs := countRuns(workers)
	var violations []string
	for _, r := range results {
		n := runs[r.attempt]
		isPromise := r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable ||
			r.status == http.StatusRequestTimeout || r.status == http.StatusMisdirectedRequest
		switch {
		case n > 1:
			violations = append(violations, fmt.Sprintf("TWICE: attempt %s ran %d times, status %d", r.attempt, n, r.status))
		case n > 0 && isPromise:
			violations = append(violations, fmt.Sprintf("REFUSED: attempt %s ran and was answered %d", r.attempt, r.status))
		}
	}
	return violations
}
