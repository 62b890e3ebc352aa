package aubsite

import (
	"sync"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
)

// Decode turns a document into a checked site. Errors are *InvalidError.
type Decode func(document []byte) (*Site, error)

// Current is the configuration that a process shows. Its number only grows
// during the life of the process.
//
// Lock order: mu is taken alone.
type Current struct {
	common aubcommon.Common
	decode Decode

	mu   sync.RWMutex
	site *Site
}

// NewCurrent returns a holder without a site.
func NewCurrent(common aubcommon.Common, decode Decode) *Current {
	return &Current{common: common.WithPart("site"), decode: decode}
}

// Site returns the configuration in force, nil before the first.
func (c *Current) Site() *Site {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.site
}

// Offer takes over a revision that is above the one in force.
func (c *Current) Offer(number uint64, document []byte) {
	if number <= c.number() {
		return
	}
	site, err := c.decode(document)
	if err != nil {
		c.common.Log.Error("Committed configuration can't be decoded; the one in force stays.",
			zap.Uint64("revision", number), zap.Error(err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.site != nil && c.site.Number() >= number {
		return
	}
	c.site = site
	c.common.Metrics.Gauge("revision").Update(float64(number))
	c.common.Log.Info("Configuration is in force.", zap.Uint64("revision", number))
}

func (c *Current) number() uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.site == nil {
		return 0
	}
	return c.site.Number()
}
