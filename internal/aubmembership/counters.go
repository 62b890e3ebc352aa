package aubmembership

import "github.com/uber-go/tally/v4"

// counters are the metrics of a Membership or a LoadExchange.
type counters struct {
	sentBytes, sentDatagrams         tally.Counter
	receivedBytes, receivedDatagrams tally.Counter
	rejected, dropped, failed        tally.Counter
	oversize, stale, fresh, ownName  tally.Counter
}

func newCounters(scope tally.Scope) counters {
	return counters{
		sentBytes:         scope.Counter("sent_bytes"),
		sentDatagrams:     scope.Counter("sent_datagrams"),
		receivedBytes:     scope.Counter("received_bytes"),
		receivedDatagrams: scope.Counter("received_datagrams"),
		rejected:          scope.Counter("rejected_datagrams"),
		dropped:           scope.Counter("dropped_datagrams"),
		failed:            scope.Counter("failed_datagrams"),
		oversize:          scope.Counter("oversize_datagrams"),
		stale:             scope.Counter("stale_announcements"),
		ownName:           scope.Counter("own_name_announcements"),
		fresh:             scope.Counter("fresh_announcements"),
	}
}

// sent counts a sent datagram of n bytes plus IP and UDP headers.
func (c counters) sent(n int) {
	c.sentDatagrams.Inc(1)
	c.sentBytes.Inc(int64(n + datagramOverheadBytes))
}

// received counts a received datagram of n bytes plus IP and UDP headers.
func (c counters) received(n int) {
	c.receivedDatagrams.Inc(1)
	c.receivedBytes.Inc(int64(n + datagramOverheadBytes))
}

// countResult counts the result of applying an announcement; every result other than
// ApplyResultNew counts as stale.
func (c counters) countResult(result ApplyResult) {
	if result == ApplyResultNew {
		c.fresh.Inc(1)
		return
	}
	c.stale.Inc(1)
}
