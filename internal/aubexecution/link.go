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
	maxReconnects = 3
	reconnectWait = 50 * time.Millisecond
)

// Causes that end a connection.
var (
	errSilent       = errors.New("agent is silent")
	errOtherRequest = errors.New("frame of another request")
	errGap          = errors.New("frame sequence has a gap")
	errEnded        = errors.New("connection ended before the answer")
	errDeadline     = errors.New("deadline passed")
)

type executeStream = grpc.BidiStreamingClient[aubwire.ExecuteRequest, aubwire.ExecuteFrame]

// link is one connection's part of an answer.
type link struct {
	answer *Answer
	conn   *grpc.ClientConn
	cancel context.CancelCauseFunc
	// wake tells the writer to acknowledge.
	wake chan struct{}
	// heard is when the agent was last heard, in nanoseconds since began.
	began time.Time
	heard atomic.Int64
	// quitAt is set when the answer ended, in nanoseconds since began.
	quitAt atomic.Int64
}

// run starts the goroutine that reads the answer over one connection after
// another. The stream's own context outlives ctx so that a cancellation can be sent.
func (a *Answer) run(ctx context.Context) {
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	go func() {
		defer close(a.done)
		defer a.executor.remove(a)
		err := a.readAll()
		a.fail(a.outcomeOf(err))
		a.cancel(nil)
	}()
}

// outcomeOf turns the error that ended the last connection into a failure.
func (a *Answer) outcomeOf(err error) *FailedError {
	switch {
	case errors.Is(context.Cause(a.ctx), errDeadline):
		return a.failed(aubwire.FailureReason_FAILURE_REASON_TIMEOUT, errDeadline.Error())
	case a.ctx.Err() != nil:
		return a.failed(aubwire.FailureReason_FAILURE_REASON_CANCELED, context.Cause(a.ctx).Error())
	case errors.Is(err, errBody):
		return a.failed(aubwire.FailureReason_FAILURE_REASON_INCOMPLETE, errBody.Error())
	case err == nil:
		err = errEnded
	}
	return a.failed(aubwire.FailureReason_FAILURE_REASON_UNREACHABLE, err.Error())
}

// readAll reads until the answer has an outcome. An error means that it has none.
func (a *Answer) readAll() error {
	var err error
	for tries := 0; tries <= maxReconnects; tries++ {
		if tries > 0 {
			if aubtimer.Wait(a.ctx, a.executor.common.Timer, reconnectWait<<(tries-1)) != nil {
				return err
			}
			a.executor.common.Metrics.Counter("reconnects").Inc(1)
		}
		before := a.wanted()
		var done bool
		done, err = a.readOnce()
		if done || a.ctx.Err() != nil || !a.repeatable() {
			return err
		}
		if a.wanted() > before {
			tries = 0
		}
	}
	return err
}

func (a *Answer) wanted() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.next
}

// repeatable reports whether another connection can help: the agent may have
// the request, or its whole body is still here.
func (a *Answer) repeatable() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sent
}

// readOnce reads frames over one connection. It reports whether the answer has
// its outcome.
func (a *Answer) readOnce() (done bool, err error) {
	conn, err := a.connect()
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancelCause(a.executor.ctx)
	defer cancel(nil)
	l := &link{
		answer: a,
		conn:   conn,
		cancel: cancel,
		wake:   make(chan struct{}, 1),
		began:  a.executor.common.Timer.Now(),
	}
	a.use(l)
	defer a.use(nil)
	stream, err := aubwire.NewAgentClient(conn).Execute(ctx)
	if err != nil {
		return false, err
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		l.write(ctx, stream)
	}()
	done, err = l.read(ctx, stream)
	if done {
		// The final acknowledgement goes out before the stream is dropped.
		l.signal()
		<-written
		l.drain(stream)
		return true, nil
	}
	cancel(err)
	<-written
	return false, err
}

func (a *Answer) connect() (*grpc.ClientConn, error) {
	e := a.executor
	ctx, cancel := aubtimer.WithTimeout(a.ctx, e.common.Timer, e.opts.ConnectTimeout)
	defer cancel()
	return e.pool.ready(ctx, a.target.Address)
}

func (a *Answer) use(l *link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.link = l
}

// read takes in frames until the answer has its outcome or the connection ends.
func (l *link) read(ctx context.Context, stream executeStream) (done bool, err error) {
	for {
		frame, err := stream.Recv()
		if err != nil {
			return false, l.cause(ctx, err)
		}
		l.heard.Store(int64(l.now().Sub(l.began)))
		more, err := l.answer.take(frame)
		if err != nil {
			return false, err
		}
		if !more {
			return true, nil
		}
	}
}

// cause prefers the reason why this side ended the stream.
func (l *link) cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if errors.Is(err, io.EOF) {
		return errEnded
	}
	return err
}

// drain waits for the agent to end the stream after the final acknowledgement.
func (l *link) drain(stream executeStream) {
	for {
		if _, err := stream.Recv(); err != nil {
			return
		}
	}
}

func (l *link) now() time.Time { return l.answer.executor.common.Timer.Now() }

// signal tells the writer to acknowledge; a nil link has none.
func (l *link) signal() {
	if l == nil {
		return
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// tick sends heartbeats and gives up silent connections.
func (a *Answer) tick(now time.Time) {
	if !a.deadline.IsZero() && !now.Before(a.deadline) {
		a.cancel(errDeadline)
	}
	a.mu.Lock()
	l := a.link
	a.mu.Unlock()
	if l != nil {
		l.tick(now)
	}
}

func (l *link) tick(now time.Time) {
	opts := l.answer.executor.opts
	heard := l.began.Add(time.Duration(l.heard.Load()))
	if now.Sub(heard) >= opts.Silence {
		l.answer.executor.common.Metrics.Counter("silent_connections").Inc(1)
		l.answer.executor.pool.drop(l.answer.target.Address, l.conn)
		l.cancel(errSilent)
		return
	}
	if quit := l.quitAt.Load(); quit != 0 && now.Sub(l.began.Add(time.Duration(quit))) >= opts.Heartbeat {
		// A cancellation or final acknowledgement that is stuck is given up.
		l.cancel(context.Canceled)
		return
	}
	l.signal()
}
