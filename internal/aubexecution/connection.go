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
	// maxReconnects bounds the consecutive reconnects that deliver no new frame.
	maxReconnects = 3
	// minReconnectBackoff is the wait before the first reconnect. It doubles with each
	// further one and starts again after a new frame.
	minReconnectBackoff = 50 * time.Millisecond
)

// Reasons for the end of a connection or of the response.
var (
	errSilent          = errors.New("agent is silent")
	errOtherRequest    = errors.New("frame of another request")
	errSequenceGap     = errors.New("frame sequence has a gap")
	errConnectionEnded = errors.New("connection ended before the answer")
	errDeadline        = errors.New("deadline passed")
)

type executeStream = grpc.BidiStreamingClient[aubwire.ExecuteRequest, aubwire.ExecuteFrame]

// connection is the state of one Execute stream over which a response is read.
type connection struct {
	response *Response
	conn     *grpc.ClientConn
	cancel   context.CancelCauseFunc
	// ackRequested wakes the writer to send an acknowledgement.
	ackRequested chan struct{}
	startedAt    time.Time
	// silentTicks counts the ticks since the agent's last frame. Ticks are dropped while
	// this process does not run, so that its own pause is no silence of the agent.
	silentTicks atomic.Int64
	// finalSentAt is the time at which sending the last message began, in
	// nanoseconds since startedAt; 0 before that.
	finalSentAt atomic.Int64
}

// start starts the goroutine that reads the response, over several connections if
// necessary. The context of the stream outlives ctx so that a cancellation can be sent.
func (r *Response) start(ctx context.Context) {
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	go func() {
		defer close(r.readerDone)
		defer r.executor.remove(r)
		err := r.readWithReconnects()
		r.fail(r.failureFor(err))
		r.cancel(nil)
	}()
}

// failureFor converts the error that ended the last connection to a FailedError.
func (r *Response) failureFor(err error) *FailedError {
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

// readWithReconnects reads until the response has an outcome or no reconnect is
// left. The error is that of the last connection.
func (r *Response) readWithReconnects() error {
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

// expectedSequence returns the sequence of the next new frame.
func (r *Response) expectedSequence() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nextSequence
}

// mayResume reports whether the response may be resumed on another connection. It
// may once the start was sent; before that the agent can't have the request.
func (r *Response) mayResume() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startSent
}

// readConnection reads frames over one connection and reports whether the response
// has its outcome.
func (r *Response) readConnection() (done bool, err error) {
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
		// The final acknowledgement is sent before the stream is closed.
		c.requestAck()
		<-writerDone
		c.awaitStreamEnd(stream)
		return true, nil
	}
	cancel(err)
	<-writerDone
	return false, err
}

func (r *Response) connect() (*grpc.ClientConn, error) {
	e := r.executor
	ctx, cancel := aubtimer.WithTimeout(r.ctx, e.common.Timer, e.opts.ConnectTimeout)
	defer cancel()
	return e.pool.readyConn(ctx, r.target.Address)
}

func (r *Response) setConnection(c *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connection = c
}

// readFrames receives frames until the response has its outcome or the connection
// ends, and reports whether there is an outcome.
func (c *connection) readFrames(ctx context.Context, stream executeStream) (done bool, err error) {
	for {
		frame, err := stream.Recv()
		if err != nil {
			return false, c.cause(ctx, err)
		}
		c.silentTicks.Store(0)
		more, err := c.response.receive(frame)
		if err != nil {
			return false, err
		}
		if !more {
			return true, nil
		}
	}
}

// cause returns the error that ended the stream: the cancellation cause if this
// side closed it, else err.
func (c *connection) cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if errors.Is(err, io.EOF) {
		return errConnectionEnded
	}
	return err
}

// awaitStreamEnd waits until the agent closes the stream after the final acknowledgement.
func (c *connection) awaitStreamEnd(stream executeStream) {
	for {
		if _, err := stream.Recv(); err != nil {
			return
		}
	}
}

func (c *connection) now() time.Time { return c.response.executor.common.Timer.Now() }

// requestAck wakes the writer to send an acknowledgement. It does nothing on a nil
// connection.
func (c *connection) requestAck() {
	if c == nil {
		return
	}
	select {
	case c.ackRequested <- struct{}{}:
	default:
	}
}

// tick ends the response at its deadline and checks the current connection.
func (r *Response) tick(now time.Time) {
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

// tick closes a connection without traffic and sends an acknowledgement, which is
// also the heartbeat to the agent.
func (c *connection) tick(now time.Time) {
	opts := c.response.executor.opts
	// The first tick may follow the last frame at once.
	silence := time.Duration(c.silentTicks.Add(1)-1) * opts.Heartbeat / ticksPerHeartbeat
	if silence >= opts.SilenceTimeout {
		c.response.executor.common.Metrics.Counter("silent_connections").Inc(1)
		c.response.executor.pool.drop(c.response.target.Address, c.conn)
		c.cancel(errSilent)
		return
	}
	if finalSent := c.finalSentAt.Load(); finalSent != 0 && now.Sub(c.startedAt.Add(time.Duration(finalSent))) >= opts.Heartbeat {
		// The agent did not close the stream within a heartbeat after the last message.
		c.cancel(context.Canceled)
		return
	}
	c.requestAck()
}
