package aubentry

import (
	"context"
	"errors"
	"time"

	"github.com/auburndale/auburndale/internal/aubauth"
	"github.com/auburndale/auburndale/internal/aubexecution"
	"github.com/auburndale/auburndale/internal/aublimit"
	"github.com/auburndale/auburndale/internal/aubqueue"
	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// The functions in this file convert the errors of the components that a request
// passes through to refusals. mapClaimError does the same for claims.

func mapAuthError(err error) error {
	var stale *aubauth.StaleConfigError
	var unauthenticated *aubauth.UnauthenticatedError
	switch {
	case errors.As(err, &stale):
		return refuse(problemStaleConfig).WithRetryAfter(stale.RetryAfter)
	case errors.As(err, &unauthenticated) && unauthenticated.Reason == aubauth.ReasonMissing:
		return refuse(problemMissingKey)
	case errors.As(err, &unauthenticated):
		return refuse(problemInvalidKey)
	default:
		return err
	}
}

// streamEndError converts the error of a key check during a stream, which has run by then.
func streamEndError(err error) error {
	var refused *refusal
	if err = mapAuthError(err); errors.As(err, &refused) {
		return &keyExpiredError{err: refused.WithExecution(aubapi.ExecutionRan)}
	}
	return err
}

// keyExpiredError ends a stream whose key is no longer valid.
type keyExpiredError struct{ err error }

// Error implements error.
func (e *keyExpiredError) Error() string { return "key expired during the stream: " + e.err.Error() }

// Unwrap returns the refusal.
func (e *keyExpiredError) Unwrap() error { return e.err }

func mapLimitError(err error) error {
	var refused *aublimit.RefusedError
	if !errors.As(err, &refused) {
		return refuse(problemTimeoutNotRun)
	}
	switch refused.Reason {
	case aublimit.ReasonBurst:
		return refuse(problemOverBurst)
	case aublimit.ReasonCutOff, aublimit.ReasonNotGranted:
		return refuse(problemNotGranted).WithRetryAfter(refused.RetryAfter)
	case aublimit.ReasonStopped:
		return refuse(problemShuttingDown).WithRetryAfter(refused.RetryAfter)
	default:
		return refuse(problemRateLimited).WithRetryAfter(refused.RetryAfter)
	}
}

func mapQueueError(err error) error {
	var refused *aubqueue.RefusedError
	if errors.As(err, &refused) {
		return refuse(problemOverloaded).WithRetryAfter(refused.RetryAfter)
	}
	return refuse(problemTimeoutNotRun)
}

func mapRouteError(err error) error {
	if err == nil {
		return nil
	}
	var noBackend *aubroute.NoBackendError
	if errors.As(err, &noBackend) {
		return refuse(problemNoBackend).WithRetryAfter(noBackend.RetryAfter)
	}
	return err
}

// isRateLimited reports whether no backend server was chosen because of their rate limits.
func isRateLimited(err error) bool {
	var noBackend *aubroute.NoBackendError
	return errors.As(err, &noBackend) && noBackend.Limited != ""
}

// mapExecutionError returns the refusal for a failed execution, with the state of the
// execution if it is known.
func mapExecutionError(ctx context.Context, err error) *refusal {
	var refused *refusal
	if errors.As(err, &refused) {
		return refused
	}
	var failed *aubexecution.FailedError
	if !errors.As(err, &failed) {
		if ctx.Err() != nil {
			return refuse(problemTimeout)
		}
		return refuse(problemBackendFailed)
	}
	return refuse(problemForFailure(failed)).WithExecution(failed.Execution).WithRetryAfter(failed.RetryAfter)
}

// problemForFailure returns the kind of problem for the reason of a failure.
func problemForFailure(failed *aubexecution.FailedError) *problemKind {
	reason := failed.Reason
	switch {
	case reason == aubwire.FailureReason_FAILURE_REASON_POISON:
		return problemPoison
	case reason == aubwire.FailureReason_FAILURE_REASON_TIMEOUT:
		return problemTimeout
	case reason == aubwire.FailureReason_FAILURE_REASON_INCOMPLETE:
		return problemIncomplete
	case failed.Execution == aubapi.ExecutionNotRun:
		return problemBackendRefused
	default:
		return problemBackendFailed
	}
}

// routeFailure classifies a failed execution for the router's state of the backend
// server.
func routeFailure(err error) aubroute.Failure {
	var disconnected *callerDisconnectedError
	var expired *keyExpiredError
	var failed *aubexecution.FailedError
	switch {
	case errors.As(err, &disconnected) || errors.As(err, &expired) || errors.Is(err, context.Canceled):
		return aubroute.FailureCanceled
	case errors.Is(err, context.DeadlineExceeded):
		return aubroute.FailureTimeout
	case !errors.As(err, &failed):
		return aubroute.FailureBackend
	}
	switch failed.Reason {
	case aubwire.FailureReason_FAILURE_REASON_CANCELED:
		return aubroute.FailureCanceled
	case aubwire.FailureReason_FAILURE_REASON_TIMEOUT:
		return aubroute.FailureTimeout
	case aubwire.FailureReason_FAILURE_REASON_UNREACHABLE:
		return aubroute.FailureConnection
	case aubwire.FailureReason_FAILURE_REASON_LEAVING,
		aubwire.FailureReason_FAILURE_REASON_NOT_RESIDENT,
		aubwire.FailureReason_FAILURE_REASON_OVERLOADED,
		aubwire.FailureReason_FAILURE_REASON_POISON:
		return aubroute.FailureRefused
	default:
		return aubroute.FailureBackend
	}
}

// earlier returns the earlier of two times; a zero b counts as none.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}
