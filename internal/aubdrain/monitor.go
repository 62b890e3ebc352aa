package aubdrain

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
)

const (
	// monitorInterval is the time between two log lines about a zone.
	monitorInterval = 2 * time.Second
	// maxStatementAge is the age of the last statement from which a relay logs that it is out
	// of touch; control processes state the drained zones every 250 ms.
	maxStatementAge = 4 * time.Second
)

// MonitorOpts configures a monitor.
type MonitorOpts struct {
	// Drains returns the drained zones and a channel that is closed at the next change.
	Drains func() (Drains, <-chan struct{})
	// InFlight returns the number of requests in flight by zone.
	InFlight func() map[string]int
	// Age returns the age of the state; nil if the state is always current.
	Age func(now time.Time) (age time.Duration, ok bool)
}

// Monitor logs the progress of drains and reports their number as a metric.
type Monitor struct {
	common aubcommon.Common
	opts   MonitorOpts
	// running holds the zones that had requests in flight at the last check.
	running map[string]bool
}

// NewMonitor returns a monitor that runs until ctx ends.
func NewMonitor(ctx context.Context, common aubcommon.Common, opts MonitorOpts) *Monitor {
	m := &Monitor{common: common.WithPart("drain"), opts: opts, running: make(map[string]bool)}
	ticks := common.Timer.Subscribe(ctx, monitorInterval)
	go func() {
		for {
			drains, changed := opts.Drains()
			m.check(drains)
			select {
			case <-changed:
			case <-ticks:
			case <-ctx.Done():
				return
			}
		}
	}()
	return m
}

// check updates the metric, and logs the requests in the drained zones and an old state.
func (m *Monitor) check(drains Drains) {
	m.common.Metrics.Gauge("drained_zones").Update(float64(len(drains.Zones())))
	inFlight := m.opts.InFlight()
	for zone := range m.running {
		if !drains.Contains(zone) {
			delete(m.running, zone)
		}
	}
	for _, zone := range drains.Zones() {
		switch count := inFlight[zone]; {
		case count > 0:
			m.common.Log.Info("Requests run in a drained zone.", zap.String("zone", zone), zap.Int("requests", count))
			m.running[zone] = true
		case m.running[zone]:
			m.common.Log.Info("No more requests run in a drained zone.", zap.String("zone", zone))
			delete(m.running, zone)
		}
	}
	if m.opts.Age == nil || len(drains.Zones()) == 0 {
		return
	}
	if age, ok := m.opts.Age(m.common.Timer.Now()); ok && age > maxStatementAge {
		m.common.Log.Warn("Drained zones are known from an old statement.", zap.Int64("age_ms", age.Milliseconds()), zap.Strings("zones", drains.Zones()))
	}
}
