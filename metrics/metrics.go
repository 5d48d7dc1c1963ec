// Package metrics creates the tally scope of a process and the page from which
// Prometheus scrapes its metrics.
package metrics

import (
	"io"
	"net/http"
	"time"

	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally reports values to the page, which is therefore up to
// one interval old.
const reportInterval = time.Second

// Metrics is the tally scope of a process and its Prometheus page.
type Metrics struct {
	Scope  tally.Scope
	Page   http.Handler
	closer io.Closer
}

// New returns the metrics of a process, whose name is the prefix of each metric's
// name. Each call has a registry of its own, so that several parts in one process, as
// in tests, do not share metrics. Close stops the reporting.
func New(process string) *Metrics {
	registry := promclient.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         process,
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// The names of tally's own cardinality metrics contain dots, which
		// Prometheus does not allow.
		OmitCardinalityMetrics: true,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &Metrics{Scope: scope, Page: reporter.HTTPHandler(), closer: closer}
}

// Close stops reporting values to the page.
func (metrics *Metrics) Close() { _ = metrics.closer.Close() }
