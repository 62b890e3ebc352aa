package auborder

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// settle reads the state of an engine whose sequence is not known or whose order
// may have ended.
func (d *Director) settle(ctx context.Context, e *engineState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := d.common.Timer.Now()
	if e.operation != nil && e.operation.marked && !e.operation.ordered {
		if now.Sub(e.operation.at) >= markTime {
			d.order(ctx, e, Order{Action: ActionUnload, Model: e.operation.model})
		}
		return
	}
	isDue := !e.known || e.operation != nil
	if !isDue || now.Sub(e.orderedAt) < reportLag {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := d.opts.Engine.Report(ctx, e.record)
	if err != nil {
		d.common.Log.Info("Engine gave no report.", zap.String("backend_server", e.record.GetId()), zap.Error(err))
		return
	}
	before := e.operation
	e.takeReport(report)
	if before != nil && (e.operation == nil || now.Sub(before.at) > operationLimit) {
		d.finish(e, before)
	}
}

// finish ends an operation; the caller holds the engine's mutex.
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
		zap.Int64("sequence", e.sequence), zap.Duration("took", d.common.Timer.Now().Sub(op.at)))
}

// mark tells the relays which models of an engine are about to be dropped.
func (d *Director) mark(e *engineState, models []string) {
	revision := d.common.Timer.Now().UnixNano()
	d.opts.Registry.SetUnloading(e.record.GetId(), models, revision)
}

// begin carries out a planned move.
func (d *Director) begin(ctx context.Context, e *engineState, move Move) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := d.common.Timer.Now()
	if e.operation != nil || !e.known {
		return
	}
	if move.Action == ActionUnload {
		e.operation = &operation{action: ActionUnload, model: move.Model, at: now, marked: true}
		if held := e.models[move.Model]; held != nil {
			held.state = CopyUnloading
		}
		d.mark(e, []string{move.Model})
		return
	}
	if move.FromStore {
		d.mu.Lock()
		d.store--
		d.mu.Unlock()
	}
	e.operation = &operation{action: ActionLoad, model: move.Model, at: now, takes: move.Takes, fromStore: move.FromStore}
	d.order(ctx, e, Order{Action: ActionLoad, Model: move.Model})
}

// order sends an order for a model and notes its outcome; the caller holds the
// engine's mutex.
func (d *Director) order(ctx context.Context, e *engineState, order Order) {
	outcome := d.send(ctx, e, order)
	op := e.operation
	switch outcome {
	case OutcomeAccepted:
		op.ordered = true
		if order.Action == ActionLoad {
			e.models[order.Model] = &modelCopy{state: CopyLoading, adapters: make(map[string]time.Time)}
		}
	case OutcomeHolds:
		op.ordered = true
		if order.Action == ActionLoad {
			e.models[order.Model] = &modelCopy{state: CopyReady, adapters: make(map[string]time.Time)}
		} else {
			delete(e.models, order.Model)
		}
	default:
		d.finish(e, op)
	}
}

// send sends one order while the lease holds. The caller holds the engine's mutex.
func (d *Director) send(ctx context.Context, e *engineState, order Order) Outcome {
	d.mu.Lock()
	term := d.term
	d.mu.Unlock()
	if leading, ok := d.opts.Leadership.Leading(); !ok || leading != term || !e.known {
		return OutcomeRefused
	}
	order.Holder, order.Fence, order.Sequence = d.opts.Holder, term, e.sequence
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	outcome, err := d.opts.Engine.Order(ctx, e.record, order)
	e.orderedAt = d.common.Timer.Now()
	switch outcome {
	case OutcomeAccepted:
		e.sequence++
		e.uncertain = nil
	case OutcomeHolds:
		// An adapter without requests is dropped at once, which counts as an order.
		if order.Action == ActionUnload && order.Adapter != "" {
			e.sequence++
		}
	case OutcomeUnknown:
		e.known = false
		if order.Action == ActionLoad && order.Adapter == "" {
			e.uncertain = append(e.uncertain, order.Model)
		}
	case OutcomeConflict, OutcomeRefused:
		e.known = false
	}
	d.common.Metrics.Tagged(map[string]string{"action": order.Action.String(), "outcome": outcome.String()}).Counter("orders").Inc(1)
	d.common.Log.Info("Order given.",
		zap.String("backend_server", e.record.GetId()), zap.Int64("started_ms", e.record.GetStartedMs()),
		zap.Stringer("action", order.Action), zap.String("model", order.Model), zap.String("adapter", order.Adapter),
		zap.Uint64("fence", order.Fence), zap.Int64("expected_sequence", order.Sequence),
		zap.Stringer("outcome", outcome), zap.Error(err))
	return outcome
}
