// Package aubadmission decides whether a relay sends a request, lets it wait or refuses it
// because no backend server can answer it within its objective. Decisions are pure functions
// over a snapshot of one request and its best backend server.
package aubadmission

import "time"

const (
	// ChunkTokens is the number of prompt tokens that an engine prefills in one step. A
	// deferrable request is sent only while no more than these wait on its engine.
	ChunkTokens = 2048
	// HoldDivisor limits how long a request is held that is then refused: the objective
	// divided by it.
	HoldDivisor = 8
	// deferDivisor limits the wait of a deferrable request: the objective divided by it.
	deferDivisor = 2
	// plainFirstMargin, plainMargin and streamMargin are the shares of the objective that are kept
	// for errors of the estimate, and for callers that return after a refusal and have less time
	// left. Times to first events are known less exactly than those of plain calls.
	plainFirstMargin = 0.2
	plainMargin      = 0.1
	streamMargin     = 0.3
	// urgentShare is the share of the shortest objective of more urgent requests up to which
	// less urgent ones may fill a backend server.
	urgentShare = 0.5
	// minRetryAfter is the shortest advised time before a retry. It is above minElapsed, so that
	// a caller that returns is recognised.
	minRetryAfter = 60 * time.Millisecond
	// honouredShare is the share of the time left that a caller waits for a retry at most.
	honouredShare = 0.3
	// busyRetryAfter applies where the time until a place is free is not known.
	busyRetryAfter = 100 * time.Millisecond
)

// Request is a request for which a decision is made.
type Request struct {
	// Objective is the time from the first attempt of the caller to the answer, or to the
	// first event of a stream.
	Objective time.Duration
	// Elapsed is the time that the caller spent on earlier attempts; 0 for a first attempt.
	Elapsed time.Duration
	// Held is the time since the request arrived at this relay.
	Held time.Duration
	// TimeLeft is the time until the caller stops waiting.
	TimeLeft time.Duration
	// IsStream is set if the answer is a stream.
	IsStream bool
	// IsWaiting is set if the request waits and is the first of those for its target.
	IsWaiting bool
	// WasSent is set if a backend server turned the request away before.
	WasSent bool
	// IsDeferrable is set if the request gives way to more urgent ones.
	IsDeferrable bool
	// UrgentObjective is the shortest objective of more urgent requests that the service
	// received of late; 0 if there were none.
	UrgentObjective time.Duration
	// IsCrowded is set if first attempts of its kind or of more urgent ones were refused of
	// late: what the request does not need in time is theirs.
	IsCrowded bool
}

// Server is the load of the best backend server for the request.
type Server struct {
	// InFlight is the number of requests of all relays on the server, Slots how many it runs
	// at the same time; 0 if unknown.
	InFlight int
	Slots    int
	// PendingTokens is the number of prompt tokens that wait for prefill.
	PendingTokens int64
	// Expected is the time to the answer, or to the first event of a stream. It is valid if
	// IsKnown is set.
	Expected time.Duration
	IsKnown  bool
	// IsBlind is set if the loads of the other relays are not known.
	IsBlind bool
}

// Action is what happens to the request.
type Action int

// Actions.
const (
	// ActionSend sends the request.
	ActionSend Action = iota
	// ActionWait lets the request wait and decides again later.
	ActionWait
	// ActionRefuse refuses the request.
	ActionRefuse
)

// Decision is the result of Decide.
type Decision struct {
	Action Action
	// RetryAfter is the time after which a retry is expected to meet its objective; set for
	// ActionRefuse.
	RetryAfter time.Duration
	// Remaining is the time within which the request should have been answered.
	Remaining time.Duration
}

// isIdle reports whether nothing waits on the server and a place is free.
func (s Server) isIdle() bool {
	return (!s.IsBlind || !s.IsKnown) && s.PendingTokens == 0 && s.hasPlace() && (s.Slots > 0 || s.InFlight == 0)
}

// hasPlace reports whether a request would run at once.
func (s Server) hasPlace() bool { return s.Slots <= 0 || s.InFlight < s.Slots }

// hasRoom reports whether the server can take a request that gives way to others.
func (s Server) hasRoom() bool { return s.PendingTokens <= ChunkTokens && s.hasPlace() }

// Decide returns what to do with the request. Draw is uniformly distributed in [0, 1) and
// spreads the callers that are refused.
func Decide(req Request, server Server, draw float64) Decision {
	remaining := req.Objective - req.Elapsed - req.Held
	decision := Decision{Remaining: remaining}
	bound := req.bound(remaining)
	isLate := server.IsKnown && server.Expected > bound
	if isLate && server.IsBlind {
		// Relays that know only the time of their last answers would all refuse and all send
		// in turns.
		isLate = draw*server.Expected.Seconds() > bound.Seconds()
	}
	givesWay := req.IsCrowded && (req.IsDeferrable || req.UrgentObjective > 0 || remaining <= 0)
	switch {
	case givesWay && !req.IsWaiting && req.Held < WaitLimit(req):
		// All relays see an idle server at the same time. Only the first of those that wait
		// at each of them may take it.
		decision.Action = ActionWait
		return decision
	case server.isIdle():
		return decision
	case req.IsDeferrable:
		if (req.IsCrowded || !server.hasRoom()) && req.Held < WaitLimit(req) {
			decision.Action = ActionWait
		}
		return decision
	case !isLate, req.WasSent && req.Held > req.Objective/HoldDivisor:
		// A request that an attempt held for longer may no longer be refused.
		return decision
	case req.Elapsed > 0 && !req.IsCrowded && server.hasRoom() && server.Expected <= req.TimeLeft:
		// A second refusal would lose the caller; the server has room for a late answer.
		return decision
	case givesWay && req.Held < WaitLimit(req):
		decision.Action = ActionWait
		return decision
	}
	decision.Action = ActionRefuse
	decision.RetryAfter = retryAfter(server.Expected-max(bound, 0), req.TimeLeft, draw)
	return decision
}

// bound returns the expected time up to which the request is sent.
func (req Request) bound(remaining time.Duration) time.Duration {
	margin := plainFirstMargin
	switch {
	case req.IsStream:
		margin = streamMargin
	case req.Elapsed > 0:
		margin = plainMargin
	}
	bound := remaining - time.Duration(margin*float64(req.Objective))
	switch {
	case req.UrgentObjective > 0 && req.IsCrowded:
		bound = 0
	case req.UrgentObjective > 0:
		bound = min(bound, time.Duration(urgentShare*float64(req.UrgentObjective)))
	}
	return bound
}

// WaitLimit returns how long a request may wait at the relay. Others than deferrable ones must be
// refused before an eighth of their objective has passed.
func WaitLimit(req Request) time.Duration {
	if req.IsDeferrable {
		return max(min(req.Objective-req.Elapsed, req.TimeLeft+req.Held)/deferDivisor, 0)
	}
	return min(req.Objective, req.TimeLeft+req.Held) / HoldDivisor * 3 / 4
}

// RefuseFull returns the refusal of a request that finds the queue full.
func RefuseFull(req Request, draw float64) Decision {
	return Decision{
		Action: ActionRefuse, Remaining: req.Objective - req.Elapsed - req.Held,
		RetryAfter: retryAfter(busyRetryAfter, req.TimeLeft, draw),
	}
}

// retryAfter spreads the retries over half of the excess and keeps to the time that a caller
// is ready to wait.
func retryAfter(excess, timeLeft time.Duration, draw float64) time.Duration {
	base := max(excess, minRetryAfter)
	spread := time.Duration(draw * float64(max(base/2, minRetryAfter)))
	limit := time.Duration(honouredShare * float64(timeLeft))
	if base+spread > limit {
		return max(limit-time.Duration(draw*float64(limit)/4), time.Millisecond)
	}
	return base + spread
}
