package aublimit_test

import (
	"testing"
	"time"

	"github.com/auburndale/auburndale/internal/aublimit"
)

// leaseUnspent leases the tokens to the holder and leaves them unspent.
func (sim *simulation) leaseUnspent(h *holder, tokens int64) {
	_, waiting, err := h.limiter.TryReserve(workspace, tokens)
	if err != nil || waiting == nil {
		sim.Fatalf("reservation of %d tokens does not wait: %v", tokens, err)
	}
	s, ok := h.limiter.PrepareSync()
	if !ok {
		sim.Fatal("no sync is due")
	}
	if _, err := waiting.Expire(); err == nil {
		sim.Fatal("tokens were granted without a sync")
	}
	reply := sim.log.commit(s.Body())
	if err := s.HandleReply(reply); err != nil {
		sim.Fatal(err)
	}
}

// exchangeRepeated exchanges one sync, committed several times, and returns the
// command.
func (sim *simulation) exchangeRepeated(h *holder, times int) []byte {
	s, ok := h.limiter.PrepareSync()
	if !ok {
		sim.Fatal("no sync is due")
	}
	reply := sim.log.commit(s.Body())
	for range times - 1 {
		sim.log.commit(s.Body())
	}
	if err := s.HandleReply(reply); err != nil {
		sim.Fatal(err)
	}
	return s.Body()
}

// spendAll reserves decreasing amounts until all reservations are refused.
func (sim *simulation) spendAll(h *holder) {
	for _, tokens := range []int64{150, 50, 20, 5, 1} {
		for before := -1; before < len(sim.spendings); {
			before = len(sim.spendings)
			sim.reserve(h, tokens)
			if !h.losesRequests {
				sim.exchange(h)
			}
			sim.collectWaits(h, true)
		}
	}
}

// mustReserve reserves tokens and fails the test if they are not granted.
func (sim *simulation) mustReserve(h *holder, tokens int64) *spending {
	before := len(sim.spendings)
	sim.reserve(h, tokens)
	sim.exchange(h)
	sim.exchange(h)
	if len(sim.spendings) == before {
		sim.Fatalf("%d tokens were not granted", tokens)
	}
	return sim.spendings[len(sim.spendings)-1]
}

// settle settles the reservation and counts only the used tokens from now on.
func (s *spending) settle(used int64) {
	s.used = used
	s.reservation.Settle(used)
}

// TestLimitSafetyRules has one scenario for each rule that keeps the spending
// within the limits. Each scenario is constructed to exceed them without its rule.
func TestLimitSafetyRules(t *testing.T) {
	const noFloors = -1
	shortFloors := leaseParams(noFloors)
	shortFloors.FloorLease, shortFloors.FloorMargin = 4*time.Second, time.Millisecond
	cases := []struct {
		name   string
		params aublimit.LeaseParams
		run    func(sim *simulation, a, b *holder)
	}{
		{
			name:   "leased tokens count against the burst",
			params: leaseParams(noFloors),
			run: func(sim *simulation, a, b *holder) {
				sim.leaseUnspent(a, 200)
				sim.advance(2900*time.Millisecond, 1000)
				sim.spendAll(b)
				a.losesRequests = true
				sim.spendAll(a)
			},
		},
		{
			name:   "a holder ends its lease by its own clock",
			params: leaseParams(noFloors),
			run: func(sim *simulation, a, b *holder) {
				sim.leaseUnspent(a, 200)
				a.losesRequests = true
				for range 10 {
					sim.advance(time.Second, 1000)
					sim.exchange(b)
				}
				sim.spendAll(b)
				sim.spendAll(a)
			},
		},
		{
			name:   "a lease is counted from a time before its sync was sent",
			params: leaseParams(noFloors),
			run: func(sim *simulation, a, b *holder) {
				sim.reserve(a, 200)
				sim.sendSync(a)
				sim.collectWaits(a, true)
				sim.advance(2900*time.Millisecond, 1000)
				sim.deliverReply(a)
				a.losesRequests = true
				for range 10 {
					sim.advance(280*time.Millisecond, 1000)
					sim.exchange(b)
				}
				sim.spendAll(b)
				sim.spendAll(a)
			},
		},
		{
			name:   "the table allows for a holder with a slow clock",
			params: leaseParams(noFloors),
			run: func(sim *simulation, a, b *holder) {
				a.clockLossPerMille = 100
				sim.leaseUnspent(a, 200)
				a.losesRequests = true
				sim.advance(3050*time.Millisecond, 1000)
				sim.exchange(b)
				sim.advance(250*time.Millisecond, 1000)
				sim.spendAll(b)
				sim.spendAll(a)
			},
		},
		{
			name:   "a duplicate sync returns tokens once",
			params: leaseParams(noFloors),
			run: func(sim *simulation, a, b *holder) {
				sim.leaseUnspent(a, 200)
				sim.advance(2*time.Second, 1000)
				sim.exchangeRepeated(a, 2)
				sim.spendAll(b)
				a.losesRequests = true
				sim.spendAll(a)
			},
		},
		{
			name:   "a sync of an expired session credits nothing",
			params: shortFloors,
			run: func(sim *simulation, a, b *holder) {
				sim.spendAll(b)
				sim.advance(time.Second, 1000)
				s := sim.mustReserve(a, 90)
				s.settle(0)
				sim.advance(100*time.Millisecond, 1000)
				lateSync := sim.exchangeRepeated(a, 1)
				sim.spendAll(b)
				for range 10 {
					sim.advance(time.Second, 1000)
					sim.spendAll(b)
				}
				sim.log.commit(lateSync)
				sim.advance(10*time.Millisecond, 1000)
				sim.spendAll(b)
			},
		},
		{
			name:   "unused tokens are credited only up to the minimum headroom",
			params: leaseParams(noFloors),
			run: func(sim *simulation, a, b *holder) {
				s := sim.mustReserve(a, 100)
				sim.advance(10*time.Second, 1000)
				sim.exchange(a)
				sim.spendAll(b)
				s.settle(0)
				sim.exchange(a)
				sim.spendAll(b)
			},
		},
		{
			name:   "the same headroom is credited for one reservation only",
			params: leaseParams(noFloors),
			run: func(sim *simulation, a, b *holder) {
				sim.spendAll(b)
				sim.advance(2*time.Second, 1000)
				sim.exchange(a)
				first := sim.mustReserve(a, 100)
				sim.advance(10*time.Millisecond, 1000)
				sim.exchange(a)
				second := sim.mustReserve(a, 100)
				// A headroom of 100 remains, enough for one of the two reservations.
				sim.advance(2*time.Second, 1000)
				sim.spendAll(b)
				first.settle(0)
				second.settle(0)
				sim.exchange(a)
				sim.spendAll(b)
			},
		},
		{
			name:   "floors of processes that may still run stay within the floors' part",
			params: leaseParams(800),
			run: func(sim *simulation, _, _ *holder) {
				for range 2 {
					sim.restart(0, false)
					sim.exchange(sim.holders[len(sim.holders)-1])
				}
				sim.advance(time.Minute, 1000)
				for _, h := range sim.holders {
					h.losesRequests = true
					sim.spendAll(h)
				}
			},
		},
		{
			name:   "floors are subtracted from the central rate",
			params: leaseParams(500),
			run: func(sim *simulation, a, b *holder) {
				for range 60 {
					sim.advance(500*time.Millisecond, 1000)
					sim.spendAll(a)
					sim.spendAll(b)
				}
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t, 2, c.params)
			c.run(sim, sim.holders[0], sim.holders[1])
			if len(sim.spendings) < 2 {
				t.Fatal("nothing was spent")
			}
			sim.checkLimits()
		})
	}
}
