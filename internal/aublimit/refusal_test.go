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
	// commitDelaySteps is the time from sending a sync to its reply, in steps.
	commitDelay = 2
)

// request is one request of a trace.
type call struct {
	at time.Duration
	// instance is the index of the instance that receives the request.
	entry int
	// tokens are reserved, used are settled.
	tokens int64
	used   int64
	// duration is the time until the reservation is settled.
	length time.Duration
}

// pattern is a distribution of requests over the instances.
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

// drawRequests draws Poisson arrivals whose used tokens average load times the rate.
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

// fleet is a set of instances with one limit policy.
type fleet interface {
	// reserve returns a function that reports whether the request was refused, once
	// that is known.
	reserve(c call) func() (refused, known bool)
	// step advances the time by fleetStep.
	step()
}

// runningRequest is a request with a reservation that is not settled yet.
type settling struct {
	end     time.Duration
	used    int64
	reserve aublimit.Reservation
}

type settlements []settling

// step settles the requests that have ended.
func (s *settlements) step(now time.Duration) {
	*s = slices.DeleteFunc(*s, func(x settling) bool {
		if x.end > now {
			return false
		}
		x.reserve.Settle(x.used)
		return true
	})
}

// fixedFleet is a fleet with fixed shares. With one instance, it is the ideal bucket.
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

// leaseFleet is a fleet of limiters with one log.
type leases struct {
	clock   *aubtimer.Manual
	log     *fakeLog
	holders []*leaseHolder
	open    settlements
	now     time.Duration
	syncs   int
}

// fleetHolder is one limiter of a leaseFleet.
type leaseHolder struct {
	limiter *aublimit.Limiter
	// nextSyncAt is the time of the next periodic sync.
	tick time.Duration
	// sync is the sync in flight, if any; reply is delivered after replySteps.
	sync  *aublimit.Sync
	reply []byte
	left  int
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

// exchange delivers the reply of the sync in flight, or starts the next sync.
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

// refusals runs the requests on the fleet and returns which were refused.
func answers(f fleet, calls []call) []bool {
	refused := make([]bool, len(calls))
	type open struct {
		i    int
		poll func() (bool, bool)
	}
	var waiting []open
	next := 0
	// 5 s beyond the trace let all waits end.
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

// TestRefusalsWithinRate counts the requests that one ideal bucket would have
// admitted and a policy refused. It prints the table of docs/measurements/limits.md.
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

// refusedWithinRate returns the fraction, from 0 to 1, of the requests admitted by
// the ideal bucket that were refused.
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

// refusedShare returns the fraction of all requests that were refused, from 0 to 1.
func part(refused []bool) float64 {
	n := 0
	for _, r := range refused {
		if r {
			n++
		}
	}
	return float64(n) / float64(len(refused))
}
