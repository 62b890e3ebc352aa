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

// publisher stores the newest configuration received and publishes it to the process.
// The published version never decreases.
//
// Nothing is published before the first confirmation, so that a restarted process
// doesn't publish an older version than before. A process that receives no
// confirmation within startupTimeout is partitioned from the control quorum and
// publishes the newest version that it has.
type publisher struct {
	common    aubcommon.Common
	cache     *cache
	startedAt time.Time

	// writeMu serializes writers. It is locked before mu and held while the cache is
	// written.
	writeMu sync.Mutex

	mu sync.RWMutex
	// newest is the newest configuration received or read from the cache.
	newest aubquery.Config
	// published is the published configuration.
	published aubquery.Config
	// canPublish is true once configurations may be published.
	canPublish bool
	// confirmedAt is the last time at which the configuration was known to be the
	// leader's newest.
	confirmedAt time.Time
	// changed is closed and replaced whenever a configuration is published.
	changed chan struct{}
}

var _ aubquery.Source = (*publisher)(nil)

func newPublisher(common aubcommon.Common, dataDir string) *publisher {
	s := &publisher{
		common:    common,
		cache:     newCache(common, dataDir),
		startedAt: common.Timer.Now(),
		changed:   make(chan struct{}),
	}
	s.newest = s.cache.load()
	return s
}

// Config implements aubquery.Source.
func (s *publisher) Config() aubquery.Config {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.published
}

// ConfirmedAt implements aubquery.Source.
func (s *publisher) ConfirmedAt() time.Time {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.confirmedAt
}

// Changed implements aubquery.Source.
func (s *publisher) Changed(version uint64) <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.published.Version() > version {
		return closedChannel
	}
	return s.changed
}

// newestConfig returns the newest configuration, whether published or not.
func (s *publisher) newestConfig() aubquery.Config {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.newest
}

// update stores a configuration unless it is older than the newest one, and publishes
// it if allowed. The configuration is written to the cache before it is published.
func (s *publisher) update(cfg aubquery.Config) {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	newest := s.newestConfig()
	if cfg.Version() < newest.Version() || cfg.Version() == newest.Version() && cfg.Digest() == newest.Digest() {
		return
	}
	s.cache.save(cfg)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest = cfg
	s.publish()
}

// confirm records that the newest configuration was the leader's newest at the given
// time, and allows publishing. A confirmation from before the start of this process
// doesn't allow publishing: the previous process may have published newer versions
// since then.
func (s *publisher) confirm(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
	if s.canPublish || at.Before(s.startedAt) {
		return
	}
	s.canPublish = true
	s.publish()
}

// publishUnconfirmed publishes the newest configuration without a confirmation.
func (s *publisher) publishUnconfirmed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.canPublish {
		return
	}
	s.common.Log.Warn("No configuration was confirmed in time; the newest unconfirmed one is published.", zap.Uint64("version", s.newest.Version()))
	s.canPublish = true
	s.publish()
}

// publish publishes the newest configuration if allowed. The caller holds mu.
func (s *publisher) publish() {
	if !s.canPublish || s.published.Version() == s.newest.Version() && s.published.Digest() == s.newest.Digest() {
		return
	}
	s.published = s.newest
	s.common.Metrics.Gauge("config_version").Update(float64(s.published.Version()))
	close(s.changed)
	s.changed = make(chan struct{})
}

var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()
