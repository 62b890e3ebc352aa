// Package aubcommon holds the dependencies that all components of a process share.
package aubcommon

import (
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubtimer"
)

// Common holds the logger, timer and metrics scope of a process or component. It is
// immutable.
type Common struct {
	Log     *zap.Logger
	Timer   aubtimer.Service
	Metrics tally.Scope
}

// NewCommon returns dependencies that discard logs and metrics; the With methods
// return copies that don't.
func NewCommon(timer aubtimer.Service) Common {
	return Common{Log: zap.NewNop(), Timer: timer, Metrics: tally.NoopScope}
}

// WithLog returns a copy that logs to the logger.
func (c Common) WithLog(log *zap.Logger) Common {
	c.Log = log
	return c
}

// WithMetrics returns a copy that reports metrics to the scope.
func (c Common) WithMetrics(scope tally.Scope) Common {
	c.Metrics = scope
	return c
}

// WithPart returns a copy for one component: its name is added to the name of the
// logger and to the prefix of the metrics.
func (c Common) WithPart(name string) Common {
	c.Log = c.Log.Named(name)
	c.Metrics = c.Metrics.SubScope(name)
	return c
}
