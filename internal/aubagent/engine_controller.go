package aubagent

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubengine"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// fenceShift is the number of low bits of a fencing number that count the orders
// under one fence. The higher bits hold that fence, which comes from the replicated
// log.
const fenceShift = 20

var errOrderInProgress = errors.New("an order is in progress")

// engineController sends load and unload orders to an engine, follows the
// engine's state and accounts for its memory.
type engineController struct {
	common      aubcommon.Common
	opts        AgentOpts
	client      *aubengine.Client
	incarnation uint64
	journal     orderJournal
	// wakeUp starts the next cycle early.
	wakeUp chan struct{}
	// done is closed when the controller's goroutine has ended.
	done chan struct{}

	// orderMu serializes the orders, so that their fencing numbers reach the
	// engine in ascending order. Lock order: orderMu before mu.
	orderMu sync.Mutex

	mu     sync.Mutex
	memory *memoryTable
	// ready is set once the fence floor and a state of the engine are known.
	ready bool
	// minFence is the lowest fence accepted in an order of the control leader.
	minFence uint64
	// lastFencingNumber is the fencing number of the last order to the engine.
	lastFencingNumber uint64
	// bootID and loadReport are the engine's last known boot ID and load.
	bootID     string
	loadReport aubengine.LoadReport
	// useCounts counts the running executions by model or adapter.
	useCounts map[string]int
	// journaledItems is the number of unsettled items in the journal.
	journaledItems int
}

func newEngineController(ctx context.Context, common aubcommon.Common, opts AgentOpts, client *aubengine.Client) (*engineController, error) {
	journal, previous, hasPrevious, err := openOrderJournal(opts.DataDir)
	if err != nil {
		return nil, err
	}
	now := common.Timer.Now()
	c := &engineController{
		common:      common,
		opts:        opts,
		client:      client,
		incarnation: nextIncarnation(opts.Incarnation, previous.Incarnation, now),
		journal:     journal,
		wakeUp:      make(chan struct{}, 1),
		done:        make(chan struct{}),
		useCounts:   make(map[string]int),
		memory: newMemoryTable(memoryTableOpts{
			capacity:      opts.MemoryBytes,
			checksFence:   opts.EngineChecksFence,
			orderLifetime: opts.OrderLifetime,
		}),
	}
	for _, spec := range previous.Unsettled {
		c.memory.assumeLoaded(spec, now)
	}
	if !hasPrevious && !opts.EngineChecksFence {
		c.memory.loadsBlockedUntil = now.Add(opts.OrderLifetime)
	}
	c.journaledItems = len(previous.Unsettled)
	if err := c.journal.write(journalState{Incarnation: c.incarnation, Unsettled: previous.Unsettled}); err != nil {
		return nil, err
	}
	go func() {
		defer close(c.done)
		if opts.engine() {
			c.run(ctx)
		}
	}()
	return c, nil
}

// nextIncarnation derives the incarnation from the clock. It is higher than the
// previous one from the data folder even if the clock was set back.
func nextIncarnation(override, previous uint64, now time.Time) uint64 {
	if override != 0 {
		return override
	}
	return max(previous+1, uint64(now.UnixMilli()))
}

// run waits for the fence floor and then runs cycles until ctx ends.
func (c *engineController) run(ctx context.Context) {
	if !c.awaitFloor(ctx) {
		return
	}
	for ctx.Err() == nil {
		c.runCycle(ctx)
		c.waitForNextCycle(ctx)
	}
}

// awaitFloor requests the fence floor until it gets it. It reports false if ctx
// ends first or there is no source of a floor.
func (c *engineController) awaitFloor(ctx context.Context) bool {
	if c.opts.FenceFloor == nil {
		return false
	}
	for {
		floor, err := c.opts.FenceFloor(ctx, c.incarnation)
		if err == nil {
			c.raiseMinFence(floor)
			return true
		}
		c.common.Log.Info("Fence floor not available yet.", zap.Error(err))
		if aubtimer.Wait(ctx, c.common.Timer, c.opts.PollInterval) != nil {
			return false
		}
	}
}

// raiseMinFence raises the lowest accepted fence, and the fencing numbers of later
// orders above it.
func (c *engineController) raiseMinFence(fence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.minFence = max(c.minFence, fence)
	c.lastFencingNumber = max(c.lastFencingNumber, fence<<fenceShift)
}

// waitForNextCycle waits for the poll interval, which is shorter while an item
// loads or unloads, or until wake is called.
func (c *engineController) waitForNextCycle(ctx context.Context) {
	c.mu.Lock()
	interval := c.opts.PollInterval
	if c.memory.hasTransitions() {
		interval = c.opts.LoadingPollInterval
	}
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	select {
	case <-c.common.Timer.After(ctx, interval):
	case <-c.wakeUp:
	case <-ctx.Done():
	}
}

// wake starts the next cycle without waiting for the poll interval.
func (c *engineController) wake() {
	select {
	case c.wakeUp <- struct{}{}:
	default:
	}
}

// runCycle raises the engine's fence if needed, reads the engine's state and load,
// resends unload orders that did not reach the engine and prunes the journal. It
// never waits for an order in progress.
func (c *engineController) runCycle(ctx context.Context) {
	if c.needsEngineFence() && c.raiseEngineFence(ctx) != nil {
		return
	}
	if c.readState(ctx) != nil {
		return
	}
	if report, err := c.client.LoadReport(ctx); err == nil {
		c.mu.Lock()
		c.loadReport = report
		c.mu.Unlock()
	}
	c.resendUnloads(ctx)
	c.pruneJournal()
}

// needsEngineFence reports whether the engine must confirm a higher fencing number.
func (c *engineController) needsEngineFence() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opts.EngineChecksFence && (!c.ready || c.memory.needsConfirmation())
}

// raiseEngineFence makes the engine refuse every order with a lower fencing number.
func (c *engineController) raiseEngineFence(ctx context.Context) error {
	if !c.orderMu.TryLock() {
		return errOrderInProgress
	}
	defer c.orderMu.Unlock()
	number := c.nextFencingNumber()
	err := c.client.RaiseFence(ctx, aubengine.Order{OrderID: c.orderID(number), Fence: number})
	if err != nil {
		c.common.Log.Info("Engine did not confirm a fence.", zap.Error(err))
		c.adoptEngineFence(ctx, err)
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.confirmNumber(number)
	return nil
}

// readState reads the engine's state and applies it to the memory table.
func (c *engineController) readState(ctx context.Context) error {
	c.mu.Lock()
	revision, confirmedNumber := c.memory.revision, c.memory.confirmedNumber
	requestedAt := c.common.Timer.Now()
	c.mu.Unlock()
	state, err := c.client.State(ctx)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bootID = state.Boot
	c.lastFencingNumber = max(c.lastFencingNumber, state.Fence)
	c.memory.applyState(state, revision, confirmedNumber, requestedAt)
	c.ready = true
	return nil
}

// resendUnloads repeats the unload orders whose item is still in the engine.
func (c *engineController) resendUnloads(ctx context.Context) {
	c.mu.Lock()
	names := c.memory.unloadsToResend()
	c.mu.Unlock()
	for _, name := range names {
		if !c.orderMu.TryLock() {
			return
		}
		_, err := c.sendUnload(ctx, name)
		c.orderMu.Unlock()
		if err != nil {
			c.common.Log.Info("Repeated unload order failed.", zap.String("name", name), zap.Error(err))
		}
	}
}

// pruneJournal removes settled orders from the journal.
func (c *engineController) pruneJournal() {
	if !c.orderMu.TryLock() {
		return
	}
	defer c.orderMu.Unlock()
	c.mu.Lock()
	unsettled := c.memory.unsettled()
	hasSettled := len(unsettled) < c.journaledItems
	c.mu.Unlock()
	if !hasSettled {
		return
	}
	if err := c.writeJournal(unsettled); err != nil {
		c.common.Log.Warn("Order journal not written.", zap.Error(err))
	}
}

// writeJournal replaces the list of unsettled orders on disk. It is called with
// orderMu held.
func (c *engineController) writeJournal(unsettled []itemSpec) error {
	if err := c.journal.write(journalState{Incarnation: c.incarnation, Unsettled: unsettled}); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.journaledItems = len(unsettled)
	return nil
}

// acquire counts an execution on a model or adapter, which can't be unloaded until
// release is called. It reports false if the item is not ready.
func (c *engineController) acquire(name string) (release func(), ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.memory.isReady(name) {
		return nil, false
	}
	c.useCounts[name]++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.useCounts[name]--
		if c.useCounts[name] == 0 {
			delete(c.useCounts, name)
		}
	}, true
}

// fillReport adds the engine's memory, items and load to an announcement.
func (c *engineController) fillReport(report *aubwire.BackendReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	report.MemoryBytes = c.memory.opts.capacity
	report.MemoryUsedBytes = c.memory.usedBytes()
	report.Resident = c.memory.residents()
	report.Running = int32(c.loadReport.Running)
	report.Queued = int32(c.loadReport.Queued)
	report.QueuedTokens = c.loadReport.QueuedTokens
	report.PrefillRate = c.loadReport.PrefillRate
	report.DecodeRate = c.loadReport.DecodeRate
	report.Fence = c.minFence
	for _, resident := range report.GetResident() {
		if resident.GetState() == aubwire.Residency_RESIDENCY_LOADING {
			report.Loading++
		}
	}
}

// knownBootID returns the engine's last known boot ID, which identifies its run.
func (c *engineController) knownBootID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bootID
}
