package measure

import (
	"context"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/hollowgrade/hollowgrade/internal/errs"
)

// Metrics are the OpenTelemetry instruments of the process. Organisations are no attribute:
// thousands of them would make as many series on each box.
type Metrics struct {
	registry *prometheus.Registry
	meter    metric.Meter
	requests metric.Int64Counter
	first    metric.Float64Histogram
	took     metric.Float64Histogram
	attempts metric.Int64Counter
	ratio    metric.Float64Histogram
	turns    metric.Float64Histogram
	oversize metric.Int64Counter
}

// NewMetrics returns instruments that a Prometheus endpoint can read.
func NewMetrics() (m *Metrics, err error) {
	defer errs.Annotate(&err, "set up metrics")
	r := prometheus.NewRegistry()
	x, err := exporter.New(exporter.WithRegisterer(r))
	if err != nil {
		return nil, err
	}
	m = &Metrics{registry: r, meter: sdk.NewMeterProvider(sdk.WithReader(x)).Meter("hollowgrade")}
	if m.requests, err = m.meter.Int64Counter("hollowgrade.requests", metric.WithDescription("Requests that have ended, by kind, outcome and code.")); err != nil {
		return nil, err
	}
	if m.oversize, err = m.meter.Int64Counter("hollowgrade.oversized_answers", metric.WithDescription("Answers that were ended since a part of them was larger than its bound, by upstream and part.")); err != nil {
		return nil, err
	}
	if m.attempts, err = m.meter.Int64Counter("hollowgrade.attempts", metric.WithDescription("Attempts made for requests that have ended.")); err != nil {
		return nil, err
	}
	bounds := metric.WithExplicitBucketBoundaries(0.05, 0.1, 0.2, 0.42, 0.8, 1.5, 3, 6, 12, 25, 50, 120, 600)
	if m.first, err = m.meter.Float64Histogram("hollowgrade.first_token", metric.WithUnit("s"), bounds, metric.WithDescription("Time to first token, by prompt length.")); err != nil {
		return nil, err
	}
	ratios := metric.WithExplicitBucketBoundaries(0.25, 0.5, 0.7, 0.85, 1, 1.2, 1.5, 2, 3, 5, 10, 30)
	if m.ratio, err = m.meter.Float64Histogram("hollowgrade.prediction_ratio", ratios, metric.WithDescription("Time to first token as seen over as predicted when the request was placed, by prompt length.")); err != nil {
		return nil, err
	}
	waits := metric.WithExplicitBucketBoundaries(0.01, 0.02, 0.05, 0.1, 0.2, 0.42, 0.8, 1.5, 3, 6, 12, 25)
	if m.turns, err = m.meter.Float64Histogram("hollowgrade.turn_wait", metric.WithUnit("s"), waits, metric.WithDescription("Time that long prompts waited for their turn, by service and result: came, refused or ended.")); err != nil {
		return nil, err
	}
	m.took, err = m.meter.Float64Histogram("hollowgrade.took", metric.WithUnit("s"), bounds, metric.WithDescription("Time until the final answer, by kind."))
	return m, err
}

// Gauge adds a gauge whose value is read at each collection.
func (m *Metrics) Gauge(name, description string, value func() float64) error {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(value())
			return nil
		}))
	return err
}

// Add records a request.
func (m *Metrics) Add(s Sample) {
	ctx := context.Background()
	kind := attribute.String("kind", s.Kind)
	m.requests.Add(ctx, 1, metric.WithAttributes(kind, attribute.String("outcome", string(s.Outcome)), attribute.String("code", s.Code)))
	m.attempts.Add(ctx, int64(s.Attempts))
	m.took.Record(ctx, s.Took.Seconds(), metric.WithAttributes(kind))
	if s.Turn != "" {
		m.turns.Record(ctx, s.TurnWait.Seconds(), metric.WithAttributes(attribute.String("service", s.Service), attribute.String("result", s.Turn)))
	}
	if s.FirstToken > 0 && s.Predicted > 0 {
		m.ratio.Record(ctx, float64(s.FirstToken)/float64(s.Predicted), metric.WithAttributes(attribute.String("length", Bucket(s.PromptTokens))))
	}
	if s.FirstToken > 0 {
		m.first.Record(ctx, s.FirstToken.Seconds(), metric.WithAttributes(attribute.String("length", Bucket(s.PromptTokens))))
	}
}

// AddOversized records an answer of an upstream that was ended since a part of it was larger than its
// bound.
func (m *Metrics) AddOversized(upstream, place string) {
	m.oversize.Add(context.Background(), 1, metric.WithAttributes(attribute.String("upstream", upstream), attribute.String("part", place)))
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
