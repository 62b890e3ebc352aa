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

// problemTypePrefix is the prefix of the type URI of every problem document.
const problemTypePrefix = "https://auburndale.example/problems/"

// problemKind is one kind of error that callers may get instead of a result.
type problemKind struct {
	code      string
	status    int
	title     string
	execution aubapi.Execution
	// retryAfter is the default if the refusing component gives no time; 0 means
	// that a retry does not help.
	retryAfter time.Duration
	// openAIType is the error type that OpenAI client libraries evaluate.
	openAIType string
}

const (
	openAIInvalidRequest = "invalid_request_error"
	openAIAuthentication = "authentication_error"
	openAIRateLimit      = "rate_limit_error"
	openAIServer         = "server_error"
)

// All kinds of problems. docs/ERRORS.md is generated from them.
var (
	problemMissingKey           = newProblemKind("missing_key", http.StatusUnauthorized, "The request carries no key.", aubapi.ExecutionNotRun, 0, openAIAuthentication)
	problemInvalidKey           = newProblemKind("invalid_key", http.StatusUnauthorized, "The key is not valid.", aubapi.ExecutionNotRun, 0, openAIAuthentication)
	problemStaleConfig          = newProblemKind("configuration_stale", http.StatusServiceUnavailable, "This instance is cut off and the workspace does not allow it to serve.", aubapi.ExecutionNotRun, 5*time.Second, openAIServer)
	problemNotFound             = newProblemKind("not_found", http.StatusNotFound, "No route answers at this path.", aubapi.ExecutionNotRun, 0, openAIInvalidRequest)
	problemUnknownModel         = newProblemKind("model_not_found", http.StatusNotFound, "The model does not exist or the workspace may not use it.", aubapi.ExecutionNotRun, 0, openAIInvalidRequest)
	problemMethodNotAllowed     = newProblemKind("method_not_allowed", http.StatusMethodNotAllowed, "The method is not allowed at this path.", aubapi.ExecutionNotRun, 0, openAIInvalidRequest)
	problemBodyTooLarge         = newProblemKind("body_too_large", http.StatusRequestEntityTooLarge, "The request body is larger than allowed.", aubapi.ExecutionNotRun, 0, openAIInvalidRequest)
	problemMalformedBody        = newProblemKind("malformed_body", http.StatusBadRequest, "The request body can't be read.", aubapi.ExecutionNotRun, 0, openAIInvalidRequest)
	problemBodyTimeout          = newProblemKind("body_timeout", http.StatusRequestTimeout, "The request body did not arrive in time.", aubapi.ExecutionNotRun, 0, openAIInvalidRequest)
	problemMemoryExhausted      = newProblemKind("memory_exhausted", http.StatusServiceUnavailable, "Requests hold all memory that the instance has for them.", aubapi.ExecutionNotRun, time.Second, openAIServer)
	problemInvalidRequest       = newProblemKind("invalid_request", http.StatusBadRequest, "The request is not valid.", aubapi.ExecutionNotRun, 0, openAIInvalidRequest)
	problemRateLimited          = newProblemKind("rate_limited", http.StatusTooManyRequests, "The workspace is over its rate.", aubapi.ExecutionNotRun, time.Second, openAIRateLimit)
	problemNotGranted           = newProblemKind("allowance_not_granted", http.StatusServiceUnavailable, "The control quorum granted this instance no tokens of the workspace in time.", aubapi.ExecutionNotRun, time.Second, openAIServer)
	problemOverBurst            = newProblemKind("over_burst", http.StatusBadRequest, "The request needs more tokens than the workspace's burst.", aubapi.ExecutionNotRun, 0, openAIInvalidRequest)
	problemOverloaded           = newProblemKind("overloaded", http.StatusServiceUnavailable, "The request would not start before its deadline.", aubapi.ExecutionNotRun, time.Second, openAIServer)
	problemNoBackend            = newProblemKind("no_backend_server", http.StatusServiceUnavailable, "No backend server can run the request now.", aubapi.ExecutionNotRun, 2*time.Second, openAIServer)
	problemShuttingDown         = newProblemKind("shutting_down", http.StatusServiceUnavailable, "The instance is shutting down.", aubapi.ExecutionNotRun, time.Second, openAIServer)
	problemPoison               = newProblemKind("request_blocked", http.StatusUnprocessableEntity, "The request or a part of its prompt was in flight when backend servers crashed; it is refused for a time.", aubapi.ExecutionNotRun, 10*time.Minute, openAIInvalidRequest)
	problemIdempotencyKeyReused = newProblemKind("idempotency_key_reused", http.StatusUnprocessableEntity, "The idempotency key was used with another request.", aubapi.ExecutionNotRun, 0, openAIInvalidRequest)
	problemClaimInProgress      = newProblemKind("in_progress", http.StatusConflict, "A request with the same idempotency key is in progress.", aubapi.ExecutionMayHaveRun, time.Second, openAIInvalidRequest)
	problemOutcomeUnknown       = newProblemKind("outcome_unknown", http.StatusConflict, "A request with the same idempotency key may have run.", aubapi.ExecutionMayHaveRun, 0, openAIServer)
	problemClaimsFull           = newProblemKind("claims_full", http.StatusServiceUnavailable, "No more idempotency keys can be kept now.", aubapi.ExecutionNotRun, 10*time.Second, openAIServer)
	problemNoQuorum             = newProblemKind("no_quorum", http.StatusServiceUnavailable, "The control quorum can't be reached.", aubapi.ExecutionNotRun, 2*time.Second, openAIServer)
	problemBackendFailed        = newProblemKind("backend_server_failed", http.StatusBadGateway, "The backend server failed while it may have run the request.", aubapi.ExecutionMayHaveRun, time.Second, openAIServer)
	problemBackendRefused       = newProblemKind("backend_server_refused", http.StatusBadGateway, "The backend server did not take the request.", aubapi.ExecutionNotRun, time.Second, openAIServer)
	problemIncomplete           = newProblemKind("answer_incomplete", http.StatusBadGateway, "The answer was cut before its end.", aubapi.ExecutionRan, time.Second, openAIServer)
	problemTimeout              = newProblemKind("timeout", http.StatusGatewayTimeout, "The request did not finish before its deadline.", aubapi.ExecutionMayHaveRun, time.Second, openAIServer)
	problemTimeoutNotRun        = newProblemKind("timeout_not_run", http.StatusGatewayTimeout, "The deadline passed before the request was sent.", aubapi.ExecutionNotRun, time.Second, openAIServer)
	problemInternal             = newProblemKind("internal_error", http.StatusInternalServerError, "The instance met an error of its own.", aubapi.ExecutionMayHaveRun, 0, openAIServer)
	problemKinds                []*problemKind
)

// newProblemKind returns a kind of problem and adds it to the error reference.
func newProblemKind(code string, status int, title string, execution aubapi.Execution, retryAfter time.Duration, openAIType string) *problemKind {
	k := &problemKind{code: code, status: status, title: title, execution: execution, retryAfter: retryAfter, openAIType: openAIType}
	problemKinds = append(problemKinds, k)
	return k
}

// refusal is an error that is returned to the caller as a problem document. It is
// immutable.
type refusal struct {
	kind       *problemKind
	detail     string
	retryAfter time.Duration
	execution  aubapi.Execution
	allow      string
}

// refuse returns a refusal with the defaults of its kind.
func refuse(kind *problemKind) *refusal {
	return &refusal{kind: kind, retryAfter: kind.retryAfter, execution: kind.execution}
}

// Error implements error.
func (r *refusal) Error() string { return r.kind.code + ": " + r.kind.title }

// WithDetail returns a copy with a detail for the caller.
func (r *refusal) WithDetail(format string, args ...any) *refusal {
	c := *r
	c.detail = fmt.Sprintf(format, args...)
	return &c
}

// WithRetryAfter returns a copy with the time to wait before a retry, if d is positive.
func (r *refusal) WithRetryAfter(d time.Duration) *refusal {
	c := *r
	if d > 0 {
		c.retryAfter = d
	}
	return &c
}

// WithExecution returns a copy with the state of the execution.
func (r *refusal) WithExecution(e aubapi.Execution) *refusal {
	c := *r
	c.execution = e
	return &c
}

// WithAllow returns a copy with the allowed methods, for the Allow header.
func (r *refusal) WithAllow(methods string) *refusal {
	c := *r
	c.allow = methods
	return &c
}

// document returns the problem document of the refusal.
func (r *refusal) document(requestID string) aubapi.Problem {
	message := r.kind.title
	if r.detail != "" {
		message += " " + r.detail
	}
	return aubapi.Problem{
		Type:       problemTypePrefix + r.kind.code,
		Title:      r.kind.title,
		Status:     r.kind.status,
		Detail:     r.detail,
		Instance:   requestID,
		Execution:  r.execution,
		RetryAfter: r.retryAfter,
		Error:      aubapi.ErrorBody{Message: message, Type: r.kind.openAIType, Code: r.kind.code},
	}
}

// writeRefusal writes the refusal as a problem document.
func writeRefusal(w http.ResponseWriter, requestID string, refused *refusal) {
	body, err := json.Marshal(refused.document(requestID))
	if err != nil {
		http.Error(w, refused.kind.title, refused.kind.status)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if refused.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(refused.retryAfter.Seconds()))))
	}
	if refused.allow != "" {
		header.Set("Allow", refused.allow)
	}
	if refused.kind.status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(refused.kind.status)
	_, _ = w.Write(body)
}

// WriteErrorReference writes a table of all kinds of problems as Markdown.
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
