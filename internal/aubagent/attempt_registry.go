package aubagent

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// maxFinishedAttempts bounds the finished attempts that the registry remembers.
const maxFinishedAttempts = 1 << 16

// attemptRegistry records every attempt that this incarnation has received, so that
// no attempt is started twice.
type attemptRegistry struct {
	mu     sync.Mutex
	active map[executionKey]*execution
	// finished maps finished and refused attempts to whether they may have run.
	finished *simplelru.LRU[executionKey, bool]
	// dispatchedAttempts maps the IDs of non-idempotent requests to the attempt that
	// was dispatched.
	dispatchedAttempts *simplelru.LRU[string, uint32]
	// evicted is set once a record was evicted for lack of space. From then on, an
	// unknown attempt may have run.
	evicted bool
}

func newAttemptRegistry(capacity int) (*attemptRegistry, error) {
	r := &attemptRegistry{active: make(map[executionKey]*execution)}
	var err error
	r.finished, err = simplelru.NewLRU(capacity, func(executionKey, bool) { r.evicted = true })
	if err != nil {
		return nil, err
	}
	r.dispatchedAttempts, err = simplelru.NewLRU(capacity, func(string, uint32) { r.evicted = true })
	if err != nil {
		return nil, err
	}
	return r, nil
}

// open returns the attempt's execution and whether it is new. It refuses a finished
// attempt, and a new attempt of a non-idempotent request that was already dispatched.
func (r *attemptRegistry) open(ctx context.Context, start *aubwire.ExecuteStart, now time.Time) (*execution, bool, *failure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := executionKey{requestID: start.GetRequestId(), attempt: start.GetAttempt()}
	if exec, ok := r.active[key]; ok {
		return exec, false, nil
	}
	if dispatched, ok := r.finished.Get(key); ok {
		return nil, false, finishedFailure(dispatched)
	}
	if _, ok := r.dispatchedAttempts.Get(key.requestID); ok {
		return nil, false, finishedFailure(true)
	}
	exec := newExecution(ctx, start, now)
	r.active[key] = exec
	return exec, true, nil
}

// resume returns the attempt's execution. An unknown attempt is recorded as
// finished, so that its start is refused if it arrives later.
func (r *attemptRegistry) resume(key executionKey) (*execution, *failure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if exec, ok := r.active[key]; ok {
		return exec, nil
	}
	if dispatched, ok := r.finished.Get(key); ok {
		return nil, finishedFailure(dispatched)
	}
	r.finished.Add(key, r.evicted)
	return nil, finishedFailure(r.evicted)
}

// markDispatched records that a request is about to be dispatched. It reports false
// for a non-idempotent request of which another attempt was dispatched before.
func (r *attemptRegistry) markDispatched(exec *execution) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !exec.start.GetIdempotent() {
		dispatchedAttempt, ok := r.dispatchedAttempts.Get(exec.key.requestID)
		if ok && dispatchedAttempt != exec.key.attempt {
			return false
		}
		r.dispatchedAttempts.Add(exec.key.requestID, exec.key.attempt)
	}
	return exec.advance(phaseDispatched)
}

// retire drops the execution with its response and records the attempt as finished.
func (r *attemptRegistry) retire(exec *execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active[exec.key] != exec {
		return
	}
	delete(r.active, exec.key)
	exec.cancel(nil)
	r.finished.Add(exec.key, exec.wasDispatched())
}

// list returns the active executions.
func (r *attemptRegistry) list() []*execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	executions := make([]*execution, 0, len(r.active))
	for _, exec := range r.active {
		executions = append(executions, exec)
	}
	return executions
}

// size returns the number of active executions.
func (r *attemptRegistry) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.active)
}

// finishedFailure returns the failure for an attempt without an execution.
func finishedFailure(dispatched bool) *failure {
	const reason = aubwire.FailureReason_FAILURE_REASON_UNKNOWN_REQUEST
	if dispatched {
		return mayHaveRun(reason, "attempt is not known any more")
	}
	return notRun(reason, "attempt was not handed over", 0)
}
