package aubplacement

import (
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// maxReportLag is how long after a response the agent's reports may still lack the
	// order's effect.
	maxReportLag = 3 * time.Second
	// unloadResendDelay is how long an unload may remain without effect before it is
	// sent again.
	unloadResendDelay = 10 * time.Second
	// refusalBackoff is how long a backend server gets no orders after it refused one.
	refusalBackoff = 5 * time.Second
	// maxOrdersPerBackend bounds the concurrent orders to one backend server.
	maxOrdersPerBackend = 4
)

// orderState is the progress of an order.
type orderState int

const (
	orderSending orderState = iota
	orderAccepted
	// orderUncertain orders have an unknown outcome: they may have been executed, or
	// may be later.
	orderUncertain
)

// pendingOrder is an order whose effect the reports don't show yet.
type pendingOrder struct {
	// attempt distinguishes the attempts to send an order for one item to one backend
	// server.
	attempt uint64
	order   Order
	fence   uint64
	state   orderState
	// updatedAt is when the order was sent and, after its response, when that arrived.
	updatedAt time.Time
}

// isAttempt reports whether p, which may be nil, is the attempt with the number.
func (p *pendingOrder) isAttempt(attempt uint64) bool { return p != nil && p.attempt == attempt }

// orderTable holds the orders whose effects the agents' reports don't show yet. Its
// methods are safe for concurrent use; mu guards all fields.
type orderTable struct {
	mu sync.Mutex
	// lastAttempt is the number of the last attempt.
	lastAttempt uint64
	pending     map[CopyKey]*pendingOrder
	// uncertainFences holds the highest fencing number of an order with unknown
	// outcome, by backend server. Later orders there use a higher number, so that the
	// agent refuses the uncertain order if it arrives late.
	uncertainFences map[string]uint64
	// unloadFences holds the fencing number of the last unload of an item on a backend
	// server. A later load there uses a higher number, so that the agent refuses a
	// duplicate delivery of the unload.
	unloadFences map[CopyKey]uint64
	backoffUntil map[string]time.Time
	moves        map[CopyKey]Move
}

func newOrderTable() *orderTable {
	return &orderTable{
		pending:         make(map[CopyKey]*pendingOrder),
		uncertainFences: make(map[string]uint64),
		unloadFences:    make(map[CopyKey]uint64),
		backoffUntil:    make(map[string]time.Time),
		moves:           make(map[CopyKey]Move),
	}
}

// clear drops all orders at the start of a term: the fencing numbers of the new term
// make agents refuse those of an earlier one.
func (t *orderTable) clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.pending)
	clear(t.uncertainFences)
	clear(t.unloadFences)
	clear(t.backoffUntil)
	clear(t.moves)
}

// add records an order before it is sent and returns the number of the attempt. A
// confirmation changes nothing on the backend server, so it is not recorded and has the
// number 0.
func (t *orderTable) add(now time.Time, elapsed time.Duration, order Order, fence uint64) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := CopyKey{Backend: order.Backend, Item: order.Item.Key}
	if order.Action == ActionConfirm {
		return 0
	}
	t.lastAttempt++
	t.pending[key] = &pendingOrder{attempt: t.lastAttempt, order: order, fence: fence, updatedAt: now}
	t.moves[key] = Move{Action: order.Action, At: elapsed}
	if order.Action == ActionUnload {
		t.unloadFences[key] = fence
	}
	return t.lastAttempt
}

// remove drops an order that was never sent.
func (t *orderTable) remove(order Order, attempt uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := CopyKey{Backend: order.Backend, Item: order.Item.Key}
	if p := t.pending[key]; p.isAttempt(attempt) {
		delete(t.pending, key)
	}
}

// recordOutcome records the outcome of an order.
func (t *orderTable) recordOutcome(now time.Time, order Order, attempt uint64, outcome aubwire.OrderOutcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := CopyKey{Backend: order.Backend, Item: order.Item.Key}
	p := t.pending[key]
	if !p.isAttempt(attempt) {
		return
	}
	p.updatedAt = now
	switch outcome {
	case aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED:
		p.state = orderAccepted
	case aubwire.OrderOutcome_ORDER_OUTCOME_UNCERTAIN, aubwire.OrderOutcome_ORDER_OUTCOME_UNSPECIFIED:
		p.state = orderUncertain
		t.uncertainFences[order.Backend] = max(t.uncertainFences[order.Backend], p.fence)
	case aubwire.OrderOutcome_ORDER_OUTCOME_STALE_FENCE:
		t.uncertainFences[order.Backend] = max(t.uncertainFences[order.Backend], p.fence)
		t.recordRefusal(key, p)
	case aubwire.OrderOutcome_ORDER_OUTCOME_WRONG_INCARNATION,
		aubwire.OrderOutcome_ORDER_OUTCOME_NOT_READY:
		t.backoffUntil[order.Backend] = now.Add(refusalBackoff)
		t.recordRefusal(key, p)
	case aubwire.OrderOutcome_ORDER_OUTCOME_IN_USE:
		// Only this unload must wait; loads on the backend server may continue.
		delete(t.pending, key)
	default:
		delete(t.pending, key)
		t.backoffUntil[order.Backend] = now.Add(refusalBackoff)
	}
}

// recordRefusal drops a load. An unload stays uncertain: the agent refused this attempt
// without looking at the item, and an earlier attempt may have been executed. It is
// dropped once a report lacks the item or shows another incarnation.
func (t *orderTable) recordRefusal(key CopyKey, p *pendingOrder) {
	if p.order.Action != ActionUnload {
		delete(t.pending, key)
		return
	}
	p.state = orderUncertain
}

// fenceFloor returns the number that the order's fencing number must exceed.
func (t *orderTable) fenceFloor(order Order) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	floor := t.uncertainFences[order.Backend]
	if order.Action == ActionUnload {
		return floor
	}
	return max(floor, t.unloadFences[CopyKey{Backend: order.Backend, Item: order.Item.Key}])
}

// applyPending applies the pending orders to a reported backend server. It drops those
// that the report shows in full or that another incarnation received.
func (t *orderTable) applyPending(now time.Time, m aubmembership.Member, b Backend) Backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	sending := 0
	for key, p := range t.pending {
		if key.Backend != b.Name {
			continue
		}
		if p.order.Incarnation != b.Incarnation || t.isReported(m, b, p) {
			delete(t.pending, key)
			continue
		}
		if p.state == orderSending {
			sending++
		}
		b = p.applyTo(b)
	}
	b.OrdersBlocked = b.OrdersBlocked || sending >= maxOrdersPerBackend || now.Before(t.backoffUntil[b.Name])
	return b
}

// isReported reports whether the order needs no tracking any more: the member's report
// shows its effect or, for a load, is more than maxReportLag newer than the response.
func (t *orderTable) isReported(m aubmembership.Member, b Backend, p *pendingOrder) bool {
	if p.state == orderSending {
		return false
	}
	_, isResident := b.Residents[p.order.Item.Key]
	reportedAfter := m.ReceivedAt.Sub(p.updatedAt)
	if p.order.Action == ActionUnload {
		// A copy that may still be unloaded must not count as ready.
		return !isResident && reportedAfter > 0
	}
	return isResident && reportedAfter > 0 || reportedAfter > maxReportLag
}

// applyTo applies the effect of the order to the backend server.
func (p *pendingOrder) applyTo(b Backend) Backend {
	key := p.order.Item.Key
	_, isResident := b.Residents[key]
	switch p.order.Action {
	case ActionLoad:
		if !isResident {
			b.Residents[key] = aubwire.Residency_RESIDENCY_LOADING
			b.UsedBytes += p.order.Item.MemoryBytes
		}
	case ActionUnload:
		if isResident {
			b.Residents[key] = aubwire.Residency_RESIDENCY_UNLOADING
		}
	}
	return b
}

// unloadsToResend returns the unloads that had no effect within unloadResendDelay, and
// makes orders to their backend servers use higher fencing numbers from now on.
func (t *orderTable) unloadsToResend(now time.Time) []Order {
	t.mu.Lock()
	defer t.mu.Unlock()
	var orders []Order
	for _, p := range t.pending {
		if p.order.Action == ActionUnload && p.state != orderSending && now.Sub(p.updatedAt) > unloadResendDelay {
			orders = append(orders, p.order)
			t.uncertainFences[p.order.Backend] = max(t.uncertainFences[p.order.Backend], p.fence)
		}
	}
	return orders
}

// recentMoves returns the moves of the last minResidenceTime and drops older ones.
func (t *orderTable) recentMoves(elapsed time.Duration) map[CopyKey]Move {
	t.mu.Lock()
	defer t.mu.Unlock()
	moves := make(map[CopyKey]Move, len(t.moves))
	for key, m := range t.moves {
		if elapsed-m.At > minResidenceTime {
			delete(t.moves, key)
			continue
		}
		moves[key] = m
	}
	return moves
}
