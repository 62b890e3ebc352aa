package aubtimer

import (
	"context"
	"sync"
	"time"
)

// Manual is a Service for tests, whose time moves only when Advance is called.
type Manual struct {
	mu            sync.Mutex
	now           time.Time
	subscriptions []*subscription
}

// subscription is one timer. Its interval is zero if it fires once.
type subscription struct {
	ctx      context.Context
	ticks    chan time.Time
	due      time.Time
	interval time.Duration
}

var _ Service = (*Manual)(nil)

// NewManual returns a manual service whose time is start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now implements Service.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Subscribe implements Service.
func (m *Manual) Subscribe(ctx context.Context, interval time.Duration) <-chan time.Time {
	return m.subscribe(ctx, interval, interval)
}

// After implements Service.
func (m *Manual) After(ctx context.Context, d time.Duration) <-chan time.Time {
	return m.subscribe(ctx, d, 0)
}

// Advance moves the time forward by d and notifies every subscriber that is due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	remaining := m.subscriptions[:0]
	for _, s := range m.subscriptions {
		if s.ctx.Err() != nil {
			continue
		}
		if m.fireIfDue(s) {
			remaining = append(remaining, s)
		}
	}
	m.subscriptions = remaining
}

// Waiting returns the number of timers that have not fired for the last time and whose
// context has not ended.
func (m *Manual) Waiting() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	waiting := 0
	for _, s := range m.subscriptions {
		if s.ctx.Err() == nil {
			waiting++
		}
	}
	return waiting
}

// fireIfDue sends the time to a subscriber that is due and reports whether it stays subscribed.
func (m *Manual) fireIfDue(s *subscription) bool {
	if s.due.After(m.now) {
		return true
	}
	trySend(s.ticks, m.now)
	if s.interval == 0 {
		return false
	}
	for !s.due.After(m.now) {
		s.due = s.due.Add(s.interval)
	}
	return true
}

// subscribe adds a subscription that fires d from now, immediately unless d is positive.
func (m *Manual) subscribe(ctx context.Context, d, interval time.Duration) <-chan time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &subscription{ctx: ctx, ticks: make(chan time.Time, 1), due: m.now.Add(d), interval: interval}
	if m.fireIfDue(s) {
		m.subscriptions = append(m.subscriptions, s)
	}
	return s.ticks
}
