package aubclaim

import (
	"container/list"
	"time"
)

// attemptSet holds the released attempts in the order of their release. They
// expire, and the oldest is dropped when a limit is reached.
type attemptSet struct {
	// releaseOrder holds releasedAttempt values, oldest first.
	releaseOrder *list.List
	// elements indexes releaseOrder by the id of the attempt.
	elements map[string]*list.Element
}

// releasedAttempt is an attempt whose claim was released.
type releasedAttempt struct {
	id string
	// expiresAt is a value of the replicated clock.
	expiresAt time.Duration
}

func newAttemptSet() *attemptSet {
	return &attemptSet{releaseOrder: list.New(), elements: make(map[string]*list.Element)}
}

func (s *attemptSet) has(attempt string) bool {
	_, ok := s.elements[attempt]
	return ok
}

// add inserts the attempt, unless the set has it; at the limit it drops the oldest.
func (s *attemptSet) add(attempt string, expiresAt time.Duration, limit int) {
	if s.has(attempt) {
		return
	}
	if s.releaseOrder.Len() >= limit {
		s.remove(s.releaseOrder.Front())
	}
	s.elements[attempt] = s.releaseOrder.PushBack(releasedAttempt{id: attempt, expiresAt: expiresAt})
}

// expire removes the attempts that have expired at the replicated clock.
func (s *attemptSet) expire(clock time.Duration) {
	for front := s.releaseOrder.Front(); front != nil; front = s.releaseOrder.Front() {
		if r, _ := front.Value.(releasedAttempt); r.expiresAt > clock {
			return
		}
		s.remove(front)
	}
}

func (s *attemptSet) remove(element *list.Element) {
	if r, ok := element.Value.(releasedAttempt); ok {
		delete(s.elements, r.id)
	}
	s.releaseOrder.Remove(element)
}

// attempts returns all attempts in the order of their release.
func (s *attemptSet) attempts() []releasedAttempt {
	attempts := make([]releasedAttempt, 0, s.releaseOrder.Len())
	for element := s.releaseOrder.Front(); element != nil; element = element.Next() {
		if r, ok := element.Value.(releasedAttempt); ok {
			attempts = append(attempts, r)
		}
	}
	return attempts
}
