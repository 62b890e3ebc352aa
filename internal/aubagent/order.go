package aubagent

import (
	"context"
	"errors"
	"strconv"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubengine"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// order executes one order of the control leader.
func (k *keeper) order(ctx context.Context, req *aubwire.OrderRequest) *aubwire.OrderResponse {
	k.orderMu.Lock()
	defer k.orderMu.Unlock()
	if refusal := k.checkOrder(req); refusal != nil {
		return refusal
	}
	// The order is carried through when its sender has gone meanwhile.
	ctx = context.WithoutCancel(ctx)
	defer k.wake()
	switch req.GetAction() {
	case aubwire.OrderAction_ORDER_ACTION_LOAD:
		return k.load(ctx, req)
	case aubwire.OrderAction_ORDER_ACTION_UNLOAD:
		return k.unload(ctx, req)
	default:
		return k.respond(aubwire.OrderOutcome_ORDER_OUTCOME_FAILED, "unknown action")
	}
}

// checkOrder refuses orders for another incarnation and those of an earlier
// leader. It is called with orderMu held, so that a leader that waited for its
// turn is checked after it.
func (k *keeper) checkOrder(req *aubwire.OrderRequest) *aubwire.OrderResponse {
	if req.GetAgentIncarnation() != k.incarnation {
		return k.respond(aubwire.OrderOutcome_ORDER_OUTCOME_WRONG_INCARNATION, "agent has another incarnation")
	}
	k.mu.Lock()
	ready, fence := k.ready, k.fence
	k.mu.Unlock()
	if !ready {
		return k.respond(aubwire.OrderOutcome_ORDER_OUTCOME_NOT_READY, "no fence floor or engine state yet")
	}
	if req.GetFence() < fence {
		return k.respond(aubwire.OrderOutcome_ORDER_OUTCOME_STALE_FENCE, "a higher fence was seen")
	}
	k.raise(req.GetFence())
	return nil
}

func (k *keeper) load(ctx context.Context, req *aubwire.OrderRequest) *aubwire.OrderResponse {
	spec := itemSpec{
		Name:    req.GetName(),
		Model:   req.GetModel(),
		Adapter: req.GetAdapter(),
		Bytes:   req.GetMemoryBytes(),
	}
	if spec.Adapter && !k.isReady(spec.Model) {
		return k.respond(aubwire.OrderOutcome_ORDER_OUTCOME_FAILED, "base model is not ready")
	}
	number := k.nextNumber()
	before, needed, err := k.reserve(spec, number)
	if err != nil {
		return k.respondError(err)
	}
	if !needed {
		return k.respond(aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED, "already resident or loading")
	}
	if err := k.journalReserved(); err != nil {
		k.releaseLoad(spec.Name, before)
		return k.respondError(err)
	}
	err = k.client.Load(ctx, aubengine.Order{
		OrderID:     k.orderID(number),
		Fence:       number,
		Name:        spec.Name,
		Adapter:     spec.Adapter,
		Model:       spec.Model,
		MemoryBytes: spec.Bytes,
	})
	return k.endLoad(ctx, spec.Name, before, number, err)
}

func (k *keeper) endLoad(ctx context.Context, name string, before *entry, number uint64, err error) *aubwire.OrderResponse {
	if err != nil && isCertain(err) {
		k.learnNumber(ctx, err)
		k.releaseLoad(name, before)
		return k.respondError(err)
	}
	k.mu.Lock()
	k.ledger.loadSent(name, err == nil, k.common.Timer.Now())
	if err == nil {
		k.ledger.fenceConfirmed(number)
	}
	k.mu.Unlock()
	if err != nil {
		k.common.Log.Warn("Load order has an unknown outcome.", zap.String("name", name), zap.Error(err))
		return k.respondError(err)
	}
	return k.respond(aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED, "")
}

func (k *keeper) unload(ctx context.Context, req *aubwire.OrderRequest) *aubwire.OrderResponse {
	name := req.GetName()
	k.mu.Lock()
	if k.inUse[name] > 0 || k.ledger.hasAdapters(name) {
		k.mu.Unlock()
		return k.respond(aubwire.OrderOutcome_ORDER_OUTCOME_IN_USE, "requests or adapters use the item")
	}
	needed, err := k.ledger.beginUnload(name)
	k.mu.Unlock()
	if err != nil {
		return k.respondError(err)
	}
	if !needed {
		return k.respond(aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED, "not resident")
	}
	certain, err := k.sendUnload(ctx, name)
	if err == nil {
		return k.respond(aubwire.OrderOutcome_ORDER_OUTCOME_ACCEPTED, "")
	}
	if certain {
		k.mu.Lock()
		k.ledger.unloadRefused(name)
		k.mu.Unlock()
	}
	return k.respondError(err)
}

// sendUnload is called with orderMu held. It reports whether a failed order was
// certainly not executed.
func (k *keeper) sendUnload(ctx context.Context, name string) (certain bool, err error) {
	number := k.nextNumber()
	err = k.client.Unload(ctx, aubengine.Order{OrderID: k.orderID(number), Fence: number, Name: name})
	if err != nil && isCertain(err) {
		k.learnNumber(ctx, err)
		return true, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ledger.unloadSent(name)
	if err == nil {
		k.ledger.fenceConfirmed(number)
	}
	return false, err
}

// reserve counts the item's memory and returns the entry that it replaced.
func (k *keeper) reserve(spec itemSpec, number uint64) (before *entry, needed bool, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before = k.ledger.entries[spec.Name]
	needed, err = k.ledger.reserve(spec, number, k.common.Timer.Now())
	return before, needed, err
}

func (k *keeper) releaseLoad(name string, before *entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ledger.loadRefused(name, before)
}

// journalReserved syncs the reservation to disk before its order is sent.
func (k *keeper) journalReserved() error {
	k.mu.Lock()
	unsettled := k.ledger.unsettled()
	k.mu.Unlock()
	return k.writeJournal(unsettled)
}

func (k *keeper) isReady(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.ready(name)
}

func (k *keeper) nextNumber() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.number++
	return k.number
}

// learnNumber takes the engine's fence over after it refused a lower number.
func (k *keeper) learnNumber(ctx context.Context, err error) {
	var refused *aubengine.RefusedError
	if !errors.As(err, &refused) || refused.Code != aubengine.CodeStaleFence {
		return
	}
	if err := k.readState(ctx); err != nil {
		k.common.Log.Info("Engine state not read.", zap.Error(err))
	}
}

func (k *keeper) orderID(number uint64) string {
	return strconv.FormatUint(k.incarnation, 10) + "-" + strconv.FormatUint(number, 10)
}

func (k *keeper) respond(outcome aubwire.OrderOutcome, detail string) *aubwire.OrderResponse {
	k.mu.Lock()
	defer k.mu.Unlock()
	return &aubwire.OrderResponse{Outcome: outcome, Detail: detail, Fence: k.fence}
}

func (k *keeper) respondError(err error) *aubwire.OrderResponse {
	var uncertain *aubengine.UncertainError
	switch {
	case errors.Is(err, errNoMemory):
		return k.respond(aubwire.OrderOutcome_ORDER_OUTCOME_NO_MEMORY, err.Error())
	case errors.Is(err, errSettling):
		return k.respond(aubwire.OrderOutcome_ORDER_OUTCOME_NOT_READY, err.Error())
	case errors.As(err, &uncertain):
		return k.respond(aubwire.OrderOutcome_ORDER_OUTCOME_UNCERTAIN, err.Error())
	default:
		return k.respond(aubwire.OrderOutcome_ORDER_OUTCOME_FAILED, err.Error())
	}
}

// isCertain reports whether a failed order was certainly not executed.
func isCertain(err error) bool {
	var refused *aubengine.RefusedError
	var notSent *aubengine.NotSentError
	return errors.As(err, &refused) || errors.As(err, &notSent)
}
