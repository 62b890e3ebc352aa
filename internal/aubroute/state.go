package aubroute

import (
	"container/list"
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// serviceTimeWeight is the number of requests that the mean service time spans.
const serviceTimeWeight = 16

// work is one request of this instance on a member.
type work struct {
	member    *memberState
	startedAt time.Time
	// tokens of the prompt that were not believed to be cached.
	tokens int64
	// prefilled is set once the first token came.
	prefilled bool
	expected  time.Duration
	prefixes  []uint64
	budget    string
	element   *list.Element
}

// memberState is what this instance knows of one member incarnation besides its
// announcements. The router's mutex guards it.
type memberState struct {
	name        string
	incarnation uint64
	health      Health
	// inFlight holds the *work of the member in order of start.
	inFlight list.List
	// cacheEpoch voids beliefs about the prompt cache when it grows.
	cacheEpoch uint64
	// cacheSequence is the last cache event heard.
	cacheSequence uint64
	lastUsed      time.Time
	// batch and serviceTime are learnt, see Candidate.
	batch       int
	serviceTime time.Duration
}

// unreported returns the work started since the time, and its prompt tokens
// that still wait for prefill.
func (s *memberState) unreported(since time.Time) (requests int, tokens int64) {
	for e := s.inFlight.Back(); e != nil; e = e.Prev() {
		w, ok := e.Value.(*work)
		if !ok || !w.startedAt.After(since) {
			break
		}
		requests++
		if !w.prefilled {
			tokens += w.tokens
		}
	}
	return requests, tokens
}

// learnBatch takes the batch's bound from a report: it is full while requests wait.
func (s *memberState) learnBatch(b *aubwire.BackendReport) {
	if b.GetQueued() > 0 && b.GetRunning() > 0 {
		s.batch = int(b.GetRunning())
	}
}

// learnServiceTime moves the mean time of one request towards a new one.
func (s *memberState) learnServiceTime(d time.Duration) {
	if s.serviceTime == 0 {
		s.serviceTime = d
		return
	}
	s.serviceTime += (d - s.serviceTime) / serviceTimeWeight
}

func (s *memberState) start(w *work) { w.element = s.inFlight.PushBack(w) }

// finish forgets the work; a second call does nothing.
func (s *memberState) finish(w *work) bool {
	if w.element == nil {
		return false
	}
	s.inFlight.Remove(w.element)
	w.element = nil
	return true
}

func (s *memberState) holder() prefixHolder {
	return prefixHolder{name: s.name, epoch: s.cacheEpoch}
}
