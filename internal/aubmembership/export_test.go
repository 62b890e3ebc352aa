package aubmembership

import (
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/auburndale/auburndale/internal/aubcommon"
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

// LoadNode is a load exchange without goroutines whose datagrams go to a function.
type LoadNode struct {
	*LoadExchange
}

// NewLoadNode returns an exchange that sends with the given function.
func NewLoadNode(common aubcommon.Common, opts LoadExchangeOpts, send func(to netip.AddrPort, data []byte)) *LoadNode {
	x := newLoadExchange(common, opts)
	x.transport = functionTransport(send)
	return &LoadNode{LoadExchange: x}
}

// Receive delivers a datagram.
func (n *LoadNode) Receive(from netip.AddrPort, data []byte) { n.receive(from, data) }

// SendUpdates sends what changed, or everything.
func (n *LoadNode) SendUpdates(isFull bool) { n.sendUpdates(isFull) }

// SendPause returns the time from a notification to the update.
func (n *LoadNode) SendPause() time.Duration { return n.sendPause() }

// ZoneDelay returns the time until sums are due that wait.
func (n *LoadNode) ZoneDelay() (time.Duration, bool) { return n.zoneDelay() }

// TakeNotification reports whether an update was requested since the last call.
func (n *LoadNode) TakeNotification() bool {
	select {
	case <-n.changed:
		return true
	default:
		return false
	}
}

type functionTransport func(to netip.AddrPort, data []byte)

func (f functionTransport) send(to netip.AddrPort, data []byte) error {
	f(to, data)
	return nil
}

// KindOf returns the kind of an encoded datagram in the metrics.
func KindOf(data []byte) string {
	d, err := DecodeDatagram([]byte("s"), data)
	if err != nil {
		return kindRejected
	}
	return kindOf(d)
}
