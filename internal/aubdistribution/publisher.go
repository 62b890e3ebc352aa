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

// publisher stores the newest configuration received and publishes it to this process.
// The published version never decreases.
//
// Nothing is published before the first confirmation, so that a restarted process
// doesn't publish an older version than before. A process that receives no
// confirmation within startupTimeout counts as partitioned from the control quorum and
// publishes the newest version that it has.
type publisher struct {
	common aubcommon.Common
	cache  *cache
	// startedAt is the time at which this process started to receive configurations.
	startedAt time.Time

	// writeMu serializes writers. It is locked before mu and held while the cache is
	// written.
	writeMu sync.Mutex

	mu sync.RWMutex
	// newest is the newest configuration received or read from the cache.
	newest aubquery.Config
	// published is the configuration that Config returns.
	published aubquery.Config
	// canPublish is true once configurations may be published.
	canPublish bool
	// confirmedAt is the last time at which the configuration was known to be the
	// leader's newest.
	confirmedAt time.Time
	// changed is closed and replaced whenever a configuration is published.
	changed chan struct{}
}

var _ aubquery.ConfigSource = (*publisher)(nil)

func newPublisher(common aubcommon.Common, dataDir string) *publisher {
	p := &publisher{
		common:    common,
		cache:     newCache(common, dataDir),
		startedAt: common.Timer.Now(),
		changed:   make(chan struct{}),
	}
	p.newest = p.cache.load()
	return p
}

// Config implements aubquery.ConfigSource.
func (p *publisher) Config() aubquery.Config {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.published
}

// ConfirmedAt implements aubquery.ConfigSource.
func (p *publisher) ConfirmedAt() time.Time {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.confirmedAt
}

// Changed implements aubquery.ConfigSource.
func (p *publisher) Changed(version uint64) <-chan struct{} {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if p.published.Version() > version {
		return closedChannel
	}
	return p.changed
}

// newestConfig returns the newest configuration, whether published or not.
func (p *publisher) newestConfig() aubquery.Config {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.newest
}

// update stores a configuration unless it is older than the newest one, and publishes
// it if canPublish is true. The configuration is written to the cache first.
func (p *publisher) update(cfg aubquery.Config) {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	newest := p.newestConfig()
	if cfg.Version() < newest.Version() || cfg.Version() == newest.Version() && cfg.Digest() == newest.Digest() {
		return
	}
	p.cache.save(cfg)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.newest = cfg
	p.publish()
}

// confirm records that the newest configuration was the leader's newest at the given
// time, and allows publishing. A confirmation from before the start of this process
// doesn't allow publishing: the previous process may have published newer versions
// since then.
func (p *publisher) confirm(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.confirmedAt) {
		p.confirmedAt = at
	}
	if p.canPublish || at.Before(p.startedAt) {
		return
	}
	p.canPublish = true
	p.publish()
}

// publishUnconfirmed publishes the newest configuration without a confirmation.
func (p *publisher) publishUnconfirmed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.canPublish {
		return
	}
	p.common.Log.Warn("No confirmed configuration; the process is cut off.", zap.Uint64("version", p.newest.Version()))
	p.canPublish = true
	p.publish()
}

// publish makes the newest configuration the published one if canPublish is true. The
// caller holds mu.
func (p *publisher) publish() {
	if !p.canPublish || p.published.Version() == p.newest.Version() && p.published.Digest() == p.newest.Digest() {
		return
	}
	p.published = p.newest
	p.common.Metrics.Gauge("config_version").Update(float64(p.published.Version()))
	close(p.changed)
	p.changed = make(chan struct{})
}

var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()
