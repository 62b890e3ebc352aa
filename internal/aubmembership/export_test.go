package aubmembership

import (
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"
)

// Unexported functions that the external tests call.
var (
	HeadsOf = headsOf
	PagesOf = pagesOf
	Pack    = pack
)

// Outbox exposes outbox to the external tests.
type Outbox struct{ outbox *outbox }

// NewOutbox returns an outbox that sends with the given function.
func NewOutbox(budget int, send func(netip.AddrPort, []byte) error) Outbox {
	return Outbox{outbox: newOutbox(budget, send, newCounters(tally.NoopScope))}
}

// Round queues heads and pages as a gossip round does and sends within the budget.
func (o Outbox) Round(now time.Time, to netip.AddrPort, heads, pages [][]byte) {
	o.outbox.clearHeads()
	o.outbox.addHeads(to, heads)
	o.outbox.addPages(to, pages)
	o.outbox.drain(now)
}

// SendNow sends one datagram without queueing it.
func (o Outbox) SendNow(now time.Time, to netip.AddrPort, data []byte) {
	o.outbox.sendNow(now, to, data)
}
