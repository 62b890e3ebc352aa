package aubexecution

import (
	"context"
	"errors"
	"net/http"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// sendMessages sends the start or the resume, then acknowledgements, and finally a
// cancellation or the last acknowledgement.
func (c *connection) sendMessages(ctx context.Context, stream executeStream) {
	r := c.response
	if err := c.sendStartOrResume(ctx, stream); err != nil {
		// An unreadable request body ends the response. The reader gets all other errors.
		if errors.Is(err, errIncompleteBody) {
			c.sendFinal(stream, cancelMessage())
			r.fail(r.newFailure(aubwire.FailureReason_FAILURE_REASON_INCOMPLETE, errIncompleteBody.Error()))
			c.cancel(errIncompleteBody)
		}
		return
	}
	for {
		select {
		case <-c.ackRequested:
			if r.hasOutcome() {
				c.sendFinal(stream, ackMessage(r.ackSequence()))
				return
			}
			if stream.Send(ackMessage(r.ackSequence())) != nil {
				return
			}
		case <-r.ctx.Done():
			if r.hasOutcome() {
				c.sendFinal(stream, ackMessage(r.ackSequence()))
				return
			}
			c.sendFinal(stream, cancelMessage())
			// Until the next heartbeat the reader still accepts the agent's final frames.
			return
		case <-ctx.Done():
			return
		}
	}
}

// sendStartOrResume sends the start on the first connection and a resume on later ones.
func (c *connection) sendStartOrResume(ctx context.Context, stream executeStream) error {
	r := c.response
	r.mu.Lock()
	resume := r.startSent
	r.startSent = true
	r.bodySent = r.bodySent || r.bodyRest == nil
	next := r.nextSequence
	r.mu.Unlock()
	if resume {
		return stream.Send(r.resumeMessage(next))
	}
	if err := stream.Send(r.startMessage()); err != nil {
		return err
	}
	if r.bodyRest == nil {
		return nil
	}
	return c.sendBodyRest(ctx, stream)
}

// sendBodyRest sends the chunks of the body after the first, which the start holds, and
// acknowledgements while it waits for them. It stops early if the rest is not needed.
func (c *connection) sendBodyRest(ctx context.Context, stream executeStream) error {
	r := c.response
	chunks := readChunks(ctx, r.bodyRest)
	for {
		select {
		case chunk := <-chunks:
			if chunk.err != nil {
				return errIncompleteBody
			}
			if chunk.isLast {
				r.markBodySent()
			}
			body := &aubwire.ExecuteBody{Data: chunk.data, Last: chunk.isLast}
			err := stream.Send(&aubwire.ExecuteRequest{Message: &aubwire.ExecuteRequest_Body{Body: body}})
			if err != nil || chunk.isLast {
				return err
			}
		case <-c.ackRequested:
			if r.hasOutcome() {
				c.requestAck()
				return nil
			}
			if err := stream.Send(ackMessage(r.ackSequence())); err != nil {
				return err
			}
		case <-r.ctx.Done():
			return nil
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

func (r *Response) markBodySent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bodySent = true
}

// sendFinal sends the last message to the agent and closes this side of the stream.
func (c *connection) sendFinal(stream executeStream, final *aubwire.ExecuteRequest) {
	c.finalSentAt.Store(int64(max(c.now().Sub(c.startedAt), 1)))
	// If sending fails, the agent keeps the execution until its linger time is over.
	if stream.Send(final) == nil {
		_ = stream.CloseSend()
	}
}

// hasOutcome reports whether the response has its outcome.
func (r *Response) hasOutcome() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outcome != nil
}

func (r *Response) startMessage() *aubwire.ExecuteRequest {
	header := r.req.Header
	if header == nil {
		header = http.Header{}
	}
	start := &aubwire.ExecuteStart{
		RequestId:        r.req.RequestID,
		Attempt:          r.req.Attempt,
		AgentIncarnation: r.target.Incarnation,
		Method:           r.req.Method,
		Path:             r.req.Path,
		Headers:          encodeHeader(header),
		Model:            r.req.Model,
		Service:          r.req.Service,
		Idempotent:       r.req.Idempotent,
		Stream:           r.req.Stream,
		HideUsage:        r.req.HideUsage,
		Priority:         int32(r.req.Priority),
		TimeoutMs:        r.req.Timeout.Milliseconds(),
		Fingerprint:      r.req.Fingerprint,
		Alone:            r.req.Alone,
		Body:             r.firstChunk,
		BodyComplete:     r.bodyRest == nil,
	}
	return &aubwire.ExecuteRequest{Message: &aubwire.ExecuteRequest_Start{Start: start}}
}

func (r *Response) resumeMessage(next uint64) *aubwire.ExecuteRequest {
	resume := &aubwire.ExecuteResume{
		RequestId:        r.req.RequestID,
		Attempt:          r.req.Attempt,
		AgentIncarnation: r.target.Incarnation,
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
