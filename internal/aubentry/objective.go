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
	// inTime and late count the gaps between the pieces of a stream.
	inTime int64
	late   int64
}

// countGap judges the time since the piece before.
func (t *timing) countGap(gap, objective time.Duration) {
	if gap <= objective {
		t.inTime++
		return
	}
	t.late++
}

// countObjectives counts an exchange that belonged to a workspace. What the
// caller brought about itself counts as neither good nor bad.
func (h *Handler) countObjectives(x *exchange, f *refusal) {
	if x.timing.flow.name == "" || errors.Is(x.r.Context().Err(), context.Canceled) {
		return
	}
	flow := aubburn.Flow{Workspace: x.timing.flow.workspace, Route: x.timing.flow.name}
	burn := h.parts.Burn
	if f == nil {
		burn.Count(flow, aubapi.ObjectiveAvailability, true)
		burn.Count(flow, aubapi.ObjectiveWithinRate, true)
		burn.Count(flow, aubapi.ObjectiveFirstToken, x.timing.firstToken <= h.objectives.FirstToken)
		burn.CountAll(flow, aubapi.ObjectiveInterToken, x.timing.inTime, x.timing.late)
		return
	}
	if f.kind.status < http.StatusInternalServerError {
		return
	}
	burn.Count(flow, aubapi.ObjectiveAvailability, false)
	if f.execution == aubapi.ExecutionNotRun {
		burn.Count(flow, aubapi.ObjectiveWithinRate, false)
	}
}
