package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// apiKey is the key of the only tenant, routeHost the host of all routes.
	apiKey    = "n2ctnfzs989anu6wsjnb"
	routeHost = "wuny96.example"
	// deadlineMs is what clients state as their deadline.
	deadlineMs  = 4000
	dialTimeout = time.Second
	readTimeout = 6 * time.Second
)

// result is how a client's attempt ended.
type result struct {
	attempt string
	// status is 0 if the connection ended without a complete answer.
	status int
	header http.Header
	body   string
	// wasSent is set once all bytes of the request were written, took is the time from then on.
	wasSent bool
	took    time.Duration
}

// client is a stand-in client that keeps its connection. Each attempt has its own id and is sent
// once: the client never retries.
type client struct {
	rec    *recorder
	front  string
	method string
	path   string
	// extra holds further header lines, with their ends.
	extra string
	body  string
	// isOnce is set if each request gets a connection of its own.
	isOnce bool
	conn   net.Conn
	read   *bufio.Reader
}

func newAttemptID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// connect opens a connection unless there is one.
func (c *client) connect(ctx context.Context) error {
	if c.conn != nil {
		return nil
	}
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", c.front)
	if err != nil {
		return err
	}
	c.conn, c.read = conn, bufio.NewReader(conn)
	return nil
}

// disconnect closes the connection.
func (c *client) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// request returns the bytes of a request.
func (c *client) request(attempt string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Auburndale-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n%sContent-Length: %d\r\n\r\n%s",
		c.method, c.path, routeHost, headerAttempt, attempt, deadlineMs, apiKey, c.extra, len(c.body), c.body)
}

// send sends one attempt and reads its answer.
func (c *client) send(ctx context.Context) result {
	res := result{attempt: newAttemptID()}
	if err := c.connect(ctx); err != nil {
		c.rec.add("client can't connect to %s: %v", c.front, err)
		return res
	}
	c.rec.add("client sends %s to %s", res.attempt, c.front)
	if _, err := io.WriteString(c.conn, c.request(res.attempt)); err == nil {
		sentAt := time.Now()
		res = c.receive(res)
		res.wasSent, res.took = true, time.Since(sentAt)
	}
	c.rec.add("client has the answer to %s: status %d, seal %q, %d bytes", res.attempt, res.status, res.header.Get(headerSeal), len(res.body))
	if c.isOnce || res.status == 0 || res.header.Get("Connection") == "close" {
		c.disconnect()
	}
	return res
}

// receive reads the answer to an attempt.
func (c *client) receive(res result) result {
	_ = c.conn.SetReadDeadline(time.Now().Add(readTimeout))
	resp, err := http.ReadResponse(c.read, nil)
	if err != nil {
		return res
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return res
	}
	res.status, res.header, res.body = resp.StatusCode, resp.Header, string(body)
	return res
}

// load is a number of clients that send one attempt after another.
type load struct {
	clients []*client
	// pause is the mean time between an answer and the next attempt.
	pause time.Duration
}

// run sends until the time is over and returns all results.
func (l load) run(ctx context.Context, d time.Duration) []result {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var mu sync.Mutex
	var results []result
	var group sync.WaitGroup
	for _, c := range l.clients {
		group.Go(func() {
			defer c.disconnect()
			for ctx.Err() == nil {
				res := c.send(context.WithoutCancel(ctx))
				mu.Lock()
				results = append(results, res)
				mu.Unlock()
				time.Sleep(l.pause/2 + rand.N(l.pause+1))
			}
		})
	}
	group.Wait()
	return results
}

// countStatuses returns the number of results by status.
func countStatuses(results []result) map[int]int {
	statuses := make(map[int]int)
	for _, r := range results {
		statuses[r.status]++
	}
	return statuses
}
