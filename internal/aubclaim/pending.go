package aubclaim

import (
	"context"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// apply makes one try to commit the command and decodes the table's reply.
func (c *Claims) apply(ctx context.Context, cmd *aubwire.ClaimCommand) (*aubwire.ClaimReply, error) {
	body, err := proto.Marshal(cmd)
	if err != nil {
		return nil, &ReplyError{Detail: "command not encoded", Err: err}
	}
	applyCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	expired := c.common.Timer.After(applyCtx, c.opts.ApplyTimeout)
	go func() {
		select {
		case <-expired:
			cancel()
		case <-applyCtx.Done():
		}
	}()
	res, err := c.opts.Proposer.Apply(applyCtx, TableName, body)
	if err != nil {
		return nil, err
	}
	r := &aubwire.ClaimReply{}
	if err := proto.Unmarshal(res.Body, r); err != nil {
		return nil, &ReplyError{Detail: "reply not decoded", Err: err}
	}
	return r, nil
}

// enqueue adds an update to those that the background flush commits.
func (c *Claims) enqueue(cmd *aubwire.ClaimCommand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= maxPending {
		c.pending = c.pending[1:]
		c.common.Metrics.Counter("updates_dropped").Inc(1)
	}
	c.pending = append(c.pending, cmd)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// flush commits the pending updates in order until none is left or one fails.
func (c *Claims) flush(ctx context.Context) {
	for {
		cmd := c.firstPending()
		if cmd == nil {
			return
		}
		if _, err := c.apply(ctx, cmd); err != nil {
			c.common.Log.Debug("Claim update not committed; it will be retried.", zap.Error(err))
			return
		}
		c.dropPending(cmd)
	}
}

// firstPending returns the oldest pending update, or nil when there is none.
func (c *Claims) firstPending() *aubwire.ClaimCommand {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 {
		return nil
	}
	return c.pending[0]
}

// dropPending removes the update if it is still the oldest; enqueue may have
// dropped it meanwhile.
func (c *Claims) dropPending(cmd *aubwire.ClaimCommand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) > 0 && c.pending[0] == cmd {
		c.pending = c.pending[1:]
	}
}
