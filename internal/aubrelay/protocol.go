// Package aubrelay is a reverse proxy from callers to backend servers. It finds a
// request's route, checks its key and rate limit, chooses a backend server and retries
// where the route allows it. The caller receives a backend server's response unchanged or
// a refusal.
package aubrelay

import (
	"net/http"
	"time"

	"github.com/auburndale/auburndale/internal/auboption"
	"github.com/auburndale/auburndale/internal/aubpoison"
	"github.com/auburndale/auburndale/internal/aubsite"
)

// PromptPart is one part of a prompt. Other prompts may begin with the same parts.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Call is a caller's request as its headers declare it.
type Call struct {
	// ID is the caller's id of the request. All attempts of the relay send it unchanged.
	ID string
	// Key is the caller's key; empty if there is none.
	Key string
	// Timeout is how long the caller waits for the response; 0 if not declared.
	Timeout time.Duration
	// Model and Adapter are empty for plain services.
	Model   string
	Adapter string
	// HasTokens is set if the caller declared the token counts.
	HasTokens    bool
	PromptTokens int64
	OutputTokens int64
	// Prompt lists the parts of the prompt in order.
	Prompt []PromptPart
	// LastEventID is the last stream event that the caller received; NoEventID for none.
	LastEventID int64
	// Resumes is the ID of the call that brought the first event of the stream that this call
	// resumes; empty if it resumes none or does not name it.
	Resumes string
}

// maxPartFingerprints limits the prompt parts of one request that have fingerprints.
const maxPartFingerprints = 32

// partFingerprints returns the fingerprints of all prompt parts but the last, which
// belongs to the request or its session.
func (c Call) partFingerprints() []string {
	var fingerprints []string
	for i, part := range c.Prompt {
		if i < min(len(c.Prompt)-1, maxPartFingerprints) {
			fingerprints = append(fingerprints, aubpoison.PartFingerprint(part.ID))
		}
	}
	return fingerprints
}

// NoEventID means that no event was received.
const NoEventID int64 = -1

// Attempt is one transmission of a call to a backend server.
type Attempt struct {
	// Backend is the id of the backend server that is to run the call.
	Backend   string
	Workspace string
	// Remaining is the time until the deadline of the call.
	Remaining time.Duration
	// Priority ranges from 0, the most urgent, to 9.
	Priority int
	// LastEventID is the event after which a stream resumes; NoEventID for its start.
	LastEventID int64
}

// BackendResponse holds what the status and headers of a backend server's response say
// about the execution.
type BackendResponse struct {
	// CallID is the Call.ID that the response names.
	CallID string
	// Signed is set if the response has the backend server's signature.
	Signed bool
	// NotRun is set if the backend server states that it did not run the request.
	NotRun bool
	// Misdirected is set if the request reached another backend server than the expected
	// one, or one without the model or adapter.
	Misdirected bool
	// RateLimit is the number of requests per second that the backend server takes from all
	// callers together; none if it states no limit.
	RateLimit auboption.Option[float64]
	// Leaving is set if the backend server states that it leaves.
	Leaving bool
	// RetryAfter is how long the backend server, which turned the request away, wants no more
	// requests from this instance; 0 if it does not say.
	RetryAfter time.Duration
	// ColdLeft is how much longer the backend server stays cold, 0 if it is warm; none if it
	// does not say.
	ColdLeft auboption.Option[time.Duration]
}

// RefusalCode names the cause of a refusal.
type RefusalCode string

// Refusal codes.
const (
	CodeNoConfiguration       RefusalCode = "no_configuration"
	CodeOutdatedConfiguration RefusalCode = "outdated_configuration"
	CodeInvalidRequest        RefusalCode = "invalid_request"
	CodeNoRoute               RefusalCode = "not_found"
	CodeInvalidKey            RefusalCode = "invalid_key"
	CodeBodyTooLarge          RefusalCode = "body_too_large"
	CodeBodyTimeout           RefusalCode = "body_timeout"
	CodeMemoryExhausted       RefusalCode = "memory_exhausted"
	CodeRateLimited           RefusalCode = "rate_limited"
	CodeNoBackend             RefusalCode = "no_backend_server"
	CodeOverloaded            RefusalCode = "overloaded"
	CodeShuttingDown          RefusalCode = "shutting_down"
	CodeEndedAtShutdown       RefusalCode = "ended_at_shutdown"
	CodeBackendFailed         RefusalCode = "backend_failed"
	CodeTimeout               RefusalCode = "timeout"
	CodeBlocked               RefusalCode = "request_blocked"
	CodeUnknownStream         RefusalCode = "unknown_stream"
	CodeBackendLimited        RefusalCode = "backend_server_limited"
	CodeNoAllowedRegion       RefusalCode = "no_allowed_region"
	CodeObjectiveUnreachable  RefusalCode = "objective_unreachable"
)

// Refusal is the relay's own error response to a request.
type Refusal struct {
	Status int
	Code   RefusalCode
	// RetryAfter is the time after which a retry may succeed; 0 if a retry is not
	// advised. It is set only for requests that did not run.
	RetryAfter time.Duration
}

// Protocol translates between the HTTP headers of callers and backend servers and the
// types of this package. It makes no decisions.
type Protocol interface {
	// DecodeCall reads the headers of a caller's request.
	DecodeCall(r *http.Request) (Call, error)
	// EncodeAttempt sets the headers of one attempt and removes those that a backend
	// server must not receive.
	EncodeAttempt(header http.Header, attempt Attempt)
	// DecodeResponse reads the status and headers of a backend server's response.
	DecodeResponse(status int, header http.Header) BackendResponse
	// WriteRefusal writes a refusal to the caller; callID may be empty.
	WriteRefusal(w http.ResponseWriter, callID string, refusal Refusal)
}

// SiteSource provides the active configuration.
type SiteSource interface {
	// Site returns the active configuration; nil before the first one is received.
	Site() *aubsite.Site
	// IsNewest reports whether no newer configuration than the numbered one can be
	// committed, as far as control processes have announced lately.
	IsNewest(number uint64) bool
	// OutdatedFor returns how long ago the first configuration above the numbered one was
	// announced, 0 if none was.
	OutdatedFor(number uint64) time.Duration
}
