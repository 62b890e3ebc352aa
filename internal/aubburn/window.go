// Package aubburn counts good and bad events against service-level objectives
// and reports how fast each error budget burns.
package aubburn

import (
	"slices"
	"time"
)

const (
	// fineSlotWidth and coarseSlotWidth are the resolutions of the two slot series.
	fineSlotWidth   = 10 * time.Second
	coarseSlotWidth = 10 * time.Minute
	// fineSpan is the longest window that the fine slots cover.
	fineSpan = 30 * time.Minute
)

// Windows are the lengths of the burn rate windows, shortest first.
var Windows = []time.Duration{
	5 * time.Minute, 30 * time.Minute, time.Hour, 2 * time.Hour, 6 * time.Hour, 24 * time.Hour, 72 * time.Hour,
}

// slot holds the event counts of one time slot; number is its start divided by
// the slot width.
type slot struct {
	number int64
	good   int64
	bad    int64
}

// slotSeries holds the time slots with events, oldest first.
type slotSeries struct {
	width time.Duration
	// span is the longest window that sum is called with.
	span  time.Duration
	slots []slot
}

// add counts events at elapsed, which must not decrease from call to call.
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

// dropExpired removes the slots that are older than the span.
func (s *slotSeries) dropExpired(elapsed time.Duration) {
	oldestNumber := int64((elapsed - s.span) / s.width)
	retainedFrom := slices.IndexFunc(s.slots, func(sl slot) bool { return sl.number >= oldestNumber })
	if retainedFrom > 0 {
		s.slots = slices.Delete(s.slots, 0, retainedFrom)
	}
}

// sum returns the counts of the window that ends at elapsed.
func (s *slotSeries) sum(elapsed, window time.Duration) (good, bad int64) {
	oldestNumber := int64((elapsed - window) / s.width)
	for i := len(s.slots) - 1; i >= 0 && s.slots[i].number > oldestNumber; i-- {
		good += s.slots[i].good
		bad += s.slots[i].bad
	}
	return good, bad
}

// counter counts the events of one objective of one flow.
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

// sum returns the counts of a window, from the fine slots if they cover it.
func (c *counter) sum(elapsed, window time.Duration) (good, bad int64) {
	if window <= fineSpan {
		return c.fine.sum(elapsed, window)
	}
	return c.coarse.sum(elapsed, window)
}
