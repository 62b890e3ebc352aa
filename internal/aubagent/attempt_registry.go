package aubagent

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// maxFinishedAttempts bounds the finished attempts that are remembered.
const maxFinishedAttempts = 1 << 16

// attemptRegistry knows every attempt that this incarnation heard of, so that none is
// started twice.
type attemptRegistry struct {
	mu     sync.Mutex
	active map[executionKey]*execution
	// finished maps finished and refused attempts to whether they were handed over.
	finished *simplelru.LRU[executionKey, bool]
	// dispatchedAttempts holds the non-idempotent requests that were handed over.
	dispatchedAttempts *simplelru.LRU[string, uint32]
	// evicted is set once an attempt was dropped from past; from then on an
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

// open returns the attempt's execution and whether it is new. An attempt that
// has ended, and any other attempt of a non-idempotent request that was handed
// over, is refused.
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

// resume returns the attempt's execution. An unknown attempt is remembered as
// refused, so that its start does no harm when it arrives later.
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

// markDispatched notes that a request is about to be handed over. It reports false for a
// non-idempotent one that another attempt handed over before.
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

// retire forgets the answer and remembers the attempt.
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

func (r *attemptRegistry) list() []*execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	executions := make([]*execution, 0, len(r.active))
	for _, exec := range r.active {
		executions = append(executions, exec)
	}
	return executions
}

func (r *attemptRegistry) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.active)
}

func finishedFailure(dispatched bool) *failure {
	const reason = aubwire.FailureReason_FAILURE_REASON_UNKNOWN_REQUEST
	if dispatched {
		return mayHaveRun(reason, "attempt is not known any more")
	}
	return notRun(reason, "attempt was not handed over", 0)
}
