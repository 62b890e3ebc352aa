package aublimit_test

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aublimit"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

const workspace = "w"

// spending is one granted reservation. Its used tokens count from the time of the
// reservation; all reserved tokens count until it is settled.
type spending struct {
	used           int64
	settled        bool
	reservation    aublimit.Reservation
	reservedTokens int64
}

// holder is one process of an instance.
type holder struct {
	// instance is the name of the instance.
	instance    string
	incarnation uint64
	clock       *aubtimer.Manual
	limiter     *aublimit.Limiter
	// clockLossPerMille is the time that the holder's clock loses, in thousandths.
	clockLossPerMille int64
	// paused is set while the process makes no progress.
	paused bool
	// losesRequests and losesReplies are set while the network drops its messages.
	losesRequests, losesReplies bool
	waiting                     []waitingReservation
	// inFlight is the sync whose reply has not been delivered, if any.
	inFlight *aublimit.Sync
	reply    []byte
}

// waitingReservation is a reservation that waits for tokens.
type waitingReservation struct {
	pending *aublimit.PendingReservation
	tokens  int64
}

// simulation is a set of holders with one ordered log, in virtual time.
type simulation struct {
	rapid.TB
	// drawer draws random steps; nil if the test determines the steps.
	drawer *rapid.T
	source *fakeSource
	log    *fakeLog
	now    time.Duration
	// clock is the replicated clock.
	clock   time.Duration
	holders []*holder
	// sentCommands are encoded syncs that the log may commit late or again.
	sentCommands [][]byte
	spendings    []*spending
	// events are the granted reservations and changes of the limits in order of time.
	events []event
}

// event is a granted reservation or, if spending is nil, a change of the limits.
type event struct {
	at       time.Duration
	spending *spending
	holder   *holder
	// rate, in tokens per second, and burst, in tokens, must not be exceeded from
	// then on.
	rate  float64
	burst float64
}

func leaseParams(floorPerMille int64) aublimit.LeaseParams {
	return aublimit.LeaseParams{
		Lease:         3 * time.Second,
		LeaseMargin:   500 * time.Millisecond,
		FloorLease:    time.Hour,
		FloorMargin:   time.Minute,
		FloorPerMille: floorPerMille,
	}
}

func newRandomSimulation(t *rapid.T) *simulation {
	sim := newSimulation(t, rapid.IntRange(1, 3).Draw(t, "holders"), leaseParams(aublimit.DefaultFloorPerMille))
	sim.drawer = t
	for _, h := range sim.holders {
		h.clockLossPerMille = sim.drawClockLoss()
	}
	return sim
}

func newSimulation(tb rapid.TB, holders int, params aublimit.LeaseParams) *simulation {
	sim := &simulation{TB: tb, source: newFakeSource(aubapi.Workspace{Name: workspace, Rate: 100, Burst: 300})}
	sim.log = newFakeLog(sim.source, params, func() time.Duration { return sim.clock })
	sim.log.replica = aublimit.NewTable(aublimit.TableOpts{Workspaces: sim.source.workspace, LeaseParams: params})
	for i := range holders {
		sim.holders = append(sim.holders, sim.startProcess(fmt.Sprintf("i%d", i), 1, true))
	}
	// The first sync creates the central bucket, which is full at that time.
	for _, h := range sim.holders {
		sim.exchange(h)
	}
	sim.recordLimits()
	return sim
}

// startProcess returns a new process of the named instance.
func (sim *simulation) startProcess(instance string, incarnation uint64, predecessorTerminated bool) *holder {
	clock := aubtimer.NewManual(time.Unix(0, 0).Add(sim.now))
	return &holder{
		instance:    instance,
		incarnation: incarnation,
		clock:       clock,
		limiter: aublimit.NewManualLimiter(aubcommon.NewCommon(clock), aublimit.LimiterOpts{
			Instance:              instance,
			Zone:                  instance,
			Incarnation:           incarnation,
			PredecessorTerminated: predecessorTerminated,
			Source:                sim.source,
		}),
	}
}

func (sim *simulation) drawClockLoss() int64 {
	return rapid.Int64Range(0, 10).Draw(sim.drawer, "clock loss")
}

// recordLimits records the limits that must not be exceeded from now on: the
// configured ones or, if larger, the leased tokens and floors granted under earlier
// limits.
func (sim *simulation) recordLimits() {
	configured, _ := sim.source.workspace(workspace)
	heldTokens := sim.log.table.HeldTokens(workspace)
	sim.events = append(sim.events, event{
		at:    sim.now,
		rate:  math.Max(float64(configured.Rate), heldTokens.Rate),
		burst: float64(max(configured.Burst, heldTokens.Burst)),
	})
}

// advance advances real time by d, and the replicated clock by clockPerMille
// thousandths of d.
func (sim *simulation) advance(d time.Duration, clockPerMille int64) {
	sim.now += d
	sim.clock += d * time.Duration(clockPerMille) / 1000
	for _, h := range sim.holders {
		h.clock.Advance(d * time.Duration(1000-h.clockLossPerMille) / 1000)
	}
}

func (sim *simulation) drawHolder(label string) *holder {
	return sim.holders[rapid.IntRange(0, len(sim.holders)-1).Draw(sim.drawer, label)]
}

func (sim *simulation) recordSpending(h *holder, tokens int64, r aublimit.Reservation) {
	s := &spending{used: tokens, reservation: r, reservedTokens: tokens}
	sim.spendings = append(sim.spendings, s)
	sim.events = append(sim.events, event{at: sim.now, spending: s, holder: h})
}

// reserve makes a reservation, which is granted, refused or waits.
func (sim *simulation) reserve(h *holder, tokens int64) {
	r, waiting, err := h.limiter.TryReserve(workspace, tokens)
	switch {
	case err != nil:
	case waiting != nil:
		h.waiting = append(h.waiting, waitingReservation{pending: waiting, tokens: tokens})
	default:
		sim.recordSpending(h, tokens, r)
	}
}

// collectWaits records the reservations whose wait has ended with a grant. With
// expire set, it ends all waits.
func (sim *simulation) collectWaits(h *holder, expire bool) {
	h.waiting = slices.DeleteFunc(h.waiting, func(waiting waitingReservation) bool {
		r, done, err := waiting.pending.Result()
		if !done && expire {
			r, err = waiting.pending.Expire()
			done = true
		}
		if done && err == nil {
			sim.recordSpending(h, waiting.tokens, r)
		}
		return done
	})
}

// sendSync sends a sync if one is due. Whether it is committed and whether its reply
// can arrive depends on the network state of the holder.
func (sim *simulation) sendSync(h *holder) {
	if h.paused || h.inFlight != nil {
		return
	}
	s, ok := h.limiter.PrepareSync()
	defer sim.collectWaits(h, false)
	if !ok {
		return
	}
	switch {
	case h.losesRequests && (sim.drawer == nil || rapid.Bool().Draw(sim.drawer, "certainly not committed")):
		s.Fail(&aubcontrol.NotCommittedError{Reason: "request lost"})
	case h.losesRequests:
		sim.sentCommands = append(sim.sentCommands, s.Body())
		s.Fail(&aubcontrol.UncertainError{Reason: "request lost"})
	case h.losesReplies:
		sim.log.commit(s.Body())
		s.Fail(&aubcontrol.UncertainError{Reason: "reply lost"})
	default:
		h.inFlight = &s
		h.reply = sim.log.commit(s.Body())
		sim.sentCommands = append(sim.sentCommands, s.Body())
	}
}

// deliverReply delivers the reply of the sync in flight, or loses it.
func (sim *simulation) deliverReply(h *holder) {
	if h.paused || h.inFlight == nil {
		return
	}
	sync := h.inFlight
	h.inFlight = nil
	defer sim.collectWaits(h, false)
	if h.losesReplies {
		sync.Fail(&aubcontrol.UncertainError{Reason: "reply lost"})
		return
	}
	if err := sync.HandleReply(h.reply); err != nil {
		sim.Fatal(err)
	}
}

// exchange sends a sync and delivers its reply.
func (sim *simulation) exchange(h *holder) {
	sim.sendSync(h)
	sim.deliverReply(h)
}

// restart starts a new process of the holder's instance. Without
// predecessorTerminated, the old processes continue to run.
func (sim *simulation) restart(i int, predecessorTerminated bool) {
	old := sim.holders[i]
	incarnation := old.incarnation
	for _, h := range sim.holders {
		if h.instance == old.instance {
			incarnation = max(incarnation, h.incarnation)
		}
	}
	next := sim.startProcess(old.instance, incarnation+1, predecessorTerminated)
	if sim.drawer != nil {
		next.clockLossPerMille = sim.drawClockLoss()
	}
	if predecessorTerminated {
		sim.holders = slices.DeleteFunc(sim.holders, func(h *holder) bool { return h.instance == old.instance })
	}
	sim.holders = append(sim.holders, next)
}

// restoreSnapshot restores the table from its own snapshot.
func (sim *simulation) restoreSnapshot() {
	data, err := sim.log.table.Snapshot()
	if err != nil {
		sim.Fatal(err)
	}
	if err := sim.log.table.Restore(data); err != nil {
		sim.Fatal(err)
	}
}

// checkReplica fails if the table, which is restored from snapshots, differs from the
// replica that is never restored.
func (sim *simulation) checkReplica() {
	restored, err := sim.log.table.Snapshot()
	if err != nil {
		sim.Fatal(err)
	}
	replica, err := sim.log.replica.Snapshot()
	if err != nil {
		sim.Fatal(err)
	}
	if !bytes.Equal(restored, replica) {
		sim.Fatal("replicas differ")
	}
}

// checkLimits fails if the tokens used in any time window exceed the burst plus the
// rate times the window's length. No window exceeds it if a token bucket with these
// limits, charged with all spendings, never becomes negative.
func (sim *simulation) checkLimits() {
	sim.checkReplica()
	level, rate, burst := math.Inf(1), 0.0, math.Inf(1)
	at := time.Duration(0)
	for _, e := range sim.events {
		level = math.Min(level+rate*(e.at-at).Seconds(), burst)
		at = e.at
		if e.spending == nil {
			rate, burst = e.rate, e.burst
			level = math.Min(level, burst)
			continue
		}
		level -= float64(e.spending.used)
		if level < -roundingTolerance {
			sim.Fatalf("%v: %d tokens used, %.6f beyond the limit", e.at, e.spending.used, -level)
		}
	}
}

// action is one kind of random step.
type action struct {
	// weight is the relative probability of the action.
	weight int
	run    func(sim *simulation)
}

func actions() []action {
	return []action{
		{weight: 2, run: func(sim *simulation) { h := sim.drawHolder("holder"); h.paused = !h.paused }},
		{weight: 2, run: func(sim *simulation) { h := sim.drawHolder("holder"); h.losesRequests = !h.losesRequests }},
		{weight: 2, run: func(sim *simulation) { h := sim.drawHolder("holder"); h.losesReplies = !h.losesReplies }},
		{weight: 1, run: func(sim *simulation) { sim.restart(sim.drawIndex(), true) }},
		{weight: 1, run: func(sim *simulation) {
			if len(sim.holders) < maxHolders {
				sim.restart(sim.drawIndex(), false)
			}
		}},
		{weight: 3, run: (*simulation).restoreSnapshot},
		{weight: 5, run: (*simulation).commitLate},
		{weight: 1, run: func(sim *simulation) {
			sim.advance(rapid.SampledFrom([]time.Duration{time.Minute, time.Hour, 2 * time.Hour}).Draw(sim.drawer, "long"), 1000)
		}},
		{weight: 4, run: func(sim *simulation) { sim.advance(sim.drawMilliseconds(4000), 1000) }},
		{weight: 4, run: func(sim *simulation) {
			sim.advance(sim.drawMilliseconds(4000), rapid.Int64Range(0, 1000).Draw(sim.drawer, "clock per mille"))
		}},
		{weight: 5, run: func(sim *simulation) { sim.collectWaits(sim.drawHolder("holder"), true) }},
		{weight: 5, run: func(sim *simulation) { sim.sendSync(sim.drawHolder("holder")) }},
		{weight: 5, run: func(sim *simulation) { sim.deliverReply(sim.drawHolder("holder")) }},
		{weight: 10, run: (*simulation).settleRandom},
		{weight: 20, run: func(sim *simulation) {
			sim.advance(sim.drawMilliseconds(300), 1000)
			for _, h := range sim.holders {
				sim.exchange(h)
			}
		}},
		{weight: 20, run: func(sim *simulation) { sim.reserveMany(sim.drawHolder("holder")) }},
	}
}

// step runs one random action.
func (sim *simulation) step() {
	candidates := actions()
	sum := 0
	for _, a := range candidates {
		sum += a.weight
	}
	drawn := rapid.IntRange(0, sum-1).Draw(sim.drawer, "action")
	for _, a := range candidates {
		if drawn < a.weight {
			a.run(sim)
			return
		}
		drawn -= a.weight
	}
}

func (sim *simulation) drawIndex() int {
	return rapid.IntRange(0, len(sim.holders)-1).Draw(sim.drawer, "index")
}

func (sim *simulation) drawMilliseconds(limit int) time.Duration {
	return time.Duration(rapid.IntRange(1, limit).Draw(sim.drawer, "ms")) * time.Millisecond
}

// commitLate commits a command sent earlier, again or for the first time.
func (sim *simulation) commitLate() {
	if len(sim.sentCommands) > 0 {
		sim.log.commit(sim.sentCommands[rapid.IntRange(0, len(sim.sentCommands)-1).Draw(sim.drawer, "late")])
	}
}

// reserveMany makes several reservations of the same size, until too many wait.
func (sim *simulation) reserveMany(h *holder) {
	tokens := rapid.Int64Range(1, 100).Draw(sim.drawer, "tokens")
	for range rapid.IntRange(1, 30).Draw(sim.drawer, "reservations") {
		if h.paused || len(h.waiting) > 3 {
			return
		}
		sim.reserve(h, tokens)
	}
}

// settleRandom settles a random reservation, unless it is settled already.
func (sim *simulation) settleRandom() {
	if len(sim.spendings) == 0 {
		return
	}
	s := sim.spendings[rapid.IntRange(0, len(sim.spendings)-1).Draw(sim.drawer, "spending")]
	if s.settled {
		return
	}
	s.settled = true
	s.used = rapid.SampledFrom([]int64{0, s.reservedTokens / 4, s.reservedTokens}).Draw(sim.drawer, "used")
	s.reservation.Settle(s.used)
}

const (
	stepsPerSimulation = 300
	maxHolders         = 6
	// roundingTolerance covers the rounding errors of the check, in tokens.
	roundingTolerance = 1e-6
)

// TestNoWindowExceedsRateAndBurst checks the limits in random simulations with lost
// requests and replies, paused processes, restarts, replaced processes that continue
// to run, late and duplicate commands, slow clocks, restored snapshots and floors.
func TestNoWindowExceedsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newRandomSimulation(t)
		for range stepsPerSimulation {
			sim.step()
		}
		sim.checkLimits()
	})
}

// TestNoWindowExceedsChangingLimits adds changes of the configured limits. Tokens
// leased and floors granted under the earlier limits remain allowed until leases end
// and floors are acknowledged.
func TestNoWindowExceedsChangingLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newRandomSimulation(t)
		for range stepsPerSimulation {
			if rapid.IntRange(0, 30).Draw(t, "ticket") == 0 {
				sim.source.set(aubapi.Workspace{
					Name:  workspace,
					Rate:  rapid.SampledFrom([]int64{0, 10, 100, 500}).Draw(t, "rate"),
					Burst: rapid.SampledFrom([]int64{0, 30, 300, 1500}).Draw(t, "burst"),
				})
				sim.log.table.Refresh(sim.clock)
				sim.log.replica.Refresh(sim.clock)
				sim.recordLimits()
			}
			sim.step()
			sim.recordLimits()
		}
		sim.checkLimits()
	})
}
