package aubroute

import (
	"container/list"
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// serviceTimeDivisor is the divisor of the moving average of the service time: a new
// request has the weight 1/serviceTimeDivisor.
const serviceTimeDivisor = 16

// inFlightRequest is a request of this instance on a member.
type inFlightRequest struct {
	state     *memberState
	startedAt time.Time
	// uncachedTokens is the number of prompt tokens expected to be missing in the
	// member's cache.
	uncachedTokens int64
	// prefilled is set once the first token was received.
	prefilled bool
	// expected is the expected time to first token without the member's slowness.
	expected time.Duration
	prefixes []uint64
	// budget is the name of the retry budget.
	budget string
	// startsBefore is memberState.starts at the choice.
	startsBefore uint64
	// element is the position in memberState.inFlight; nil before the start and after
	// the end.
	element *list.Element
}

// memberState is what this instance measured or recorded of one member incarnation,
// besides its announcements. Router.mu guards it.
type memberState struct {
	name        string
	incarnation uint64
	health      Health
	// inFlight holds the *inFlightRequest of the member in order of start.
	inFlight list.List
	// starts counts the requests that were ever in flight.
	starts uint64
	// cacheEpoch is increased to invalidate all blocks recorded for the member in the
	// prefix table.
	cacheEpoch uint64
	// cacheSequence is the sequence number of the last cache event received.
	cacheSequence uint64
	// lastUsedAt is when the state was last looked up.
	lastUsedAt time.Time
	// maxBatch and serviceTime are measured, see Candidate.MaxBatch and
	// Candidate.ServiceTime.
	maxBatch    int
	serviceTime time.Duration
}

// unreported returns the number of requests started after since, and their prompt
// tokens that still wait for prefill.
func (s *memberState) unreported(since time.Time) (requests int, tokens int64) {
	for e := s.inFlight.Back(); e != nil; e = e.Prev() {
		request, ok := e.Value.(*inFlightRequest)
		if !ok || !request.startedAt.After(since) {
			break
		}
		requests++
		if !request.prefilled {
			tokens += request.uncachedTokens
		}
	}
	return requests, tokens
}

// observeBatch updates the maximum batch size from a report: while requests are queued,
// the running ones fill the batch.
func (s *memberState) observeBatch(report *aubwire.BackendReport) {
	if report.GetQueued() > 0 && report.GetRunning() > 0 {
		s.maxBatch = int(report.GetRunning())
	}
}

// observeServiceTime updates the moving average of the service time.
func (s *memberState) observeServiceTime(duration time.Duration) {
	if s.serviceTime == 0 {
		s.serviceTime = duration
		return
	}
	s.serviceTime += (duration - s.serviceTime) / serviceTimeDivisor
}

// start adds the request to the requests in flight; it does nothing if the request is among them.
func (s *memberState) start(now time.Time, request *inFlightRequest) {
	if request.element != nil {
		return
	}
	s.starts++
	request.startedAt = now
	request.element = s.inFlight.PushBack(request)
}

// finish removes the request from the requests in flight; false if it is not among
// them.
func (s *memberState) finish(request *inFlightRequest) bool {
	if request.element == nil {
		return false
	}
	s.inFlight.Remove(request.element)
	request.element = nil
	return true
}

// holder returns the member's entry for the prefix table.
func (s *memberState) holder() prefixHolder {
	return prefixHolder{name: s.name, epoch: s.cacheEpoch}
}
