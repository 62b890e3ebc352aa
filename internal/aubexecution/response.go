package aubexecution

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

const (
	// maxUnackedFrames and ackBytes are read before an acknowledgement goes out
	// without waiting for the next heartbeat.
	maxUnackedFrames = 64
	maxUnackedBytes  = 128 << 10
)

// Usage is the token count of a whole answer.
type Usage struct {
	PromptTokens int64
	OutputTokens int64
	CachedTokens int64
}

// Answer is the answer of one request. One goroutine reads it.
type Answer struct {
	// Status is the HTTP status of the backend server's answer.
	Status int
	// Header is the backend server's, without hop-by-hop headers.
	Header http.Header

	executor   *Executor
	target     Target
	req        Request
	firstChunk []byte
	bodyRest   io.Reader
	deadline   time.Time
	ctx        context.Context
	cancel     context.CancelCauseFunc
	// readerDone is closed when the goroutine that reads frames has ended.
	readerDone chan struct{}

	mu sync.Mutex
	// queue holds the frames received and not yet read.
	queue []*aubwire.ExecuteFrame
	// nextSequence is the sequence wanted from the agent.
	nextSequence uint64
	// consumedSequence is the last sequence read; unacked counts since the last acknowledgement.
	consumedSequence uint64
	unackedFrames    int
	unackedBytes     int
	// startSent is set before the start is startSent: from then on the agent may have it.
	startSent bool
	// bodySent is set before the end of the body is sent: an agent hands over
	// bodySent requests only, so nothing can have run before.
	bodySent bool
	// started is set once a frame of the answer itself came.
	started bool
	// outcome is set once no frame comes any more: io.EOF or *FailedError.
	outcome    error
	updated    chan struct{}
	connection *connection
	usage      Usage
	trailer    http.Header
}

func newResponse(e *Executor, target Target, req Request, firstChunk []byte, bodyRest io.Reader) *Answer {
	r := &Answer{
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
		// The agent's own deadline comes first, for it knows more of the execution.
		r.deadline = e.common.Timer.Now().Add(req.Timeout + e.opts.Heartbeat)
	}
	return r
}

// Next returns the next piece of the body. It returns io.EOF only after the
// agent said that the answer is whole, *FailedError when it never will be, and
// the context's error when that ends first.
func (r *Answer) Next(ctx context.Context) ([]byte, error) {
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

// Usage returns the token count; it is zero until Next returned io.EOF.
func (r *Answer) Usage() Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.usage
}

// Trailer returns the trailers; nil until Next returned io.EOF.
func (r *Answer) Trailer() http.Header {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.trailer
}

// Close ends the answer. Work that still runs on the agent is canceled.
func (r *Answer) Close() { r.cancel(context.Canceled) }

// awaitHead reads the first frame.
func (r *Answer) awaitHead(ctx context.Context) error {
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
	return nil
}

// pop returns the next frame, or the outcome once there is no more.
func (r *Answer) pop(ctx context.Context) (*aubwire.ExecuteFrame, error) {
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

//nolint:revive // the error is the outcome that is popped, not one of the call
func (r *Answer) tryPop() (frame *aubwire.ExecuteFrame, outcome error, ok bool) {
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

// receive adds a frame from the agent. It reports whether the answer goes on, and
// an error for a frame that does not continue it.
func (r *Answer) receive(frame *aubwire.ExecuteFrame) (more bool, err error) {
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
		// A heartbeat, or a frame that came on an earlier connection too.
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

// correctExecution corrects an agent that says "not run" of an answer that has begun.
func (r *Answer) correctExecution(failure *FailedError) *FailedError {
	if r.started && failure.Execution == aubapi.ExecutionNotRun {
		failure.Execution = aubapi.ExecutionMayHaveRun
	}
	return failure
}

// setOutcome is called with mu held; only the first outcome counts.
func (r *Answer) setOutcome(outcome error) {
	if r.outcome == nil {
		r.outcome = outcome
	}
	r.notify()
}

// fail sets the outcome from outside.
func (r *Answer) fail(failure *FailedError) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setOutcome(failure)
}

func (r *Answer) notify() {
	select {
	case r.updated <- struct{}{}:
	default:
	}
}

// newFailure builds a failure of the connection to the agent: "not run" only when
// the whole request was never sent.
func (r *Answer) newFailure(reason aubwire.FailureReason, detail string) *FailedError {
	r.mu.Lock()
	defer r.mu.Unlock()
	failure := &FailedError{Execution: aubapi.ExecutionNotRun, Reason: reason, Detail: detail}
	if r.bodySent {
		failure.Execution = aubapi.ExecutionMayHaveRun
	}
	return failure
}

func (r *Answer) toFailedError(err error) error {
	var failed *FailedError
	if errors.As(err, &failed) {
		return failed
	}
	return r.newFailure(aubwire.FailureReason_FAILURE_REASON_CANCELED, err.Error())
}

// ackSequence returns the sequence up to which frames need not be kept by the
// agent: all that were read, or all when the answer is complete here.
func (r *Answer) ackSequence() uint64 {
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
