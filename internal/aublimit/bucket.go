package aublimit

import "time"

// bucket is a token bucket whose outstanding leased tokens count against its
// capacity. Its clock must be monotonic and must not run fast.
type bucket struct {
	level    microTokens
	capacity microTokens
	// outstanding is the amount leased to holders and not yet spent or returned.
	outstanding microTokens
	// rateMilli is in 1/1000 token per second.
	rateMilli int64
	// filledAt is the time of the last refill, in whole milliseconds since the start
	// or the last change of the rate.
	filledAt  time.Duration
	headrooms headrooms
}

// fill refills the bucket at its rate until now.
func (b *bucket) fill(now time.Duration) {
	elapsed := int64((now - b.filledAt) / time.Millisecond)
	if elapsed > 0 {
		b.filledAt += time.Duration(elapsed) * time.Millisecond
		b.add(b.refill(elapsed))
	}
	b.recordHeadroom(now)
}

// refill returns the amount added in the given time, at most the free capacity.
func (b *bucket) refill(milliseconds int64) microTokens {
	free := b.freeCapacity()
	if free <= 0 || b.rateMilli <= 0 {
		return 0
	}
	// 1/1000 token per second equals 1/1,000,000 token per millisecond.
	if milliseconds > int64(free)/b.rateMilli {
		return free
	}
	return microTokens(b.rateMilli * milliseconds)
}

// set changes the rate and the capacity. The caller calls fill first.
func (b *bucket) set(now time.Duration, rateMilli int64, capacity microTokens) {
	rateMilli = max(rateMilli, 0)
	if rateMilli != b.rateMilli {
		// The fraction of a millisecond not yet refilled belongs to the old rate.
		b.filledAt = now
		b.rateMilli = rateMilli
	}
	b.capacity = max(capacity, 0)
	b.add(0)
	b.recordHeadroom(now)
}

// take removes the tokens, at most the level. Callers check the level first.
func (b *bucket) take(now time.Duration, tokens int64) {
	b.level -= min(toMicroTokens(tokens), b.level)
	b.recordHeadroom(now)
}

// lease moves the tokens, at most the level, to the outstanding tokens and
// returns the number moved.
func (b *bucket) lease(tokens int64) int64 {
	n := min(max(tokens, 0), b.level.wholeTokens())
	b.level -= toMicroTokens(n)
	b.outstanding += toMicroTokens(n)
	return n
}

// removeOutstanding removes outstanding tokens that were spent or lost.
func (b *bucket) removeOutstanding(now time.Duration, tokens int64) {
	b.outstanding -= toMicroTokens(tokens)
	b.recordHeadroom(now)
}

// returnOutstanding moves outstanding tokens back to the level.
func (b *bucket) returnOutstanding(now time.Duration, tokens int64) {
	b.outstanding -= toMicroTokens(tokens)
	b.add(toMicroTokens(tokens))
	b.recordHeadroom(now)
}

// credit adds unused tokens that were taken at or after since, at most the
// minimum headroom from then until now.
func (b *bucket) credit(since time.Duration, tokens int64) {
	amount := min(toMicroTokens(tokens), b.headrooms.minSince(since))
	b.headrooms.reduce(since, amount)
	b.add(amount)
}

// add adds the amount to the level, up to the capacity without outstanding tokens.
func (b *bucket) add(amount microTokens) {
	b.level = min(b.level+amount, max(b.capacity-b.outstanding, 0))
}

func (b *bucket) freeCapacity() microTokens { return b.capacity - b.outstanding - b.level }

func (b *bucket) recordHeadroom(now time.Duration) { b.headrooms.record(now, b.freeCapacity()) }
