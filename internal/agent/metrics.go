package agent

import (
	"context"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/pomelosill/pomelosill/internal/result"
)

// messageKind is a kind of message that is counted.
type messageKind int

// The kinds of messages sent and received.
const (
	sentHello messageKind = iota
	sentHeartbeat
	sentOutcome
	sentFenceAck
	sentRecord
	sentLocate
	receivedStamp
	receivedStart
	receivedFence
	receivedLocation
	receivedCancel
	receivedReleased
	messageKindCount
)

var messageKindNames = [messageKindCount]string{
	"sent_hello", "sent_heartbeat", "sent_outcome", "sent_fence_ack", "sent_record", "sent_locate",
	"got_stamp", "got_start", "got_fence", "got_location", "got_cancel", "got_released",
}

// messageCounters counts messages by kind.
type messageCounters struct {
	counts [messageKindCount]atomic.Int64
}

func (c *messageCounters) add(k messageKind, n int) {
	c.counts[k].Add(int64(n))
}

// byName returns the counts by name.
func (c *messageCounters) byName() map[string]int64 {
	counts := make(map[string]int64, messageKindCount)
	for k := range messageKindCount {
		counts[messageKindNames[k]] = c.counts[k].Load()
	}
	return counts
}

// countSent counts the messages of a batch that was sent.
func (a *Agent) countSent(b batch) {
	if b.heartbeat {
		a.counters.add(sentHeartbeat, 1)
	}
	if b.ack != nil {
		a.counters.add(sentFenceAck, 1)
		a.counters.add(sentRecord, len(b.ack.GetRecords()))
	}
	a.counters.add(sentOutcome, len(b.outcomes))
}

// endpointSecondsBuckets are the upper bounds of the histogram's buckets, in
// seconds.
var endpointSecondsBuckets = []float64{0.01, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10}

// metrics holds the agent's metric instruments.
type metrics struct {
	starts          metric.Int64Counter
	ends            metric.Int64Counter
	endpointSeconds metric.Float64Histogram
}

// newMetrics creates the instruments; running returns the number of running
// tasks.
func newMetrics(meter metric.Meter, c *messageCounters, running func() int64) (*metrics, error) {
	m := &metrics{}
	var err error
	m.starts, err = meter.Int64Counter("pomelosill_agent_starts",
		metric.WithDescription("Starts asked for, by the gate's result code."))
	if err != nil {
		return nil, err
	}
	m.ends, err = meter.Int64Counter("pomelosill_agent_ends",
		metric.WithDescription("Tasks that ended, by result code."))
	if err != nil {
		return nil, err
	}
	m.endpointSeconds, err = meter.Float64Histogram("pomelosill_agent_endpoint_seconds",
		metric.WithDescription("Time of a task on the endpoint in seconds."),
		metric.WithExplicitBucketBoundaries(endpointSecondsBuckets...))
	if err != nil {
		return nil, err
	}
	_, err = meter.Int64ObservableGauge("pomelosill_agent_running",
		metric.WithDescription("Tasks that run now."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(running())
			return nil
		}))
	if err != nil {
		return nil, err
	}
	_, err = meter.Int64ObservableCounter("pomelosill_agent_messages",
		metric.WithDescription("Messages sent and received, by kind."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for k := range messageKindCount {
				o.Observe(c.counts[k].Load(), metric.WithAttributes(attribute.String("kind", messageKindNames[k])))
			}
			return nil
		}))
	return m, err
}

func (m *metrics) countStart(ctx context.Context, code result.Code) {
	m.starts.Add(ctx, 1, codeAttribute(code))
}

func (m *metrics) countEnd(ctx context.Context, res taskResult) {
	m.ends.Add(ctx, 1, codeAttribute(res.code))
	m.endpointSeconds.Record(ctx, res.runTime.Seconds())
}

func codeAttribute(code result.Code) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("code", result.Describe(code).Name))
}
