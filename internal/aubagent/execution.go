package aubagent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// Causes that end an execution.
var (
	errTimeout   = errors.New("deadline passed")
	errCanceled  = errors.New("caller canceled")
	errAbandoned = errors.New("no connection of the caller any more")
	errSilent    = errors.New("backend connection is silent")
)

// executionKey names one attempt of one request.
type executionKey struct {
	requestID string
	attempt   uint32
}

// phase is how far an execution came.
type phase int

const (
	// phaseReceiving: the request is not whole yet.
	phaseReceiving phase = iota
	// phaseWaiting: the request is whole and not handed over.
	phaseWaiting
	// phaseHanded: the backend server may have the request.
	phaseHanded
	// phaseClosed: the answer or its failure is final.
	phaseClosed
)

// execution is one attempt of a request on this agent's backend server.
type execution struct {
	key    executionKey
	start  *aubwire.ExecuteStart
	ctx    context.Context
	cancel context.CancelCauseFunc
	frames *frames
	// deadline is zero for none.
	deadline time.Time
	watch    watch

	mu    sync.Mutex
	phase phase
	// handed stays set once the backend server may have the request.
	handed bool
	// session ends the connection that reads the answer; nil for none.
	session    context.CancelFunc
	sessionID  uint64
	detachedAt time.Time
	// dropped is set when nobody will read the answer.
	dropped bool
}

func newExecution(ctx context.Context, start *aubwire.ExecuteStart, now time.Time) *execution {
	key := executionKey{requestID: start.GetRequestId(), attempt: start.GetAttempt()}
	x := &execution{key: key, start: start, frames: newFrames(key), detachedAt: now}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	if ms := start.GetTimeoutMs(); ms > 0 {
		x.deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	return x
}

// advance moves to the next phase unless the execution is past it or closed.
func (x *execution) advance(to phase) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.phase >= to {
		return false
	}
	x.phase = to
	x.handed = x.handed || to == phaseHanded
	return true
}

// stopReceiving closes an execution whose body is not whole. It reports whether
// this call did so.
func (x *execution) stopReceiving() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.phase != phaseReceiving {
		return false
	}
	x.phase = phaseClosed
	return true
}

func (x *execution) wasHanded() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.handed
}

// attach makes a new connection the only reader; the one before ends.
func (x *execution) attach(end context.CancelFunc) uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.session != nil {
		x.session()
	}
	x.session = end
	x.sessionID++
	return x.sessionID
}

// detach notes the end of a connection unless another one took over.
func (x *execution) detach(id uint64, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.sessionID == id {
		x.session = nil
		x.detachedAt = now
	}
}

// drop ends the execution for a caller that will not come back.
func (x *execution) drop(cause error) {
	x.mu.Lock()
	x.dropped = true
	x.mu.Unlock()
	x.cancel(cause)
}

// unattendedSince returns when the last connection ended; false while there is one.
func (x *execution) unattendedSince() (time.Time, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.detachedAt, x.session == nil
}

// retirable reports whether the answer is final and nobody needs it any more.
func (x *execution) retirable(now time.Time, linger time.Duration) bool {
	ended, at, acked := x.frames.state()
	if !ended {
		return false
	}
	x.mu.Lock()
	dropped := x.dropped
	x.mu.Unlock()
	return acked || dropped || now.Sub(at) >= linger
}

// fail closes the answer with a failure.
func (x *execution) fail(f *failure, now time.Time) {
	x.frames.close(&aubwire.ExecuteFrame{Frame: &aubwire.ExecuteFrame_Failure{Failure: f.frame()}}, now)
}

// ended turns the end of the execution's context into a failure.
func (x *execution) ended() *failure {
	reason := aubwire.FailureReason_FAILURE_REASON_INCOMPLETE
	cause := context.Cause(x.ctx)
	switch {
	case errors.Is(cause, errTimeout):
		reason = aubwire.FailureReason_FAILURE_REASON_TIMEOUT
	case errors.Is(cause, errCanceled), errors.Is(cause, errAbandoned):
		reason = aubwire.FailureReason_FAILURE_REASON_CANCELED
	}
	return x.classify(reason, cause.Error())
}

// classify builds a failure that says "not run" only when nothing was handed over.
func (x *execution) classify(reason aubwire.FailureReason, detail string) *failure {
	if x.wasHanded() {
		return mayHaveRun(reason, detail)
	}
	return notRun(reason, detail, 0)
}

// watch finds backend connections that are silent.
type watch struct {
	mu       sync.Mutex
	progress time.Time
	checking bool
	// check is called when the connection was silent for long; nil while there is none.
	check func()
}

func (w *watch) begin(now time.Time, check func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progress = now
	w.check = check
}

func (w *watch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.check = nil
}

func (w *watch) advance(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progress = now
}

// tick starts the check once the connection was silent for the given time.
func (w *watch) tick(now time.Time, silence time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.check == nil || w.checking || now.Sub(w.progress) < silence {
		return
	}
	w.checking = true
	check := w.check
	go func() {
		check()
		w.mu.Lock()
		defer w.mu.Unlock()
		w.checking = false
		w.progress = now
	}()
}
