package aubexecution

import (
	"fmt"
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// FailedError is returned for a request without a complete response.
type FailedError struct {
	// Execution says whether the request ran, may have run or did not run.
	Execution aubapi.Execution
	Reason    aubwire.FailureReason
	Detail    string
	// Suspects are the fingerprints in flight when the backend server crashed.
	Suspects []string
	// CrashID identifies the crash, so that reports of several entries count once.
	CrashID string
	// RetryAfter is the time to wait before a retry; 0 means unknown.
	RetryAfter time.Duration
}

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("execution failed (%s): %s: %s", e.Execution, e.Reason, e.Detail)
}

// failureFromFrame converts an agent's failure frame to an error.
func failureFromFrame(f *aubwire.FrameFailure) *FailedError {
	return &FailedError{
		Execution:  executionFromState(f.GetExecution()),
		Reason:     f.GetReason(),
		Detail:     f.GetDetail(),
		Suspects:   f.GetSuspects(),
		CrashID:    f.GetDeathId(),
		RetryAfter: time.Duration(f.GetRetryAfterMs()) * time.Millisecond,
	}
}

// executionFromState maps every state other than NOT_RUN and RAN to "may have run".
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
