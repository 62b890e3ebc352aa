package aubagent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// Causes for which an execution or its backend connection is canceled.
var (
	errTimeout   = errors.New("deadline passed")
	errCanceled  = errors.New("caller canceled")
	errAbandoned = errors.New("no connection of the caller any more")
	errStalled   = errors.New("backend connection is silent")
	errRestarted = errors.New("engine has restarted")
)

// executionKey identifies one attempt of one request.
type executionKey struct {
	requestID string
	attempt   uint32
}

// phase is the progress of an execution.
type phase int

const (
	// phaseReceiving: the request body is incomplete.
	phaseReceiving phase = iota
	// phaseWaiting: the request is complete and not dispatched.
	phaseWaiting
	// phaseDispatched: the backend server may have the request.
	phaseDispatched
	// phaseClosed: the request failed before it was complete.
	phaseClosed
)

// execution is one attempt of a request on this agent's backend server.
type execution struct {
	key    executionKey
	start  *aubwire.ExecuteStart
	ctx    context.Context
	cancel context.CancelCauseFunc
	frames *frameBuffer
	// deadline is the zero time for none.
	deadline time.Time
	watchdog stallWatchdog

	mu    sync.Mutex
	phase phase
	// dispatched is set once the backend server may have the request.
	dispatched bool
	// cancelSession ends the session that reads the response; nil for none.
	cancelSession context.CancelFunc
	// sessionID numbers the sessions of this execution.
	sessionID uint64
	// detachedAt is when the last session ended, at first the creation time.
	detachedAt time.Time
	// abandoned is set when no caller will read the response.
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

// advance moves to a later phase. It reports false if the execution already is
// in that phase or past it.
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

// stopReceiving closes an execution whose request body is incomplete. It reports
// whether this call did so.
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

// attach makes a session the only reader of the response, ends the previous one
// and returns the new session's ID.
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

// detach records the end of a session unless a newer one has replaced it.
func (e *execution) detach(id uint64, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sessionID == id {
		e.cancelSession = nil
		e.detachedAt = now
	}
}

// abandon cancels the execution of a caller that will not read the response.
func (e *execution) abandon(cause error) {
	e.mu.Lock()
	e.abandoned = true
	e.mu.Unlock()
	e.cancel(cause)
}

// detachedSince returns when the last session ended, and false while one is attached.
func (e *execution) detachedSince() (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.detachedAt, e.cancelSession == nil
}

// canRetire reports whether the response is final and no longer needed: it was
// acknowledged, abandoned, or kept for the linger time.
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

// fail ends the response with a failure.
func (e *execution) fail(f *failure, now time.Time) {
	e.frames.close(&aubwire.ExecuteFrame{Frame: &aubwire.ExecuteFrame_Failure{Failure: f.frame()}}, now)
}

// cancellationFailure converts the cause of the execution's canceled context to a failure.
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

// newFailure returns a failure that says "not run" only if the request was not dispatched.
func (e *execution) newFailure(reason aubwire.FailureReason, detail string) *failure {
	if e.wasDispatched() {
		return mayHaveRun(reason, detail)
	}
	return notRun(reason, detail, 0)
}

// stallWatchdog runs a check on a backend connection that makes no progress.
type stallWatchdog struct {
	mu           sync.Mutex
	lastProgress time.Time
	checkRunning bool
	// check is called when the connection made no progress for the timeout; nil
	// while there is no connection.
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

// tick starts the check, in its own goroutine, once the connection made no
// progress for the timeout.
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
