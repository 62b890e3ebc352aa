package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a client got for one attempt. Status is 0 without a complete answer.
type answer struct {
	callID  string
	sentAt  time.Time
	gotAt   time.Time
	machine int
	status  int
	body    string
	err     error
}

// callCount numbers the attempts of all clients.
var callCount atomic.Int64

// caller sends requests on routes of one host.
//
// Lock order: mu is a leaf lock.
type caller struct {
	site   *site
	host   string
	client *http.Client

	mu      sync.Mutex
	answers []answer
}

// newCaller returns a caller that opens a connection for each request.
func newCaller(s *site, host string) *caller {
	return &caller{site: s, host: host, client: &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}}
}

// send sends one attempt to the relay of a machine and waits for its end.
func (c *caller) send(ctx context.Context, machine int, method, path string, deadline time.Duration, header map[string]string, body string) {
	a := answer{callID: fmt.Sprintf("%016x", callCount.Add(1)), sentAt: time.Now(), machine: machine}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.site.address(machine, portFront)+path, strings.NewReader(body))
	if err != nil {
		c.site.record.add("client: %s can't be sent: %v", a.callID, err)
		return
	}
	req.Host = c.host
	req.Header.Set("X-Auburndale-Attempt-Id", a.callID)
	req.Header.Set("X-Auburndale-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := c.client.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			a.status, a.body = resp.StatusCode, strings.TrimSpace(string(data))
		}
	}
	a.err, a.gotAt = err, time.Now()
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.mu.Unlock()
	c.site.record.add("client: %s %s %s at machine %d sent at %.3f: %d %s %v", a.callID, method, path, machine, c.site.record.at(a.sentAt), a.status, a.body, a.err)
}

// results returns the answers so far by the ids of their attempts.
func (c *caller) results() map[string]answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	results := make(map[string]answer, len(c.answers))
	for _, a := range c.answers {
		results[a.callID] = a
	}
	return results
}
