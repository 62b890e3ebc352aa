package aublimit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aublimit"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

const (
	fleetEntries = 3
	fleetRate    = 10_000
	fleetBurst   = 20_000
	fleetTime    = time.Minute
	fleetStep    = 5 * time.Millisecond
	// commitDelay is the time from sending a sync to its reply, in steps.
	commitDelay = 2
)

// call is one request of a trace.
type call struct {
	at     time.Duration
	entry  int
	tokens int64
	used   int64
	// length is the time until it settles.
	length time.Duration
}

// pattern says which entry a call comes to.
type pattern struct {
	name  string
	entry func(rng *rand.Rand, at time.Duration) int
}

func patterns() []pattern {
	return []pattern{
		{name: "one entry", entry: func(*rand.Rand, time.Duration) int { return 0 }},
		{name: "moving every 5 s", entry: func(_ *rand.Rand, at time.Duration) int {
			return int(at/(5*time.Second)) % fleetEntries
		}},
		{name: "even", entry: func(rng *rand.Rand, _ time.Duration) int { return rng.IntN(fleetEntries) }},
	}
}

// drawCalls draws Poisson arrivals whose use, at the end, is load times the rate.
func drawCalls(seed uint64, p pattern, load float64) []call {
	const meanTokens, meanUsed = 500, 300
	rng := rand.New(rand.NewPCG(seed, 0))
	perSecond := load * fleetRate / meanUsed
	var calls []call
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		if at > fleetTime {
			return calls
		}
		tokens := 250 + rng.Int64N(2*meanTokens-499)
		calls = append(calls, call{
			at:     at,
			entry:  p.entry(rng, at),
			tokens: tokens,
			used:   tokens * (20 + rng.Int64N(81)) / 100,
			length: time.Duration(200+rng.IntN(2800)) * time.Millisecond,
		})
	}
}

// fleet is what the calls are put to.
type fleet interface {
	// reserve returns a function that tells, once known, whether it was refused.
	reserve(c call) func() (refused, known bool)
	step()
}

// settling is a reservation that runs.
type settling struct {
	end     time.Duration
	used    int64
	reserve aublimit.Reservation
}

type settlements []settling

func (s *settlements) step(now time.Duration) {
	*s = slices.DeleteFunc(*s, func(x settling) bool {
		if x.end > now {
			return false
		}
		x.reserve.Settle(x.used)
		return true
	})
}

// shares is a fleet of fixed shares; with one instance it is the ideal bucket.
type shares struct {
	clock    *aubtimer.Manual
	policies []*aublimit.FixedShares
	open     settlements
	now      time.Duration
}

func newShares(s *site, instances int) *shares {
	f := &shares{clock: aubtimer.NewManual(time.Unix(0, 0))}
	for range instances {
		f.policies = append(f.policies, aublimit.NewFixedShares(aubcommon.NewCommon(f.clock),
			aublimit.FixedSharesOpts{Source: s, Instances: instances}))
	}
	return f
}

func (f *shares) reserve(c call) func() (bool, bool) {
	r, err := f.policies[c.entry%len(f.policies)].Reserve(context.Background(), workspace, c.tokens)
	if err == nil {
		f.open = append(f.open, settling{end: f.now + c.length, used: c.used, reserve: r})
	}
	return func() (bool, bool) { return err != nil, true }
}

func (f *shares) step() {
	f.now += fleetStep
	f.clock.Advance(fleetStep)
	f.open.step(f.now)
}

// leases is a fleet of limiters over one log.
type leases struct {
	clock   *aubtimer.Manual
	log     *fakeLog
	holders []*leaseHolder
	open    settlements
	now     time.Duration
	syncs   int
}

type leaseHolder struct {
	limiter *aublimit.Limiter
	tick    time.Duration
	sync    *aublimit.Sync
	reply   []byte
	left    int
}

func newLeases(s *site, instances int) *leases {
	f := &leases{clock: aubtimer.NewManual(time.Unix(0, 0))}
	f.log = newFakeLog(s, aublimit.Terms{}, func() time.Duration { return f.now })
	for i := range instances {
		f.holders = append(f.holders, &leaseHolder{
			limiter: aublimit.NewIdleLimiter(aubcommon.NewCommon(f.clock), aublimit.LimiterOpts{
				Instance: fmt.Sprint(i), Zone: fmt.Sprint(i), Incarnation: 1, Source: s,
			}),
			tick: time.Duration(i) * fleetStep,
		})
	}
	return f
}

func (f *leases) reserve(c call) func() (bool, bool) {
	begin := f.now
	taken := func(r aublimit.Reservation) {
		f.open = append(f.open, settling{end: f.now + c.length, used: c.used, reserve: r})
	}
	r, waiting, err := f.holders[c.entry].limiter.TryReserve(workspace, c.tokens)
	if err != nil || waiting == nil {
		if err == nil {
			taken(r)
		}
		return func() (bool, bool) { return err != nil, true }
	}
	return func() (bool, bool) {
		r, done, err := waiting.Done()
		if !done && f.now-begin >= aublimit.DefaultMaxWait {
			r, err = waiting.GiveUp()
			done = true
		}
		if done && err == nil {
			taken(r)
		}
		return err != nil, done
	}
}

func (f *leases) step() {
	f.now += fleetStep
	f.clock.Advance(fleetStep)
	f.open.step(f.now)
	for _, h := range f.holders {
		f.exchange(h)
	}
}

func (f *leases) exchange(h *leaseHolder) {
	if h.sync != nil {
		if h.left--; h.left > 0 {
			return
		}
		if err := h.sync.Answer(h.reply); err != nil {
			panic(err)
		}
		h.sync = nil
	}
	if f.now < h.tick && !h.limiter.Kicked() {
		return
	}
	if f.now >= h.tick {
		h.tick = f.now + aublimit.DefaultSyncEvery
	}
	if s, ok := h.limiter.PrepareSync(); ok {
		f.syncs++
		h.sync, h.reply, h.left = &s, f.log.commit(s.Body()), commitDelay
	}
}

// answer is what one fleet said to each call.
func answers(f fleet, calls []call) []bool {
	refused := make([]bool, len(calls))
	type open struct {
		i    int
		poll func() (bool, bool)
	}
	var waiting []open
	next := 0
	// A last while lets everything that waits end.
	for now := time.Duration(0); now < fleetTime+5*time.Second; now += fleetStep {
		f.step()
		waiting = slices.DeleteFunc(waiting, func(o open) bool {
			no, known := o.poll()
			refused[o.i] = no
			return known
		})
		for next < len(calls) && calls[next].at <= now {
			waiting = append(waiting, open{i: next, poll: f.reserve(calls[next])})
			next++
		}
	}
	return refused
}

// TestRefusalsWithinRate counts the calls that one ideal bucket would have let
// in and a policy refused. It prints the table of docs/measurements/limits.md.
func TestRefusalsWithinRate(t *testing.T) {
	most := map[float64]float64{0.8: 0.005, 0.95: 0.04}
	for _, load := range []float64{0.8, 0.95} {
		for _, p := range patterns() {
			for seed := uint64(1); seed <= 3; seed++ {
				s := newSite(aubapi.Workspace{Name: workspace, Rate: fleetRate, Burst: fleetBurst})
				calls := drawCalls(seed, p, load)
				ideal := answers(newShares(s, 1), calls)
				fixed := refusedWithin(ideal, answers(newShares(s, fleetEntries), calls))
				leased := newLeases(s, fleetEntries)
				answered := answers(leased, calls)
				ours := refusedWithin(ideal, answered)
				t.Logf("| %.2f | %s | %d | %.2f%% | %.2f%% | %.2f%% | %.2f%% | %.1f |", load, p.name, seed, fixed*100, ours*100,
					part(ideal)*100, part(answered)*100, float64(leased.syncs)/fleetTime.Seconds())
				qt.Check(t, ours <= most[load], qt.IsTrue)
				qt.Check(t, p.name == "even" || fixed > 0.1, qt.IsTrue)
			}
		}
	}
}

func refusedWithin(ideal, refused []bool) float64 {
	within, wrong := 0, 0
	for i := range ideal {
		if ideal[i] {
			continue
		}
		within++
		if refused[i] {
			wrong++
		}
	}
	return float64(wrong) / float64(within)
}

// part returns how many of all calls were refused, from 0 to 1.
func part(refused []bool) float64 {
	n := 0
	for _, r := range refused {
		if r {
			n++
		}
	}
	return float64(n) / float64(len(refused))
}
