package aublimit

import "time"

// bucket is a token bucket whose lent amounts count against its capacity. Its
// time is any clock that never goes back and never runs fast.
type bucket struct {
	level     micro
	capacity  micro
	lent      micro
	rateMilli int64
	filledAt  time.Duration
	headrooms headrooms
}

// fill adds what the rate gave until now.
func (b *bucket) fill(now time.Duration) {
	elapsed := int64((now - b.filledAt) / time.Millisecond)
	if elapsed > 0 {
		b.filledAt += time.Duration(elapsed) * time.Millisecond
		b.add(b.refill(elapsed))
	}
	b.record(now)
}

// refill returns what the rate gives in the milliseconds, at most the room.
func (b *bucket) refill(milliseconds int64) micro {
	room := b.room()
	if room <= 0 || b.rateMilli <= 0 {
		return 0
	}
	// A thousandth of a token a second is a millionth a millisecond.
	if milliseconds > int64(room)/b.rateMilli {
		return room
	}
	return micro(b.rateMilli * milliseconds)
}

// set changes the rate and the capacity; fill comes first.
func (b *bucket) set(now time.Duration, rateMilli int64, capacity micro) {
	rateMilli = max(rateMilli, 0)
	if rateMilli != b.rateMilli {
		// What is left of a millisecond was not meant for the new rate.
		b.filledAt = now
		b.rateMilli = rateMilli
	}
	b.capacity = max(capacity, 0)
	b.add(0)
	b.record(now)
}

// take removes up to the tokens; callers look at the level first.
func (b *bucket) take(now time.Duration, tokens int64) {
	b.level -= min(toMicro(tokens), b.level)
	b.record(now)
}

// lend moves up to the tokens from the level to what is lent.
func (b *bucket) lend(tokens int64) int64 {
	n := min(max(tokens, 0), b.level.tokens())
	b.level -= toMicro(n)
	b.lent += toMicro(n)
	return n
}

// spend forgets lent tokens that are used or lost.
func (b *bucket) spend(now time.Duration, tokens int64) {
	b.lent -= toMicro(tokens)
	b.record(now)
}

// takeBack moves lent tokens back to the level.
func (b *bucket) takeBack(now time.Duration, tokens int64) {
	b.lent -= toMicro(tokens)
	b.add(toMicro(tokens))
	b.record(now)
}

// credit gives back tokens that were taken at or after the moment and never
// used, as far as there was room for them all the time.
func (b *bucket) credit(since time.Duration, tokens int64) {
	m := min(toMicro(tokens), b.headrooms.leastSince(since))
	b.headrooms.fill(since, m)
	b.add(m)
}

func (b *bucket) add(m micro) { b.level = min(b.level+m, max(b.capacity-b.lent, 0)) }

func (b *bucket) room() micro { return b.capacity - b.lent - b.level }

func (b *bucket) record(now time.Duration) { b.headrooms.record(now, b.room()) }
