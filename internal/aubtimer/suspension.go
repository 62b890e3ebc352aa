package aubtimer

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// suspensionTolerance is the shortest suspension that is noticed.
const suspensionTolerance = 20 * time.Millisecond

// SinceBoot returns the time since the start of the machine, including that in which it was suspended, or
// false if it is not known. The clock of Service stands still meanwhile.
func SinceBoot() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}

// SuspensionWatch notices that the machine was suspended: by the clock of a Service, what was received
// before looks newer than it is.
//
// Lock order: mu is a leaf lock.
type SuspensionWatch struct {
	timer     Service
	sinceBoot func() (time.Duration, bool)
	startedAt time.Time

	mu sync.Mutex
	// maxLead is an upper bound of how far sinceBoot is ahead of the timer; it grows by each suspension.
	maxLead   time.Duration
	resumedAt time.Time
}

// NewSuspensionWatch returns a watch that compares the clock of the timer with sinceBoot, or notices
// nothing if sinceBoot is nil.
func NewSuspensionWatch(timer Service, sinceBoot func() (time.Duration, bool)) *SuspensionWatch {
	w := &SuspensionWatch{timer: timer, sinceBoot: sinceBoot, startedAt: timer.Now()}
	if _, maxLead, ok := w.lead(); ok {
		w.maxLead = maxLead
	} else {
		w.sinceBoot = nil
	}
	return w
}

// ResumedAt returns a time after the end of the last suspension, the zero time if there was none.
func (w *SuspensionWatch) ResumedAt() time.Time {
	minLead, maxLead, ok := w.lead()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !ok:
	case minLead > w.maxLead+suspensionTolerance:
		w.maxLead, w.resumedAt = maxLead, w.timer.Now()
	default:
		w.maxLead = min(w.maxLead, maxLead)
	}
	return w.resumedAt
}

// lead returns bounds of how far sinceBoot is ahead of the timer. The process may be held up between the
// readings of the two clocks.
func (w *SuspensionWatch) lead() (minLead, maxLead time.Duration, ok bool) {
	if w.sinceBoot == nil {
		return 0, 0, false
	}
	before := w.timer.Now()
	boot, ok := w.sinceBoot()
	after := w.timer.Now()
	return boot - after.Sub(w.startedAt), boot - before.Sub(w.startedAt), ok
}
