// Package aubrelay relays callers' HTTP requests to backend servers unchanged: it
// finds the route, checks key and limits, chooses a backend server, repeats what
// may be repeated, and returns the backend server's whole answer or a final refusal.
package aubrelay

import (
	"net/http"
	"time"

	"github.com/auburndale/auburndale/internal/aubsite"
)

// PromptPart is one part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Call is a caller's request as its headers declare it.
type Call struct {
	// ID identifies the caller's attempt.
	ID string
	// Key is the caller's key, empty without one.
	Key string
	// Patience is how long the caller waits; 0 when it doesn't say.
	Patience time.Duration
	// Model and Adapter are empty for plain services.
	Model   string
	Adapter string
	// HasTokens says that the token counts were declared.
	HasTokens    bool
	PromptTokens int64
	OutputTokens int64
	// Prompt lists the parts in order.
	Prompt []PromptPart
	// LastEvent is the id of the last event that the caller holds; NoEvent for none.
	LastEvent int64
}

// NoEvent stands for no event received.
const NoEvent int64 = -1

// Attempt is one send of a call.
type Attempt struct {
	// Backend is the id of the backend server that must run it.
	Backend   string
	Workspace string
	// Remaining is the time left for the answer.
	Remaining time.Duration
	// Priority from 0, the most urgent, to 9.
	Priority int
	// LastEvent is the event after which a stream goes on; NoEvent for its start.
	LastEvent int64
}

// Answer is what a backend server's response says of the execution.
type Answer struct {
	// CallID is the attempt that the response names.
	CallID string
	// Signed responses carry the backend server's signature.
	Signed bool
	// NotRun responses state that the request did not run there.
	NotRun bool
	// Misdirected responses come from another backend server, or one that lacks
	// the model or adapter.
	Misdirected bool
}

// RefusalCode names the cause of a refusal.
type RefusalCode string

// Refusal codes.
const (
	CodeNoConfiguration RefusalCode = "no_configuration"
	CodeInvalid         RefusalCode = "invalid_request"
	CodeNoRoute         RefusalCode = "not_found"
	CodeNoKey           RefusalCode = "invalid_key"
	CodeBodyTooLarge    RefusalCode = "body_too_large"
	CodeRateLimited     RefusalCode = "rate_limited"
	CodeNoBackend       RefusalCode = "no_backend_server"
	CodeOverloaded      RefusalCode = "overloaded"
	CodeLeaving         RefusalCode = "shutting_down"
	CodeFailed          RefusalCode = "backend_failed"
	CodeTimeout         RefusalCode = "timeout"
)

// Refusal is the final answer to a request that got none from a backend server.
type Refusal struct {
	Status int
	Code   RefusalCode
	// RetryAfter is when coming back makes sense; 0 means never. It is set only
	// for requests that did not run.
	RetryAfter time.Duration
}

// Protocol translates between the wire of callers and backend servers and the
// types of this package. It decides nothing.
type Protocol interface {
	// DecodeCall reads the headers of a caller's request.
	DecodeCall(r *http.Request) (Call, error)
	// EncodeAttempt sets the headers of one send and removes those that a backend
	// server must not see.
	EncodeAttempt(header http.Header, a Attempt)
	// DecodeAnswer reads the headers of a response.
	DecodeAnswer(status int, header http.Header) Answer
	// WriteRefusal answers a request for good.
	WriteRefusal(w http.ResponseWriter, callID string, refusal Refusal)
}

// Source gives the configuration in force, nil before the first.
type Source interface {
	Site() *aubsite.Site
}
