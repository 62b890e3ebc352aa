package aubstandin

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/auburndale/auburndale/internal/aubengine"
)

// orderFunc executes one order; the engine's mu is held.
type orderFunc func(order aubengine.Order)

func (e *Engine) handleOrder(execute orderFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var order aubengine.Order
		if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
			writeError(w, http.StatusBadRequest, aubengine.CodeInvalidRequest, err.Error())
			return
		}
		e.executeWithFaults(w, order, execute)
	}
}

// executeWithFaults executes the order with the order faults that are switched on and responds.
func (e *Engine) executeWithFaults(w http.ResponseWriter, order aubengine.Order, execute orderFunc) {
	if e.faults.consume(func(f *Faults) *int { return &f.LoseOrders }) {
		abortConnection(w)
	}
	if e.faults.consume(func(f *Faults) *int { return &f.DelayOrders }) {
		e.executeLater(order, execute)
		abortConnection(w)
	}
	if e.faults.consume(func(f *Faults) *int { return &f.RepeatOrders }) {
		e.executeLater(order, execute)
	}
	if !e.executeOrder(order, execute) {
		writeError(w, http.StatusConflict, aubengine.CodeStaleFence, "a higher fencing number was seen")
		return
	}
	if e.faults.consume(func(f *Faults) *int { return &f.LoseOrderResponses }) {
		abortConnection(w)
	}
	writeJSON(w, struct{}{})
}

// executeLater executes the order after the delay of the fault, independent of
// its connection, unless the engine crashes first.
func (e *Engine) executeLater(order aubengine.Order, execute orderFunc) {
	bootCtx, _ := e.currentBoot()
	delay := e.faults.get().orderDelay()
	// The timer starts first, so that the order is not executed after its pending time.
	delayElapsed := e.common.Timer.After(bootCtx, delay)
	removePending := e.recorder.addPendingOrder(e.common.Timer.Now().Add(delay))
	go func() {
		defer removePending()
		select {
		case <-bootCtx.Done():
		case <-delayElapsed:
			e.executeOrder(order, execute)
		}
	}()
}

// executeOrder checks the fencing number and executes the order; a nil execute
// only raises the number. It returns false if the number is outdated.
func (e *Engine) executeOrder(order aubengine.Order, execute orderFunc) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFence {
		if order.Fence < e.fence {
			return false
		}
		e.fence = order.Fence
	}
	if execute != nil {
		execute(order)
	}
	return true
}

// startLoad starts to load an item that is not in memory yet; mu is held.
func (e *Engine) startLoad(order aubengine.Order) {
	item := aubengine.Item{
		Name:        order.Name,
		Adapter:     order.Adapter,
		Model:       order.Model,
		MemoryBytes: order.MemoryBytes,
		State:       aubengine.ItemLoading,
	}
	if !e.memory.add(item) {
		return
	}
	bootCtx := e.bootCtx
	go e.fetchWeights(bootCtx, item)
}

// fetchWeights fetches the weights of an item and makes it ready. The item
// occupies its memory from the start of the load.
func (e *Engine) fetchWeights(bootCtx context.Context, item aubengine.Item) {
	loadTime := e.opts.LoadTime
	if item.Adapter {
		loadTime = e.opts.AdapterLoadTime
	}
	failLoad := e.faults.consume(func(f *Faults) *int { return &f.FailLoads })
	if failLoad {
		loadTime /= 2
	}
	err := e.opts.Store.Fetch(bootCtx, item.Adapter, loadTime)
	if bootCtx.Err() != nil {
		// The memory belongs to the next boot.
		return
	}
	if err != nil || failLoad {
		e.memory.remove(item.Name)
		return
	}
	if e.memory.transition(item.Name, aubengine.ItemLoading, aubengine.ItemReady) {
		e.recorder.update(func(s *Stats) { s.Loads++ })
	}
}

// unload frees the memory of a ready item; mu is held. It doesn't stop a running load.
func (e *Engine) unload(order aubengine.Order) {
	if !e.memory.transition(order.Name, aubengine.ItemReady, aubengine.ItemUnloading) {
		return
	}
	e.memory.remove(order.Name)
	e.recorder.update(func(s *Stats) { s.Unloads++ })
}
