package aubentry

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubauth"
	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// TestStreamOfWithdrawnKeyCountsAsRun guards against a stream charged nothing and blamed on its backend server.
func TestStreamOfWithdrawnKeyCountsAsRun(t *testing.T) {
	for _, cause := range []error{&aubauth.UnauthenticatedError{Reason: aubauth.ReasonUnknown}, &aubauth.StaleConfigError{}} {
		err := streamEndError(cause)
		qt.Check(t, routeFailure(err), qt.Equals, aubroute.FailureCanceled, qt.Commentf("%v", cause))
		refused := mapExecutionError(context.Background(), err)
		qt.Check(t, refused.execution, qt.Equals, aubapi.ExecutionRan)
		o := outcome{err: refused, execution: refused.execution}
		qt.Check(t, o.chargedTokens(call{cost: 7}), qt.Equals, int64(7))
	}
}
