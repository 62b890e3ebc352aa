package aubagent

import (
	"fmt"
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// failure describes why an execution has no complete response.
type failure struct {
	execution aubwire.ExecutionState
	reason    aubwire.FailureReason
	detail    string
	// suspects are the fingerprints in flight when the backend server crashed,
	// crashID identifies that crash; both are empty for other failures.
	suspects []string
	crashID  string
	// retryAfter is the delay after which the caller may retry; 0 for none.
	retryAfter time.Duration
}

// Error implements error.
func (f *failure) Error() string {
	return fmt.Sprintf("%s: %s: %s", f.execution, f.reason, f.detail)
}

// notRun returns the failure of a request that certainly was not executed.
func notRun(reason aubwire.FailureReason, detail string, retryAfter time.Duration) *failure {
	return &failure{
		execution:  aubwire.ExecutionState_EXECUTION_STATE_NOT_RUN,
		reason:     reason,
		detail:     detail,
		retryAfter: retryAfter,
	}
}

// mayHaveRun returns the failure of a request that may have been executed.
func mayHaveRun(reason aubwire.FailureReason, detail string) *failure {
	return &failure{
		execution: aubwire.ExecutionState_EXECUTION_STATE_MAY_HAVE_RUN,
		reason:    reason,
		detail:    detail,
	}
}

// frame encodes the failure for the caller.
func (f *failure) frame() *aubwire.FrameFailure {
	return &aubwire.FrameFailure{
		Execution:    f.execution,
		Reason:       f.reason,
		Detail:       f.detail,
		Suspects:     f.suspects,
		DeathId:      f.crashID,
		RetryAfterMs: f.retryAfter.Milliseconds(),
	}
}
