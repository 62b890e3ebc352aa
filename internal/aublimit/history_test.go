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
type spend struct {
	used     int64
	settled  bool
	reserve  aublimit.Reservation
	reserved int64
}

// holder is one process of an instance.
type holder struct {
	// name is the name of the instance.
	name        string
	incarnation uint64
	clock       *aubtimer.Manual
	limiter     *aublimit.Limiter
	// clockLossPerMille is the time that the holder's clock loses, in thousandths.
	slow int64
	// paused is set while the process makes no progress.
	frozen bool
	// losesRequests and losesReplies are set while the network drops its messages.
	cut, deaf bool
	waiting   []wait
	// inFlight is the sync whose reply has not been delivered, if any.
	call  *aublimit.Sync
	reply []byte
}

// waitingReservation is a reservation that waits for tokens.
type wait struct {
	w      *aublimit.Waiting
	tokens int64
}

// simulation is a set of holders with one ordered log, in virtual time.
type world struct {
	rapid.TB
	// drawer draws random steps; nil if the test determines the steps.
	t    *rapid.T
	site *site
	log  *fakeLog
	now  time.Duration
	// clock is the replicated clock.
	clock   time.Duration
	holders []*holder
	// sentCommands are encoded syncs that the log may commit late or again.
	late   [][]byte
	spends []*spend
	// events are the granted reservations and changes of the limits in order of time.
	events []event
}

// event is a granted reservation or, if spending is nil, a change of the limits.
type event struct {
	at     time.Duration
	spend  *spend
	holder *holder
	// rate, in tokens per second, and burst, in tokens, must not be exceeded from
	// then on.
	rate  float64
	burst float64
}

func terms(floorPerMille int64) aublimit.Terms {
	return aublimit.Terms{
		Lease:         3 * time.Second,
		LeaseMargin:   500 * time.Millisecond,
		FloorLease:    time.Hour,
		FloorMargin:   time.Minute,
		FloorPerMille: floorPerMille,
	}
}

func newDrawnWorld(t *rapid.T) *world {
	w := newWorld(t, rapid.IntRange(1, 3).Draw(t, "holders"), terms(aublimit.DefaultFloorPerMille))
	w.t = t
	for _, h := range w.holders {
		h.slow = w.drawSlow()
	}
	return w
}

func newWorld(tb rapid.TB, holders int, terms aublimit.Terms) *world {
	w := &world{TB: tb, site: newSite(aubapi.Workspace{Name: workspace, Rate: 100, Burst: 300})}
	w.log = newFakeLog(w.site, terms, func() time.Duration { return w.clock })
	w.log.replica = aublimit.NewTable(aublimit.TableOpts{Workspaces: w.site.workspace, Terms: terms})
	for i := range holders {
		w.holders = append(w.holders, w.start(fmt.Sprintf("i%d", i), 1, true))
	}
	// The first sync creates the central bucket, which is full at that time.
	for _, h := range w.holders {
		w.exchange(h)
	}
	w.note()
	return w
}

// startProcess returns a new process of the named instance.
func (w *world) start(name string, incarnation uint64, alone bool) *holder {
	clock := aubtimer.NewManual(time.Unix(0, 0).Add(w.now))
	return &holder{
		name:        name,
		incarnation: incarnation,
		clock:       clock,
		limiter: aublimit.NewIdleLimiter(aubcommon.NewCommon(clock), aublimit.LimiterOpts{
			Instance:         name,
			Zone:             name,
			Incarnation:      incarnation,
			PredecessorEnded: alone,
			Source:           w.site,
		}),
	}
}

func (w *world) drawSlow() int64 { return rapid.Int64Range(0, 10).Draw(w.t, "clock loss") }

// recordLimits records the limits that must not be exceeded from now on: the
// configured ones or, if larger, the leased tokens and floors granted under earlier
// limits.
func (w *world) note() {
	cfg, _ := w.site.workspace(workspace)
	held := w.log.table.Held(workspace)
	w.events = append(w.events, event{
		at:    w.now,
		rate:  math.Max(float64(cfg.Rate), held.Rate),
		burst: float64(max(cfg.Burst, held.Burst)),
	})
}

// advance advances real time by d, and the replicated clock by clockPerMille
// thousandths of d.
func (w *world) advance(d time.Duration, clockPerMille int64) {
	w.now += d
	w.clock += d * time.Duration(clockPerMille) / 1000
	for _, h := range w.holders {
		h.clock.Advance(d * time.Duration(1000-h.slow) / 1000)
	}
}

func (w *world) pick(label string) *holder {
	return w.holders[rapid.IntRange(0, len(w.holders)-1).Draw(w.t, label)]
}

func (w *world) record(h *holder, tokens int64, r aublimit.Reservation) {
	s := &spend{used: tokens, reserve: r, reserved: tokens}
	w.spends = append(w.spends, s)
	w.events = append(w.events, event{at: w.now, spend: s, holder: h})
}

func (w *world) reserve(h *holder, tokens int64) {
	r, waiting, err := h.limiter.TryReserve(workspace, tokens)
	switch {
	case err != nil:
	case waiting != nil:
		h.waiting = append(h.waiting, wait{w: waiting, tokens: tokens})
	default:
		w.record(h, tokens, r)
	}
}

// collectWaits records the reservations whose wait has ended with a grant. With
// expire set, it ends all waits.
func (w *world) collect(h *holder, giveUp bool) {
	h.waiting = slices.DeleteFunc(h.waiting, func(x wait) bool {
		r, done, err := x.w.Done()
		if !done && giveUp {
			r, err = x.w.GiveUp()
			done = true
		}
		if done && err == nil {
			w.record(h, x.tokens, r)
		}
		return done
	})
}

// sendSync sends a sync if one is due. Whether it is committed and whether its reply
// can arrive depends on the network state of the holder.
func (w *world) send(h *holder) {
	if h.frozen || h.call != nil {
		return
	}
	s, ok := h.limiter.PrepareSync()
	defer w.collect(h, false)
	if !ok {
		return
	}
	switch {
	case h.cut && (w.t == nil || rapid.Bool().Draw(w.t, "certainly not committed")):
		s.Fail(&aubcontrol.NotCommittedError{Reason: "request lost"})
	case h.cut:
		w.late = append(w.late, s.Body())
		s.Fail(&aubcontrol.UncertainError{Reason: "request lost"})
	case h.deaf:
		w.log.commit(s.Body())
		s.Fail(&aubcontrol.UncertainError{Reason: "reply lost"})
	default:
		h.call = &s
		h.reply = w.log.commit(s.Body())
		w.late = append(w.late, s.Body())
	}
}

// deliverReply delivers the reply of the sync in flight, or loses it.
func (w *world) receive(h *holder) {
	if h.frozen || h.call == nil {
		return
	}
	call := h.call
	h.call = nil
	defer w.collect(h, false)
	if h.deaf {
		call.Fail(&aubcontrol.UncertainError{Reason: "reply lost"})
		return
	}
	if err := call.Answer(h.reply); err != nil {
		w.Fatal(err)
	}
}

// exchange sends a sync and delivers its reply.
func (w *world) exchange(h *holder) {
	w.send(h)
	w.receive(h)
}

// restart starts a new process of the holder's instance. Without
// predecessorTerminated, the old processes continue to run.
func (w *world) restart(i int, alone bool) {
	old := w.holders[i]
	incarnation := old.incarnation
	for _, h := range w.holders {
		if h.name == old.name {
			incarnation = max(incarnation, h.incarnation)
		}
	}
	next := w.start(old.name, incarnation+1, alone)
	if w.t != nil {
		next.slow = w.drawSlow()
	}
	if alone {
		w.holders = slices.DeleteFunc(w.holders, func(h *holder) bool { return h.name == old.name })
	}
	w.holders = append(w.holders, next)
}

// restoreSnapshot restores the table from its own snapshot.
func (w *world) restore() {
	data, err := w.log.table.Snapshot()
	if err != nil {
		w.Fatal(err)
	}
	if err := w.log.table.Restore(data); err != nil {
		w.Fatal(err)
	}
}

// checkReplica fails if the table, which is restored from snapshots, differs from the
// replica that is never restored.
func (w *world) checkReplica() {
	restored, err := w.log.table.Snapshot()
	if err != nil {
		w.Fatal(err)
	}
	replica, err := w.log.replica.Snapshot()
	if err != nil {
		w.Fatal(err)
	}
	if !bytes.Equal(restored, replica) {
		w.Fatal("replicas differ")
	}
}

// check fails if the tokens used in any time window exceed the burst plus the rate
// times the window's length. This holds for all windows if a token bucket with these
// limits, charged with all events, never becomes negative.
func (w *world) check() {
	w.checkReplica()
	level, rate, burst := math.Inf(1), 0.0, math.Inf(1)
	at := time.Duration(0)
	for _, e := range w.events {
		level = math.Min(level+rate*(e.at-at).Seconds(), burst)
		at = e.at
		if e.spend == nil {
			rate, burst = e.rate, e.burst
			level = math.Min(level, burst)
			continue
		}
		level -= float64(e.spend.used)
		if level < -tolerance {
			w.Fatalf("%v: %d tokens used, %.6f beyond the limit", e.at, e.spend.used, -level)
		}
	}
}

// action is one kind of random step.
type action struct {
	// weight is the relative probability of the action.
	weight int
	do     func(w *world)
}

func actions() []action {
	return []action{
		{weight: 2, do: func(w *world) { h := w.pick("holder"); h.frozen = !h.frozen }},
		{weight: 2, do: func(w *world) { h := w.pick("holder"); h.cut = !h.cut }},
		{weight: 2, do: func(w *world) { h := w.pick("holder"); h.deaf = !h.deaf }},
		{weight: 1, do: func(w *world) { w.restart(w.index(), true) }},
		{weight: 1, do: func(w *world) {
			if len(w.holders) < maxHolders {
				w.restart(w.index(), false)
			}
		}},
		{weight: 3, do: (*world).restore},
		{weight: 5, do: (*world).deliverLate},
		{weight: 1, do: func(w *world) {
			w.advance(rapid.SampledFrom([]time.Duration{time.Minute, time.Hour, 2 * time.Hour}).Draw(w.t, "long"), 1000)
		}},
		{weight: 4, do: func(w *world) { w.advance(w.milliseconds(4000), 1000) }},
		{weight: 4, do: func(w *world) {
			w.advance(w.milliseconds(4000), rapid.Int64Range(0, 1000).Draw(w.t, "clock per mille"))
		}},
		{weight: 5, do: func(w *world) { w.collect(w.pick("holder"), true) }},
		{weight: 5, do: func(w *world) { w.send(w.pick("holder")) }},
		{weight: 5, do: func(w *world) { w.receive(w.pick("holder")) }},
		{weight: 10, do: (*world).settleOne},
		{weight: 20, do: func(w *world) {
			w.advance(w.milliseconds(300), 1000)
			for _, h := range w.holders {
				w.exchange(h)
			}
		}},
		{weight: 20, do: func(w *world) { w.flood(w.pick("holder")) }},
	}
}

func (w *world) step() {
	all := actions()
	sum := 0
	for _, a := range all {
		sum += a.weight
	}
	drawn := rapid.IntRange(0, sum-1).Draw(w.t, "action")
	for _, a := range all {
		if drawn < a.weight {
			a.do(w)
			return
		}
		drawn -= a.weight
	}
}

func (w *world) index() int { return rapid.IntRange(0, len(w.holders)-1).Draw(w.t, "index") }

func (w *world) milliseconds(limit int) time.Duration {
	return time.Duration(rapid.IntRange(1, limit).Draw(w.t, "ms")) * time.Millisecond
}

// commitLate commits a command sent earlier, again or for the first time.
func (w *world) deliverLate() {
	if len(w.late) > 0 {
		w.log.commit(w.late[rapid.IntRange(0, len(w.late)-1).Draw(w.t, "late")])
	}
}

// reserveMany makes several reservations of the same size, until too many wait.
func (w *world) flood(h *holder) {
	tokens := rapid.Int64Range(1, 100).Draw(w.t, "tokens")
	for range rapid.IntRange(1, 30).Draw(w.t, "reservations") {
		if h.frozen || len(h.waiting) > 3 {
			return
		}
		w.reserve(h, tokens)
	}
}

func (w *world) settleOne() {
	if len(w.spends) == 0 {
		return
	}
	s := w.spends[rapid.IntRange(0, len(w.spends)-1).Draw(w.t, "spend")]
	if s.settled {
		return
	}
	s.settled = true
	s.used = rapid.SampledFrom([]int64{0, s.reserved / 4, s.reserved}).Draw(w.t, "used")
	s.reserve.Settle(s.used)
}

const (
	stepsPerHistory = 300
	maxHolders      = 6
	// roundingTolerance covers the rounding errors of the check, in tokens.
	tolerance = 1e-6
)

// TestNoWindowExceedsRateAndBurst checks the limits in random simulations with lost
// requests and replies, paused processes, restarts, replaced processes that continue
// to run, late and duplicate commands, slow clocks, restored snapshots and floors.
func TestNoWindowExceedsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newDrawnWorld(t)
		for range stepsPerHistory {
			w.step()
		}
		w.check()
	})
}

// TestNoWindowExceedsChangingLimits adds changes of the configured limits. Tokens
// leased and floors granted under the earlier limits remain allowed until leases end
// and floors are acknowledged.
func TestNoWindowExceedsChangingLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newDrawnWorld(t)
		for range stepsPerHistory {
			if rapid.IntRange(0, 30).Draw(t, "ticket") == 0 {
				w.site.set(aubapi.Workspace{
					Name:  workspace,
					Rate:  rapid.SampledFrom([]int64{0, 10, 100, 500}).Draw(t, "rate"),
					Burst: rapid.SampledFrom([]int64{0, 30, 300, 1500}).Draw(t, "burst"),
				})
				w.log.table.Refresh(w.clock)
				w.log.replica.Refresh(w.clock)
				w.note()
			}
			w.step()
			w.note()
		}
		w.check()
	})
}
