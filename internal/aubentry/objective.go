package aubentry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/auburndale/auburndale/internal/aubburn"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// Objectives are the times that a good answer keeps.
type Objectives struct {
	FirstToken time.Duration
	InterToken time.Duration
}

// timing is what the service levels of one exchange are judged by.
type timing struct {
	flow       flow
	firstToken time.Duration
	// gapsWithinObjective and late count the gaps between the pieces of a stream.
	gapsWithinObjective int64
	gapsOverObjective   int64
}

// countGap judges the time since the piece before.
func (t *timing) countGap(gap, objective time.Duration) {
	if gap <= objective {
		t.gapsWithinObjective++
		return
	}
	t.gapsOverObjective++
}

// countObjectives counts an exchange that belonged to a workspace. What the
// caller brought about itself counts as neither good nor bad.
func (h *Handler) countObjectives(ex *exchange, refused *refusal) {
	if ex.timing.flow.name == "" || errors.Is(ex.request.Context().Err(), context.Canceled) {
		return
	}
	flow := aubburn.Flow{Workspace: ex.timing.flow.workspace, Route: ex.timing.flow.name}
	burn := h.deps.Burn
	if refused == nil {
		burn.Count(flow, aubapi.ObjectiveAvailability, true)
		burn.Count(flow, aubapi.ObjectiveWithinRate, true)
		burn.Count(flow, aubapi.ObjectiveFirstToken, ex.timing.firstToken <= h.objectives.FirstToken)
		burn.CountAll(flow, aubapi.ObjectiveInterToken, ex.timing.gapsWithinObjective, ex.timing.gapsOverObjective)
		return
	}
	if refused.kind.status < http.StatusInternalServerError {
		return
	}
	burn.Count(flow, aubapi.ObjectiveAvailability, false)
	if refused.execution == aubapi.ExecutionNotRun {
		burn.Count(flow, aubapi.ObjectiveWithinRate, false)
	}
}
