package aubpoison

import (
	"maps"
	"sync"
	"time"

	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// viewEntry is the newest received status of one fingerprint.
type viewEntry struct {
	index        uint64
	status       Status
	trialAt      time.Time
	groupTrialAt time.Time
	expiresAt    time.Time
}

// View is the copy of the table in a process without a replica. It merges the statuses
// that control processes send; of each fingerprint the newest one in the log counts.
//
// Lock order: mu is a leaf lock.
type View struct {
	timer aubtimer.Service

	mu      sync.RWMutex
	entries map[string]viewEntry
}

// NewView returns an empty view.
func NewView(timer aubtimer.Service) *View {
	return &View{timer: timer, entries: make(map[string]viewEntry)}
}

// Merge applies received statuses.
func (v *View) Merge(statuses []*aubwire.PoisonStatus) {
	if len(statuses) == 0 {
		return
	}
	now := v.timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	maps.DeleteFunc(v.entries, func(_ string, e viewEntry) bool { return !now.Before(e.expiresAt) })
	for _, s := range statuses {
		if stored, ok := v.entries[s.GetFingerprint()]; ok && stored.index >= s.GetIndex() {
			continue
		}
		entry := viewEntry{
			index:        s.GetIndex(),
			status:       Status{Crashes: int(s.GetDeaths()), IsProven: s.GetProven()},
			trialAt:      now.Add(milliseconds(s.GetTrialInMs())),
			groupTrialAt: now.Add(milliseconds(s.GetGroupTrialInMs())),
			expiresAt:    now.Add(milliseconds(s.GetExpiresInMs())),
		}
		switch {
		case s.GetBlocked():
			entry.status.Verdict = VerdictBlocked
		case s.GetDeaths() > 0:
			entry.status.Verdict = VerdictSuspect
		}
		v.entries[s.GetFingerprint()] = entry
	}
	evictFirst(v.entries, maxSuspects, func(e viewEntry) time.Duration { return e.expiresAt.Sub(now) })
}

// Status implements Source.
func (v *View) Status(fingerprint string) Status {
	now := v.timer.Now()
	v.mu.RLock()
	defer v.mu.RUnlock()
	entry, ok := v.entries[fingerprint]
	if !ok || !now.Before(entry.expiresAt) {
		return Status{}
	}
	entry.status.TrialIn = max(0, entry.trialAt.Sub(now))
	entry.status.GroupTrialIn = max(0, entry.groupTrialAt.Sub(now))
	return entry.status
}
