package aubexecution

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// maxReconnects bounds the connections in a row that bring no new frame.
	maxReconnects       = 3
	minReconnectBackoff = 50 * time.Millisecond
)

// Causes that end a connection.
var (
	errSilent          = errors.New("agent is silent")
	errOtherRequest    = errors.New("frame of another request")
	errSequenceGap     = errors.New("frame sequence has a gap")
	errConnectionEnded = errors.New("connection ended before the answer")
	errDeadline        = errors.New("deadline passed")
)

type executeStream = grpc.BidiStreamingClient[aubwire.ExecuteRequest, aubwire.ExecuteFrame]

// connection is one connection's part of an answer.
type connection struct {
	response *Answer
	conn     *grpc.ClientConn
	cancel   context.CancelCauseFunc
	// ackRequested tells the writer to acknowledge.
	ackRequested chan struct{}
	// heard is when the agent was last heard, in nanoseconds since startedAt.
	startedAt    time.Time
	lastReceived atomic.Int64
	// finalSentAt is set when the answer ended, in nanoseconds since began.
	finalSentAt atomic.Int64
}

// start starts the goroutine that reads the answer over one connection after
// another. The stream's own context outlives ctx so that a cancellation can be sent.
func (r *Answer) start(ctx context.Context) {
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	go func() {
		defer close(r.readerDone)
		defer r.executor.remove(r)
		err := r.readWithReconnects()
		r.fail(r.failureFor(err))
		r.cancel(nil)
	}()
}

// failureFor turns the error that ended the last connection into a failure.
func (r *Answer) failureFor(err error) *FailedError {
	switch {
	case errors.Is(context.Cause(r.ctx), errDeadline):
		return r.newFailure(aubwire.FailureReason_FAILURE_REASON_TIMEOUT, errDeadline.Error())
	case r.ctx.Err() != nil:
		return r.newFailure(aubwire.FailureReason_FAILURE_REASON_CANCELED, context.Cause(r.ctx).Error())
	case errors.Is(err, errIncompleteBody):
		return r.newFailure(aubwire.FailureReason_FAILURE_REASON_INCOMPLETE, errIncompleteBody.Error())
	case err == nil:
		err = errConnectionEnded
	}
	return r.newFailure(aubwire.FailureReason_FAILURE_REASON_UNREACHABLE, err.Error())
}

// readWithReconnects reads until the answer has an outcome. An error means that it has none.
func (r *Answer) readWithReconnects() error {
	var err error
	for reconnects := 0; reconnects <= maxReconnects; reconnects++ {
		if reconnects > 0 {
			if aubtimer.Wait(r.ctx, r.executor.common.Timer, minReconnectBackoff<<(reconnects-1)) != nil {
				return err
			}
			r.executor.common.Metrics.Counter("reconnects").Inc(1)
		}
		before := r.expectedSequence()
		var done bool
		done, err = r.readConnection()
		if done || r.ctx.Err() != nil || !r.mayResume() {
			return err
		}
		if r.expectedSequence() > before {
			reconnects = 0
		}
	}
	return err
}

func (r *Answer) expectedSequence() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nextSequence
}

// mayResume reports whether another connection can help: the agent may have
// the request, or its whole body is still here.
func (r *Answer) mayResume() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startSent
}

// readConnection reads frames over one connection. It reports whether the answer has
// its outcome.
func (r *Answer) readConnection() (done bool, err error) {
	conn, err := r.connect()
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancelCause(r.executor.ctx)
	defer cancel(nil)
	c := &connection{
		response:     r,
		conn:         conn,
		cancel:       cancel,
		ackRequested: make(chan struct{}, 1),
		startedAt:    r.executor.common.Timer.Now(),
	}
	r.setConnection(c)
	defer r.setConnection(nil)
	stream, err := aubwire.NewAgentClient(conn).Execute(ctx)
	if err != nil {
		return false, err
	}
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		c.sendMessages(ctx, stream)
	}()
	done, err = c.readFrames(ctx, stream)
	if done {
		// The final acknowledgement goes out before the stream is dropped.
		c.requestAck()
		<-writerDone
		c.awaitStreamEnd(stream)
		return true, nil
	}
	cancel(err)
	<-writerDone
	return false, err
}

func (r *Answer) connect() (*grpc.ClientConn, error) {
	e := r.executor
	ctx, cancel := aubtimer.WithTimeout(r.ctx, e.common.Timer, e.opts.ConnectTimeout)
	defer cancel()
	return e.pool.readyConn(ctx, r.target.Address)
}

func (r *Answer) setConnection(c *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connection = c
}

// readFrames takes in frames until the answer has its outcome or the connection ends.
func (c *connection) readFrames(ctx context.Context, stream executeStream) (done bool, err error) {
	for {
		frame, err := stream.Recv()
		if err != nil {
			return false, c.cause(ctx, err)
		}
		c.lastReceived.Store(int64(c.now().Sub(c.startedAt)))
		more, err := c.response.receive(frame)
		if err != nil {
			return false, err
		}
		if !more {
			return true, nil
		}
	}
}

// cause prefers the reason why this side ended the stream.
func (c *connection) cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if errors.Is(err, io.EOF) {
		return errConnectionEnded
	}
	return err
}

// awaitStreamEnd waits for the agent to end the stream after the final acknowledgement.
func (c *connection) awaitStreamEnd(stream executeStream) {
	for {
		if _, err := stream.Recv(); err != nil {
			return
		}
	}
}

func (c *connection) now() time.Time { return c.response.executor.common.Timer.Now() }

// requestAck tells the writer to acknowledge; a nil link has none.
func (c *connection) requestAck() {
	if c == nil {
		return
	}
	select {
	case c.ackRequested <- struct{}{}:
	default:
	}
}

// tick sends heartbeats and gives up silent connections.
func (r *Answer) tick(now time.Time) {
	if !r.deadline.IsZero() && !now.Before(r.deadline) {
		r.cancel(errDeadline)
	}
	r.mu.Lock()
	c := r.connection
	r.mu.Unlock()
	if c != nil {
		c.tick(now)
	}
}

func (c *connection) tick(now time.Time) {
	opts := c.response.executor.opts
	lastReceived := c.startedAt.Add(time.Duration(c.lastReceived.Load()))
	if now.Sub(lastReceived) >= opts.Silence {
		c.response.executor.common.Metrics.Counter("silent_connections").Inc(1)
		c.response.executor.pool.drop(c.response.target.Address, c.conn)
		c.cancel(errSilent)
		return
	}
	if finalSent := c.finalSentAt.Load(); finalSent != 0 && now.Sub(c.startedAt.Add(time.Duration(finalSent))) >= opts.Heartbeat {
		// A cancellation or final acknowledgement that is stuck is given up.
		c.cancel(context.Canceled)
		return
	}
	c.requestAck()
}
