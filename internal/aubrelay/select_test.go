package aubrelay

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubsite"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// TestAwaitCopyRetriesForSlotFreeSoon requests an adapter while all slots are in use. The
// request must wait if a slot becomes free soon, but not longer than the objective allows.
func TestPlaceThatIsSoonFreeIsWaitedFor(t *testing.T) {
	for _, test := range []struct {
		name       string
		refusals   int
		retryAfter time.Duration
		objective  time.Duration
		held       bool
		questions  int
	}{
		{name: "free immediately", objective: time.Second, held: true, questions: 1},
		{name: "free after two requests", refusals: 2, retryAfter: 200 * time.Millisecond, objective: 2 * time.Second, held: true, questions: 3},
		{name: "retry time is too long", refusals: 1, retryAfter: 4 * time.Second, objective: 2 * time.Second, questions: 1},
		{name: "the objective is short", refusals: 1, retryAfter: 200 * time.Millisecond, objective: 200 * time.Millisecond, questions: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			common := aubcommon.NewCommon(aubtimer.NewReal())
			registry := aubregistry.NewRegistry(common, time.Minute)
			questions := 0
			place := func(context.Context, *aubwire.PlaceRequest) (*aubwire.PlaceResponse, error) {
				questions++
				if questions <= test.refusals {
					return &aubwire.PlaceResponse{RetryAfterMs: test.retryAfter.Milliseconds()}, nil
				}
				return &aubwire.PlaceResponse{Backend: "b"}, nil
			}
			h := NewHandler(common, Parts{Copies: NewCopies(common, registry, place)})
			x := &exchange{service: "s", call: Call{Model: "m", Adapter: "a1"}, route: aubsite.Route{Objective: test.objective}}
			began := time.Now()
			err := h.awaitCopy(context.Background(), x)
			qt.Assert(t, err == nil, qt.Equals, test.held)
			qt.Assert(t, questions, qt.Equals, test.questions)
			qt.Assert(t, time.Since(began) < test.objective, qt.IsTrue)
		})
	}
}
