// Package aubburn counts good and bad events against service-level objectives
// and reports how fast each error budget burns.
package aubburn

import (
	"slices"
	"time"
)

const (
	// fineSlot and coarseSlot are the resolutions of the two rings.
	fineSlot   = 10 * time.Second
	coarseSlot = 10 * time.Minute
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

// slots holds the slots that counted anything, oldest first.
type slots struct {
	width time.Duration
	span  time.Duration
	list  []slot
}

// add counts events at a moment that never goes back.
func (s *slots) add(at time.Duration, good, bad int64) {
	number := int64(at / s.width)
	if n := len(s.list); n > 0 && s.list[n-1].number == number {
		s.list[n-1].good += good
		s.list[n-1].bad += bad
		return
	}
	s.list = append(s.list, slot{number: number, good: good, bad: bad})
	s.drop(at)
}

// drop removes the slots that no window reaches any more.
func (s *slots) drop(at time.Duration) {
	oldest := int64((at - s.span) / s.width)
	first := slices.IndexFunc(s.list, func(sl slot) bool { return sl.number >= oldest })
	if first > 0 {
		s.list = slices.Delete(s.list, 0, first)
	}
}

// sum returns the counts of the window that ends at the moment.
func (s *slots) sum(at, window time.Duration) (good, bad int64) {
	oldest := int64((at - window) / s.width)
	for i := len(s.list) - 1; i >= 0 && s.list[i].number > oldest; i-- {
		good += s.list[i].good
		bad += s.list[i].bad
	}
	return good, bad
}

// counter counts one objective of one flow.
type counter struct {
	fine   slots
	coarse slots
}

func newCounter() *counter {
	return &counter{
		fine:   slots{width: fineSlot, span: fineSpan},
		coarse: slots{width: coarseSlot, span: Windows[len(Windows)-1]},
	}
}

func (c *counter) add(at time.Duration, good, bad int64) {
	c.fine.add(at, good, bad)
	c.coarse.add(at, good, bad)
}

func (c *counter) sum(at, window time.Duration) (good, bad int64) {
	if window <= fineSpan {
		return c.fine.sum(at, window)
	}
	return c.coarse.sum(at, window)
}
