// Package aubdistribution brings every accepted configuration version to every
// process: from the local replica where there is one, else by a stream from a
// process that carries a replica. What a process shows never goes back.
package aubdistribution

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
)

// shown is the configuration that a process shows. Its version only grows.
//
// Nothing is shown before the first confirmation, so that a restarted process
// can't fall behind what it showed before. A process that gets none within the
// start wait is cut off: it shows the highest version that it holds.
type shown struct {
	common  aubcommon.Common
	cache   *cache
	started time.Time

	// writeMu orders writers; it is taken before mu, and held while the cache is
	// written.
	writeMu sync.Mutex

	mu        sync.RWMutex
	held      aubquery.Config
	current   aubquery.Config
	open      bool
	confirmed time.Time
	changed   chan struct{}
}

var _ aubquery.Source = (*shown)(nil)

func newShown(common aubcommon.Common, dataDir string) *shown {
	s := &shown{
		common:  common,
		cache:   newCache(common, dataDir),
		started: common.Timer.Now(),
		changed: make(chan struct{}),
	}
	s.held = s.cache.load()
	return s
}

// Config implements aubquery.Source.
func (s *shown) Config() aubquery.Config {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.current
}

// ConfirmedAt implements aubquery.Source.
func (s *shown) ConfirmedAt() time.Time {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.confirmed
}

// Changed implements aubquery.Source.
func (s *shown) Changed(version uint64) <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.current.Version() > version {
		return closedChannel
	}
	return s.changed
}

// heldConfig returns the newest configuration held, shown or not.
func (s *shown) heldConfig() aubquery.Config {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.held
}

// hold takes a configuration over unless it is older than the one held. It is
// on disk before it is shown.
func (s *shown) hold(cfg aubquery.Config) {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	held := s.heldConfig()
	if cfg.Version() < held.Version() || cfg.Version() == held.Version() && cfg.Digest() == held.Digest() {
		return
	}
	s.cache.save(cfg)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = cfg
	s.show()
}

// confirm notes that the configuration held was the leader's newest at the given
// time. One from before the start opens nothing: another process may have
// brought newer versions into force here since.
func (s *shown) confirm(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.confirmed) {
		s.confirmed = at
	}
	if s.open || at.Before(s.started) {
		return
	}
	s.open = true
	s.show()
}

// openCutOff shows what is held without a confirmation.
func (s *shown) openCutOff() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open {
		return
	}
	s.common.Log.Warn("No confirmed configuration; the process is cut off.", zap.Uint64("version", s.held.Version()))
	s.open = true
	s.show()
}

// show makes the held configuration the current one. The caller holds mu.
func (s *shown) show() {
	if !s.open || s.current.Version() == s.held.Version() && s.current.Digest() == s.held.Digest() {
		return
	}
	s.current = s.held
	s.common.Metrics.Gauge("config_version").Update(float64(s.current.Version()))
	close(s.changed)
	s.changed = make(chan struct{})
}

var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()
