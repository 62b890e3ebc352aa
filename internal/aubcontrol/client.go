package aubcontrol

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// Client commits commands and confirms reads through the control replicas, for a
// process that runs none. It tries them in round-robin order, starting with the
// last one that responded. Close it when it is no longer needed.
//
// Lock order: mu is taken alone.
type Client struct {
	opts   ClientOpts
	timer  aubtimer.Service
	pool   *connPool
	sender sender
	cancel context.CancelFunc

	mu            sync.Mutex
	addressIndex  int
	cachedClockMs int64
	cachedClockAt time.Time
}

var (
	_ Proposer = (*Client)(nil)
	_ Reader   = (*Client)(nil)
)

// NewClient returns a client of the control replicas.
func NewClient(common aubcommon.Common, opts ClientOpts) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		opts:   opts,
		timer:  common.Timer,
		pool:   newConnPool(ctx, opts.Dial),
		cancel: cancel,
	}
	c.sender = sender{timer: common.Timer, timeout: opts.ApplyTimeout, attempt: c.attempt}
	return c
}

// Close closes the connections.
func (c *Client) Close() { c.cancel() }

// Apply implements Proposer.
func (c *Client) Apply(ctx context.Context, table string, body []byte) (Result, error) {
	return c.sender.apply(ctx, table, body)
}

func (c *Client) attempt(ctx context.Context, req *aubwire.ApplyRequest) (*aubwire.ApplyResponse, error) {
	address, err := c.address()
	if err != nil {
		return nil, err
	}
	if req.GetIssuedMs() == 0 {
		if req.IssuedMs, err = c.recentClock(ctx, address); err != nil {
			c.advanceAddress(address)
			return nil, &NotCommittedError{Reason: "no leader answered", Err: err}
		}
	}
	resp, err := c.pool.apply(ctx, address, req)
	switch {
	case err == nil, errors.Is(err, errPermanent):
	case errors.Is(err, errExpired):
		c.invalidateClock()
	default:
		c.advanceAddress(address)
	}
	return resp, err
}

// recentClock returns the leader's replicated clock, cached for at most
// clockRefresh.
func (c *Client) recentClock(ctx context.Context, address string) (int64, error) {
	c.mu.Lock()
	clockMs, at := c.cachedClockMs, c.cachedClockAt
	c.mu.Unlock()
	if !at.IsZero() && c.timer.Now().Sub(at) < clockRefresh {
		return clockMs, nil
	}
	resp, err := c.readIndex(ctx, address)
	if err != nil {
		return 0, err
	}
	return max(resp.GetClockMs(), 1), nil
}

// readIndex reads the leader's commit index through one replica and caches the
// clock of the response.
func (c *Client) readIndex(ctx context.Context, address string) (*aubwire.ReadIndexResponse, error) {
	requestedAt := c.timer.Now()
	resp, err := c.pool.readIndex(ctx, address, false)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cachedClockMs = max(resp.GetClockMs(), 1)
	c.cachedClockAt = requestedAt
	return resp, nil
}

// invalidateClock makes the next command request the leader's clock again.
func (c *Client) invalidateClock() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cachedClockAt = time.Time{}
}

// Confirm implements Reader. It returns the leader's commit index and waits for
// no local state.
func (c *Client) Confirm(ctx context.Context) (uint64, error) {
	ctx, cancel := withDefaultTimeout(ctx, c.opts.ApplyTimeout)
	defer cancel()
	return retryRead(ctx, c.timer, func(ctx context.Context) (uint64, error) {
		address, err := c.address()
		if err != nil {
			return 0, err
		}
		ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
		resp, err := c.readIndex(ctx, address)
		if err != nil {
			c.advanceAddress(address)
			return 0, err
		}
		return resp.GetIndex(), nil
	})
}

func (c *Client) address() (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.opts.Addresses) == 0 {
		return "", &NotCommittedError{Reason: "no control replica is set", Err: errPermanent}
	}
	return c.opts.Addresses[c.addressIndex], nil
}

// advanceAddress selects the next replica unless another call has already done
// so.
func (c *Client) advanceAddress(failed string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.opts.Addresses[c.addressIndex] == failed {
		c.addressIndex = (c.addressIndex + 1) % len(c.opts.Addresses)
	}
}
