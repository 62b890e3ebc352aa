package aubrelay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStartupRetryAfter guards against callers that are told to come back long after this
// instance serves, or all at once.
func TestStartupRetryAfter(t *testing.T) {
	for _, c := range []struct {
		name   string
		uptime time.Duration
		draw   float64
		want   time.Duration
	}{
		{"just started", 0, 0, startupTime},
		{"halfway", startupTime / 2, 0, startupTime / 2},
		{"overdue", 5 * time.Second, 0, minStartupRetryAfter},
		{"spread", 0, 0.5, startupTime + startupSpread/2},
	} {
		t.Run(c.name, func(t *testing.T) { qt.Assert(t, startupRetryAfter(c.uptime, c.draw), qt.Equals, c.want) })
	}
}
