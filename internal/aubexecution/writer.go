package aubexecution

import (
	"context"
	"errors"
	"net/http"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// write sends the start or the resume, then acknowledgements, and at last the
// cancellation or the final acknowledgement.
func (l *link) write(ctx context.Context, stream executeStream) {
	a := l.answer
	if err := l.open(stream); err != nil {
		// A failed body ends the answer; other errors show at the reader.
		if errors.Is(err, errBody) {
			l.quit(stream, cancelMessage())
			a.fail(a.failed(aubwire.FailureReason_FAILURE_REASON_INCOMPLETE, errBody.Error()))
			l.cancel(errBody)
		}
		return
	}
	for {
		select {
		case <-l.wake:
			if a.complete() {
				l.quit(stream, ackMessage(a.acknowledged()))
				return
			}
			if stream.Send(ackMessage(a.acknowledged())) != nil {
				return
			}
		case <-a.ctx.Done():
			if a.complete() {
				l.quit(stream, ackMessage(a.acknowledged()))
				return
			}
			l.quit(stream, cancelMessage())
			// The reader still gets the agent's last word for a moment.
			return
		case <-ctx.Done():
			return
		}
	}
}

// open sends the start the first time and a resume after that.
func (l *link) open(stream executeStream) error {
	a := l.answer
	a.mu.Lock()
	resume := a.sent
	a.sent = true
	a.whole = a.whole || a.rest == nil
	next := a.next
	a.mu.Unlock()
	if resume {
		return stream.Send(a.resumeMessage(next))
	}
	if err := stream.Send(a.startMessage()); err != nil {
		return err
	}
	return a.sendRest(stream)
}

// sendRest sends the part of the body that did not fit into the start.
func (a *Answer) sendRest(stream executeStream) error {
	for last := a.rest == nil; !last; {
		piece, isLast, err := readPiece(a.rest)
		if err != nil {
			return errBody
		}
		last = isLast
		if last {
			a.markWhole()
		}
		body := &aubwire.ExecuteBody{Data: piece, Last: last}
		err = stream.Send(&aubwire.ExecuteRequest{Message: &aubwire.ExecuteRequest_Body{Body: body}})
		if err != nil {
			return err
		}
	}
	return nil
}

func (a *Answer) markWhole() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.whole = true
}

// quit sends the last message of this side.
func (l *link) quit(stream executeStream, last *aubwire.ExecuteRequest) {
	l.quitAt.Store(int64(max(l.now().Sub(l.began), 1)))
	// The connection may be gone; the agent then waits out its linger.
	if stream.Send(last) == nil {
		_ = stream.CloseSend()
	}
}

// complete reports whether the answer has its outcome.
func (a *Answer) complete() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.outcome != nil
}

func (a *Answer) startMessage() *aubwire.ExecuteRequest {
	header := a.req.Header
	if header == nil {
		header = http.Header{}
	}
	start := &aubwire.ExecuteStart{
		RequestId:        a.req.RequestID,
		Attempt:          a.req.Attempt,
		AgentIncarnation: a.target.Incarnation,
		Method:           a.req.Method,
		Path:             a.req.Path,
		Headers:          encodeHeader(header),
		Model:            a.req.Model,
		Service:          a.req.Service,
		Idempotent:       a.req.Idempotent,
		Stream:           a.req.Stream,
		HideUsage:        a.req.HideUsage,
		Priority:         int32(a.req.Priority),
		TimeoutMs:        a.req.Timeout.Milliseconds(),
		Fingerprint:      a.req.Fingerprint,
		Alone:            a.req.Alone,
		Body:             a.first,
		BodyComplete:     a.rest == nil,
	}
	return &aubwire.ExecuteRequest{Message: &aubwire.ExecuteRequest_Start{Start: start}}
}

func (a *Answer) resumeMessage(next uint64) *aubwire.ExecuteRequest {
	resume := &aubwire.ExecuteResume{
		RequestId:        a.req.RequestID,
		Attempt:          a.req.Attempt,
		AgentIncarnation: a.target.Incarnation,
		NextSequence:     next,
	}
	return &aubwire.ExecuteRequest{Message: &aubwire.ExecuteRequest_Resume{Resume: resume}}
}

func ackMessage(sequence uint64) *aubwire.ExecuteRequest {
	ack := &aubwire.ExecuteAck{Sequence: sequence}
	return &aubwire.ExecuteRequest{Message: &aubwire.ExecuteRequest_Ack{Ack: ack}}
}

func cancelMessage() *aubwire.ExecuteRequest {
	cancel := &aubwire.ExecuteCancel{Reason: "caller canceled"}
	return &aubwire.ExecuteRequest{Message: &aubwire.ExecuteRequest_Cancel{Cancel: cancel}}
}
