package aubagent

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/auburndale/auburndale/internal/aubwire"
)

type executeStream = grpc.BidiStreamingServer[aubwire.ExecuteRequest, aubwire.ExecuteFrame]

// session is one connection that reads one execution's answer.
type session struct {
	agent  *Agent
	x      *execution
	stream executeStream
	next   uint64
	ticks  chan struct{}
	// heard is when the caller's side was last heard, in nanoseconds since began.
	began time.Time
	heard atomic.Int64
	// received is closed when the caller sends nothing more.
	received chan struct{}
	sentAt   time.Time
}

// Execute implements the agent's gRPC service.
func (a *Agent) Execute(stream executeStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	switch m := first.GetMessage().(type) {
	case *aubwire.ExecuteRequest_Start:
		return a.begin(stream, m.Start)
	case *aubwire.ExecuteRequest_Resume:
		return a.resume(stream, m.Resume)
	default:
		return status.Error(codes.InvalidArgument, "first message is neither start nor resume")
	}
}

func (a *Agent) begin(stream executeStream, start *aubwire.ExecuteStart) error {
	key := executionKey{requestID: start.GetRequestId(), attempt: start.GetAttempt()}
	if start.GetAgentIncarnation() != a.Incarnation() {
		// Bound to another incarnation, the start can do no harm here later either.
		return refuse(stream, key, notRun(
			aubwire.FailureReason_FAILURE_REASON_WRONG_INCARNATION, "agent has another incarnation", 0))
	}
	x, created, refusal := a.registry.open(a.ctx, start, a.common.Timer.Now())
	if refusal != nil {
		return refuse(stream, key, refusal)
	}
	if created {
		if err := a.receive(stream, x); err != nil {
			return err
		}
	}
	return a.attend(stream, x, 1)
}

// receive takes in the request's body and starts the execution.
func (a *Agent) receive(stream executeStream, x *execution) error {
	if f := a.receiveBody(stream, x); f != nil {
		if x.stopReceiving() {
			x.fail(f, a.common.Timer.Now())
		}
		return nil
	}
	if !x.advance(phaseWaiting) {
		return nil
	}
	go a.run(x)
	return nil
}

func (a *Agent) receiveBody(stream executeStream, x *execution) *failure {
	start := x.start
	for complete := start.GetBodyComplete(); !complete; {
		message, err := stream.Recv()
		if err != nil {
			return notRun(aubwire.FailureReason_FAILURE_REASON_INCOMPLETE, "request body is not whole", 0)
		}
		if message.GetCancel() != nil {
			return notRun(aubwire.FailureReason_FAILURE_REASON_CANCELED, "caller canceled", 0)
		}
		body := message.GetBody()
		start.Body = append(start.Body, body.GetData()...)
		complete = body.GetLast()
		if len(start.Body) > a.opts.MaxBodyBytes {
			return notRun(aubwire.FailureReason_FAILURE_REASON_OVERLOADED, "request body is too long", 0)
		}
	}
	return nil
}

func (a *Agent) resume(stream executeStream, resume *aubwire.ExecuteResume) error {
	key := executionKey{requestID: resume.GetRequestId(), attempt: resume.GetAttempt()}
	if resume.GetAgentIncarnation() != a.Incarnation() {
		return refuse(stream, key, mayHaveRun(
			aubwire.FailureReason_FAILURE_REASON_WRONG_INCARNATION, "agent has another incarnation"))
	}
	x, refusal := a.registry.resume(key)
	if refusal != nil {
		return refuse(stream, key, refusal)
	}
	if x.stopReceiving() {
		// The rest of the body is lost with the connection before.
		f := notRun(aubwire.FailureReason_FAILURE_REASON_INCOMPLETE, "request body is not whole", 0)
		x.fail(f, a.common.Timer.Now())
	}
	a.common.Metrics.Counter("resumes").Inc(1)
	return a.attend(stream, x, resume.GetNextSequence())
}

// refuse sends one failure frame for an attempt that has no execution.
func refuse(stream executeStream, key executionKey, f *failure) error {
	return stream.Send(&aubwire.ExecuteFrame{
		RequestId: key.requestID,
		Attempt:   key.attempt,
		Sequence:  1,
		Frame:     &aubwire.ExecuteFrame_Failure{Failure: f.frame()},
	})
}

// attend sends the answer from a sequence on until it was acknowledged, the
// connection ends or another one takes over.
func (a *Agent) attend(stream executeStream, x *execution, next uint64) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	s := &session{
		agent:    a,
		x:        x,
		stream:   stream,
		next:     next,
		ticks:    make(chan struct{}, 1),
		began:    a.common.Timer.Now(),
		received: make(chan struct{}),
	}
	s.sentAt = s.began
	id := x.attach(cancel)
	a.add(s)
	go s.receive()
	err := s.send(ctx)
	a.remove(s)
	x.detach(id, a.common.Timer.Now())
	if x.retirable(a.common.Timer.Now(), a.opts.Linger) {
		a.registry.retire(x)
	}
	return err
}

// receive takes in acknowledgements and cancellations.
func (s *session) receive() {
	defer close(s.received)
	for {
		message, err := s.stream.Recv()
		if err != nil {
			return
		}
		s.heard.Store(int64(s.agent.common.Timer.Now().Sub(s.began)))
		switch m := message.GetMessage().(type) {
		case *aubwire.ExecuteRequest_Ack:
			s.x.frames.ack(m.Ack.GetSequence())
		case *aubwire.ExecuteRequest_Cancel:
			s.x.drop(errCanceled)
		}
	}
}

func (s *session) send(ctx context.Context) error {
	for {
		frames, ended, changed, ok := s.x.frames.from(s.next)
		if !ok {
			return status.Error(codes.OutOfRange, "frames are no longer kept")
		}
		for _, frame := range frames {
			if err := s.stream.Send(frame); err != nil {
				return err
			}
			s.next++
		}
		if len(frames) > 0 {
			s.sentAt = s.agent.common.Timer.Now()
		}
		done, acked := s.x.frames.acknowledged()
		if done {
			return nil
		}
		if !ended {
			acked = nil
		}
		if err := s.wait(ctx, changed, acked); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}

// wait returns when there may be something to send. It returns io.EOF when the
// caller needs nothing more.
func (s *session) wait(ctx context.Context, changed, acked <-chan struct{}) error {
	for {
		select {
		case <-changed:
			return nil
		case <-acked:
			return nil
		case <-s.received:
			return s.afterReceived(ctx, changed)
		case <-ctx.Done():
			return status.Error(codes.Aborted, "connection ended or another one took over")
		case <-s.ticks:
			if err := s.tick(); err != nil {
				return err
			}
		}
	}
}

// afterReceived decides what a caller that sends nothing more still needs.
func (s *session) afterReceived(ctx context.Context, changed <-chan struct{}) error {
	if ended, _, _ := s.x.frames.state(); ended {
		return io.EOF
	}
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return status.Error(codes.Aborted, "connection ended or another one took over")
	}
}

// tick sends a heartbeat when one is due and gives a silent caller up.
func (s *session) tick() error {
	now := s.agent.common.Timer.Now()
	heard := s.began.Add(time.Duration(s.heard.Load()))
	if now.Sub(heard) >= s.agent.opts.Silence {
		return status.Error(codes.Aborted, "caller is silent")
	}
	if now.Sub(s.sentAt) < s.agent.opts.Heartbeat {
		return nil
	}
	s.sentAt = now
	return s.stream.Send(&aubwire.ExecuteFrame{
		RequestId: s.x.key.requestID,
		Attempt:   s.x.key.attempt,
		Frame:     &aubwire.ExecuteFrame_Heartbeat{Heartbeat: &aubwire.FrameHeartbeat{}},
	})
}

// wake lets the sender look at the clock.
func (s *session) wake() {
	select {
	case s.ticks <- struct{}{}:
	default:
	}
}

func (a *Agent) add(s *session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sessions[s] = struct{}{}
}

func (a *Agent) remove(s *session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.sessions, s)
}
