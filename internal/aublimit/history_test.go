package aublimit_test

import (
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

// spend is one reservation of the history. What it used counts from the moment
// it was reserved; an open one counts whole.
type spend struct {
	used     int64
	settled  bool
	reserve  aublimit.Reservation
	reserved int64
}

// holder is one process of an instance.
type holder struct {
	name        string
	incarnation uint64
	clock       *aubtimer.Manual
	limiter     *aublimit.Limiter
	// slow is how much the holder's clock loses, in thousandths.
	slow   int64
	frozen bool
	// cut loses requests, deaf loses replies.
	cut, deaf bool
	waiting   []wait
	call      *aublimit.Sync
	reply     []byte
}

type wait struct {
	w      *aublimit.Waiting
	tokens int64
}

// world is a fleet of holders over one ordered log, in virtual time.
type world struct {
	rapid.TB
	// t draws the steps; nil where a test takes them itself.
	t       *rapid.T
	site    *site
	log     *fakeLog
	now     time.Duration
	clock   time.Duration
	holders []*holder
	late    [][]byte
	spends  []*spend
	// events are the spends and the changes of the limits, as they happened.
	events []event
}

// event is a spend, or else the limits to honour from then on.
type event struct {
	at     time.Duration
	spend  *spend
	holder *holder
	rate   float64
	burst  float64
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
	for i := range holders {
		w.holders = append(w.holders, w.start(fmt.Sprintf("i%d", i), 1, true))
	}
	// The bucket is full when it is first used; from then on it only refills.
	for _, h := range w.holders {
		w.exchange(h)
	}
	w.note()
	return w
}

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

func (w *world) drawSlow() int64 { return rapid.Int64Range(0, 10).Draw(w.t, "slow") }

// note keeps the limits to honour from now on: the configured ones, and above
// them what the table lent or gave as floors under earlier limits.
func (w *world) note() {
	cfg, _ := w.site.workspace(workspace)
	held := w.log.table.Held(workspace)
	w.events = append(w.events, event{
		at:    w.now,
		rate:  math.Max(float64(cfg.Rate), held.Rate),
		burst: float64(max(cfg.Burst, held.Burst)),
	})
}

// advance moves real time; the replicated clock runs as fast or slower.
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

// collect books the waits that are over.
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

// send starts a sync; what becomes of it depends on the holder's links.
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
	case h.cut && (w.t == nil || rapid.Bool().Draw(w.t, "certain")):
		s.Fail(&aubcontrol.NotCommittedError{Reason: "cut"})
	case h.cut:
		w.late = append(w.late, s.Body())
		s.Fail(&aubcontrol.UncertainError{Reason: "cut"})
	case h.deaf:
		w.log.commit(s.Body())
		s.Fail(&aubcontrol.UncertainError{Reason: "deaf"})
	default:
		h.call = &s
		h.reply = w.log.commit(s.Body())
		w.late = append(w.late, s.Body())
	}
}

// receive hands a reply over, or loses it.
func (w *world) receive(h *holder) {
	if h.frozen || h.call == nil {
		return
	}
	call := h.call
	h.call = nil
	defer w.collect(h, false)
	if h.deaf {
		call.Fail(&aubcontrol.UncertainError{Reason: "deaf"})
		return
	}
	if err := call.Answer(h.reply); err != nil {
		w.Fatal(err)
	}
}

// exchange is an ordinary sync.
func (w *world) exchange(h *holder) {
	w.send(h)
	w.receive(h)
}

// restart replaces the holder's process. Without alone the old one lives on.
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

// restore moves the table to another replica.
func (w *world) restore() {
	data, err := w.log.table.Snapshot()
	if err != nil {
		w.Fatal(err)
	}
	if err := w.log.table.Restore(data); err != nil {
		w.Fatal(err)
	}
}

// check fails when any window of the history saw more than its rate times its
// length and the burst. A token bucket that never runs empty proves all windows.
func (w *world) check() {
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

// action is one kind of step and how often it is taken.
type action struct {
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
		{weight: 4, do: func(w *world) { w.advance(w.milliseconds(4000), rapid.Int64Range(0, 1000).Draw(w.t, "pace")) }},
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

// deliverLate commits again, or for the first time, what was sent before.
func (w *world) deliverLate() {
	if len(w.late) > 0 {
		w.log.commit(w.late[rapid.IntRange(0, len(w.late)-1).Draw(w.t, "late")])
	}
}

// flood reserves until the holder has no more to give.
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
	// tolerance is for the rounding of the check itself, in tokens.
	tolerance = 1e-6
)

// TestNoWindowExceedsRateAndBurst checks the bound on whole histories with cut
// and deaf holders, freezes, restarts, replaced processes that live on, late and
// doubled commands, slow replicated clocks, other replicas and floors.
func TestNoWindowExceedsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newDrawnWorld(t)
		for range stepsPerHistory {
			w.step()
		}
		w.check()
	})
}

// TestNoWindowExceedsChangingLimits adds tickets that change the limits. Until
// leases end and floors are acknowledged, the earlier limits have to be honoured.
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
				w.note()
			}
			w.step()
			w.note()
		}
		w.check()
	})
}
