package aubmembership

import (
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// burstShare is the part of a second's budget that may be sent at once. The rest
// comes at a steady rate, so that no second exceeds the budget.
const burstShare = 4

// maxQueuedPages bounds the datagrams with residents that wait to be sent.
const maxQueuedPages = 512

// queued is one datagram that waits for the budget.
type queued struct {
	to   netip.AddrPort
	data []byte
}

// outbox sends datagrams within a budget of bytes a second. Its methods may be
// called concurrently; mu guards the queue.
type outbox struct {
	send     func(netip.AddrPort, []byte) error
	limiter  *rate.Limiter
	counters counters

	mu sync.Mutex
	// heads go first and are replaced each round; pages stay until they are sent.
	heads []queued
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

// addHeads queues datagrams for one receiver, to be sent before all pages.
func (o *outbox) addHeads(to netip.AddrPort, datagrams [][]byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, data := range datagrams {
		o.heads = append(o.heads, queued{to: to, data: data})
	}
}

// addPages queues datagrams for one receiver, as far as there is room.
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

// clearHeads drops the heads that were not sent.
func (o *outbox) clearHeads() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counters.dropped.Inc(int64(len(o.heads)))
	o.heads = nil
}

// clearPages drops the pages that were not sent.
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

// drain sends from the queue what the budget allows.
func (o *outbox) drain(now time.Time) {
	for {
		next, ok := o.next(now)
		if !ok {
			return
		}
		o.write(next.to, next.data)
	}
}

// sendNow sends one datagram past the queue, or drops it when the budget is spent.
func (o *outbox) sendNow(now time.Time, to netip.AddrPort, data []byte) {
	if !o.limiter.AllowN(now, len(data)+datagramOverheadBytes) {
		o.counters.dropped.Inc(1)
		return
	}
	o.write(to, data)
}

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

// write sends; a lost datagram is made up for by the next round.
func (o *outbox) write(to netip.AddrPort, data []byte) {
	if err := o.send(to, data); err != nil {
		o.counters.failed.Inc(1)
		return
	}
	o.counters.sent(len(data))
}
