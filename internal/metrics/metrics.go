// Package metrics holds the counters, gauges and histograms of a process and serves them over HTTP
// in the Prometheus text format. Every role creates one Registry at start-up.
package metrics

import (
	"io"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"balsamyoke.example/balsamyoke/internal/traffic"
)

// reportInterval is the interval at which tally passes values to the Prometheus reporter.
const reportInterval = time.Second

// LatencyBuckets span 1 ms to about two minutes.
var LatencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.6, 26)

// Registry owns the metrics of one process.
type Registry struct {
	// Scope creates counters, gauges and histograms.
	Scope   tally.Scope
	handler fasthttp.RequestHandler
	closer  io.Closer
	// controlSent and controlReceived are the bytes of control traffic since the start of the process.
	controlSent     tally.Gauge
	controlReceived tally.Gauge
}

// NewRegistry returns a Registry whose metric names start with prefix.
func NewRegistry(prefix string) *Registry {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Registry{
		Scope:           scope,
		handler:         fasthttpadaptor.NewFastHTTPHandler(reporter.HTTPHandler()),
		closer:          closer,
		controlSent:     scope.Gauge("control_sent_bytes"),
		controlReceived: scope.Gauge("control_received_bytes"),
	}
}

// Handler serves a scrape request.
func (r *Registry) Handler(ctx *fasthttp.RequestCtx) {
	totals := traffic.Control.Totals()
	r.controlSent.Update(float64(totals.SentBytes))
	r.controlReceived.Update(float64(totals.ReceivedBytes))
	r.handler(ctx)
}

// Close stops reporting.
func (r *Registry) Close() { _ = r.closer.Close() }
