package aubmembership

import (
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// burstShare divides the budget of a second: one quarter, but at least one
// datagram, is the burst of the token bucket and the rest is its rate, so that no
// second exceeds the budget.
const burstShare = 4

// maxQueuedPages is the maximum number of queued datagrams with residents.
const maxQueuedPages = 512

// queued is a datagram that waits until the budget allows sending it.
type queued struct {
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
	heads []queued
	// pages stay queued until they are sent or the list of residents changes.
	pages []queued
}

func newOutbox(budget int, send func(netip.AddrPort, []byte) error, c counters) *outbox {
	burst := max(budget/burstShare, MaxDatagramBytes+datagramOverheadBytes)
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
		o.heads = append(o.heads, queued{to: to, data: data})
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
		o.pages = append(o.pages, queued{to: to, data: data})
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
		next, ok := o.next(now)
		if !ok {
			return
		}
		o.write(next.to, next.data)
	}
}

// sendNow sends one datagram without queueing it, or drops it if the budget is
// used up.
func (o *outbox) sendNow(now time.Time, to netip.AddrPort, data []byte) {
	if !o.limiter.AllowN(now, len(data)+datagramOverheadBytes) {
		o.counters.dropped.Inc(1)
		return
	}
	o.write(to, data)
}

// next removes and returns the first queued datagram, or returns false if the queue
// is empty or the budget is used up.
func (o *outbox) next(now time.Time) (queued, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	queue := &o.heads
	if len(*queue) == 0 {
		queue = &o.pages
	}
	if len(*queue) == 0 {
		return queued{}, false
	}
	first := (*queue)[0]
	if !o.limiter.AllowN(now, len(first.data)+datagramOverheadBytes) {
		return queued{}, false
	}
	*queue = (*queue)[1:]
	return first, true
}

// write sends one datagram. A failure is only counted: a later round sends the
// state again.
func (o *outbox) write(to netip.AddrPort, data []byte) {
	if err := o.send(to, data); err != nil {
		o.counters.failed.Inc(1)
		return
	}
	o.counters.sent(len(data))
}
