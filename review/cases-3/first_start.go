package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

const (
	// startSpread is the time in which all machines start.
	startSpread = 300 * time.Millisecond
	// killAfter is the time from the start of the first control process to its end.
	killAfter = 200 * time.Millisecond
	// waitTime is far above the bounds of the deployment: ack_ms 4,000, catch_up_s 4 and recover_s 12.
	waitTime     = 60 * time.Second
	putPause     = 500 * time.Millisecond
	trialPause   = 100 * time.Millisecond
	trialCount   = 50
	settlingTime = 3 * time.Second
)

// playFirstStart kills one control process while the site starts for the first time, and looks whether the site ever takes its
// configuration and serves.
func playFirstStart(ctx context.Context, s *site, isTroubled bool) (int, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := newWorker(s, 0)
	w.adapters["a1"] = 0
	way := &link{site: s, loss: &loss{}, zone: w.zone, upstream: s.address(w.host+linkOffset, portWorker)}
	if err := errors.Join(w.start(ctx), way.serve(ctx, s.address(w.host, portWorker))); err != nil {
		return 0, err
	}
	first := s.controls[0]
	if err := first.start(true); err != nil {
		return 0, err
	}
	firstAt := time.Now()
	if isTroubled {
		_ = sleep(ctx, killAfter)
		s.logf("SIGKILL to control of %s", first.name)
		first.kill()
	}
	_ = sleep(ctx, time.Until(firstAt.Add(startSpread)))
	for _, p := range s.programs()[1:] {
		if err := p.start(true); err != nil {
			return 0, err
		}
	}
	if isTroubled {
		_ = sleep(ctx, time.Until(firstAt.Add(killAfter+restartDelay)))
		// The site no longer starts for the first time.
		if err := first.start(false); err != nil {
			return 0, err
		}
	}
	isAcknowledged, err := putUntilAcknowledged(ctx, s)
	if err != nil {
		return 0, err
	}
	served := tryRequests(ctx, s)
	if isAcknowledged && served > 0 {
		return 0, nil
	}
	s.logf("BROKEN Fault: configuration acknowledged %t, %d of %d requests served %s after the start", isAcknowledged, served, trialCount, time.Since(firstAt).Round(time.Second))
	return 1, nil
}

// putUntilAcknowledged sends the configuration to one control process after the other for waitTime.
func putUntilAcknowledged(ctx context.Context, s *site) (bool, error) {
	document, err := json.Marshal(configuration())
	if err != nil {
		return false, err
	}
	for i, end := 0, time.Now().Add(waitTime); time.Now().Before(end); i++ {
		url := "http://" + s.address(hostCore+i%coreMachines, portControl) + "/configuration"
		status, body := s.call(ctx, http.MethodPut, url, document)
		s.logf("PUT %s -> %d %s", url, status, bytes.TrimSpace(body))
		if status == http.StatusOK {
			return true, sleep(ctx, settlingTime)
		}
		_ = sleep(ctx, putPause)
	}
	return false, nil
}

// tryRequests sends requests to all relays in turn and returns how many were served.
func tryRequests(ctx context.Context, s *site) int {
	served := 0
	for i := range trialCount {
		relay := s.relays[i%len(s.relays)]
		status := sendRequest(ctx, relay, time.Now().Format("150405.000000"), 1)
		s.logf("request at %s-%s -> %d", relay.role, relay.name, status)
		if status == http.StatusOK {
			served++
		}
		_ = sleep(ctx, trialPause)
	}
	return served
}
