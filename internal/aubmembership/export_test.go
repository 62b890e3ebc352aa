package aubmembership

import (
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"
)

// Parts of the package that its tests look at.
var (
	HeadsOf = headsOf
	PagesOf = pagesOf
	Pack    = pack
)

// Outbox sends within a budget.
type Outbox struct{ o *outbox }

// NewOutbox returns an outbox over a send function.
func NewOutbox(budget int, send func(netip.AddrPort, []byte) error) Outbox {
	return Outbox{o: newOutbox(budget, send, newCounters(tally.NoopScope))}
}

// Round queues heads and pages like a round does, and sends what may be sent.
func (o Outbox) Round(now time.Time, to netip.AddrPort, heads, pages [][]byte) {
	o.o.clearHeads()
	o.o.addHeads(to, heads)
	o.o.addPages(to, pages)
	o.o.drain(now)
}

// SendNow sends one datagram past the queue.
func (o Outbox) SendNow(now time.Time, to netip.AddrPort, data []byte) { o.o.sendNow(now, to, data) }
