package aublimit

import "time"

// bucket is a token bucket whose outstanding leased tokens count against its
// capacity. Its clock must be monotonic and must not run fast.
type bucket struct {
	level     micro
	capacity  micro
	lent      micro
	rateMilli int64
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
	b.record(now)
}

// refill returns the amount added in the given time, at most the free capacity.
func (b *bucket) refill(milliseconds int64) micro {
	room := b.room()
	if room <= 0 || b.rateMilli <= 0 {
		return 0
	}
	// 1/1000 token per second equals 1/1,000,000 token per millisecond.
	if milliseconds > int64(room)/b.rateMilli {
		return room
	}
	return micro(b.rateMilli * milliseconds)
}

// set changes the rate and the capacity. The caller calls fill first.
func (b *bucket) set(now time.Duration, rateMilli int64, capacity micro) {
	rateMilli = max(rateMilli, 0)
	if rateMilli != b.rateMilli {
		// The fraction of a millisecond not yet refilled belongs to the old rate.
		b.filledAt = now
		b.rateMilli = rateMilli
	}
	b.capacity = max(capacity, 0)
	b.add(0)
	b.record(now)
}

// take removes the tokens, at most the level. Callers check the level first.
func (b *bucket) take(now time.Duration, tokens int64) {
	b.level -= min(toMicro(tokens), b.level)
	b.record(now)
}

// lease moves the tokens, at most the level, to the outstanding tokens and
// returns the number moved.
func (b *bucket) lend(tokens int64) int64 {
	n := min(max(tokens, 0), b.level.tokens())
	b.level -= toMicro(n)
	b.lent += toMicro(n)
	return n
}

// removeOutstanding removes outstanding tokens that were spent or lost.
func (b *bucket) spend(now time.Duration, tokens int64) {
	b.lent -= toMicro(tokens)
	b.record(now)
}

// returnOutstanding moves outstanding tokens back to the level.
func (b *bucket) takeBack(now time.Duration, tokens int64) {
	b.lent -= toMicro(tokens)
	b.add(toMicro(tokens))
	b.record(now)
}

// credit adds unused tokens that were taken at or after since, at most the
// minimum headroom from then until now.
func (b *bucket) credit(since time.Duration, tokens int64) {
	m := min(toMicro(tokens), b.headrooms.leastSince(since))
	b.headrooms.fill(since, m)
	b.add(m)
}

func (b *bucket) add(m micro) { b.level = min(b.level+m, max(b.capacity-b.lent, 0)) }

func (b *bucket) room() micro { return b.capacity - b.lent - b.level }

func (b *bucket) record(now time.Duration) { b.headrooms.record(now, b.room()) }
