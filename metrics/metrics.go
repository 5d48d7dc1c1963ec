// Package metrics makes the tally scope of a process, with a page to scrape.
package metrics

import (
	"io"
	"net/http"
	"time"

	registered "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often values reach the page.
const reportInterval = time.Second

// Metrics is the scope of a process and the page that shows it.
type Metrics struct {
	Scope  tally.Scope
	Page   http.Handler
	closer io.Closer
}

// New returns the metrics of a process, whose name begins each value's name.
// Those of two parts in one process, as in tests, are apart.
func New(process string) *Metrics {
	registry := registered.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         process,
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// Names with dots are not valid for the page, and tally's own
		// cardinality values have them.
		OmitCardinalityMetrics: true,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &Metrics{Scope: scope, Page: reporter.HTTPHandler(), closer: closer}
}

// Close ends the reporting.
func (metrics *Metrics) Close() { _ = metrics.closer.Close() }
