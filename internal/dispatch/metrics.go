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
	// admissions counts admitted jobs, and returns the jobs that came back after they
	// were refused for lack of capacity.
	admissions metric.Int64Counter
	returns    metric.Int64Counter
	// firstStart is the time from the arrival of a job to its first start.
	firstStart metric.Float64Histogram
	// runTimeRatio is a job's run time over the caller's estimate or the prediction.
	runTimeRatio metric.Float64Histogram
	// handovers counts forwarded jobs by what became of them, handedOver those in flight
	// that other dispatchers have forwarded, and lag is that of ticks.
	handovers  metric.Int64Counter
	handedOver metric.Int64UpDownCounter
	lag        metric.Float64Gauge
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
	if out.admissions, err = m.Int64Counter("dispatcher_admissions"); err != nil {
		return nil, err
	}
	if out.returns, err = m.Int64Counter("dispatcher_returns"); err != nil {
		return nil, err
	}
	out.firstStart, err = m.Float64Histogram("dispatcher_first_start_seconds", metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(0.005, 0.01, 0.02, 0.04, 0.07, 0.1, 0.15, 0.25, 0.5, 1, 2))
	if err != nil {
		return nil, err
	}
	out.runTimeRatio, err = m.Float64Histogram("dispatcher_run_time_ratio",
		metric.WithExplicitBucketBoundaries(0.25, 0.35, 0.5, 0.7, 0.85, 1, 1.2, 1.4, 2, 2.8, 4, 8))
	if err != nil {
		return nil, err
	}
	if out.overflow, err = m.Int64Counter("dispatcher_overflow_jobs"); err != nil {
		return nil, err
	}
	if out.handovers, err = m.Int64Counter("dispatcher_handovers"); err != nil {
		return nil, err
	}
	if out.handedOver, err = m.Int64UpDownCounter("dispatcher_handed_over_jobs"); err != nil {
		return nil, err
	}
	if out.lag, err = m.Float64Gauge("dispatcher_lag_seconds", metric.WithUnit("s")); err != nil {
		return nil, err
	}
	out.latency, err = m.Float64Histogram("dispatcher_answer_seconds", metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1, 1.5, 2.5, 4))
	return out, err
}

func codeAttribute(code result.Code) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("code", strconv.Itoa(int(code))))
}

func routeAttribute(route string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("route", route))
}

func (m *metrics) recordRefusal(ctx context.Context, route string, code result.Code) {
	m.refusals.Add(ctx, 1, codeAttribute(code), routeAttribute(route))
}

func (m *metrics) recordAdmission(ctx context.Context, route string) {
	m.admissions.Add(ctx, 1, routeAttribute(route))
}

func (m *metrics) recordReturn(ctx context.Context, route string) {
	m.returns.Add(ctx, 1, routeAttribute(route))
}

func (m *metrics) recordFirstStart(ctx context.Context, level int, after time.Duration) {
	m.firstStart.Record(ctx, after.Seconds(), metric.WithAttributes(attribute.Int("level", level)))
}

func (m *metrics) recordAnswer(ctx context.Context, a platform.Answer, took time.Duration) {
	m.answers.Add(ctx, 1, codeAttribute(a.Code))
	m.latency.Record(ctx, took.Seconds())
}

// recordRunTime records how a job's run time compares with the caller's estimate, if
// there was one, and with the prediction.
func (m *metrics) recordRunTime(ctx context.Context, route string, s runTimeSample) {
	for kind, estimated := range map[string]time.Duration{"caller": s.callerEstimate, "prediction": s.prediction} {
		if estimated > 0 {
			m.runTimeRatio.Record(ctx, s.runTime.Seconds()/estimated.Seconds(),
				metric.WithAttributes(attribute.String("route", route), attribute.String("estimate", kind)))
		}
	}
}

// recordHandover counts a forwarded job by what became of it.
func (m *metrics) recordHandover(ctx context.Context, outcome string) {
	m.handovers.Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// recordOverflow counts a job that is admitted as overflow.
func (m *metrics) recordOverflow(ctx context.Context, route string) {
	m.overflow.Add(ctx, 1, routeAttribute(route))
}
