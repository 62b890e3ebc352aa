package aubstandin

import (
	"maps"
	"sync"
	"time"
)

// Stats is what a stand-in recorded of itself, over all its restarts.
type Stats struct {
	MemoryUsed int64 `json:"memory_used_bytes"`
	MemoryPeak int64 `json:"memory_peak_bytes"`
	// Overcommitted is true once memory in use passed the accelerator's memory.
	Overcommitted bool `json:"overcommitted"`
	// Executions counts the executions begun, by request id.
	Executions map[string]int `json:"executions"`
	// LastRequestAt is when the newest request began.
	LastRequestAt time.Time `json:"last_request_at"`
	Loads         int       `json:"loads"`
	Unloads       int       `json:"unloads"`
	Crashes       int       `json:"crashes"`
	Aborted       int       `json:"aborted"`
	TokensOut     int64     `json:"tokens_out"`
	// NextOrderAt is when the next late or doubled order is executed; zero for none.
	NextOrderAt time.Time `json:"next_order_at"`
}

// statsRecorder guards the records.
type statsRecorder struct {
	mu    sync.Mutex
	stats Stats
	// pending holds when late and doubled orders are due.
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

func (r *statsRecorder) recordExecution(requestID string, now time.Time) {
	r.update(func(s *Stats) {
		s.Executions[requestID]++
		s.LastRequestAt = now
	})
}

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

// addPendingOrder notes an order that is due later; the returned function ends that.
func (r *statsRecorder) addPendingOrder(executeAt time.Time) (done func()) {
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
