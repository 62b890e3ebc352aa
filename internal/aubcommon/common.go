// Package aubcommon holds the dependencies that every part shares.
package aubcommon

import (
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubtimer"
)

// Common is the set of shared dependencies of one process. It is immutable.
type Common struct {
	Log     *zap.Logger
	Timer   aubtimer.Service
	Metrics tally.Scope
}

// NewCommon returns dependencies with a discarding log and scope; the With
// methods replace them.
func NewCommon(timer aubtimer.Service) Common {
	return Common{Log: zap.NewNop(), Timer: timer, Metrics: tally.NoopScope}
}

// WithLog returns a copy that logs to log.
func (c Common) WithLog(log *zap.Logger) Common {
	c.Log = log
	return c
}

// WithMetrics returns a copy that reports to scope.
func (c Common) WithMetrics(scope tally.Scope) Common {
	c.Metrics = scope
	return c
}

// WithPart returns a copy whose log lines begin with the part's prefix and
// whose metrics are named below it.
func (c Common) WithPart(name string) Common {
	c.Log = c.Log.Named(name)
	c.Metrics = c.Metrics.SubScope(name)
	return c
}
