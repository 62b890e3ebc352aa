package aubtimer

import (
	"context"
	"sync"
	"time"
)

// Manual is a timer service whose time moves only by Advance. It serves tests.
type Manual struct {
	mu   sync.Mutex
	now  time.Time
	subs []*subscription
}

type subscription struct {
	ctx   context.Context
	c     chan time.Time
	due   time.Time
	every time.Duration
}

var _ Service = (*Manual)(nil)

// NewManual returns a manual service that starts at the given time.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now implements Service.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Subscribe implements Service.
func (m *Manual) Subscribe(ctx context.Context, every time.Duration) <-chan time.Time {
	return m.add(ctx, every, every)
}

// After implements Service.
func (m *Manual) After(ctx context.Context, d time.Duration) <-chan time.Time {
	return m.add(ctx, d, 0)
}

// Advance moves the time by d and wakes every subscriber whose time came.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	kept := m.subs[:0]
	for _, s := range m.subs {
		if s.ctx.Err() != nil {
			continue
		}
		if m.wake(s) {
			kept = append(kept, s)
		}
	}
	m.subs = kept
}

// wake offers the time to a due subscriber and reports whether it stays subscribed.
func (m *Manual) wake(s *subscription) bool {
	if s.due.After(m.now) {
		return true
	}
	offer(s.c, m.now)
	if s.every == 0 {
		return false
	}
	for !s.due.After(m.now) {
		s.due = s.due.Add(s.every)
	}
	return true
}

func (m *Manual) add(ctx context.Context, d, every time.Duration) <-chan time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &subscription{ctx: ctx, c: make(chan time.Time, 1), due: m.now.Add(d), every: every}
	if m.wake(s) {
		m.subs = append(m.subs, s)
	}
	return s.c
}
