// Package aubroute chooses the backend server for each request. Policies are pure
// functions over a snapshot of candidates. The router builds the snapshot from the
// membership view and from its own requests in flight.
package aubroute

import (
	"time"

	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/auboption"
)

// Request describes the request that a backend server is chosen for.
type Request struct {
	// Model is the model that an engine runs; empty for plain services.
	Model string
	// Adapter is the adapter of Model; empty for the model itself.
	Adapter string
	// Service is the plain service; empty for engines.
	Service string
	// RetryBudget is the name of the retry budget that counts the request; empty for the
	// budget of all engines.
	RetryBudget string
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens int64
	// PrefixHashes are rolling hashes of the prompt's blocks, shortest prefix first.
	PrefixHashes []uint64
	// SharedHash is a hash of the beginning of the prompt that other requests share, the
	// same in every process.
	SharedHash uint64
	// SharedTokens is the length of the shared beginning in tokens; 0 for none.
	SharedTokens int64
	// ZoneTolerance is the time by which the expected time to first token may be longer in the
	// zone of this instance than in another one.
	ZoneTolerance time.Duration
	// Software is the software version that the member must have; none if any will do.
	Software auboption.Option[string]
	// Regions are those in which the member must be; any if there are none.
	Regions []string
	// SampleLimit limits the members that are compared in the local zone, and in the remote ones,
	// below the usual numbers; 0 does not. Instances that compare all by reports of the same age
	// send to the same member at once.
	SampleLimit int
	// Exclude lists members that must not be chosen, such as those on which this
	// request failed before.
	Exclude []string
}

// target returns the model, adapter or service that the request needs.
func (r Request) target() target {
	switch {
	case r.Service != "":
		return target{kind: kindService, name: r.Service}
	case r.Adapter != "":
		return target{kind: kindAdapter, name: r.Adapter}
	default:
		return target{kind: kindModel, name: r.Model}
	}
}

// Failure is the kind of failure of a request on a backend server.
type Failure int

// Values of Failure. Those from FailureConnection on count as faults of the member.
const (
	// FailureNone means that the response was complete.
	FailureNone Failure = iota
	// FailureRefused means that the member refused the request before running it; not
	// a fault of the member.
	FailureRefused
	// FailureCanceled means that the caller disconnected or its key expired; not a fault of
	// the member.
	FailureCanceled
	// FailureConnection means that the connection failed or could not be made.
	FailureConnection
	// FailureSilent means that the connection delivered no heartbeats.
	FailureSilent
	// FailureTimeout means that the deadline passed without a response.
	FailureTimeout
	// FailureBackend means that the backend server itself failed.
	FailureBackend
)

// isFault reports whether the failure counts against the member's health.
func (f Failure) isFault() bool { return f >= FailureConnection }

// Outcome is the result of a request on a backend server.
type Outcome struct {
	// FirstToken is the time from the start to the first token; 0 if none was received.
	FirstToken time.Duration
	// Duration is the time from the start to the end; 0 if unknown.
	Duration time.Duration
	// Tokens is the number of tokens generated.
	Tokens int64
	// Failure is FailureNone for a complete response.
	Failure Failure
}

// Choice is the member chosen for a request. The caller reports the progress of the
// request with Started, FirstToken and Finished, each at most once and in this order. Where the
// load of the member decides whether the request is sent, Reserve comes before Started.
type Choice struct {
	Member aubmembership.Member
	// ExpectedFirstToken is the expected time to first token.
	ExpectedFirstToken time.Duration
	// PendingTokens is the number of prompt tokens that wait for prefill on the member.
	PendingTokens int64
	// UncachedTokens is the number of prompt tokens that the request adds to them.
	UncachedTokens int64
	// Speed is the speed of the member relative to the others, 1 for equal.
	Speed float64
	// AssumedFirstToken is the expected time to first token without the member's slowness.
	AssumedFirstToken time.Duration
	// InFlight is the number of requests on the member, OwnInFlight that of this instance's;
	// OwnPendingTokens is this instance's part of PendingTokens.
	InFlight         int
	OwnInFlight      int
	OwnPendingTokens int64
	// ServiceTime is the mean duration of this instance's requests on the member; 0 if unknown.
	ServiceTime time.Duration
	// PrefillRate is the prefill rate of the member that the estimate uses, in tokens a second;
	// IsRateMeasured is set if it was measured for the model.
	PrefillRate    float64
	IsRateMeasured bool
	// IsLastResort is set if the member's zone gets only what no open zone can take.
	IsLastResort bool

	router   *Router
	inFlight *inFlightRequest
}

// Reserve counts the request as one in flight on the member. It does nothing and returns false if
// this instance started others there since the choice, whose load does not contain them.
func (c Choice) Reserve() bool { return c.router.reserve(c) }

// Cancel ends the reservation of a request that is not sent.
func (c Choice) Cancel() { c.router.cancel(c) }

// Started reports that the request is sent to the member.
func (c Choice) Started() { c.router.started(c) }

// FirstToken reports the first token or byte of the response. It is optional and
// improves the load estimate: the prompt no longer waits for prefill.
func (c Choice) FirstToken() { c.router.firstToken(c) }

// Finished reports the end of the request. Calls after the first do nothing.
func (c Choice) Finished(outcome Outcome) { c.router.finished(c, outcome) }
