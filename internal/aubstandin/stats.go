package aubstandin

import (
	"maps"
	"sync"
	"time"
)

// Stats are the statistics of a stand-in, summed over its restarts.
type Stats struct {
	MemoryUsedBytes int64 `json:"memory_used_bytes"`
	MemoryPeakBytes int64 `json:"memory_peak_bytes"`
	// Overcommitted is true once the memory in use exceeded that of the accelerator.
	Overcommitted bool `json:"overcommitted"`
	// Executions counts the started executions by request ID.
	Executions map[string]int `json:"executions"`
	// LastRequestAt is the start time of the latest request.
	LastRequestAt time.Time `json:"last_request_at"`
	Loads         int       `json:"loads"`
	Unloads       int       `json:"unloads"`
	Crashes       int       `json:"crashes"`
	// Aborted counts the abort requests for a known answer.
	Aborted int `json:"aborted"`
	// TokensOut counts the generated output tokens.
	TokensOut int64 `json:"tokens_out"`
	// NextOrderAt is the execution time of the next delayed or repeated order;
	// zero if there is none.
	NextOrderAt time.Time `json:"next_order_at"`
}

// statsRecorder collects the statistics of one stand-in.
type statsRecorder struct {
	mu    sync.Mutex
	stats Stats
	// pending holds the execution times of delayed and repeated orders.
	pending     map[int]time.Time
	lastOrderID int
}

func newStatsRecorder() *statsRecorder {
	return &statsRecorder{stats: Stats{Executions: make(map[string]int)}, pending: make(map[int]time.Time)}
}

func (r *statsRecorder) update(change func(*Stats)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.stats)
}

// recordExecution counts an execution of a request.
func (r *statsRecorder) recordExecution(requestID string, now time.Time) {
	r.update(func(s *Stats) {
		s.Executions[requestID]++
		s.LastRequestAt = now
	})
}

// snapshot returns a copy of the statistics.
func (r *statsRecorder) snapshot() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stats
	s.Executions = maps.Clone(r.stats.Executions)
	for _, executeAt := range r.pending {
		if s.NextOrderAt.IsZero() || executeAt.Before(s.NextOrderAt) {
			s.NextOrderAt = executeAt
		}
	}
	return s
}

// addPendingOrder records an order that is executed later; the returned function
// removes it.
func (r *statsRecorder) addPendingOrder(executeAt time.Time) (remove func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastOrderID++
	id := r.lastOrderID
	r.pending[id] = executeAt
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.pending, id)
	}
}
