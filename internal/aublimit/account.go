package aublimit

import "time"

// account holds this instance's tokens of one workspace. Times are on the
// limiter's monotonic clock unless stated otherwise.
type account struct {
	// leased tokens can be spent until the session's lease expires.
	leased int64
	// spent and returned are leased tokens not yet reported to the table.
	spent    int64
	returned int64
	// credits are unused tokens not yet reported to the table, by the replicated
	// clock at which they were taken.
	credits map[time.Duration]int64
	// debt is the number of tokens used beyond settled reservations. It is paid
	// before new reservations.
	debt int64

	// floor is the token bucket of the floor, nil while this instance has none.
	floor *bucket
	// floorVersion is the version of the floor in use, 0 for none.
	floorVersion uint64
	// confirmedFloorVersion is the floor version last reported to the table.
	confirmedFloorVersion uint64

	demand  demand
	waiters []*waiter
	central centralView
}

// centralView is the state of the central bucket in the last reply.
type centralView struct {
	// known is set by the first reply.
	known      bool
	receivedAt time.Duration
	// level and capacity are in tokens, rateMilli is in 1/1000 token per second.
	level     int64
	rateMilli int64
	capacity  int64
	// short reports that the workspace has too few tokens in the central bucket.
	short bool
	// rateShare is the estimated fraction of the central rate that this instance
	// is granted, from 0 to 1.
	rateShare float64
}

// payment records which tokens paid for a reservation.
type payment struct {
	leasedTokens int64
	floorTokens  int64
	// floorBucket is the floor bucket that was charged. Refunds go to this bucket
	// only, not to one that replaced it.
	floorBucket *bucket
	// replicatedAt is the last known replicated clock at the time of payment.
	replicatedAt time.Duration
	// paidAt is the time of payment on the monotonic clock.
	paidAt time.Duration
}

// waiter is a queued reservation that waits for tokens.
type waiter struct {
	tokens     int64
	enqueuedAt time.Duration
	// ready is closed once the reservation is paid or refused.
	ready   chan struct{}
	payment payment
	paid    bool
	err     error
}

func newAccount() *account {
	return &account{
		credits: make(map[time.Duration]int64),
		central: centralView{rateShare: 1},
	}
}

// isEmpty reports whether the account holds nothing and can be deleted.
func (a *account) isEmpty() bool {
	return a.leased == 0 && a.spent == 0 && a.returned == 0 && a.debt == 0 &&
		len(a.credits) == 0 && len(a.waiters) == 0 && a.floorCapacity() == 0
}

// take pays the debt, then the tokens: first from the lease, which expires
// earlier, then from the floor. It returns false and pays none of the tokens if
// not all are available.
func (a *account) take(now, replicatedAt time.Duration, tokens int64) (payment, bool) {
	a.fillFloor(now)
	a.payDebt(now)
	if a.debt > 0 || a.available() < tokens {
		return payment{}, false
	}
	p := payment{leasedTokens: min(a.leased, tokens), replicatedAt: replicatedAt, paidAt: now}
	p.floorTokens = tokens - p.leasedTokens
	a.leased -= p.leasedTokens
	a.spent += p.leasedTokens
	if p.floorTokens > 0 {
		p.floorBucket = a.floor
		a.floor.take(now, p.floorTokens)
	}
	return p, true
}

// payDebt pays as much of the debt as possible from the lease, then the floor.
func (a *account) payDebt(now time.Duration) {
	if a.debt == 0 {
		return
	}
	paid := min(a.debt, a.leased)
	a.leased -= paid
	a.spent += paid
	a.debt -= paid
	if paid = min(a.debt, a.floorLevel()); paid > 0 {
		a.floor.take(now, paid)
		a.debt -= paid
	}
}

// settle refunds the unused tokens of a reservation: up to the amount paid by the
// floor to the floor, the remainder to the central bucket with the next sync. Use
// beyond the reservation is added to the debt.
func (a *account) settle(now time.Duration, s *settlement, used int64) {
	unused := s.tokens - max(used, 0)
	if unused <= 0 {
		a.debt += -unused
		return
	}
	if refund := min(unused, s.payment.floorTokens); refund > 0 {
		unused -= refund
		if s.payment.floorBucket == a.floor {
			a.fillFloor(now)
			a.floor.credit(s.payment.paidAt, refund)
		}
	}
	if unused > 0 {
		a.credits[s.payment.replicatedAt] += unused
	}
}

// available returns the tokens that can be spent now, as of the last fillFloor.
func (a *account) available() int64 { return a.leased + a.floorLevel() }

func (a *account) floorLevel() int64 {
	if a.floor == nil {
		return 0
	}
	return a.floor.level.wholeTokens()
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
	return a.floor.capacity.wholeTokens()
}

func (a *account) fillFloor(now time.Duration) {
	if a.floor != nil {
		a.floor.fill(now)
	}
}

// setFloor changes the limits of the floor bucket. A new bucket starts empty.
func (a *account) setFloor(now time.Duration, f floor) {
	a.floorVersion = f.version
	if a.floor == nil {
		a.floor = &bucket{filledAt: now}
	}
	a.floor.fill(now)
	a.floor.set(now, f.rateMilli, toMicroTokens(f.burst))
}

// dropFloor ends the use of the floor; its tokens are lost.
func (a *account) dropFloor() {
	a.floor = nil
	a.floorVersion = 0
	a.confirmedFloorVersion = 0
}

// endLease returns the unspent leased tokens with the next sync.
func (a *account) endLease() {
	a.returned += a.leased
	a.leased = 0
}

// discardLease clears all amounts of a lease that the table has ended.
func (a *account) discardLease() {
	a.leased = 0
	a.spent = 0
	a.returned = 0
}

// pendingTokens returns the tokens needed by the waiters and the debt.
func (a *account) pendingTokens() int64 {
	sum := a.debt
	for _, w := range a.waiters {
		sum += w.tokens
	}
	return sum
}
