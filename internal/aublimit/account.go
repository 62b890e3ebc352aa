package aublimit

import "time"

// account is what this instance holds of one workspace. Moments are on the
// limiter's monotonic clock unless they are of the replicated clock.
type account struct {
	// lease may be spent until the session's lease ends.
	lease int64
	// spent and returned of the lease, not reported yet.
	spent    int64
	returned int64
	// credits to report, by the moment of the replicated clock since which they
	// were taken.
	credits map[time.Duration]int64
	debt    int64

	floor        *bucket
	floorVersion uint64
	// confirmed is the floor version last reported.
	confirmed uint64

	demand  demand
	waiters []*waiter
	central centralView
}

// centralView is the central bucket as the last reply described it.
type centralView struct {
	known     bool
	at        time.Duration
	level     int64
	rateMilli int64
	capacity  int64
	short     bool
	// share of the rate that this instance was seen to get, from 0 to 1.
	share float64
}

// parts says how a reservation was paid.
type parts struct {
	lease int64
	floor int64
	// from is the floor bucket that paid; a later one owes nothing.
	from *bucket
	// since is the replicated clock, at the monotonic moment, known when paying.
	since time.Duration
	at    time.Duration
}

// waiter is one reservation that waits for tokens.
type waiter struct {
	tokens int64
	since  time.Duration
	ready  chan struct{}
	parts  parts
	paid   bool
	err    error
}

func newAccount() *account {
	return &account{
		credits: make(map[time.Duration]int64),
		central: centralView{share: 1},
	}
}

// isEmpty reports whether the account can be dropped.
func (a *account) isEmpty() bool {
	return a.lease == 0 && a.spent == 0 && a.returned == 0 && a.debt == 0 &&
		len(a.credits) == 0 && len(a.waiters) == 0 && a.floorCapacity() == 0
}

// take pays for the tokens from the lease first, since it ends soonest, after
// any debt. It reports false and pays nothing of them when they are not there.
func (a *account) take(now, since time.Duration, tokens int64) (parts, bool) {
	a.fillFloor(now)
	a.payDebt(now)
	if a.debt > 0 || a.available() < tokens {
		return parts{}, false
	}
	p := parts{lease: min(a.lease, tokens), since: since, at: now}
	p.floor = tokens - p.lease
	a.lease -= p.lease
	a.spent += p.lease
	if p.floor > 0 {
		p.from = a.floor
		a.floor.take(now, p.floor)
	}
	return p, true
}

func (a *account) payDebt(now time.Duration) {
	if a.debt == 0 {
		return
	}
	paid := min(a.debt, a.lease)
	a.lease -= paid
	a.spent += paid
	a.debt -= paid
	if paid = min(a.debt, a.floorLevel()); paid > 0 {
		a.floor.take(now, paid)
		a.debt -= paid
	}
}

// settle gives back what a reservation did not use: to the floor as far as it
// paid, the rest to the central bucket with the next sync.
func (a *account) settle(now time.Duration, s *settlement, used int64) {
	unused := s.tokens - max(used, 0)
	if unused <= 0 {
		a.debt += -unused
		return
	}
	if back := min(unused, s.parts.floor); back > 0 {
		unused -= back
		if s.parts.from == a.floor {
			a.fillFloor(now)
			a.floor.credit(s.parts.at, back)
		}
	}
	if unused > 0 {
		a.credits[s.parts.since] += unused
	}
}

func (a *account) available() int64 { return a.lease + a.floorLevel() }

func (a *account) floorLevel() int64 {
	if a.floor == nil {
		return 0
	}
	return a.floor.level.tokens()
}

func (a *account) floorRate() int64 {
	if a.floor == nil {
		return 0
	}
	return a.floor.rateMilli
}

func (a *account) floorCapacity() int64 {
	if a.floor == nil {
		return 0
	}
	return a.floor.capacity.tokens()
}

func (a *account) fillFloor(now time.Duration) {
	if a.floor != nil {
		a.floor.fill(now)
	}
}

// setFloor acts by another floor. A new one starts empty.
func (a *account) setFloor(now time.Duration, f floor) {
	a.floorVersion = f.version
	if a.floor == nil {
		a.floor = &bucket{filledAt: now}
	}
	a.floor.fill(now)
	a.floor.set(now, f.rateMilli, toMicro(f.burst))
}

func (a *account) dropFloor() {
	a.floor = nil
	a.floorVersion = 0
	a.confirmed = 0
}

// endLease makes what is left of the lease unspendable and gives it back.
func (a *account) endLease() {
	a.returned += a.lease
	a.lease = 0
}

// forgetLease drops everything that refers to a lease the table has ended.
func (a *account) forgetLease() {
	a.lease = 0
	a.spent = 0
	a.returned = 0
}

// waiting returns the tokens that waiters and the debt need.
func (a *account) waiting() int64 {
	sum := a.debt
	for _, w := range a.waiters {
		sum += w.tokens
	}
	return sum
}
