// Package aubmetric creates the metrics scope of a process and the HTTP handler
// that the platform scrapes.
package aubmetric

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/zap"
)

// reportInterval is the time between two flushes of the scope.
const reportInterval = time.Second

// Metrics is the root scope of a process and the HTTP handler that exposes it to Prometheus.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns a root scope whose metric names begin with auburndale_ and
// whose series are labeled with the instance and its availability zone.
func NewMetrics(log *zap.Logger, instance, zone string) *Metrics {
	// A separate registry lets several roles run in one process.
	registry := client.NewRegistry()
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:      registry,
		Gatherer:        registry,
		OnRegisterError: func(err error) { log.Error("Could not register a metric.", zap.Error(err)) },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "auburndale",
		Tags:                   map[string]string{"instance": instance, "zone": zone},
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close flushes and closes the scope.
func (m *Metrics) Close() error { return m.closer.Close() }
