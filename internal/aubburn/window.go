// Package aubburn counts good and bad events against service-level objectives
// and reports how fast each error budget burns.
package aubburn

import (
	"slices"
	"time"
)

const (
	// fineSlotWidth and coarseSlot are the resolutions of the two rings.
	fineSlotWidth   = 10 * time.Second
	coarseSlotWidth = 10 * time.Minute
	// fineSpan is how far back the fine slots reach.
	fineSpan = 30 * time.Minute
)

// Windows are the windows of the burn rates, shortest first.
var Windows = []time.Duration{
	5 * time.Minute, 30 * time.Minute, time.Hour, 2 * time.Hour, 6 * time.Hour, 24 * time.Hour, 72 * time.Hour,
}

// slot is the count of one stretch of time.
type slot struct {
	number int64
	good   int64
	bad    int64
}

// slotSeries holds the slotSeries that counted anything, oldest first.
type slotSeries struct {
	width time.Duration
	span  time.Duration
	slots []slot
}

// add counts events at a moment that never goes back.
func (s *slotSeries) add(elapsed time.Duration, good, bad int64) {
	number := int64(elapsed / s.width)
	if n := len(s.slots); n > 0 && s.slots[n-1].number == number {
		s.slots[n-1].good += good
		s.slots[n-1].bad += bad
		return
	}
	s.slots = append(s.slots, slot{number: number, good: good, bad: bad})
	s.dropExpired(elapsed)
}

// dropExpired removes the slots that no window reaches any more.
func (s *slotSeries) dropExpired(elapsed time.Duration) {
	oldestNumber := int64((elapsed - s.span) / s.width)
	retainedFrom := slices.IndexFunc(s.slots, func(sl slot) bool { return sl.number >= oldestNumber })
	if retainedFrom > 0 {
		s.slots = slices.Delete(s.slots, 0, retainedFrom)
	}
}

// sum returns the counts of the window that ends at the moment.
func (s *slotSeries) sum(elapsed, window time.Duration) (good, bad int64) {
	oldestNumber := int64((elapsed - window) / s.width)
	for i := len(s.slots) - 1; i >= 0 && s.slots[i].number > oldestNumber; i-- {
		good += s.slots[i].good
		bad += s.slots[i].bad
	}
	return good, bad
}

// counter counts one objective of one flow.
type counter struct {
	fine   slotSeries
	coarse slotSeries
}

func newCounter() *counter {
	return &counter{
		fine:   slotSeries{width: fineSlotWidth, span: fineSpan},
		coarse: slotSeries{width: coarseSlotWidth, span: Windows[len(Windows)-1]},
	}
}

func (c *counter) add(elapsed time.Duration, good, bad int64) {
	c.fine.add(elapsed, good, bad)
	c.coarse.add(elapsed, good, bad)
}

func (c *counter) sum(elapsed, window time.Duration) (good, bad int64) {
	if window <= fineSpan {
		return c.fine.sum(elapsed, window)
	}
	return c.coarse.sum(elapsed, window)
}
