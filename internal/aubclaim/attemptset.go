package aubclaim

import (
	"container/list"
	"time"
)

// attemptSet remembers released attempts in the order of their release, for a
// time and up to a count.
type attemptSet struct {
	order  *list.List
	places map[string]*list.Element
}

type releasedAttempt struct {
	attempt string
	keepEnd time.Duration
}

func newAttemptSet() *attemptSet {
	return &attemptSet{order: list.New(), places: make(map[string]*list.Element)}
}

func (s *attemptSet) has(attempt string) bool {
	_, ok := s.places[attempt]
	return ok
}

func (s *attemptSet) add(attempt string, keepEnd time.Duration, limit int) {
	if s.has(attempt) {
		return
	}
	if s.order.Len() >= limit {
		s.drop(s.order.Front())
	}
	s.places[attempt] = s.order.PushBack(releasedAttempt{attempt: attempt, keepEnd: keepEnd})
}

func (s *attemptSet) expire(clock time.Duration) {
	for front := s.order.Front(); front != nil; front = s.order.Front() {
		if r, _ := front.Value.(releasedAttempt); r.keepEnd > clock {
			return
		}
		s.drop(front)
	}
}

func (s *attemptSet) drop(place *list.Element) {
	if r, ok := place.Value.(releasedAttempt); ok {
		delete(s.places, r.attempt)
	}
	s.order.Remove(place)
}

func (s *attemptSet) all() []releasedAttempt {
	all := make([]releasedAttempt, 0, s.order.Len())
	for place := s.order.Front(); place != nil; place = place.Next() {
		if r, ok := place.Value.(releasedAttempt); ok {
			all = append(all, r)
		}
	}
	return all
}
