package aubentry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/auburndale/auburndale/internal/aubburn"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// Objectives are the maximum times of a response that counts as good: to its first
// token, and between two chunks of a stream.
type Objectives struct {
	FirstToken time.Duration
	InterToken time.Duration
}

// timing holds the measurements of one exchange that are compared with the objectives.
type timing struct {
	flow       flow
	firstToken time.Duration
	// gapsWithinObjective and gapsOverObjective count the gaps between the chunks of
	// a stream.
	gapsWithinObjective int64
	gapsOverObjective   int64
}

// countGap compares the time since the previous chunk with the objective.
func (t *timing) countGap(gap, objective time.Duration) {
	if gap <= objective {
		t.gapsWithinObjective++
		return
	}
	t.gapsOverObjective++
}

// countObjectives counts the exchange of a call for the objectives. Exchanges that
// the caller canceled and refusals with a 4xx status are not counted.
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
		burn.CountEvents(flow, aubapi.ObjectiveInterToken, ex.timing.gapsWithinObjective, ex.timing.gapsOverObjective)
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
