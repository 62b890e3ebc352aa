package aubentry

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/auburndale/auburndale/pkg/aubapi"
)

// problemTypePrefix begins the type of every problem document.
const problemTypePrefix = "https://auburndale.example/problems/"

// problemKind is one row of the table of answers that callers may get instead
// of their result.
type problemKind struct {
	code      string
	status    int
	title     string
	execution aubapi.Execution
	// retryAfter stands when the refusing part knows no better time; 0 means
	// that coming back makes no sense.
	retryAfter time.Duration
	// openAIType is the error type that OpenAI client libraries look at.
	openAIType string
}

const (
	openAIInvalidRequest = "invalid_request_error"
	openAIAuthentication = "authentication_error"
	openAIRateLimit      = "rate_limit_error"
	openAIServer         = "server_error"
)

// The table of problems. docs/ERRORS.md is generated from it.
var (
	problemMissingKey     = newProblem("missing_key", http.StatusUnauthorized, "The request carries no key.", aubapi.ExecutionNotRun, 0, openAIAuthentication)
	problemInvalidKey     = newProblem("invalid_key", http.StatusUnauthorized, "The key is not valid.", aubapi.ExecutionNotRun, 0, openAIAuthentication)
	problemStaleConfig    = newProblem("configuration_stale", http.StatusServiceUnavailable, "This instance is cut off and the workspace does not allow it to serve.", aubapi.ExecutionNotRun, 5*time.Second, openAIServer)
	problemNotFound       = newProblem("not_found", http.StatusNotFound, "No route answers at this path.", aubapi.ExecutionNotRun, 0, openAIInvalidRequest)
	problemUnknownModel   = newProblem("model_not_found", http.StatusNotFound, "The model does not exist or the workspace may not use it.", aubapi.ExecutionNotRun, 0, openAIInvalidRequest)
	problemMethod         = newProblem("method_not_allowed", http.StatusMethodNotAllowed, "The method is not allowed at this path.", aubapi.ExecutionNotRun, 0, openAIInvalidRequest)
	problemBodyTooLarge   = newProblem("body_too_large", http.StatusRequestEntityTooLarge, "The request body is larger than allowed.", aubapi.ExecutionNotRun, 0, openAIInvalidRequest)
	problemMalformed      = newProblem("malformed_body", http.StatusBadRequest, "The request body can't be read.", aubapi.ExecutionNotRun, 0, openAIInvalidRequest)
	problemInvalid        = newProblem("invalid_request", http.StatusBadRequest, "The request is not valid.", aubapi.ExecutionNotRun, 0, openAIInvalidRequest)
	problemRateLimited    = newProblem("rate_limited", http.StatusTooManyRequests, "The workspace is over its rate.", aubapi.ExecutionNotRun, time.Second, openAIRateLimit)
	problemTooCostly      = newProblem("over_burst", http.StatusBadRequest, "The request needs more tokens than the workspace's burst.", aubapi.ExecutionNotRun, 0, openAIInvalidRequest)
	problemOverloaded     = newProblem("overloaded", http.StatusServiceUnavailable, "The request would not start before its deadline.", aubapi.ExecutionNotRun, time.Second, openAIServer)
	problemNoBackend      = newProblem("no_backend_server", http.StatusServiceUnavailable, "No backend server can run the request now.", aubapi.ExecutionNotRun, 2*time.Second, openAIServer)
	problemLeaving        = newProblem("shutting_down", http.StatusServiceUnavailable, "The instance is shutting down.", aubapi.ExecutionNotRun, time.Second, openAIServer)
	problemPoison         = newProblem("request_blocked", http.StatusUnprocessableEntity, "The same request ended two backend servers and is refused for a time.", aubapi.ExecutionNotRun, 10*time.Minute, openAIInvalidRequest)
	problemClaimBody      = newProblem("idempotency_key_reused", http.StatusUnprocessableEntity, "The idempotency key was used with another request.", aubapi.ExecutionNotRun, 0, openAIInvalidRequest)
	problemClaimRunning   = newProblem("in_progress", http.StatusConflict, "A request with the same idempotency key is in progress.", aubapi.ExecutionMayHaveRun, time.Second, openAIInvalidRequest)
	problemClaimUnknown   = newProblem("outcome_unknown", http.StatusConflict, "A request with the same idempotency key may have run.", aubapi.ExecutionMayHaveRun, 0, openAIServer)
	problemClaimsFull     = newProblem("claims_full", http.StatusServiceUnavailable, "No more idempotency keys can be kept now.", aubapi.ExecutionNotRun, 10*time.Second, openAIServer)
	problemNoQuorum       = newProblem("no_quorum", http.StatusServiceUnavailable, "The control quorum can't be reached.", aubapi.ExecutionNotRun, 2*time.Second, openAIServer)
	problemBackendFailed  = newProblem("backend_server_failed", http.StatusBadGateway, "The backend server failed while it may have run the request.", aubapi.ExecutionMayHaveRun, time.Second, openAIServer)
	problemBackendRefused = newProblem("backend_server_refused", http.StatusBadGateway, "The backend server did not take the request.", aubapi.ExecutionNotRun, time.Second, openAIServer)
	problemIncomplete     = newProblem("answer_incomplete", http.StatusBadGateway, "The answer was cut before its end.", aubapi.ExecutionRan, time.Second, openAIServer)
	problemTimeout        = newProblem("timeout", http.StatusGatewayTimeout, "The request did not finish before its deadline.", aubapi.ExecutionMayHaveRun, time.Second, openAIServer)
	problemTimeoutNotRun  = newProblem("timeout_not_run", http.StatusGatewayTimeout, "The deadline passed before the request was sent.", aubapi.ExecutionNotRun, time.Second, openAIServer)
	problemInternal       = newProblem("internal_error", http.StatusInternalServerError, "The instance met an error of its own.", aubapi.ExecutionMayHaveRun, 0, openAIServer)
	problemKinds          []*problemKind
)

func newProblem(code string, status int, title string, execution aubapi.Execution, retryAfter time.Duration, openAIType string) *problemKind {
	k := &problemKind{code: code, status: status, title: title, execution: execution, retryAfter: retryAfter, openAIType: openAIType}
	problemKinds = append(problemKinds, k)
	return k
}

// refusal is the final answer to a request that gets no result. It is immutable.
type refusal struct {
	kind       *problemKind
	detail     string
	retryAfter time.Duration
	execution  aubapi.Execution
	allow      string
}

func refuse(kind *problemKind) *refusal {
	return &refusal{kind: kind, retryAfter: kind.retryAfter, execution: kind.execution}
}

// Error implements error.
func (f *refusal) Error() string { return f.kind.code + ": " + f.kind.title }

// WithDetail returns a copy that says more to the caller.
func (f *refusal) WithDetail(format string, args ...any) *refusal {
	c := *f
	c.detail = fmt.Sprintf(format, args...)
	return &c
}

// WithRetryAfter returns a copy that names when to come back, if d is positive.
func (f *refusal) WithRetryAfter(d time.Duration) *refusal {
	c := *f
	if d > 0 {
		c.retryAfter = d
	}
	return &c
}

// WithExecution returns a copy with what is known of the execution.
func (f *refusal) WithExecution(e aubapi.Execution) *refusal {
	c := *f
	c.execution = e
	return &c
}

// WithAllow returns a copy that names the allowed methods.
func (f *refusal) WithAllow(methods string) *refusal {
	c := *f
	c.allow = methods
	return &c
}

// document returns the problem document of the refusal.
func (f *refusal) document(requestID string) aubapi.Problem {
	message := f.kind.title
	if f.detail != "" {
		message += " " + f.detail
	}
	return aubapi.Problem{
		Type:       problemTypePrefix + f.kind.code,
		Title:      f.kind.title,
		Status:     f.kind.status,
		Detail:     f.detail,
		Instance:   requestID,
		Execution:  f.execution,
		RetryAfter: f.retryAfter,
		Error:      aubapi.ErrorBody{Message: message, Type: f.kind.openAIType, Code: f.kind.code},
	}
}

// writeRefusal answers with the refusal's problem document.
func writeRefusal(w http.ResponseWriter, requestID string, f *refusal) {
	body, err := json.Marshal(f.document(requestID))
	if err != nil {
		http.Error(w, f.kind.title, f.kind.status)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
	}
	if f.allow != "" {
		h.Set("Allow", f.allow)
	}
	if f.kind.status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(f.kind.status)
	_, _ = w.Write(body)
}

// WriteErrorReference writes the table of problems as Markdown.
func WriteErrorReference(w io.Writer) error {
	var b strings.Builder
	b.WriteString("# Answers instead of a result\n\nGenerated by `auburndale settings errors`; do not edit.\n\n")
	b.WriteString("Every one is an RFC 9457 problem document with an OpenAI `error` object inside.\n")
	b.WriteString("`execution` and `Retry-After` are the values where the refusing part knows no better.\n\n")
	b.WriteString("| code | status | execution | Retry-After | meaning |\n|---|---|---|---|---|\n")
	for _, k := range problemKinds {
		after := ""
		if k.retryAfter > 0 {
			after = k.retryAfter.String()
		}
		fmt.Fprintf(&b, "| `%s` | %d | `%s` | %s | %s |\n", k.code, k.status, k.execution, after, k.title)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
