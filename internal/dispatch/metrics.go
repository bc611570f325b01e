package dispatch

import (
	"context"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/platform"
)

// metrics holds the dispatcher's counters and histograms.
type metrics struct {
	orders   metric.Int64Counter
	refusals metric.Int64Counter
	answers  metric.Int64Counter
	crashes  metric.Int64Counter
	givenUp  metric.Int64Counter
	overflow metric.Int64Counter
	latency  metric.Float64Histogram
}

func newMetrics(m metric.Meter) (*metrics, error) {
	out := &metrics{}
	var err error
	if out.orders, err = m.Int64Counter("dispatcher_orders"); err != nil {
		return nil, err
	}
	if out.refusals, err = m.Int64Counter("dispatcher_refusals"); err != nil {
		return nil, err
	}
	if out.answers, err = m.Int64Counter("dispatcher_answers"); err != nil {
		return nil, err
	}
	if out.crashes, err = m.Int64Counter("dispatcher_endpoint_crashes"); err != nil {
		return nil, err
	}
	if out.givenUp, err = m.Int64Counter("dispatcher_jobs_given_up"); err != nil {
		return nil, err
	}
	if out.overflow, err = m.Int64Counter("dispatcher_overflow_jobs"); err != nil {
		return nil, err
	}
	out.latency, err = m.Float64Histogram("dispatcher_answer_seconds", metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1, 1.5, 2.5, 4))
	return out, err
}

func codeAttribute(code result.Code) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("code", strconv.Itoa(int(code))))
}

func (m *metrics) recordRefusal(ctx context.Context, code result.Code) {
	m.refusals.Add(ctx, 1, codeAttribute(code))
}

func (m *metrics) recordAnswer(ctx context.Context, a platform.Answer, took time.Duration) {
	m.answers.Add(ctx, 1, codeAttribute(a.Code))
	m.latency.Record(ctx, took.Seconds())
}

// recordOverflow counts a job that is admitted as overflow.
func (m *metrics) recordOverflow(ctx context.Context, route string) {
	m.overflow.Add(ctx, 1, metric.WithAttributes(attribute.String("route", route)))
}
