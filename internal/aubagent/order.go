package aubagent

import (
	"context"
	"errors"
	"strconv"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubengine"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// execute executes one load or unload order of the control leader.
func (c *engineController) execute(ctx context.Context, req *aubwire.OrderRequest) *aubwire.OrderResponse {
	c.orderMu.Lock()
	defer c.orderMu.Unlock()
	if refusal := c.checkOrder(req); refusal != nil {
		return refusal
	}
	// The order is completed even if the control leader disconnects.
	ctx = context.WithoutCancel(ctx)
	defer c.wake()
	switch req.GetAction() {
	case aubwire.OrderAction_ORDER_ACTION_LOAD:
		return c.load(ctx, req)
	case aubwire.OrderAction_ORDER_ACTION_UNLOAD:
		return c.unload(ctx, req)
	default:
		return c.respond(aubwire.OrderOutcome_ORDER_OUTCOME_FAILED, "unknown action")
	}
}

// checkOrder refuses orders for another incarnation and orders with a fence below
// one already accepted, which come from an earlier control leader. It is called
// with orderMu held, so that an order is checked only after the orders before it.
func (c *engineController) checkOrder(req *aubwire.OrderRequest) *aubwire.OrderResponse {
	if req.GetAgentIncarnation() != c.incarnation {
		return c.respond(aubwire.OrderOutcome_ORDER_OUTCOME_WRONG_INCARNATION, "agent has another incarnation")
	}
	c.mu.Lock()
	ready, minFence := c.ready, c.minFence
	c.mu.Unlock()
	if !ready {
		return c.respond(aubwire.OrderOutcome_ORDER_OUTCOME_NOT_READY, "no fence floor or engine state yet")
	}
	if req.GetFence() < minFence {
		return c.respond(aubwire.OrderOutcome_ORDER_OUTCOME_STALE_FENCE, "a higher fence was seen")
	}
	c.raiseMinFence(req.GetFence())
	return nil
}

// load reserves the item's memory, journals the reservation and sends the load order.
func (c *engineController) load(ctx context.Context, req *aubwire.OrderRequest) *aubwire.OrderResponse {
	spec := itemSpec{
		Name:    req.GetName(),
		Model:   req.GetModel(),
		Adapter: req.GetAdapter(),
		Bytes:   req.GetMemoryBytes(),
	}
	if spec.Adapter && !c.isReady(spec.Model) {
		return c.respond(aubwire.OrderOutcome_ORDER_OUTCOME_FAILED, "base model is not ready")
	}
	number := c.nextFencingNumber()
	previous, needed, err := c.reserve(spec, number)
	if err != nil {
		return c.respondError(err)
	}
	if !needed {
		return c.respond(aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED, "already resident or loading")
	}
	if err := c.journalReservation(); err != nil {
		c.releaseReservation(spec.Name, previous)
		return c.respondError(err)
	}
	err = c.client.Load(ctx, aubengine.Order{
		OrderID:     c.orderID(number),
		Fence:       number,
		Name:        spec.Name,
		Adapter:     spec.Adapter,
		Model:       spec.Model,
		MemoryBytes: spec.Bytes,
	})
	return c.finishLoad(ctx, spec.Name, previous, number, err)
}

// finishLoad records the result of a load order and responds to the control leader.
func (c *engineController) finishLoad(ctx context.Context, name string, previous *itemRecord, number uint64, err error) *aubwire.OrderResponse {
	if err != nil && wasNotExecuted(err) {
		c.adoptEngineFence(ctx, err)
		c.releaseReservation(name, previous)
		return c.respondError(err)
	}
	c.mu.Lock()
	c.memory.finishLoad(name, err == nil, c.common.Timer.Now())
	if err == nil {
		c.memory.confirmNumber(number)
	}
	c.mu.Unlock()
	if err != nil {
		c.common.Log.Warn("Load order has an unknown outcome.", zap.String("name", name), zap.Error(err))
		return c.respondError(err)
	}
	return c.respond(aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED, "")
}

// unload stops the use of an unused item and sends the unload order.
func (c *engineController) unload(ctx context.Context, req *aubwire.OrderRequest) *aubwire.OrderResponse {
	name := req.GetName()
	c.mu.Lock()
	if c.useCounts[name] > 0 || c.memory.hasAdapters(name) {
		c.mu.Unlock()
		return c.respond(aubwire.OrderOutcome_ORDER_OUTCOME_IN_USE, "requests or adapters use the item")
	}
	needed, err := c.memory.beginUnload(name)
	c.mu.Unlock()
	if err != nil {
		return c.respondError(err)
	}
	if !needed {
		return c.respond(aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED, "not resident")
	}
	notExecuted, err := c.sendUnload(ctx, name)
	if err == nil {
		return c.respond(aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED, "")
	}
	if notExecuted {
		c.mu.Lock()
		c.memory.undoUnload(name)
		c.mu.Unlock()
	}
	return c.respondError(err)
}

// sendUnload sends an unload order and reports whether a failed one was certainly
// not executed. It is called with orderMu held.
func (c *engineController) sendUnload(ctx context.Context, name string) (notExecuted bool, err error) {
	number := c.nextFencingNumber()
	err = c.client.Unload(ctx, aubengine.Order{OrderID: c.orderID(number), Fence: number, Name: name})
	if err != nil && wasNotExecuted(err) {
		c.adoptEngineFence(ctx, err)
		return true, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.finishUnload(name)
	if err == nil {
		c.memory.confirmNumber(number)
	}
	return false, err
}

// reserve reserves the item's memory and returns the record that it replaced, if any.
func (c *engineController) reserve(spec itemSpec, number uint64) (previous *itemRecord, needed bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous = c.memory.records[spec.Name]
	needed, err = c.memory.reserve(spec, number, c.common.Timer.Now())
	return previous, needed, err
}

// releaseReservation restores the record that a reservation replaced.
func (c *engineController) releaseReservation(name string, previous *itemRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.undoReserve(name, previous)
}

// journalReservation writes the reservation to the journal, before its order is sent.
func (c *engineController) journalReservation() error {
	c.mu.Lock()
	unsettled := c.memory.unsettled()
	c.mu.Unlock()
	return c.writeJournal(unsettled)
}

func (c *engineController) isReady(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.memory.isReady(name)
}

// nextFencingNumber returns the fencing number of the next order to the engine.
func (c *engineController) nextFencingNumber() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastFencingNumber++
	return c.lastFencingNumber
}

// adoptEngineFence reads the engine's fencing number if the engine refused an order
// for a lower one, so that later orders use a higher one.
func (c *engineController) adoptEngineFence(ctx context.Context, err error) {
	var refused *aubengine.RefusedError
	if !errors.As(err, &refused) || refused.Code != aubengine.CodeStaleFence {
		return
	}
	if err := c.readState(ctx); err != nil {
		c.common.Log.Info("Engine state not read after a stale fence.", zap.Error(err))
	}
}

// orderID returns the engine's ID for an order, unique over all incarnations.
func (c *engineController) orderID(number uint64) string {
	return strconv.FormatUint(c.incarnation, 10) + "-" + strconv.FormatUint(number, 10)
}

// respond returns a response with the lowest accepted fence.
func (c *engineController) respond(outcome aubwire.OrderOutcome, detail string) *aubwire.OrderResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &aubwire.OrderResponse{Outcome: outcome, Detail: detail, Fence: c.minFence}
}

// respondError returns the response for an order that failed.
func (c *engineController) respondError(err error) *aubwire.OrderResponse {
	var uncertain *aubengine.UncertainError
	switch {
	case errors.Is(err, errNoMemory):
		return c.respond(aubwire.OrderOutcome_ORDER_OUTCOME_NO_MEMORY, err.Error())
	case errors.Is(err, errSettling):
		return c.respond(aubwire.OrderOutcome_ORDER_OUTCOME_NOT_READY, err.Error())
	case errors.As(err, &uncertain):
		return c.respond(aubwire.OrderOutcome_ORDER_OUTCOME_UNCERTAIN, err.Error())
	default:
		return c.respond(aubwire.OrderOutcome_ORDER_OUTCOME_FAILED, err.Error())
	}
}

// wasNotExecuted reports whether a failed order was certainly not executed.
func wasNotExecuted(err error) bool {
	var refused *aubengine.RefusedError
	var notSent *aubengine.NotSentError
	return errors.As(err, &refused) || errors.As(err, &notSent)
}
