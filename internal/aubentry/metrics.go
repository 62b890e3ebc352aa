package aubentry

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics are the counters and histograms of the callers' API.
type metrics struct {
	scope      tally.Scope
	answered   tally.Counter
	firstToken tally.Histogram
	interToken tally.Histogram
	retries    tally.Counter
	tokens     tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.5, 30)
	return metrics{
		scope:      scope,
		answered:   scope.Counter("requests_answered"),
		firstToken: scope.Histogram("first_token_seconds", buckets),
		interToken: scope.Histogram("inter_token_seconds", buckets),
		retries:    scope.Counter("retries"),
		tokens:     scope.Counter("tokens"),
	}
}

func (m metrics) countRefusal(refused *refusal) {
	m.scope.Tagged(map[string]string{"code": refused.kind.code, "execution": string(refused.execution)}).Counter("requests_refused").Inc(1)
}
