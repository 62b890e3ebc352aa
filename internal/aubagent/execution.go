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
	errStalled   = errors.New("backend connection is silent")
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
	// phaseDispatched: the backend server may have the request.
	phaseDispatched
	// phaseClosed: the answer or its failure is final.
	phaseClosed
)

// execution is one attempt of a request on this agent's backend server.
type execution struct {
	key    executionKey
	start  *aubwire.ExecuteStart
	ctx    context.Context
	cancel context.CancelCauseFunc
	frames *frameBuffer
	// deadline is zero for none.
	deadline time.Time
	watchdog stallWatchdog

	mu    sync.Mutex
	phase phase
	// dispatched stays set once the backend server may have the request.
	dispatched bool
	// cancelSession ends the connection that reads the answer; nil for none.
	cancelSession context.CancelFunc
	sessionID     uint64
	detachedAt    time.Time
	// abandoned is set when nobody will read the answer.
	abandoned bool
}

func newExecution(ctx context.Context, start *aubwire.ExecuteStart, now time.Time) *execution {
	key := executionKey{requestID: start.GetRequestId(), attempt: start.GetAttempt()}
	exec := &execution{key: key, start: start, frames: newFrameBuffer(key), detachedAt: now}
	exec.ctx, exec.cancel = context.WithCancelCause(ctx)
	if ms := start.GetTimeoutMs(); ms > 0 {
		exec.deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	return exec
}

// advance moves to the next phase unless the execution is past it or closed.
func (e *execution) advance(to phase) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.phase >= to {
		return false
	}
	e.phase = to
	e.dispatched = e.dispatched || to == phaseDispatched
	return true
}

// stopReceiving closes an execution whose body is not whole. It reports whether
// this call did so.
func (e *execution) stopReceiving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.phase != phaseReceiving {
		return false
	}
	e.phase = phaseClosed
	return true
}

func (e *execution) wasDispatched() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatched
}

// attach makes a new connection the only reader; the one before ends.
func (e *execution) attach(cancelSession context.CancelFunc) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancelSession != nil {
		e.cancelSession()
	}
	e.cancelSession = cancelSession
	e.sessionID++
	return e.sessionID
}

// detach notes the end of a connection unless another one took over.
func (e *execution) detach(id uint64, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sessionID == id {
		e.cancelSession = nil
		e.detachedAt = now
	}
}

// abandon ends the execution for a caller that will not come back.
func (e *execution) abandon(cause error) {
	e.mu.Lock()
	e.abandoned = true
	e.mu.Unlock()
	e.cancel(cause)
}

// detachedSince returns when the last connection ended; false while there is one.
func (e *execution) detachedSince() (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.detachedAt, e.cancelSession == nil
}

// canRetire reports whether the answer is final and nobody needs it any more.
func (e *execution) canRetire(now time.Time, linger time.Duration) bool {
	closed, closedAt, allAcked := e.frames.closeState()
	if !closed {
		return false
	}
	e.mu.Lock()
	abandoned := e.abandoned
	e.mu.Unlock()
	return allAcked || abandoned || now.Sub(closedAt) >= linger
}

// fail closes the answer with a failure.
func (e *execution) fail(f *failure, now time.Time) {
	e.frames.close(&aubwire.ExecuteFrame{Frame: &aubwire.ExecuteFrame_Failure{Failure: f.frame()}}, now)
}

// cancellationFailure turns the end of the execution's context into a failure.
func (e *execution) cancellationFailure() *failure {
	reason := aubwire.FailureReason_FAILURE_REASON_INCOMPLETE
	cause := context.Cause(e.ctx)
	switch {
	case errors.Is(cause, errTimeout):
		reason = aubwire.FailureReason_FAILURE_REASON_TIMEOUT
	case errors.Is(cause, errCanceled), errors.Is(cause, errAbandoned):
		reason = aubwire.FailureReason_FAILURE_REASON_CANCELED
	}
	return e.newFailure(reason, cause.Error())
}

// newFailure builds a failure that says "not run" only when nothing was handed over.
func (e *execution) newFailure(reason aubwire.FailureReason, detail string) *failure {
	if e.wasDispatched() {
		return mayHaveRun(reason, detail)
	}
	return notRun(reason, detail, 0)
}

// stallWatchdog finds backend connections that are silent.
type stallWatchdog struct {
	mu           sync.Mutex
	lastProgress time.Time
	checkRunning bool
	// check is called when the connection was silent for long; nil while there is none.
	check func()
}

func (w *stallWatchdog) start(now time.Time, check func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastProgress = now
	w.check = check
}

func (w *stallWatchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.check = nil
}

func (w *stallWatchdog) recordProgress(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastProgress = now
}

// tick starts the check once the connection was silent for the given time.
func (w *stallWatchdog) tick(now time.Time, timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.check == nil || w.checkRunning || now.Sub(w.lastProgress) < timeout {
		return
	}
	w.checkRunning = true
	check := w.check
	go func() {
		check()
		w.mu.Lock()
		defer w.mu.Unlock()
		w.checkRunning = false
		w.lastProgress = now
	}()
}
