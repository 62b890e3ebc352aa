package aubregistry

import (
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// ObserveRegistrations sets a function that is called, with the lock held, with each
// registration that is applied. It must not call the registry.
func (r *Registry) ObserveRegistrations(observe func(record *aubwire.BackendRecord)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe = observe
}

// ColdLeft returns how much longer backend servers stay cold, by their ids, as far as their
// newest registrations say. Warm ones are left out.
func (r *Registry) ColdLeft() map[string]time.Duration {
	now := r.common.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	cold := make(map[string]time.Duration)
	for id, e := range r.entries {
		if left := e.coldLeft(now); left > 0 && r.isPresent(e) {
			cold[id] = left
		}
	}
	return cold
}

// coldLeft returns how much longer the backend server stays cold.
func (e *entry) coldLeft(now time.Time) time.Duration {
	left := time.Duration(e.record.GetColdRemainingMs()) * time.Millisecond
	return max(left-now.Sub(e.receivedAt), 0)
}

// agedRecord returns the record with the times now for which the backend server stays cold and
// for which an unconfirmed record may be used.
func (e *entry) agedRecord(now time.Time) *aubwire.BackendRecord {
	if e.record.GetColdRemainingMs() == 0 && !e.isUnconfirmed() {
		return e.record
	}
	aged := cloneRecord(e.record)
	aged.ColdRemainingMs = (e.coldLeft(now) + time.Millisecond - 1).Milliseconds()
	if e.isUnconfirmed() {
		aged.UnconfirmedMs = max(e.unconfirmedUntil.Sub(now).Milliseconds(), 1)
	}
	return aged
}

// isColdChange reports whether a backend server that was registered with the record a has
// become cold, again or warm with b, so that relays must know at once.
func isColdChange(a, b *aubwire.BackendRecord) bool {
	return a.GetColdRemainingMs() > 0 != (b.GetColdRemainingMs() > 0) || b.GetColdRemainingMs() > a.GetColdRemainingMs()
}
