package aubagent

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// maxPast bounds the finished attempts that are remembered.
const maxPast = 1 << 16

// registry knows every attempt that this incarnation heard of, so that none is
// started twice.
type registry struct {
	mu   sync.Mutex
	live map[executionKey]*execution
	// past maps finished and refused attempts to whether they were handed over.
	past *simplelru.LRU[executionKey, bool]
	// once holds the non-idempotent requests that were handed over.
	once *simplelru.LRU[string, uint32]
	// forgot is set once an attempt was dropped from past; from then on an
	// unknown attempt may have run.
	forgot bool
}

func newRegistry(size int) (*registry, error) {
	r := &registry{live: make(map[executionKey]*execution)}
	var err error
	r.past, err = simplelru.NewLRU(size, func(executionKey, bool) { r.forgot = true })
	if err != nil {
		return nil, err
	}
	r.once, err = simplelru.NewLRU(size, func(string, uint32) { r.forgot = true })
	if err != nil {
		return nil, err
	}
	return r, nil
}

// open returns the attempt's execution and whether it is new. An attempt that
// has ended, and any other attempt of a non-idempotent request that was handed
// over, is refused.
func (r *registry) open(ctx context.Context, start *aubwire.ExecuteStart, now time.Time) (*execution, bool, *failure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := executionKey{requestID: start.GetRequestId(), attempt: start.GetAttempt()}
	if x, ok := r.live[key]; ok {
		return x, false, nil
	}
	if handed, ok := r.past.Get(key); ok {
		return nil, false, ended(handed)
	}
	if _, ok := r.once.Get(key.requestID); ok {
		return nil, false, ended(true)
	}
	x := newExecution(ctx, start, now)
	r.live[key] = x
	return x, true, nil
}

// resume returns the attempt's execution. An unknown attempt is remembered as
// refused, so that its start does no harm when it arrives later.
func (r *registry) resume(key executionKey) (*execution, *failure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x, ok := r.live[key]; ok {
		return x, nil
	}
	if handed, ok := r.past.Get(key); ok {
		return nil, ended(handed)
	}
	r.past.Add(key, r.forgot)
	return nil, ended(r.forgot)
}

// hand notes that a request is about to be handed over. It reports false for a
// non-idempotent one that another attempt handed over before.
func (r *registry) hand(x *execution) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !x.start.GetIdempotent() {
		attempt, ok := r.once.Get(x.key.requestID)
		if ok && attempt != x.key.attempt {
			return false
		}
		r.once.Add(x.key.requestID, x.key.attempt)
	}
	return x.advance(phaseHanded)
}

// retire forgets the answer and remembers the attempt.
func (r *registry) retire(x *execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.live[x.key] != x {
		return
	}
	delete(r.live, x.key)
	x.cancel(nil)
	r.past.Add(x.key, x.wasHanded())
}

func (r *registry) list() []*execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	executions := make([]*execution, 0, len(r.live))
	for _, x := range r.live {
		executions = append(executions, x)
	}
	return executions
}

func (r *registry) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.live)
}

func ended(handed bool) *failure {
	const reason = aubwire.FailureReason_FAILURE_REASON_UNKNOWN_REQUEST
	if handed {
		return mayHaveRun(reason, "attempt is not known any more")
	}
	return notRun(reason, "attempt was not handed over", 0)
}
