package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	halfClients  = 12
	halfWorkTime = 400 * time.Millisecond
	// halfLeaveAfter is when a client leaves; the answer takes longer.
	halfLeaveAfter = 50 * time.Millisecond
)

// playHalfClose has clients leave before their answer: each closes its sending side and reads what
// still comes until the relay closes, too.
func playHalfClose(ctx context.Context, s *site, withTrouble bool) ([]string, error) {
	workers := []*worker{newWorker(0, plainService), newWorker(1, plainService)}
	for _, w := range workers {
		w.workTime = halfWorkTime
	}
	if err := s.start(ctx, workers, plainConfiguration); err != nil {
		return nil, err
	}
	var violations []string
	for i := range halfClients {
		c := &client{rec: s.rec, front: s.front(i % machineCount), method: http.MethodPost, path: pathConfirm, body: strings.Repeat("x", 600)}
		if i%2 == 1 {
			c.method, c.path, c.body = http.MethodGet, pathRead, ""
		}
		if err := c.connect(ctx); err != nil {
			return nil, err
		}
		r := c.sendAndLeave(withTrouble)
		c.disconnect()
		if r.status/100 == 2 && (r.header.Get(headerSeal) == "" || r.body != answerBody(r.attempt)) {
			violations = append(violations, fmt.Sprintf("MIXED: attempt %s has status %d, seal %q and %d of %d bytes of the answer",
				r.attempt, r.status, r.header.Get(headerSeal), len(r.body), len(answerBody(r.attempt))))
		}
	}
	return violations, nil
}

// sendAndLeave sends one attempt, closes the sending side if the client leaves, and reads the answer.
func (c *client) sendAndLeave(leaves bool) result {
	res := result{attempt: newAttemptID()}
	c.rec.add("client sends %s to %s", res.attempt, c.front)
	if _, err := io.WriteString(c.conn, c.request(res.attempt)); err != nil {
		return res
	}
	if tcp, ok := c.conn.(*net.TCPConn); ok && leaves {
		time.Sleep(halfLeaveAfter)
		_ = tcp.CloseWrite()
		c.rec.add("client of %s leaves", res.attempt)
	}
	res = c.receive(res)
	c.rec.add("client has the answer to %s: status %d, seal %q, %d bytes", res.attempt, res.status, res.header.Get(headerSeal), len(res.body))
	return res
}
