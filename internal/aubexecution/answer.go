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
	// ackFrames and ackBytes are read before an acknowledgement goes out
	// without waiting for the next heartbeat.
	ackFrames = 64
	ackBytes  = 128 << 10
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

	executor *Executor
	target   Target
	req      Request
	first    []byte
	rest     io.Reader
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// done is closed when the goroutine that reads frames has ended.
	done chan struct{}

	mu sync.Mutex
	// queue holds the frames received and not yet read.
	queue []*aubwire.ExecuteFrame
	// next is the sequence wanted from the agent.
	next uint64
	// consumed is the last sequence read; unacked counts since the last acknowledgement.
	consumed     uint64
	unackedCount int
	unackedBytes int
	// sent is set before the start is sent: from then on the agent may have it.
	sent bool
	// whole is set before the end of the body is sent: an agent hands over
	// whole requests only, so nothing can have run before.
	whole bool
	// begun is set once a frame of the answer itself came.
	begun bool
	// outcome is set once no frame comes any more: io.EOF or *FailedError.
	outcome error
	arrived chan struct{}
	link    *link
	usage   Usage
	trailer http.Header
}

func newAnswer(e *Executor, target Target, req Request, first []byte, rest io.Reader) *Answer {
	a := &Answer{
		executor: e,
		target:   target,
		req:      req,
		first:    first,
		rest:     rest,
		done:     make(chan struct{}),
		next:     1,
		arrived:  make(chan struct{}, 1),
	}
	if req.Timeout > 0 {
		// The agent's own deadline comes first, for it knows more of the execution.
		a.deadline = e.common.Timer.Now().Add(req.Timeout + e.opts.Heartbeat)
	}
	return a
}

// Next returns the next piece of the body. It returns io.EOF only after the
// agent said that the answer is whole, *FailedError when it never will be, and
// the context's error when that ends first.
func (a *Answer) Next(ctx context.Context) ([]byte, error) {
	for {
		frame, err := a.pop(ctx)
		if err != nil {
			return nil, err
		}
		if data := frame.GetData().GetData(); len(data) > 0 {
			return data, nil
		}
	}
}

// Usage returns the token count; it is zero until Next returned io.EOF.
func (a *Answer) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.usage
}

// Trailer returns the trailers; nil until Next returned io.EOF.
func (a *Answer) Trailer() http.Header {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.trailer
}

// Close ends the answer. Work that still runs on the agent is canceled.
func (a *Answer) Close() { a.cancel(context.Canceled) }

// awaitHead reads the first frame.
func (a *Answer) awaitHead(ctx context.Context) error {
	frame, err := a.pop(ctx)
	if errors.Is(err, io.EOF) || (err == nil && frame.GetHead() == nil) {
		return a.failed(aubwire.FailureReason_FAILURE_REASON_INCOMPLETE, "answer has no head")
	}
	if err != nil {
		return a.asFailed(err)
	}
	head := frame.GetHead()
	a.Status = int(head.GetStatus())
	a.Header = decodeHeader(head.GetHeaders())
	return nil
}

// pop returns the next frame, or the outcome once there is no more.
func (a *Answer) pop(ctx context.Context) (*aubwire.ExecuteFrame, error) {
	for {
		if frame, err, ok := a.tryPop(); ok {
			return frame, err
		}
		select {
		case <-a.arrived:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

//nolint:revive // the error is the outcome that is popped, not one of the call
func (a *Answer) tryPop() (frame *aubwire.ExecuteFrame, outcome error, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.queue) == 0 {
		return nil, a.outcome, a.outcome != nil
	}
	frame = a.queue[0]
	a.queue[0] = nil
	a.queue = a.queue[1:]
	a.consumed = frame.GetSequence()
	a.unackedCount++
	a.unackedBytes += len(frame.GetData().GetData())
	if a.unackedCount >= ackFrames || a.unackedBytes >= ackBytes {
		a.unackedCount, a.unackedBytes = 0, 0
		a.link.signal()
	}
	return frame, nil, true
}

// take adds a frame from the agent. It reports whether the answer goes on, and
// an error for a frame that does not continue it.
func (a *Answer) take(frame *aubwire.ExecuteFrame) (more bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if frame.GetRequestId() != a.req.RequestID || frame.GetAttempt() != a.req.Attempt {
		return false, errOtherRequest
	}
	if f := frame.GetFailure(); f != nil {
		if frame.GetSequence() == a.next {
			a.next++
		}
		a.finish(a.trusted(failedBy(f)))
		return false, nil
	}
	sequence := frame.GetSequence()
	if sequence < a.next {
		// A heartbeat, or a frame that came on an earlier connection too.
		return true, nil
	}
	if sequence > a.next {
		return false, errGap
	}
	a.next++
	if end := frame.GetEnd(); end != nil {
		a.usage = Usage{
			PromptTokens: end.GetPromptTokens(),
			OutputTokens: end.GetOutputTokens(),
			CachedTokens: end.GetCachedTokens(),
		}
		a.trailer = decodeHeader(end.GetTrailers())
		a.finish(io.EOF)
		return false, nil
	}
	a.begun = true
	a.queue = append(a.queue, frame)
	a.notify()
	return true, nil
}

// trusted corrects an agent that says "not run" of an answer that has begun.
func (a *Answer) trusted(f *FailedError) *FailedError {
	if a.begun && f.Execution == aubapi.ExecutionNotRun {
		f.Execution = aubapi.ExecutionMayHaveRun
	}
	return f
}

// finish is called with mu held; only the first outcome counts.
func (a *Answer) finish(outcome error) {
	if a.outcome == nil {
		a.outcome = outcome
	}
	a.notify()
}

// fail sets the outcome from outside.
func (a *Answer) fail(f *FailedError) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.finish(f)
}

func (a *Answer) notify() {
	select {
	case a.arrived <- struct{}{}:
	default:
	}
}

// failed builds a failure of the connection to the agent: "not run" only when
// the whole request was never sent.
func (a *Answer) failed(reason aubwire.FailureReason, detail string) *FailedError {
	a.mu.Lock()
	defer a.mu.Unlock()
	f := &FailedError{Execution: aubapi.ExecutionNotRun, Reason: reason, Detail: detail}
	if a.whole {
		f.Execution = aubapi.ExecutionMayHaveRun
	}
	return f
}

func (a *Answer) asFailed(err error) error {
	var failed *FailedError
	if errors.As(err, &failed) {
		return failed
	}
	return a.failed(aubwire.FailureReason_FAILURE_REASON_CANCELED, err.Error())
}

// acknowledged returns the sequence up to which frames need not be kept by the
// agent: all that were read, or all when the answer is complete here.
func (a *Answer) acknowledged() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.outcome != nil {
		return a.next - 1
	}
	return a.consumed
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
