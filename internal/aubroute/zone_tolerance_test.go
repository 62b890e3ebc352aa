package aubroute_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubroute"
)

// TestZoneToleranceKeepsRequestsInTheZone guards against traffic between zones for a gain that
// no caller notices, and against a tolerance that sends requests to an overloaded member.
func TestZoneToleranceKeepsRequestsInTheZone(t *testing.T) {
	const rate = 40_000.0
	// candidate has prompts of the duration ahead.
	candidate := func(rtt, ahead time.Duration, inFlight int) aubroute.Candidate {
		return aubroute.Candidate{ZoneRTT: rtt, PendingTokens: int64(rate * ahead.Seconds()), PrefillRate: rate, InFlight: inFlight, Slowness: 1}
	}
	const ms = time.Millisecond
	for _, test := range []struct {
		name          string
		tolerance     time.Duration
		local, remote aubroute.Candidate
		isLocal       bool
	}{
		{"no tolerance, remote faster", 0, candidate(0, 40*ms, 5), candidate(3*ms, 0, 5), false},
		{"no tolerance, equal", 0, candidate(0, 0, 5), candidate(3*ms, 0, 5), true},
		{"within the tolerance", 50 * ms, candidate(0, 40*ms, 5), candidate(3*ms, 0, 5), true},
		{"beyond the tolerance", 50 * ms, candidate(0, 60*ms, 5), candidate(3*ms, 0, 5), false},
		{"local above the load bound", 50 * ms, candidate(0, 0, 40), candidate(3*ms, 0, 5), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			query := aubroute.Query{PromptTokens: 600, ZoneTolerance: test.tolerance}
			chosen := aubroute.ExpectedFirstToken{}.Choose(query, []aubroute.Candidate{test.remote, test.local})
			qt.Assert(t, chosen == 1, qt.Equals, test.isLocal)
		})
	}
}
