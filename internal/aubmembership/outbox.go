package aubmembership

import (
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// burstDivisor divides the budget of a second: one quarter, but at least one
// datagram, is the burst of the token bucket and the rest is its rate, so that no
// second exceeds the budget.
const burstDivisor = 4

// maxQueuedPages is the maximum number of queued datagrams with residents.
const maxQueuedPages = 512

// queuedDatagram is a datagram that waits until the budget allows sending it.
type queuedDatagram struct {
	to   netip.AddrPort
	data []byte
}

// outbox queues datagrams and sends them within a budget in bytes per second. Its
// methods are safe for concurrent use; mu guards the queues.
type outbox struct {
	send     func(netip.AddrPort, []byte) error
	limiter  *rate.Limiter
	counters counters

	mu sync.Mutex
	// heads are sent before pages and are replaced in each round.
	heads []queuedDatagram
	// pages stay queued until they are sent or the list of residents changes.
	pages []queuedDatagram
}

func newOutbox(budget int, send func(netip.AddrPort, []byte) error, c counters) *outbox {
	burst := max(budget/burstDivisor, MaxDatagramBytes+datagramOverheadBytes)
	return &outbox{
		send:     send,
		limiter:  rate.NewLimiter(rate.Limit(budget-burst), burst),
		counters: c,
	}
}

// addHeads queues datagrams for one receiver. They are sent before all pages.
func (o *outbox) addHeads(to netip.AddrPort, datagrams [][]byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, data := range datagrams {
		o.heads = append(o.heads, queuedDatagram{to: to, data: data})
	}
}

// addPages queues datagrams for one receiver. Datagrams beyond maxQueuedPages are
// dropped.
func (o *outbox) addPages(to netip.AddrPort, datagrams [][]byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, data := range datagrams {
		if len(o.pages) >= maxQueuedPages {
			o.counters.dropped.Inc(1)
			continue
		}
		o.pages = append(o.pages, queuedDatagram{to: to, data: data})
	}
}

// clearHeads drops and counts the unsent heads.
func (o *outbox) clearHeads() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counters.dropped.Inc(int64(len(o.heads)))
	o.heads = nil
}

// clearPages drops the unsent pages.
func (o *outbox) clearPages() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pages = nil
}

func (o *outbox) hasPages() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.pages) > 0
}

// drain sends queued datagrams as far as the budget allows.
func (o *outbox) drain(now time.Time) {
	for {
		datagram, ok := o.dequeue(now)
		if !ok {
			return
		}
		o.transmit(datagram.to, datagram.data)
	}
}

// sendNow sends one datagram without queueing it, or drops it if the budget is
// used up.
func (o *outbox) sendNow(now time.Time, to netip.AddrPort, data []byte) {
	if !o.limiter.AllowN(now, len(data)+datagramOverheadBytes) {
		o.counters.dropped.Inc(1)
		return
	}
	o.transmit(to, data)
}

// dequeue removes and returns the first queued datagram, or returns false if the
// queue is empty or the budget is used up.
func (o *outbox) dequeue(now time.Time) (queuedDatagram, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	queue := &o.heads
	if len(*queue) == 0 {
		queue = &o.pages
	}
	if len(*queue) == 0 {
		return queuedDatagram{}, false
	}
	first := (*queue)[0]
	if !o.limiter.AllowN(now, len(first.data)+datagramOverheadBytes) {
		return queuedDatagram{}, false
	}
	*queue = (*queue)[1:]
	return first, true
}

// transmit sends one datagram. A failure is only counted: a later round sends the
// state again.
func (o *outbox) transmit(to netip.AddrPort, data []byte) {
	if err := o.send(to, data); err != nil {
		o.counters.failed.Inc(1)
		return
	}
	o.counters.sent(len(data))
}
