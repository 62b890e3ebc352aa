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

// session is one caller connection that reads the response of one execution.
type session struct {
	agent  *Agent
	exec   *execution
	stream executeStream
	// nextSequence is the sequence number of the next frame to send.
	nextSequence uint64
	// receivesBody is set for the session that started the execution.
	receivesBody bool
	// wakeUp makes the sending goroutine call tick.
	wakeUp chan struct{}
	// silentTicks counts the ticks since the caller's last message. Ticks are dropped while
	// this process does not run, so that its own pause is no silence of the caller.
	silentTicks atomic.Int64
	// receiveDone is closed when the caller has closed its side of the stream.
	receiveDone chan struct{}
	lastSentAt  time.Time
}

// Execute implements the agent's gRPC service. It starts an execution or resumes
// reading the response of one.
func (a *Agent) Execute(stream executeStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	switch m := first.GetMessage().(type) {
	case *aubwire.ExecuteRequest_Start:
		return a.startExecution(stream, m.Start)
	case *aubwire.ExecuteRequest_Resume:
		return a.resume(stream, m.Resume)
	default:
		return status.Error(codes.InvalidArgument, "first message is neither start nor resume")
	}
}

// startExecution starts a new attempt, or attaches to it if it was started before.
func (a *Agent) startExecution(stream executeStream, start *aubwire.ExecuteStart) error {
	key := executionKey{requestID: start.GetRequestId(), attempt: start.GetAttempt()}
	if start.GetAgentIncarnation() != a.Incarnation() {
		// "Not run" stays true: this incarnation never executes a start that is
		// bound to another one.
		return refuse(stream, key, notRun(
			aubwire.FailureReason_FAILURE_REASON_WRONG_INCARNATION, "agent has another incarnation", 0))
	}
	exec, created, refusal := a.attempts.open(a.ctx, start, a.common.Timer.Now())
	if refusal != nil {
		return refuse(stream, key, refusal)
	}
	return a.serveSession(&session{exec: exec, stream: stream, nextSequence: 1, receivesBody: created})
}

// receiveRequest receives the request's body and starts to run the execution in the
// background.
func (s *session) receiveRequest() {
	if f := s.receiveBody(); f != nil {
		if s.exec.stopReceiving() {
			s.exec.fail(f, s.agent.common.Timer.Now())
		}
		return
	}
	if s.exec.advance(phaseWaiting) {
		go s.agent.run(s.exec)
	}
}

// receiveBody receives the remaining parts of the request's body.
func (s *session) receiveBody() *failure {
	start := s.exec.start
	for complete := start.GetBodyComplete(); !complete; {
		message, err := s.receive()
		if err != nil {
			return notRun(aubwire.FailureReason_FAILURE_REASON_INCOMPLETE, "request body is not whole", 0)
		}
		if message.GetCancel() != nil {
			return notRun(aubwire.FailureReason_FAILURE_REASON_CANCELED, "caller canceled", 0)
		}
		body := message.GetBody()
		start.Body = append(start.Body, body.GetData()...)
		complete = body.GetLast()
		if len(start.Body) > s.agent.opts.MaxBodyBytes {
			return notRun(aubwire.FailureReason_FAILURE_REASON_OVERLOADED, "request body is too long", 0)
		}
	}
	return nil
}

// resume attaches a new connection to an execution.
func (a *Agent) resume(stream executeStream, resume *aubwire.ExecuteResume) error {
	key := executionKey{requestID: resume.GetRequestId(), attempt: resume.GetAttempt()}
	if resume.GetAgentIncarnation() != a.Incarnation() {
		return refuse(stream, key, mayHaveRun(
			aubwire.FailureReason_FAILURE_REASON_WRONG_INCARNATION, "agent has another incarnation"))
	}
	exec, refusal := a.attempts.resume(key)
	if refusal != nil {
		return refuse(stream, key, refusal)
	}
	if exec.stopReceiving() {
		// The rest of the body was lost with the previous connection.
		f := notRun(aubwire.FailureReason_FAILURE_REASON_INCOMPLETE, "request body is not whole", 0)
		exec.fail(f, a.common.Timer.Now())
	}
	a.common.Metrics.Counter("resumes").Inc(1)
	return a.serveSession(&session{exec: exec, stream: stream, nextSequence: resume.GetNextSequence()})
}

// refuse sends a failure frame for an attempt that has no execution.
func refuse(stream executeStream, key executionKey, f *failure) error {
	return stream.Send(&aubwire.ExecuteFrame{
		RequestId: key.requestID,
		Attempt:   key.attempt,
		Sequence:  1,
		Frame:     &aubwire.ExecuteFrame_Failure{Failure: f.frame()},
	})
}

// serveSession sends the response's frames from the session's next sequence number on,
// until the last one is acknowledged, the connection ends or a newer session replaces this
// one.
func (a *Agent) serveSession(s *session) error {
	exec := s.exec
	ctx, cancel := context.WithCancel(s.stream.Context())
	defer cancel()
	s.agent = a
	s.wakeUp = make(chan struct{}, 1)
	s.receiveDone = make(chan struct{})
	s.lastSentAt = a.common.Timer.Now()
	id := exec.attach(cancel)
	a.addSession(s)
	go s.receiveMessages()
	err := s.sendFrames(ctx)
	a.removeSession(s)
	exec.detach(id, a.common.Timer.Now())
	if exec.canRetire(a.common.Timer.Now(), a.opts.Linger) {
		a.attempts.retire(exec)
	}
	return err
}

// receive returns the caller's next message.
func (s *session) receive() (*aubwire.ExecuteRequest, error) {
	message, err := s.stream.Recv()
	if err == nil {
		s.silentTicks.Store(0)
	}
	return message, err
}

// receiveMessages receives the request's body, if this session does, and handles the
// caller's acknowledgements and cancellations.
func (s *session) receiveMessages() {
	defer close(s.receiveDone)
	if s.receivesBody {
		s.receiveRequest()
	}
	for {
		message, err := s.receive()
		if err != nil {
			return
		}
		switch m := message.GetMessage().(type) {
		case *aubwire.ExecuteRequest_Ack:
			s.exec.frames.ack(m.Ack.GetSequence())
		case *aubwire.ExecuteRequest_Cancel:
			s.exec.abandon(errCanceled)
		}
	}
}

// sendFrames sends frames until the last one is acknowledged or the session ends.
func (s *session) sendFrames(ctx context.Context) error {
	for {
		frames, closed, frameAdded, ok := s.exec.frames.unackedFrom(s.nextSequence)
		if !ok {
			return status.Error(codes.OutOfRange, "frames are no longer kept")
		}
		for _, frame := range frames {
			if err := s.stream.Send(frame); err != nil {
				return err
			}
			s.nextSequence++
		}
		if len(frames) > 0 {
			s.lastSentAt = s.agent.common.Timer.Now()
		}
		allAcked, nextAck := s.exec.frames.ackState()
		if allAcked {
			return nil
		}
		if !closed {
			nextAck = nil
		}
		if err := s.waitForFrames(ctx, frameAdded, nextAck); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}

// waitForFrames waits for a new frame or, if nextAck is not nil, an acknowledgement.
// Meanwhile it sends heartbeats. It returns io.EOF if the caller needs
// no more frames.
func (s *session) waitForFrames(ctx context.Context, frameAdded, nextAck <-chan struct{}) error {
	for {
		select {
		case <-frameAdded:
			return nil
		case <-nextAck:
			return nil
		case <-s.receiveDone:
			return s.waitAfterReceiveDone(ctx, frameAdded)
		case <-ctx.Done():
			return status.Error(codes.Aborted, "connection ended or another one took over")
		case <-s.wakeUp:
			if err := s.tick(); err != nil {
				return err
			}
		}
	}
}

// waitAfterReceiveDone waits for a new frame after the caller has closed its side, and
// sends heartbeats. It returns io.EOF if the last frame was sent.
func (s *session) waitAfterReceiveDone(ctx context.Context, frameAdded <-chan struct{}) error {
	unsent, closed, _, _ := s.exec.frames.unackedFrom(s.nextSequence)
	switch {
	case len(unsent) > 0:
		return nil
	case closed:
		return io.EOF
	}
	for {
		select {
		case <-frameAdded:
			return nil
		case <-ctx.Done():
			return status.Error(codes.Aborted, "connection ended or another one took over")
		case <-s.wakeUp:
			if err := s.sendHeartbeat(s.agent.common.Timer.Now()); err != nil {
				return err
			}
		}
	}
}

// tick sends a heartbeat if one is due and returns an error if the caller is
// unresponsive.
func (s *session) tick() error {
	opts := s.agent.opts
	// The first tick may follow the last message at once.
	silence := time.Duration(s.silentTicks.Add(1)-1) * opts.Heartbeat / ticksPerHeartbeat
	if silence >= opts.CallerTimeout {
		return status.Error(codes.Aborted, "caller is silent")
	}
	return s.sendHeartbeat(s.agent.common.Timer.Now())
}

// sendHeartbeat sends a heartbeat if one is due.
func (s *session) sendHeartbeat(now time.Time) error {
	if now.Sub(s.lastSentAt) < s.agent.opts.Heartbeat {
		return nil
	}
	s.lastSentAt = now
	return s.stream.Send(&aubwire.ExecuteFrame{
		RequestId: s.exec.key.requestID,
		Attempt:   s.exec.key.attempt,
		Frame:     &aubwire.ExecuteFrame_Heartbeat{Heartbeat: &aubwire.FrameHeartbeat{}},
	})
}

// wake makes the sending goroutine call tick; it never blocks.
func (s *session) wake() {
	select {
	case s.wakeUp <- struct{}{}:
	default:
	}
}

func (a *Agent) addSession(s *session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sessions[s] = struct{}{}
}

func (a *Agent) removeSession(s *session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.sessions, s)
}
