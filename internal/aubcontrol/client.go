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
	r := &Client{
		opts:   opts,
		timer:  common.Timer,
		pool:   newConnPool(ctx, opts.Dial),
		cancel: cancel,
	}
	r.sender = sender{timer: common.Timer, timeout: opts.ApplyTimeout, attempt: r.attempt}
	return r
}

// Close closes the connections.
func (r *Client) Close() { r.cancel() }

// Apply implements Proposer.
func (r *Client) Apply(ctx context.Context, table string, body []byte) (Result, error) {
	return r.sender.apply(ctx, table, body)
}

func (r *Client) attempt(ctx context.Context, req *aubwire.ApplyRequest) (*aubwire.ApplyResponse, error) {
	address, err := r.address()
	if err != nil {
		return nil, err
	}
	if req.GetIssuedMs() == 0 {
		if req.IssuedMs, err = r.recentClock(ctx, address); err != nil {
			r.advanceAddress(address)
			return nil, &NotCommittedError{Reason: "no leader answered", Err: err}
		}
	}
	resp, err := r.pool.apply(ctx, address, req)
	switch {
	case err == nil, errors.Is(err, errPermanent):
	case errors.Is(err, errExpired):
		r.invalidateClock()
	default:
		r.advanceAddress(address)
	}
	return resp, err
}

// recentClock returns the leader's replicated clock, cached for at most
// clockRefresh.
func (r *Client) recentClock(ctx context.Context, address string) (int64, error) {
	r.mu.Lock()
	clockMs, at := r.cachedClockMs, r.cachedClockAt
	r.mu.Unlock()
	if !at.IsZero() && r.timer.Now().Sub(at) < clockRefresh {
		return clockMs, nil
	}
	resp, err := r.readIndex(ctx, address)
	if err != nil {
		return 0, err
	}
	return max(resp.GetClockMs(), 1), nil
}

// readIndex reads the leader's commit index through one replica and caches the
// clock of the response.
func (r *Client) readIndex(ctx context.Context, address string) (*aubwire.ReadIndexResponse, error) {
	requestedAt := r.timer.Now()
	resp, err := r.pool.readIndex(ctx, address, false)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cachedClockMs = max(resp.GetClockMs(), 1)
	r.cachedClockAt = requestedAt
	return resp, nil
}

// invalidateClock makes the next command request the leader's clock again.
func (r *Client) invalidateClock() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cachedClockAt = time.Time{}
}

// Confirm implements Reader. It returns the leader's commit index and waits for
// no local state.
func (r *Client) Confirm(ctx context.Context) (uint64, error) {
	ctx, cancel := withDefaultTimeout(ctx, r.opts.ApplyTimeout)
	defer cancel()
	return retryRead(ctx, r.timer, func(ctx context.Context) (uint64, error) {
		address, err := r.address()
		if err != nil {
			return 0, err
		}
		ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
		resp, err := r.readIndex(ctx, address)
		if err != nil {
			r.advanceAddress(address)
			return 0, err
		}
		return resp.GetIndex(), nil
	})
}

func (r *Client) address() (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.opts.Addresses) == 0 {
		return "", &NotCommittedError{Reason: "no control replica is set", Err: errPermanent}
	}
	return r.opts.Addresses[r.addressIndex], nil
}

// advanceAddress selects the next replica unless another call has already done
// so.
func (r *Client) advanceAddress(failed string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.opts.Addresses[r.addressIndex] == failed {
		r.addressIndex = (r.addressIndex + 1) % len(r.opts.Addresses)
	}
}
