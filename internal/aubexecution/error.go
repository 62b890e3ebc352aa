package aubexecution

import (
	"fmt"
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// FailedError says that a request has no whole answer.
type FailedError struct {
	// Execution is what is known of the request's execution.
	Execution aubapi.Execution
	Reason    aubwire.FailureReason
	Detail    string
	// Suspects are the fingerprints in flight when the backend server died.
	Suspects []string
	// DeathID names that death, so that it counts once.
	DeathID string
	// RetryAfter is when trying again makes sense; 0 means unknown.
	RetryAfter time.Duration
}

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("execution failed (%s): %s: %s", e.Execution, e.Reason, e.Detail)
}

// failureFromFrame turns an agent's failure frame into an error.
func failureFromFrame(f *aubwire.FrameFailure) *FailedError {
	return &FailedError{
		Execution:  executionFromState(f.GetExecution()),
		Reason:     f.GetReason(),
		Detail:     f.GetDetail(),
		Suspects:   f.GetSuspects(),
		DeathID:    f.GetDeathId(),
		RetryAfter: time.Duration(f.GetRetryAfterMs()) * time.Millisecond,
	}
}

// executionFromState maps every state but a clear "not run" and "ran" to "may have run".
func executionFromState(state aubwire.ExecutionState) aubapi.Execution {
	switch state {
	case aubwire.ExecutionState_EXECUTION_STATE_NOT_RUN:
		return aubapi.ExecutionNotRun
	case aubwire.ExecutionState_EXECUTION_STATE_RAN:
		return aubapi.ExecutionRan
	default:
		return aubapi.ExecutionMayHaveRun
	}
}
