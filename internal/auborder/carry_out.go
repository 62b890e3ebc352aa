package auborder

import (
	"context"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// attend does what an engine needs next, without waiting for it: an engine that
// does not answer holds up no other.
func (d *Director) attend(ctx context.Context, e *engineState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := e.nextStep(d.common.Timer.Now())
	if next == stepNone {
		return
	}
	e.isAttended = true
	d.tasks.Go(func() {
		e.orders.Lock()
		defer e.orders.Unlock()
		if next == stepOrder {
			d.order(ctx, e)
		} else {
			d.report(ctx, e)
		}
		e.mu.Lock()
		e.isAttended = false
		e.mu.Unlock()
	})
}

// begin starts a planned move.
func (d *Director) begin(ctx context.Context, e *engineState, move Move) {
	if d.claim(e, move) {
		d.attend(ctx, e)
	}
}

// claim makes the move the engine's operation unless the engine has another.
func (d *Director) claim(e *engineState, move Move) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.operation != nil || !e.known {
		return false
	}
	now := d.common.Timer.Now()
	e.operation = &operation{
		action: move.Action, model: move.Model, at: now, takes: move.Takes, fromStore: move.FromStore, roomFor: move.RoomFor,
	}
	if move.Action == ActionUnload {
		if held := e.models[move.Model]; held != nil {
			held.state = CopyUnloading
		}
		d.mark(e, []string{move.Model})
	}
	if move.FromStore {
		d.mu.Lock()
		d.store--
		d.mu.Unlock()
	}
	return true
}

// mark tells the relays which models of an engine are about to be dropped.
func (d *Director) mark(e *engineState, models []string) {
	d.opts.Registry.SetUnloading(e.record.GetId(), models, d.common.Timer.Now().UnixNano())
}

// order sends the order of the engine's operation and notes its outcome; the caller
// holds the engine's orders mutex.
func (d *Director) order(ctx context.Context, e *engineState) {
	e.mu.Lock()
	op := e.operation
	e.mu.Unlock()
	outcome := d.send(ctx, e, Order{Action: op.action, Model: op.model})
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case outcome == OutcomeAccepted:
		op.ordered = true
		if op.action == ActionLoad {
			e.models[op.model] = newModelCopy(CopyLoading)
		}
	case outcome == OutcomeHolds && op.action == ActionLoad:
		e.models[op.model] = newModelCopy(CopyReady)
		d.finish(e, op)
	case outcome == OutcomeHolds:
		delete(e.models, op.model)
		d.finish(e, op)
	default:
		if outcome == OutcomeUnknown {
			e.unanswered = op
		}
		d.finish(e, op)
	}
}

// report reads the state of an engine whose sequence is not known or whose order
// may have ended; the caller holds the engine's orders mutex.
func (d *Director) report(ctx context.Context, e *engineState) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	e.mu.Lock()
	record, before := e.record, e.operation
	e.mu.Unlock()
	report, err := d.opts.Engine.Report(ctx, record)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := d.common.Timer.Now()
	if before != nil {
		before.polledAt = now
	}
	if err != nil {
		d.common.Log.Info("Engine gave no report.", zap.String("backend_server", record.GetId()), zap.Error(err))
		return
	}
	e.takeReport(now, report)
	if before != nil && (e.operation == nil || now.Sub(before.at) > operationLimit) {
		d.finish(e, before)
	}
}

// finish ends an operation and lets the next plan follow at once; the caller holds
// the engine's mu.
func (d *Director) finish(e *engineState, op *operation) {
	e.operation = nil
	if held := e.models[op.model]; held != nil {
		held.state = CopyReady
	}
	if op.action == ActionUnload {
		d.mark(e, nil)
	}
	d.common.Log.Info("Order ended.",
		zap.String("backend_server", e.record.GetId()), zap.Stringer("action", op.action), zap.String("model", op.model),
		zap.Int64("sequence", e.sequence), zap.Bool("accepted", op.ordered), zap.Duration("took", d.common.Timer.Now().Sub(op.at)))
	d.planSoon()
}

// planSoon makes the next plan follow without waiting for the interval.
func (d *Director) planSoon() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// send sends one order while the lease holds, again when no answer came: the engine
// carries out at most one order of a sequence. The caller holds the engine's orders
// mutex but not mu.
func (d *Director) send(ctx context.Context, e *engineState, order Order) Outcome {
	e.mu.Lock()
	isKnown, record := e.known, e.record
	order.Sequence = e.sequence
	e.mu.Unlock()
	if !isKnown {
		return OutcomeRefused
	}
	outcome := OutcomeRefused
	for try := range orderTries {
		if !d.leads(&order) {
			// An earlier try may still be carried out.
			break
		}
		next := d.sendOnce(ctx, record, order)
		if try > 0 && next == OutcomeConflict {
			// The engine accepted an earlier try or is at work on another order.
			next = OutcomeUnknown
		}
		outcome = next
		if outcome != OutcomeUnknown {
			break
		}
	}
	d.settle(e, order, outcome)
	return outcome
}

// leads names this process and its term in the order, or reports that the lease ended.
func (d *Director) leads(order *Order) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	term, ok := d.opts.Leadership.Leading()
	order.Holder, order.Fence = d.opts.Holder, term
	return ok && term == d.term
}

func (d *Director) sendOnce(ctx context.Context, record *aubwire.BackendRecord, order Order) Outcome {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	outcome, err := d.opts.Engine.Order(ctx, record, order)
	d.common.Metrics.Tagged(map[string]string{"action": order.Action.String(), "outcome": outcome.String()}).Counter("orders").Inc(1)
	d.common.Log.Info("Order given.",
		zap.String("backend_server", record.GetId()), zap.Int64("started_ms", record.GetStartedMs()),
		zap.Stringer("action", order.Action), zap.String("model", order.Model), zap.String("adapter", order.Adapter),
		zap.Uint64("fence", order.Fence), zap.Int64("expected_sequence", order.Sequence),
		zap.Stringer("outcome", outcome), zap.Error(err))
	return outcome
}

// settle notes what an order's outcome says of the engine.
func (d *Director) settle(e *engineState, order Order, outcome Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orderedAt = d.common.Timer.Now()
	switch outcome {
	case OutcomeAccepted:
		e.sequence++
		e.unanswered = nil
	case OutcomeHolds:
		// An adapter without requests is dropped at once, which counts as an order.
		if order.Action == ActionUnload && order.Adapter != "" {
			e.sequence++
		}
	case OutcomeUnknown, OutcomeConflict, OutcomeRefused:
		e.known = false
	}
}
