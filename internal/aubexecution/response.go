package aubexecution

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubresponse"
	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

const (
	// maxUnackedFrames and maxUnackedBytes bound the frames and the bytes that are read
	// without an acknowledgement; at either bound one is sent before the next heartbeat.
	maxUnackedFrames = 64
	maxUnackedBytes  = 128 << 10
)

// Usage holds the token counts of a complete response.
type Usage struct {
	PromptTokens int64
	OutputTokens int64
	CachedTokens int64
}

// Response is the response to one attempt of a request. Only one goroutine may read it.
type Response struct {
	// Status is the HTTP status that the backend server returned.
	Status int
	// Header holds the backend server's headers without the hop-by-hop ones.
	Header http.Header

	executor *Executor
	target   Target
	req      Request
	// firstChunk of the request body is sent with the start, bodyRest after it.
	firstChunk []byte
	bodyRest   io.Reader
	deadline   time.Time
	ctx        context.Context
	cancel     context.CancelCauseFunc
	// readerDone is closed when the goroutine that reads frames has returned.
	readerDone chan struct{}

	mu sync.Mutex
	// queue holds the frames that were received and not yet read.
	queue []*aubwire.ExecuteFrame
	// nextSequence is the sequence of the next new frame.
	nextSequence uint64
	// consumedSequence is the sequence of the last frame read.
	consumedSequence uint64
	// unackedFrames and unackedBytes count the frames and bytes read since one of them
	// last reached its bound, at which an acknowledgement is requested.
	unackedFrames int
	unackedBytes  int
	// startSent is set before the start is sent; from then on the agent may have the
	// request.
	startSent bool
	// bodySent is set before the end of the body is sent. Agents pass only complete
	// requests to their backend server, so nothing can have run before.
	bodySent bool
	// started is set once the head or data of the response has arrived.
	started bool
	// outcome is set once no more frames are accepted: io.EOF or *FailedError.
	outcome error
	// updated receives a value when a frame or the outcome was added.
	updated chan struct{}
	// connection is the current connection; nil for none.
	connection *connection
	usage      Usage
	trailer    http.Header
}

func newResponse(e *Executor, target Target, req Request, firstChunk []byte, bodyRest io.Reader) *Response {
	r := &Response{
		executor:     e,
		target:       target,
		req:          req,
		firstChunk:   firstChunk,
		bodyRest:     bodyRest,
		readerDone:   make(chan struct{}),
		nextSequence: 1,
		updated:      make(chan struct{}, 1),
	}
	if req.Timeout > 0 {
		// The agent's deadline passes one heartbeat earlier, so that the agent, which
		// knows whether the request ran, reports the timeout first.
		r.deadline = e.common.Timer.Now().Add(req.Timeout + e.opts.Heartbeat)
	}
	return r
}

// Next returns the next chunk of the body. It returns io.EOF only after the agent
// confirmed that the response is complete, *FailedError when it can't be completed,
// and the cause of ctx when ctx ends first.
func (r *Response) Next(ctx context.Context) ([]byte, error) {
	for {
		frame, err := r.pop(ctx)
		if err != nil {
			return nil, err
		}
		if data := frame.GetData().GetData(); len(data) > 0 {
			return data, nil
		}
	}
}

// Usage returns the token counts. They are valid after Next returned io.EOF.
func (r *Response) Usage() Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.usage
}

// Trailer returns the trailers. They are valid after Next returned io.EOF.
func (r *Response) Trailer() http.Header {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.trailer
}

// Close releases the response. A request that still runs on the agent is canceled.
func (r *Response) Close() { r.cancel(context.Canceled) }

// awaitHead reads the first frame and sets Status and Header. Errors are *FailedError.
func (r *Response) awaitHead(ctx context.Context) error {
	frame, err := r.pop(ctx)
	if errors.Is(err, io.EOF) || (err == nil && frame.GetHead() == nil) {
		return r.newFailure(aubwire.FailureReason_FAILURE_REASON_INCOMPLETE, "answer has no head")
	}
	if err != nil {
		return r.toFailedError(err)
	}
	head := frame.GetHead()
	r.Status = int(head.GetStatus())
	r.Header = decodeHeader(head.GetHeaders())
	if err := aubresponse.CheckHead(r.Status, r.Header); err != nil {
		return r.newFailure(aubwire.FailureReason_FAILURE_REASON_INCOMPLETE, err.Error())
	}
	return nil
}

// pop waits for the next frame. After the last one it returns the outcome.
func (r *Response) pop(ctx context.Context) (*aubwire.ExecuteFrame, error) {
	for {
		if frame, err, ok := r.tryPop(); ok {
			return frame, err
		}
		select {
		case <-r.updated:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// tryPop returns the next frame, or the outcome when the queue is empty; ok is false
// while there is neither.
//
//nolint:revive // the error is the response's outcome, not an error of this function
func (r *Response) tryPop() (frame *aubwire.ExecuteFrame, outcome error, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queue) == 0 {
		return nil, r.outcome, r.outcome != nil
	}
	frame = r.queue[0]
	r.queue[0] = nil
	r.queue = r.queue[1:]
	r.consumedSequence = frame.GetSequence()
	r.unackedFrames++
	r.unackedBytes += len(frame.GetData().GetData())
	if r.unackedFrames >= maxUnackedFrames || r.unackedBytes >= maxUnackedBytes {
		r.unackedFrames, r.unackedBytes = 0, 0
		r.connection.requestAck()
	}
	return frame, nil, true
}

// receive adds a frame from the agent. It reports whether more frames may follow,
// and returns an error for a frame of another request or out of sequence.
func (r *Response) receive(frame *aubwire.ExecuteFrame) (more bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if frame.GetRequestId() != r.req.RequestID || frame.GetAttempt() != r.req.Attempt {
		return false, errOtherRequest
	}
	if failure := frame.GetFailure(); failure != nil {
		if frame.GetSequence() == r.nextSequence {
			r.nextSequence++
		}
		r.setOutcome(r.correctExecution(failureFromFrame(failure)))
		return false, nil
	}
	sequence := frame.GetSequence()
	if sequence < r.nextSequence {
		// A heartbeat, or a frame that an earlier connection already delivered.
		return true, nil
	}
	if sequence > r.nextSequence {
		return false, errSequenceGap
	}
	r.nextSequence++
	if end := frame.GetEnd(); end != nil {
		r.usage = Usage{
			PromptTokens: end.GetPromptTokens(),
			OutputTokens: end.GetOutputTokens(),
			CachedTokens: end.GetCachedTokens(),
		}
		r.trailer = decodeHeader(end.GetTrailers())
		r.setOutcome(io.EOF)
		return false, nil
	}
	r.started = true
	r.queue = append(r.queue, frame)
	r.notify()
	return true, nil
}

// correctExecution replaces "not run" by "may have run" when the response has already
// started.
func (r *Response) correctExecution(failure *FailedError) *FailedError {
	if r.started && failure.Execution == aubapi.ExecutionNotRun {
		failure.Execution = aubapi.ExecutionMayHaveRun
	}
	return failure
}

// setOutcome sets the outcome unless there is one. The caller holds mu.
func (r *Response) setOutcome(outcome error) {
	if r.outcome == nil {
		r.outcome = outcome
	}
	r.notify()
}

// fail sets the outcome to a failure unless there is one.
func (r *Response) fail(failure *FailedError) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setOutcome(failure)
}

// notify wakes the goroutine that waits in pop.
func (r *Response) notify() {
	select {
	case r.updated <- struct{}{}:
	default:
	}
}

// newFailure returns a failure that was detected on the client side: "not run" before
// the end of the request body is sent, "may have run" from then on.
func (r *Response) newFailure(reason aubwire.FailureReason, detail string) *FailedError {
	r.mu.Lock()
	defer r.mu.Unlock()
	failure := &FailedError{Execution: aubapi.ExecutionNotRun, Reason: reason, Detail: detail}
	if r.bodySent {
		failure.Execution = aubapi.ExecutionMayHaveRun
	}
	return failure
}

// toFailedError returns err if it is a *FailedError, else a cancellation failure.
func (r *Response) toFailedError(err error) error {
	var failed *FailedError
	if errors.As(err, &failed) {
		return failed
	}
	return r.newFailure(aubwire.FailureReason_FAILURE_REASON_CANCELED, err.Error())
}

// ackSequence returns the sequence up to which the agent may drop its frames: the last
// frame that was read or, when the response has its outcome, the last that arrived.
func (r *Response) ackSequence() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outcome != nil {
		return r.nextSequence - 1
	}
	return r.consumedSequence
}

func decodeHeader(headers []*aubwire.Header) http.Header {
	decoded := make(http.Header, len(headers))
	for _, h := range headers {
		for _, value := range h.GetValues() {
			decoded.Add(h.GetName(), value)
		}
	}
	return decoded
}

func encodeHeader(header http.Header) []*aubwire.Header {
	encoded := make([]*aubwire.Header, 0, len(header))
	for name, values := range header {
		encoded = append(encoded, &aubwire.Header{Name: name, Values: values})
	}
	return encoded
}
