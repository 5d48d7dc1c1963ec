// Package metrics makes the tally scope of a process, with a page to scrape.
package metrics

import (
	"io"
	"net/http"
	"time"

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
func New(process string) *Metrics {
	reporter := prometheus.NewReporter(prometheus.Options{})
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
