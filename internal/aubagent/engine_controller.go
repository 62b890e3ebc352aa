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

// fenceShift leaves room below a fence of the log for the numbers of single orders.
const fenceShift = 20

var errOrderUnderWay = errors.New("an order is under way")

// keeper issues the orders to an engine and keeps its ledger.
type keeper struct {
	common      aubcommon.Common
	opts        AgentOpts
	client      *aubengine.Client
	incarnation uint64
	journal     journal
	kick        chan struct{}
	// done is closed when the keeper's goroutine has ended.
	done chan struct{}

	// orderMu makes orders go out one at a time, so that their numbers reach
	// the engine in order. Lock order: orderMu before mu.
	orderMu sync.Mutex

	mu     sync.Mutex
	ledger *ledger
	// ready is set once the floor and a state of the engine are known.
	ready  bool
	fence  uint64
	number uint64
	boot   string
	report aubengine.Report
	// inUse counts the executions by model or adapter.
	inUse map[string]int
	// journalled is the state that the journal holds.
	journalled int
}

func newKeeper(ctx context.Context, common aubcommon.Common, opts AgentOpts, client *aubengine.Client) (*keeper, error) {
	j, before, known, err := openJournal(opts.DataDir)
	if err != nil {
		return nil, err
	}
	now := common.Timer.Now()
	k := &keeper{
		common:      common,
		opts:        opts,
		client:      client,
		incarnation: nextIncarnation(opts.Incarnation, before.Incarnation, now),
		journal:     j,
		kick:        make(chan struct{}, 1),
		done:        make(chan struct{}),
		inUse:       make(map[string]int),
		ledger: newLedger(ledgerOpts{
			capacity:    opts.MemoryBytes,
			checksFence: opts.EngineChecksFence,
			lifetime:    opts.OrderLifetime,
		}),
	}
	for _, spec := range before.Unsettled {
		k.ledger.assume(spec, now)
	}
	if !known && !opts.EngineChecksFence {
		k.ledger.settlingUntil = now.Add(opts.OrderLifetime)
	}
	k.journalled = len(before.Unsettled)
	if err := k.journal.write(journalState{Incarnation: k.incarnation, Unsettled: before.Unsettled}); err != nil {
		return nil, err
	}
	go func() {
		defer close(k.done)
		if opts.engine() {
			k.keep(ctx)
		}
	}()
	return k, nil
}

// nextIncarnation grows with every start, also when the clock stepped back and
// the data folder knows of an earlier incarnation.
func nextIncarnation(given, before uint64, now time.Time) uint64 {
	if given != 0 {
		return given
	}
	return max(before+1, uint64(now.UnixMilli()))
}

// keep takes the floor from the log, then follows the engine's state.
func (k *keeper) keep(ctx context.Context) {
	if !k.takeFloor(ctx) {
		return
	}
	for ctx.Err() == nil {
		k.round(ctx)
		k.pause(ctx)
	}
}

func (k *keeper) takeFloor(ctx context.Context) bool {
	if k.opts.FloorFence == nil {
		return false
	}
	for {
		floor, err := k.opts.FloorFence(ctx, k.incarnation)
		if err == nil {
			k.raise(floor)
			return true
		}
		k.common.Log.Info("No fence floor yet.", zap.Error(err))
		if aubtimer.Wait(ctx, k.common.Timer, k.opts.Poll) != nil {
			return false
		}
	}
}

// raise sets the lowest fence accepted and the first number of orders above it.
func (k *keeper) raise(fence uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fence = max(k.fence, fence)
	k.number = max(k.number, fence<<fenceShift)
}

// pause waits for the next round: a short while as long as something moves.
func (k *keeper) pause(ctx context.Context) {
	k.mu.Lock()
	interval := k.opts.Poll
	if k.ledger.moving() {
		interval = k.opts.LoadingPoll
	}
	k.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	select {
	case <-k.common.Timer.After(ctx, interval):
	case <-k.kick:
	case <-ctx.Done():
	}
}

// wake starts the next round at once.
func (k *keeper) wake() {
	select {
	case k.kick <- struct{}{}:
	default:
	}
}

// round never waits for an order that is under way. It raises the engine's fence where needed, reads its state and load and
// sends unload orders again that did not reach it.
func (k *keeper) round(ctx context.Context) {
	if k.wantsFence() && k.sendFence(ctx) != nil {
		return
	}
	if k.readState(ctx) != nil {
		return
	}
	if report, err := k.client.Report(ctx); err == nil {
		k.mu.Lock()
		k.report = report
		k.mu.Unlock()
	}
	k.resendUnloads(ctx)
	k.tidyJournal()
}

func (k *keeper) wantsFence() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.opts.EngineChecksFence && (!k.ready || k.ledger.needsFence())
}

func (k *keeper) sendFence(ctx context.Context) error {
	if !k.orderMu.TryLock() {
		return errOrderUnderWay
	}
	defer k.orderMu.Unlock()
	number := k.nextNumber()
	err := k.client.Fence(ctx, aubengine.Order{OrderID: k.orderID(number), Fence: number})
	if err != nil {
		k.common.Log.Info("Engine did not confirm a fence.", zap.Error(err))
		k.learnNumber(ctx, err)
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ledger.fenceConfirmed(number)
	return nil
}

func (k *keeper) readState(ctx context.Context) error {
	k.mu.Lock()
	revision, confirmed := k.ledger.revision, k.ledger.confirmed
	asked := k.common.Timer.Now()
	k.mu.Unlock()
	state, err := k.client.State(ctx)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.boot = state.Boot
	k.number = max(k.number, state.Fence)
	k.ledger.observe(state, revision, confirmed, asked)
	k.ready = true
	return nil
}

func (k *keeper) resendUnloads(ctx context.Context) {
	k.mu.Lock()
	names := k.ledger.stuckUnloads()
	k.mu.Unlock()
	for _, name := range names {
		if !k.orderMu.TryLock() {
			return
		}
		_, err := k.sendUnload(ctx, name)
		k.orderMu.Unlock()
		if err != nil {
			k.common.Log.Info("Unload order failed again.", zap.String("name", name), zap.Error(err))
		}
	}
}

// tidyJournal drops settled orders from the journal.
func (k *keeper) tidyJournal() {
	if !k.orderMu.TryLock() {
		return
	}
	defer k.orderMu.Unlock()
	k.mu.Lock()
	unsettled := k.ledger.unsettled()
	stale := len(unsettled) < k.journalled
	k.mu.Unlock()
	if !stale {
		return
	}
	if err := k.writeJournal(unsettled); err != nil {
		k.common.Log.Warn("Journal of orders not written.", zap.Error(err))
	}
}

// writeJournal is called with orderMu held.
func (k *keeper) writeJournal(unsettled []itemSpec) error {
	if err := k.journal.write(journalState{Incarnation: k.incarnation, Unsettled: unsettled}); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.journalled = len(unsettled)
	return nil
}

// use counts an execution on a ready model or adapter.
func (k *keeper) use(name string) (done func(), ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.ledger.ready(name) {
		return nil, false
	}
	k.inUse[name]++
	return func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.inUse[name]--
		if k.inUse[name] == 0 {
			delete(k.inUse, name)
		}
	}, true
}

func (k *keeper) describe(report *aubwire.BackendReport) {
	k.mu.Lock()
	defer k.mu.Unlock()
	report.MemoryBytes = k.ledger.opts.capacity
	report.MemoryUsedBytes = k.ledger.used()
	report.Resident = k.ledger.residents()
	report.Running = int32(k.report.Running)
	report.Queued = int32(k.report.Queued)
	report.QueuedTokens = k.report.QueuedTokens
	report.PrefillRate = k.report.PrefillRate
	report.DecodeRate = k.report.DecodeRate
	report.Fence = k.fence
	for _, r := range report.GetResident() {
		if r.GetState() == aubwire.Residency_RESIDENCY_LOADING {
			report.Loading++
		}
	}
}

// knownBoot returns the engine's last known boot.
func (k *keeper) knownBoot() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.boot
}
