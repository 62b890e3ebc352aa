package main

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

const (
	// lateBy is how late the heartbeat arrives.
	lateBy = 3800 * time.Millisecond
	// servesOn is how long the worker serves beyond drainTime after its departure was acknowledged.
	servesOn = 6 * time.Second
	// sendInterval is the time between two requests of all clients.
	sendInterval = 50 * time.Millisecond
	// swapDeadline is the clients' deadline.
	swapDeadline = 2500 * time.Millisecond
)

const swapConfiguration = `{"version":1,"routes":[{"name":"swap","host":"roster.example","path_prefix":"/swap/","route_kind":"unsafe","timeout_ms":1200,"slo_ms":150,"priority":2,"service":"app","max_attempts":1}],"services":[{"name":"app","health_path":"/healthz","max_conns":130}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// errFewAnswers means that the site did not serve as it should, so that nothing can be said.
var errFewAnswers = errors.New("fewer than half of the requests were answered with success")

// playForgottenDeparture kills all processes of the core after a worker has left.
func playForgottenDeparture(ctx context.Context, s *site, isTroubled bool) (bool, error) {
	if err := s.startAll(ctx, swapConfiguration); err != nil {
		return false, err
	}
	leaving, staying := newWorker(s, 1, "app", 300*time.Millisecond), newWorker(s, 2, "app", 300*time.Millisecond)
	for _, w := range []*worker{leaving, staying} {
		if err := w.start(ctx); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(ctx); err != nil {
		return false, err
	}
	clients := newCaller(s, "roster.example")
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	var all sync.WaitGroup
	go func() {
		for i := 0; sending.Err() == nil; i++ {
			all.Go(func() {
				clients.send(ctx, 1+i%machineCount, http.MethodPost, "/swap/1", swapDeadline, nil, "swap")
			})
			time.Sleep(sendInterval)
		}
	}()
	time.Sleep(contactTime + 2*time.Second)

	// A heartbeat is on its way for seconds. The worker has no answer within a second and sends the next one elsewhere.
	late := leaving.registration("ready")
	lateSentAt := time.Now()
	time.Sleep(ackTimeout)
	leaving.silence()
	machine := leaving.report(ctx, http.MethodDelete, "")
	ackedAt := time.Now()
	s.record.tell("departure acknowledged by machine %d", machine)
	if machine == 0 {
		return false, context.DeadlineExceeded
	}
	inTouchAt := ackedAt
	if isTroubled {
		time.Sleep(200 * time.Millisecond)
		s.killAll()
		time.Sleep(300 * time.Millisecond)
		if err := s.runAgain(); err != nil {
			return false, err
		}
		inTouchAt = time.Now().Add(contactTime)
		s.record.tell("all processes of the core were killed and run again; in touch at %.3f", s.record.at(inTouchAt))
	}
	time.Sleep(time.Until(lateSentAt.Add(lateBy)))
	s.record.tell("late heartbeat arrives")
	leaving.reportAt(ctx, 1+machine%machineCount, http.MethodPut, late)
	time.Sleep(time.Until(ackedAt.Add(drainTime + servesOn)))
	leaving.exit()
	time.Sleep(time.Second)
	stopSending()
	time.Sleep(swapDeadline)
	all.Wait()

	from := ackedAt.Add(drainTime)
	if inTouchAt.After(from) {
		from = inTouchAt
	}
	return judgeDeparture(s, leaving.runsSince(from), clients.results(), from)
}

// judgeDeparture counts the requests that clients sent after the time and that the worker ran.
func judgeDeparture(s *site, runs []run, results map[string]answer, from time.Time) (bool, error) {
	broken, lost, answered := 0, 0, 0
	for _, r := range runs {
		a := results[r.callID]
		if a.sentAt.Before(from) {
			continue
		}
		broken++
		s.record.add("rule broken: %s was sent at %.3f by machine %d and reached the worker at %.3f", r.callID, s.record.at(a.sentAt), a.machine, s.record.at(r.beganAt))
		if a.status != http.StatusOK {
			lost++
			s.record.add("lost: %s ended with %d %v", r.callID, a.status, a.err)
		}
	}
	for _, a := range results {
		if a.status == http.StatusOK {
			answered++
		}
	}
	s.record.tell("%d requests, %d answered with success; %d reached the worker %v or more after its departure was acknowledged, %d of them were lost", len(results), answered, broken, drainTime, lost)
	if 2*answered < len(results) {
		return false, errFewAnswers
	}
	return broken > 0, nil
}
