// Package aubroute chooses the backend server for each request. The policies
// are pure functions over a snapshot of candidates; the router gathers the
// snapshot from the membership and from its own work in flight.
package aubroute

import (
	"time"

	"github.com/auburndale/auburndale/internal/aubmembership"
)

// Request is what a choice depends on.
type Request struct {
	// Model for engines; empty for plain services.
	Model string
	// Adapter on top of Model; empty for the model itself.
	Adapter string
	// Service for plain services; empty for engines.
	Service string
	// Budget names the retry budget that the request adds to; empty for that of all
	// engines.
	Budget string
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int64
	// Prefixes are rolling hashes of the prompt's blocks, shortest prefix first.
	Prefixes []uint64
	// Shared identifies the part of the prompt that other requests begin with too, the
	// same in every process; SharedTokens is its length, 0 for none.
	Shared       uint64
	SharedTokens int64
	// Exclude names members that must not be chosen, such as those that failed
	// this request before.
	Exclude []string
}

// name returns the resident or service that the request needs.
func (r Request) name() target {
	switch {
	case r.Service != "":
		return target{kind: kindService, name: r.Service}
	case r.Adapter != "":
		return target{kind: kindAdapter, name: r.Adapter}
	default:
		return target{kind: kindModel, name: r.Model}
	}
}

// Failure says how a request on a backend server failed.
type Failure int

// Failures.
const (
	// FailureNone marks a whole answer.
	FailureNone Failure = iota
	// FailureRefused marks a refusal before running; it says nothing bad of the member.
	FailureRefused
	// FailureCanceled marks a caller that left; it says nothing of the member.
	FailureCanceled
	// FailureConnection marks a connection that broke or was never made.
	FailureConnection
	// FailureSilent marks a connection without heartbeats.
	FailureSilent
	// FailureTimeout marks a deadline passed without an answer.
	FailureTimeout
	// FailureBackend marks an error of the backend server itself.
	FailureBackend
)

// faulty reports whether the failure speaks against the member.
func (f Failure) faulty() bool { return f >= FailureConnection }

// Outcome is how a request on a backend server went.
type Outcome struct {
	// FirstToken is the time from start to first token; 0 if none came.
	FirstToken time.Duration
	Duration   time.Duration
	// Tokens is the number of tokens generated.
	Tokens  int64
	Failure Failure
}

// Choice is the member chosen for a request. Started, FirstToken and Finished
// report back; each may be called once, in this order.
type Choice struct {
	Member aubmembership.Member
	// Expected is the first-token time that the policy expects.
	Expected time.Duration
	// Waiting is the number of prompt tokens that wait for prefill there, and
	// Uncached those that the request adds.
	Waiting  int64
	Uncached int64

	router *Router
	work   *work
}

// Started reports that the request is handed over.
func (c Choice) Started() { c.router.started(c) }

// FirstToken reports the first token or byte of the answer. It sharpens the
// load estimate and may be left out.
func (c Choice) FirstToken() { c.router.firstToken(c) }

// Finished reports the end of the request.
func (c Choice) Finished(outcome Outcome) { c.router.finished(c, outcome) }
