// Package aubthrottle knows the rate limits that backend servers state in their answers.
package aubthrottle

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/auboption"
)

// recentWindow is the time over which the sends in log lines are counted.
const recentWindow = 4 * time.Second

// Backend identifies one incarnation of a backend server.
type Backend struct {
	Name        string
	Incarnation uint64
}

// limitState is the newest limit of one backend server.
type limitState struct {
	// limit is in requests per second.
	limit    auboption.Option[float64]
	statedAt time.Time
	// recentSends holds the times of the sends within recentWindow.
	recentSends []time.Time
}

// Throttle records the limits that backend servers state and what is sent to them.
//
// Lock order: mu is a leaf lock.
type Throttle struct {
	common aubcommon.Common
	sends  tally.Counter

	mu     sync.Mutex
	states map[Backend]*limitState
}

// NewThrottle returns a throttle that knows no limit.
func NewThrottle(common aubcommon.Common) *Throttle {
	common = common.WithPart("throttle")
	return &Throttle{common: common, sends: common.Metrics.Counter("sends"), states: make(map[Backend]*limitState)}
}

// Observe applies what an answer says about the limit, in requests per second: none if the
// backend server takes any rate.
func (t *Throttle) Observe(requestID string, b Backend, limit auboption.Option[float64]) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.states[b]
	if _, isLimited := limit.Get(); state == nil && !isLimited {
		return
	}
	if state == nil {
		state = &limitState{}
		t.states[b] = state
	}
	if state.limit != limit {
		t.common.Log.Info("Backend server changed its rate limit.",
			zap.String("request_id", requestID), zap.String("backend_server", b.Name), zap.Uint64("backend_started_ms", b.Incarnation),
			zap.Float64("previous", state.limit.Or(0)), zap.Float64("limit", limit.Or(0)))
	}
	state.limit, state.statedAt = limit, t.common.Timer.Now()
}

// RecordSend counts a request to the backend server.
func (t *Throttle) RecordSend(requestID string, b Backend) {
	now := t.common.Timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.states[b]
	if state == nil {
		return
	}
	limit, isLimited := state.limit.Get()
	if !isLimited {
		return
	}
	for len(state.recentSends) > 0 && now.Sub(state.recentSends[0]) > recentWindow {
		state.recentSends = state.recentSends[1:]
	}
	state.recentSends = append(state.recentSends, now)
	t.sends.Inc(1)
	t.common.Log.Info("Request is sent to a limited backend server.",
		zap.String("request_id", requestID), zap.String("backend_server", b.Name), zap.Float64("limit", limit),
		zap.Int64("limit_age_ms", now.Sub(state.statedAt).Milliseconds()), zap.Int("recent_sends", len(state.recentSends)))
}
