package aubsite

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// Decode decodes and checks the document of a revision. Errors are *InvalidError.
type Decode func(document []byte) (*Site, error)

// announcementLifetime is the age above which the last announcement of a control process
// no longer shows that the active revision is the newest.
const announcementLifetime = 1500 * time.Millisecond

// ActiveSite holds the active configuration of a process. Its revision number never
// decreases while the process runs.
//
// Lock order: mu is a leaf lock.
type ActiveSite struct {
	common aubcommon.Common
	decode Decode

	mu   sync.RWMutex
	site *Site
	// newest is the highest revision number that a control process announced; announcedAt
	// is when one last announced its newest revision.
	newest      uint64
	announcedAt time.Time
	// pending holds the announced revisions above the active one, oldest first.
	pending []announcement
}

// announcement is when a revision was first announced.
type announcement struct {
	number uint64
	at     time.Time
}

// NewActiveSite returns an ActiveSite without a configuration.
func NewActiveSite(common aubcommon.Common, decode Decode) *ActiveSite {
	return &ActiveSite{common: common.WithPart("site"), decode: decode}
}

// Site returns the active configuration, nil before the first.
func (a *ActiveSite) Site() *Site {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.site
}

// NamesService reports whether the active configuration names the service; true before the first one.
func (a *ActiveSite) NamesService(name string) bool {
	site := a.Site()
	if site == nil {
		return true
	}
	_, ok := site.Service(name)
	return ok
}

// Announce records the number of the newest committed revision as a control process
// knows it.
func (a *ActiveSite) Announce(newest uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.announcedAt = a.common.Timer.Now()
	if newest <= a.newest {
		return
	}
	a.newest = newest
	if a.site == nil || a.site.Number() < newest {
		a.pending = append(a.pending, announcement{number: newest, at: a.announcedAt})
	}
	a.common.Metrics.Gauge("announced_revision").Update(float64(newest))
}

// IsNewest reports whether the revision is the newest that control processes announced,
// the last of them within announcementLifetime. Otherwise a newer one may be committed.
func (a *ActiveSite) IsNewest(number uint64) bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return number >= a.newest && a.common.Timer.Now().Sub(a.announcedAt) <= announcementLifetime
}

// OutdatedFor returns how long ago the first revision above the given one was announced,
// 0 if none was.
func (a *ActiveSite) OutdatedFor(number uint64) time.Duration {
	a.mu.RLock()
	defer a.mu.RUnlock()
	for _, p := range a.pending {
		if p.number > number {
			return a.common.Timer.Now().Sub(p.at)
		}
	}
	return 0
}

// dropPending removes the announcements up to the number; the caller holds mu.
func (a *ActiveSite) dropPending(number uint64) {
	a.pending = slices.DeleteFunc(a.pending, func(p announcement) bool { return p.number <= number })
}

// ActivateIfNewer activates a revision if its number is above that of the active one
// and its document can be decoded.
func (a *ActiveSite) ActivateIfNewer(revision *aubwire.SiteRevision) {
	number := revision.GetNumber()
	if number <= a.number() {
		return
	}
	startedAt := a.common.Timer.Now()
	document, err := Document(revision)
	var site *Site
	if err == nil {
		site, err = a.decode(document)
	}
	decodeTime := a.common.Timer.Now().Sub(startedAt)
	if err != nil {
		a.common.Log.Error("Committed configuration can't be decoded; the previous one stays active.",
			zap.Uint64("revision", number), zap.Error(err))
		a.mu.Lock()
		defer a.mu.Unlock()
		a.dropPending(number)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.site != nil && a.site.Number() >= number {
		return
	}
	a.site = site
	a.dropPending(number)
	a.common.Metrics.Gauge("revision").Update(float64(number))
	a.common.Log.Info("Configuration is in force.", zap.Uint64("revision", number),
		zap.Int("bytes", len(document)), zap.Int64("decode_ms", decodeTime.Milliseconds()))
}

// number returns the number of the active revision, 0 before the first.
func (a *ActiveSite) number() uint64 {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.site == nil {
		return 0
	}
	return a.site.Number()
}
