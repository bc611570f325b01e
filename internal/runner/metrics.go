package runner

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/pomelosill/pomelosill/internal/workload"
)

// counters are the runner's metrics.
type counters struct {
	starts   metric.Int64Counter
	stops    metric.Int64Counter
	refusals metric.Int64Counter
	ends     metric.Int64Counter
	overflow metric.Int64Counter
	// policyReads counts the reads of the operators' keys.
	policyReads metric.Int64Counter
}

func newCounters(m metric.Meter) (*counters, error) {
	c := &counters{}
	for _, i := range []struct {
		counter *metric.Int64Counter
		name    string
	}{
		{&c.starts, "runner_starts"}, {&c.stops, "runner_stops"},
		{&c.refusals, "runner_refusals"}, {&c.ends, "runner_ends"},
		{&c.overflow, "runner_overflow_starts"}, {&c.policyReads, "runner_policy_reads"},
	} {
		created, err := m.Int64Counter(i.name)
		if err != nil {
			return nil, err
		}
		*i.counter = created
	}
	return c, nil
}

func (c *counters) countEnd(ctx context.Context, outcome workload.Outcome) {
	c.ends.Add(ctx, 1, metric.WithAttributes(attribute.String("end", outcome.String())))
}
