// Package aubdistribution distributes every accepted configuration version to every
// process: from the local replica where there is one, otherwise over a gRPC stream
// from a process that runs a replica. The version that a process publishes never
// decreases.
package aubdistribution

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
)

// shown stores the newest configuration received and publishes it to the process.
// The published version never decreases.
//
// Nothing is published before the first confirmation, so that a restarted process
// doesn't publish an older version than before. A process that receives no
// confirmation within startupTimeout is partitioned from the control quorum and
// publishes the newest version that it has.
type shown struct {
	common  aubcommon.Common
	cache   *cache
	started time.Time

	// writeMu serializes writers. It is locked before mu and held while the cache is
	// written.
	writeMu sync.Mutex

	mu sync.RWMutex
	// held is the newest configuration received or read from the cache.
	held aubquery.Config
	// current is the published configuration.
	current aubquery.Config
	// open is true once configurations may be published.
	open bool
	// confirmed is the last time at which the configuration was known to be the
	// leader's newest.
	confirmed time.Time
	// changed is closed and replaced whenever a configuration is published.
	changed chan struct{}
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

// heldConfig returns the newest configuration, whether published or not.
func (s *shown) heldConfig() aubquery.Config {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.held
}

// hold stores a configuration unless it is older than the newest one, and publishes
// it if allowed. The configuration is written to the cache before it is published.
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

// confirm records that the newest configuration was the leader's newest at the given
// time, and allows publishing. A confirmation from before the start of this process
// doesn't allow publishing: the previous process may have published newer versions
// since then.
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

// openCutOff publishes the newest configuration without a confirmation.
func (s *shown) openCutOff() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open {
		return
	}
	s.common.Log.Warn("No configuration was confirmed in time; the newest unconfirmed one is published.", zap.Uint64("version", s.held.Version()))
	s.open = true
	s.show()
}

// show publishes the newest configuration if allowed. The caller holds mu.
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
