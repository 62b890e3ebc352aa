package aubrelay

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics are the counters and histograms of relayed requests.
type metrics struct {
	scope      tally.Scope
	firstEvent tally.Histogram
	duration   tally.Histogram
	retries    tally.Counter
	// takenPlaces counts choices that were repeated because other requests took the place.
	takenPlaces tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)
	return metrics{
		scope:       scope,
		firstEvent:  scope.Histogram("first_event_seconds", buckets),
		duration:    scope.Histogram("request_seconds", buckets),
		retries:     scope.Counter("retries"),
		takenPlaces: scope.Counter("taken_places"),
	}
}

// record counts a request. A firstEvent of 0 means that no event was received.
func (m metrics) record(route, outcome string, firstEvent, elapsed time.Duration) {
	m.scope.Tagged(map[string]string{"route": route, "outcome": outcome}).Counter("requests").Inc(1)
	m.duration.RecordDuration(elapsed)
	if firstEvent > 0 {
		m.firstEvent.RecordDuration(firstEvent)
	}
}
