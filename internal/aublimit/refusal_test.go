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
	fleetInstances = 3
	fleetRate      = 10_000
	fleetBurst     = 20_000
	traceDuration  = time.Minute
	fleetStep      = 5 * time.Millisecond
	// commitDelaySteps is the time from sending a sync to its reply, in steps.
	commitDelaySteps = 2
)

// request is one request of a trace.
type request struct {
	at time.Duration
	// instance is the index of the instance that receives the request.
	instance int
	// tokens are reserved, used are settled.
	tokens int64
	used   int64
	// duration is the time until the reservation is settled.
	duration time.Duration
}

// pattern is a distribution of requests over the instances.
type pattern struct {
	name     string
	instance func(rng *rand.Rand, at time.Duration) int
}

func patterns() []pattern {
	return []pattern{
		{name: "one entry", instance: func(*rand.Rand, time.Duration) int { return 0 }},
		{name: "moving every 5 s", instance: func(_ *rand.Rand, at time.Duration) int {
			return int(at/(5*time.Second)) % fleetInstances
		}},
		{name: "even", instance: func(rng *rand.Rand, _ time.Duration) int { return rng.IntN(fleetInstances) }},
	}
}

// drawRequests draws Poisson arrivals whose used tokens average load times the rate.
func drawRequests(seed uint64, p pattern, load float64) []request {
	const meanTokens, meanUsed = 500, 300
	rng := rand.New(rand.NewPCG(seed, 0))
	perSecond := load * fleetRate / meanUsed
	var requests []request
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		if at > traceDuration {
			return requests
		}
		tokens := 250 + rng.Int64N(2*meanTokens-499)
		requests = append(requests, request{
			at:       at,
			instance: p.instance(rng, at),
			tokens:   tokens,
			used:     tokens * (20 + rng.Int64N(81)) / 100,
			duration: time.Duration(200+rng.IntN(2800)) * time.Millisecond,
		})
	}
}

// fleet is a set of instances with one limit policy.
type fleet interface {
	// reserve returns a function that reports whether the request was refused, once
	// that is known.
	reserve(req request) func() (refused, known bool)
	// step advances the time by fleetStep.
	step()
}

// runningRequest is a request with a reservation that is not settled yet.
type runningRequest struct {
	end         time.Duration
	used        int64
	reservation aublimit.Reservation
}

type runningRequests []runningRequest

// step settles the requests that have ended.
func (s *runningRequests) step(now time.Duration) {
	*s = slices.DeleteFunc(*s, func(running runningRequest) bool {
		if running.end > now {
			return false
		}
		running.reservation.Settle(running.used)
		return true
	})
}

// fixedFleet is a fleet with fixed and equal shares. With one instance, it is the
// ideal bucket.
type fixedFleet struct {
	clock    *aubtimer.Manual
	policies []*aublimit.FixedShares
	running  runningRequests
	now      time.Duration
}

func newFixedFleet(source *fakeSource, instances int) *fixedFleet {
	f := &fixedFleet{clock: aubtimer.NewManual(time.Unix(0, 0))}
	for range instances {
		f.policies = append(f.policies, aublimit.NewFixedShares(aubcommon.NewCommon(f.clock),
			aublimit.FixedSharesOpts{Source: source, Instances: instances}))
	}
	return f
}

func (f *fixedFleet) reserve(req request) func() (bool, bool) {
	r, err := f.policies[req.instance%len(f.policies)].Reserve(context.Background(), workspace, req.tokens)
	if err == nil {
		f.running = append(f.running, runningRequest{end: f.now + req.duration, used: req.used, reservation: r})
	}
	return func() (bool, bool) { return err != nil, true }
}

func (f *fixedFleet) step() {
	f.now += fleetStep
	f.clock.Advance(fleetStep)
	f.running.step(f.now)
}

// leaseFleet is a fleet of limiters with one log.
type leaseFleet struct {
	clock   *aubtimer.Manual
	log     *fakeLog
	holders []*fleetHolder
	running runningRequests
	now     time.Duration
	syncs   int
}

// fleetHolder is one limiter of a leaseFleet.
type fleetHolder struct {
	limiter *aublimit.Limiter
	// nextSyncAt is the time of the next periodic sync.
	nextSyncAt time.Duration
	// sync is the sync in flight, if any; reply is delivered after replySteps.
	sync       *aublimit.Sync
	reply      []byte
	replySteps int
}

func newLeaseFleet(source *fakeSource, instances int) *leaseFleet {
	f := &leaseFleet{clock: aubtimer.NewManual(time.Unix(0, 0))}
	f.log = newFakeLog(source, aublimit.LeaseParams{}, func() time.Duration { return f.now })
	for i := range instances {
		f.holders = append(f.holders, &fleetHolder{
			limiter: aublimit.NewManualLimiter(aubcommon.NewCommon(f.clock), aublimit.LimiterOpts{
				Instance: fmt.Sprint(i), Zone: fmt.Sprint(i), Incarnation: 1, Source: source,
			}),
			nextSyncAt: time.Duration(i) * fleetStep,
		})
	}
	return f
}

func (f *leaseFleet) reserve(req request) func() (bool, bool) {
	startedAt := f.now
	addRunning := func(r aublimit.Reservation) {
		f.running = append(f.running, runningRequest{end: f.now + req.duration, used: req.used, reservation: r})
	}
	r, waiting, err := f.holders[req.instance].limiter.TryReserve(workspace, req.tokens)
	if err != nil || waiting == nil {
		if err == nil {
			addRunning(r)
		}
		return func() (bool, bool) { return err != nil, true }
	}
	return func() (bool, bool) {
		r, done, err := waiting.Result()
		if !done && f.now-startedAt >= aublimit.DefaultMaxWait {
			r, err = waiting.Expire()
			done = true
		}
		if done && err == nil {
			addRunning(r)
		}
		return err != nil, done
	}
}

func (f *leaseFleet) step() {
	f.now += fleetStep
	f.clock.Advance(fleetStep)
	f.running.step(f.now)
	for _, h := range f.holders {
		f.exchange(h)
	}
}

// exchange delivers the reply of the sync in flight, or starts the next sync.
func (f *leaseFleet) exchange(h *fleetHolder) {
	if h.sync != nil {
		if h.replySteps--; h.replySteps > 0 {
			return
		}
		if err := h.sync.HandleReply(h.reply); err != nil {
			panic(err)
		}
		h.sync = nil
	}
	if f.now < h.nextSyncAt && !h.limiter.SyncTriggered() {
		return
	}
	if f.now >= h.nextSyncAt {
		h.nextSyncAt = f.now + aublimit.DefaultSyncInterval
	}
	if s, ok := h.limiter.PrepareSync(); ok {
		f.syncs++
		h.sync, h.reply, h.replySteps = &s, f.log.commit(s.Body()), commitDelaySteps
	}
}

// refusals runs the requests on the fleet and returns which were refused.
func refusals(f fleet, requests []request) []bool {
	refused := make([]bool, len(requests))
	type openRequest struct {
		index int
		poll  func() (bool, bool)
	}
	var waiting []openRequest
	next := 0
	// 5 s beyond the trace let all waits end.
	for now := time.Duration(0); now < traceDuration+5*time.Second; now += fleetStep {
		f.step()
		waiting = slices.DeleteFunc(waiting, func(open openRequest) bool {
			isRefused, known := open.poll()
			refused[open.index] = isRefused
			return known
		})
		for next < len(requests) && requests[next].at <= now {
			waiting = append(waiting, openRequest{index: next, poll: f.reserve(requests[next])})
			next++
		}
	}
	return refused
}

// TestRefusalsWithinRate counts the requests that one ideal bucket would have
// admitted and a policy refused. It prints the table of docs/measurements/limits.md.
func TestRefusalsWithinRate(t *testing.T) {
	maxRefused := map[float64]float64{0.8: 0.005, 0.95: 0.04}
	for _, load := range []float64{0.8, 0.95} {
		for _, p := range patterns() {
			for seed := uint64(1); seed <= 3; seed++ {
				source := newFakeSource(aubapi.Workspace{Name: workspace, Rate: fleetRate, Burst: fleetBurst})
				requests := drawRequests(seed, p, load)
				ideal := refusals(newFixedFleet(source, 1), requests)
				fixedWithin := refusedWithinRate(ideal, refusals(newFixedFleet(source, fleetInstances), requests))
				leasedFleet := newLeaseFleet(source, fleetInstances)
				leasedRefused := refusals(leasedFleet, requests)
				leasedWithin := refusedWithinRate(ideal, leasedRefused)
				t.Logf("| %.2f | %s | %d | %.2f%% | %.2f%% | %.2f%% | %.2f%% | %.1f |", load, p.name, seed, fixedWithin*100, leasedWithin*100,
					refusedShare(ideal)*100, refusedShare(leasedRefused)*100, float64(leasedFleet.syncs)/traceDuration.Seconds())
				qt.Check(t, leasedWithin <= maxRefused[load], qt.IsTrue)
				qt.Check(t, p.name == "even" || fixedWithin > 0.1, qt.IsTrue)
			}
		}
	}
}

// refusedWithinRate returns the fraction, from 0 to 1, of the requests admitted by
// the ideal bucket that were refused.
func refusedWithinRate(ideal, refused []bool) float64 {
	admitted, refusedWithin := 0, 0
	for i := range ideal {
		if ideal[i] {
			continue
		}
		admitted++
		if refused[i] {
			refusedWithin++
		}
	}
	return float64(refusedWithin) / float64(admitted)
}

// refusedShare returns the fraction of all requests that were refused, from 0 to 1.
func refusedShare(refused []bool) float64 {
	n := 0
	for _, r := range refused {
		if r {
			n++
		}
	}
	return float64(n) / float64(len(refused))
}
