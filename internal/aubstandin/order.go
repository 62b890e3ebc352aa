package aubstandin

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/auburndale/auburndale/internal/aubengine"
)

// execute carries out one order.
type execute func(order aubengine.Order)

func (e *Engine) handleOrder(run execute) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var order aubengine.Order
		if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
			writeError(w, http.StatusBadRequest, aubengine.CodeInvalid, err.Error())
			return
		}
		e.deliver(w, order, run)
	}
}

// deliver passes the order through the fault switches.
func (e *Engine) deliver(w http.ResponseWriter, order aubengine.Order, run execute) {
	if e.faults.take(func(f *Faults) *int { return &f.LoseOrders }) {
		hangUp(w)
	}
	if e.faults.take(func(f *Faults) *int { return &f.LateOrders }) {
		e.later(order, run)
		hangUp(w)
	}
	if e.faults.take(func(f *Faults) *int { return &f.DoubleOrders }) {
		e.later(order, run)
	}
	if !e.accept(order, run) {
		writeError(w, http.StatusConflict, aubengine.CodeStaleFence, "a higher fencing number was seen")
		return
	}
	if e.faults.take(func(f *Faults) *int { return &f.LoseOrderAnswers }) {
		hangUp(w)
	}
	writeJSON(w, struct{}{})
}

// later executes the order once the fault's delay is over, whoever waits.
func (e *Engine) later(order aubengine.Order, run execute) {
	life, _ := e.current()
	delay := e.faults.get().orderDelay()
	done := e.rec.expect(e.common.Timer.Now().Add(delay))
	due := e.common.Timer.After(life, delay)
	go func() {
		defer done()
		select {
		case <-life.Done():
		case <-due:
			e.accept(order, run)
		}
	}()
}

// accept checks the fencing number and executes the order.
func (e *Engine) accept(order aubengine.Order, run execute) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFence {
		if order.Fence < e.fence {
			return false
		}
		e.fence = order.Fence
	}
	if run != nil {
		run(order)
	}
	return true
}

// load begins to load an item; mu is held.
func (e *Engine) load(order aubengine.Order) {
	item := aubengine.Item{
		Name:        order.Name,
		Adapter:     order.Adapter,
		Model:       order.Model,
		MemoryBytes: order.MemoryBytes,
		State:       aubengine.ItemLoading,
	}
	if !e.memory.put(item) {
		return
	}
	life := e.life
	go e.fetch(life, item)
}

// fetch takes the weights from the store. Its memory is in use from the start.
func (e *Engine) fetch(life context.Context, item aubengine.Item) {
	base := e.opts.LoadTime
	if item.Adapter {
		base = e.opts.AdapterLoadTime
	}
	fail := e.faults.take(func(f *Faults) *int { return &f.FailLoads })
	if fail {
		base /= 2
	}
	if err := e.opts.Store.Fetch(life, item.Adapter, base); err != nil {
		return
	}
	if fail {
		e.memory.remove(item.Name)
		return
	}
	if e.memory.mark(item.Name, aubengine.ItemLoading, aubengine.ItemReady) {
		e.rec.update(func(s *Stats) { s.Loads++ })
	}
}

// unload frees an item's memory; mu is held. A load under way goes on.
func (e *Engine) unload(order aubengine.Order) {
	if !e.memory.mark(order.Name, aubengine.ItemReady, aubengine.ItemUnloading) {
		return
	}
	e.memory.remove(order.Name)
	e.rec.update(func(s *Stats) { s.Unloads++ })
}
