package aubplacement

import (
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// reportDelay is how long after an answer a report may still lack its effect.
	reportDelay = 3 * time.Second
	// resendDelay is how long an unload may stay without effect before it is sent again.
	resendDelay = 10 * time.Second
	// refusalBackoff is how long a backend server that refused gets no orders.
	refusalBackoff = 5 * time.Second
	// maxOrdersPerBackend bounds the orders on their way to one backend server.
	maxOrdersPerBackend = 4
)

// orderState says how far an order is.
type orderState int

const (
	orderSending orderState = iota
	orderAccepted
	// orderUncertain may or may not have been or be executed.
	orderUncertain
)

type pendingOrder struct {
	// number tells the sends of one item to one backend server apart.
	number uint64
	order  Order
	fence  uint64
	state  orderState
	// at is when it was sent, and then when its answer came.
	at time.Time
}

// is reports whether p, which may be nil, stands for the numbered send.
func (p *pendingOrder) is(number uint64) bool { return p != nil && p.number == number }

// ledger holds the orders whose effects the reports don't show yet. Its methods
// may be called concurrently; mu guards all fields.
type ledger struct {
	mu sync.Mutex
	// number is that of the last send.
	number  uint64
	pending map[MoveKey]*pendingOrder
	// uncertain is the highest fencing number of an order with unknown outcome,
	// by backend server. Later orders there carry a higher one, so that the
	// agent refuses the lost one if it comes late.
	uncertain map[string]uint64
	// unloaded is the number of the last unload of an item on a backend server.
	// A later load there carries a higher one, so that the agent refuses a
	// second delivery of the unload.
	unloaded map[MoveKey]uint64
	backoff  map[string]time.Time
	moves    map[MoveKey]Move
}

func newLedger() *ledger {
	return &ledger{
		pending:   make(map[MoveKey]*pendingOrder),
		uncertain: make(map[string]uint64),
		unloaded:  make(map[MoveKey]uint64),
		backoff:   make(map[string]time.Time),
		moves:     make(map[MoveKey]Move),
	}
}

// clear forgets all orders; those of an earlier leadership are fenced off instead.
func (l *ledger) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.pending)
	clear(l.uncertain)
	clear(l.unloaded)
	clear(l.backoff)
	clear(l.moves)
}

// sent notes an order before it goes out. A confirmation changes nothing and is
// not noted and has the number 0.
func (l *ledger) sent(now time.Time, clock time.Duration, order Order, fence uint64) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := MoveKey{Backend: order.Backend, Item: order.Item.Key}
	if order.Action == ActionConfirm {
		return 0
	}
	l.number++
	l.pending[key] = &pendingOrder{number: l.number, order: order, fence: fence, at: now}
	l.moves[key] = Move{Action: order.Action, At: clock}
	if order.Action == ActionUnload {
		l.unloaded[key] = fence
	}
	return l.number
}

// unsent forgets an order that never went out.
func (l *ledger) unsent(order Order, number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := MoveKey{Backend: order.Backend, Item: order.Item.Key}
	if p := l.pending[key]; p.is(number) {
		delete(l.pending, key)
	}
}

// answered notes the outcome of an order.
func (l *ledger) answered(now time.Time, order Order, number uint64, outcome aubwire.OrderOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := MoveKey{Backend: order.Backend, Item: order.Item.Key}
	p := l.pending[key]
	if !p.is(number) {
		return
	}
	p.at = now
	switch outcome {
	case aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED:
		p.state = orderAccepted
	case aubwire.OrderOutcome_ORDER_OUTCOME_UNCERTAIN, aubwire.OrderOutcome_ORDER_OUTCOME_UNSPECIFIED:
		p.state = orderUncertain
		l.uncertain[order.Backend] = max(l.uncertain[order.Backend], p.fence)
	case aubwire.OrderOutcome_ORDER_OUTCOME_STALE_FENCE:
		l.uncertain[order.Backend] = max(l.uncertain[order.Backend], p.fence)
		l.refused(key, p)
	case aubwire.OrderOutcome_ORDER_OUTCOME_WRONG_INCARNATION,
		aubwire.OrderOutcome_ORDER_OUTCOME_NOT_READY:
		l.backoff[order.Backend] = now.Add(refusalBackoff)
		l.refused(key, p)
	case aubwire.OrderOutcome_ORDER_OUTCOME_IN_USE:
		// Only this unload must wait; loads there may go on.
		delete(l.pending, key)
	default:
		delete(l.pending, key)
		l.backoff[order.Backend] = now.Add(refusalBackoff)
	}
}

// refused forgets a load. An unload stays: the agent refused this send without
// looking at the item, and an earlier send of it may have been executed. It ends
// with a report that shows the item gone or another incarnation.
func (l *ledger) refused(key MoveKey, p *pendingOrder) {
	if p.order.Action != ActionUnload {
		delete(l.pending, key)
		return
	}
	p.state = orderUncertain
}

// floor returns the fencing number that the order's must exceed.
func (l *ledger) floor(order Order) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	floor := l.uncertain[order.Backend]
	if order.Action == ActionUnload {
		return floor
	}
	return max(floor, l.unloaded[MoveKey{Backend: order.Backend, Item: order.Item.Key}])
}

// correct applies what is pending to a reported backend server.
func (l *ledger) correct(now time.Time, m aubmembership.Member, b Backend) Backend {
	l.mu.Lock()
	defer l.mu.Unlock()
	sending := 0
	for key, p := range l.pending {
		if key.Backend != b.Name {
			continue
		}
		if p.order.Incarnation != b.Incarnation || l.settled(m, b, p) {
			delete(l.pending, key)
			continue
		}
		if p.state == orderSending {
			sending++
		}
		b = p.apply(b)
	}
	b.Busy = b.Busy || sending >= maxOrdersPerBackend || now.Before(l.backoff[b.Name])
	return b
}

// settled reports whether the report shows all that the order can still do.
func (l *ledger) settled(m aubmembership.Member, b Backend, p *pendingOrder) bool {
	if p.state == orderSending {
		return false
	}
	_, there := b.Residents[p.order.Item.Key]
	after := m.HeardAt.Sub(p.at)
	if p.order.Action == ActionUnload {
		// A copy that may yet be unloaded must not count as ready.
		return !there && after > 0
	}
	return there && after > 0 || after > reportDelay
}

// apply shows the effect of the order on the backend server.
func (p *pendingOrder) apply(b Backend) Backend {
	key := p.order.Item.Key
	_, there := b.Residents[key]
	switch p.order.Action {
	case ActionLoad:
		if !there {
			b.Residents[key] = aubwire.Residency_RESIDENCY_LOADING
			b.UsedBytes += p.order.Item.MemoryBytes
		}
	case ActionUnload:
		if there {
			b.Residents[key] = aubwire.Residency_RESIDENCY_UNLOADING
		}
	}
	return b
}

// resend returns the unloads that had no effect for long.
func (l *ledger) resend(now time.Time) []Order {
	l.mu.Lock()
	defer l.mu.Unlock()
	var orders []Order
	for _, p := range l.pending {
		if p.order.Action == ActionUnload && p.state != orderSending && now.Sub(p.at) > resendDelay {
			orders = append(orders, p.order)
			l.uncertain[p.order.Backend] = max(l.uncertain[p.order.Backend], p.fence)
		}
	}
	return orders
}

// recentMoves returns the moves that still matter and forgets older ones.
func (l *ledger) recentMoves(clock time.Duration) map[MoveKey]Move {
	l.mu.Lock()
	defer l.mu.Unlock()
	moves := make(map[MoveKey]Move, len(l.moves))
	for key, m := range l.moves {
		if clock-m.At > minResidence {
			delete(l.moves, key)
			continue
		}
		moves[key] = m
	}
	return moves
}
