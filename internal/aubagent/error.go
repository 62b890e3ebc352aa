package aubagent

import (
	"fmt"
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// failure is the reason why an execution has no whole answer.
type failure struct {
	execution  aubwire.ExecutionState
	reason     aubwire.FailureReason
	detail     string
	suspects   []string
	deathID    string
	retryAfter time.Duration
}

// Error implements error.
func (f *failure) Error() string {
	return fmt.Sprintf("%s: %s: %s", f.execution, f.reason, f.detail)
}

func notRun(reason aubwire.FailureReason, detail string, retryAfter time.Duration) *failure {
	return &failure{
		execution:  aubwire.ExecutionState_EXECUTION_STATE_NOT_RUN,
		reason:     reason,
		detail:     detail,
		retryAfter: retryAfter,
	}
}

func mayHaveRun(reason aubwire.FailureReason, detail string) *failure {
	return &failure{
		execution: aubwire.ExecutionState_EXECUTION_STATE_MAY_HAVE_RUN,
		reason:    reason,
		detail:    detail,
	}
}

func (f *failure) frame() *aubwire.FrameFailure {
	return &aubwire.FrameFailure{
		Execution:    f.execution,
		Reason:       f.reason,
		Detail:       f.detail,
		Suspects:     f.suspects,
		DeathId:      f.deathID,
		RetryAfterMs: f.retryAfter.Milliseconds(),
	}
}
