package auborder

import (
	"context"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubregistry"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// runNextStep starts the next step of an engine without waiting for it, so that an
// unresponsive engine doesn't delay others.
func (d *Director) runNextStep(ctx context.Context, e *engineState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := e.nextStep(d.common.Timer.Now())
	if next == stepNone {
		return
	}
	e.stepRunning = true
	d.tasks.Go(func() {
		e.orderMu.Lock()
		defer e.orderMu.Unlock()
		if next == stepOrder {
			d.executeOperation(ctx, e)
		} else {
			d.pollReport(ctx, e)
		}
		e.mu.Lock()
		e.stepRunning = false
		e.mu.Unlock()
	})
}

// startMove starts a planned move unless the engine has another operation or an unknown
// state.
func (d *Director) startMove(ctx context.Context, e *engineState, move Move) {
	if d.setOperation(e, move) {
		d.runNextStep(ctx, e)
	}
}

// setOperation makes the move the engine's operation. It returns false if the engine
// has another operation or its state isn't known.
func (d *Director) setOperation(e *engineState, move Move) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.operation != nil || !e.stateKnown {
		return false
	}
	now := d.common.Timer.Now()
	e.operation = &operation{
		action: move.Action, model: move.Model, startedAt: now, expectedDuration: move.ExpectedDuration, fromStore: move.FromStore, freesMemoryFor: move.FreesMemoryFor,
	}
	if move.Action == ActionUnload {
		e.operation.notice = unloadNoticeTime + aubregistry.ChangeInterval(d.opts.Loads.KnownRelays())
		if resident := e.models[move.Model]; resident != nil {
			resident.state = CopyUnloading
		}
		d.publishUnloading(e, []string{move.Model})
	}
	if move.FromStore {
		d.mu.Lock()
		d.storeTokens--
		d.mu.Unlock()
	}
	return true
}

// publishUnloading announces to the relays which models of an engine are about to be
// unloaded, none if models is nil.
func (d *Director) publishUnloading(e *engineState, models []string) {
	d.opts.Registry.SetUnloading(e.record.GetId(), models, d.common.Timer.Now().UnixNano())
}

// executeOperation sends the order of the engine's operation and records its outcome;
// the caller holds the engine's orderMu.
func (d *Director) executeOperation(ctx context.Context, e *engineState) {
	e.mu.Lock()
	op := e.operation
	e.mu.Unlock()
	outcome := d.sendOrder(ctx, e, Order{Action: op.action, Model: op.model})
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case outcome == OutcomeAccepted:
		op.accepted = true
		if op.action == ActionLoad {
			e.models[op.model] = newModelCopy(CopyLoading)
		}
	case outcome == OutcomeAlreadyDone && op.action == ActionLoad:
		e.models[op.model] = newModelCopy(CopyReady)
		d.finishOperation(e, op)
	case outcome == OutcomeAlreadyDone:
		delete(e.models, op.model)
		d.finishOperation(e, op)
	default:
		if outcome == OutcomeUnknown {
			e.uncertainOperation = op
		}
		d.finishOperation(e, op)
	}
}

// pollReport reads the state of an engine whose sequence is not known or whose order
// may be complete; the caller holds the engine's orderMu.
func (d *Director) pollReport(ctx context.Context, e *engineState) {
	e.mu.Lock()
	record, polled := e.record, e.operation
	e.mu.Unlock()
	report, err := d.readReport(ctx, record)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := d.common.Timer.Now()
	if polled != nil {
		polled.polledAt = now
	}
	if err != nil {
		e.delayReport(now)
		d.common.Log.Info("Engine gave no report.", zap.String("backend_server", record.GetId()), zap.Error(err))
		return
	}
	e.applyReport(now, report)
	if polled != nil && (e.operation == nil || now.Sub(polled.startedAt) > operationTimeout) {
		d.finishOperation(e, polled)
	}
}

// readReport reads one report.
func (d *Director) readReport(ctx context.Context, record *aubwire.BackendRecord) (report Report, err error) {
	if !d.calls.run(ctx, func() {
		ctx, cancel := aubtimer.WithTimeout(ctx, d.common.Timer, engineCallTimeout)
		defer cancel()
		report, err = d.opts.Engine.Report(ctx, record)
	}) {
		return Report{}, ctx.Err()
	}
	return report, err
}

// finishOperation ends an operation and triggers the next plan; the caller holds the
// engine's mu.
func (d *Director) finishOperation(e *engineState, op *operation) {
	e.operation = nil
	if resident := e.models[op.model]; resident != nil {
		resident.state = CopyReady
	}
	if op.action == ActionUnload {
		d.publishUnloading(e, nil)
	}
	d.common.Log.Info("Order ended.",
		zap.String("backend_server", e.record.GetId()), zap.Stringer("action", op.action), zap.String("model", op.model),
		zap.Int64("sequence", e.sequence), zap.Bool("accepted", op.accepted), zap.Duration("took", d.common.Timer.Now().Sub(op.startedAt)))
	d.triggerPlan()
}

// triggerPlan makes the next plan start without waiting for the interval.
func (d *Director) triggerPlan() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// sendOrder sends one order while the leadership lease holds, and sends it again if no
// response arrives: the engine executes at most one order per sequence number. The
// caller holds the engine's orderMu but not mu.
func (d *Director) sendOrder(ctx context.Context, e *engineState, order Order) Outcome {
	e.mu.Lock()
	isKnown, record := e.stateKnown, e.record
	order.Sequence = e.sequence
	e.mu.Unlock()
	if !isKnown {
		return OutcomeRefused
	}
	outcome := OutcomeRefused
	for attempt := range maxOrderAttempts {
		if d.drains().Contains(record.GetZone()) {
			// The drain may have been ordered after the plan.
			break
		}
		result, isSent := d.attemptOrder(ctx, record, order)
		if !isSent {
			// An earlier attempt may still be executed.
			break
		}
		if attempt > 0 && result == OutcomeConflict {
			// The engine accepted an earlier attempt or is executing another order.
			result = OutcomeUnknown
		}
		outcome = result
		if outcome != OutcomeUnknown {
			break
		}
	}
	d.recordOutcome(e, order, outcome)
	return outcome
}

// stampLeadership sets the order's holder and fence. It reports whether this process
// still leads in the term.
func (d *Director) stampLeadership(order *Order) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	term, ok := d.opts.Leadership.Leading()
	order.Holder, order.Fence = d.opts.Holder, term
	return ok && term == d.term
}

// attemptOrder sends the order once, and counts and logs the outcome. It returns false, without
// sending it, if this process does not hold the leadership lease.
func (d *Director) attemptOrder(ctx context.Context, record *aubwire.BackendRecord, order Order) (outcome Outcome, isSent bool) {
	var err error
	d.calls.run(ctx, func() {
		if isSent = d.stampLeadership(&order); !isSent {
			return
		}
		ctx, cancel := aubtimer.WithTimeout(ctx, d.common.Timer, engineCallTimeout)
		defer cancel()
		outcome, err = d.opts.Engine.Order(ctx, record, order)
	})
	if !isSent {
		return outcome, false
	}
	d.common.Metrics.Tagged(map[string]string{"action": order.Action.String(), "outcome": outcome.String()}).Counter("orders").Inc(1)
	d.common.Log.Info("Order given.",
		zap.String("backend_server", record.GetId()), zap.Int64("started_ms", record.GetStartedMs()),
		zap.Stringer("action", order.Action), zap.String("model", order.Model), zap.String("adapter", order.Adapter),
		zap.Uint64("fence", order.Fence), zap.Int64("expected_sequence", order.Sequence),
		zap.Stringer("outcome", outcome), zap.Error(err))
	return outcome, true
}

// recordOutcome updates the engine's sequence, or marks its state as unknown, after an
// order.
func (d *Director) recordOutcome(e *engineState, order Order, outcome Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastOrderAt = d.common.Timer.Now()
	switch outcome {
	case OutcomeAccepted:
		e.sequence++
		e.uncertainOperation = nil
	case OutcomeAlreadyDone:
		// An adapter without requests is unloaded immediately, which counts as an
		// accepted order.
		if order.Action == ActionUnload && order.Adapter != "" {
			e.sequence++
		}
	case OutcomeUnknown, OutcomeConflict, OutcomeRefused:
		e.stateKnown = false
	}
}
