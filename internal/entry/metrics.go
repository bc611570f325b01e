package entry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/pomelosill/pomelosill/internal/result"
)

// jobSecondsBuckets are the histogram buckets of the time to answer a job, in
// seconds.
var jobSecondsBuckets = []float64{0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20, 60}

// metrics holds the instruments that the entry updates itself. docs/OPERATIONS.md
// explains how to react to every metric.
type metrics struct {
	jobSeconds metric.Float64Histogram
}

// observables holds the instruments that are read from the entry's state at each
// scrape.
type observables struct {
	confirmationAge metric.Float64ObservableGauge
	revision        metric.Int64ObservableGauge
	roster          metric.Int64ObservableGauge
	agents          metric.Int64ObservableGauge
	inProgress      metric.Int64ObservableGauge
	cells           metric.Int64ObservableGauge
	tasks           metric.Int64ObservableGauge
	messages        metric.Int64ObservableCounter
	storeCalls      metric.Int64ObservableCounter
}

// newMetrics creates the entry's instruments and registers the observable ones.
func newMetrics(meter metric.Meter, e *Entry) (*metrics, error) {
	m := &metrics{}
	var err error
	m.jobSeconds, err = meter.Float64Histogram("pomelosill_entry_job_seconds",
		metric.WithDescription("Time from a caller's request to its answer, by result code, in seconds."),
		metric.WithExplicitBucketBoundaries(jobSecondsBuckets...))
	if err != nil {
		return nil, err
	}
	return m, registerObservables(meter, e)
}

// registerObservables creates the observable instruments and the callback that
// reads them.
func registerObservables(meter metric.Meter, e *Entry) error {
	var obs observables
	var all []metric.Observable
	for _, in := range obs.int64Gauges() {
		gauge, err := meter.Int64ObservableGauge(in.name, metric.WithDescription(in.description))
		if err != nil {
			return err
		}
		*in.target = gauge
		all = append(all, gauge)
	}
	for _, in := range obs.int64Counters() {
		counter, err := meter.Int64ObservableCounter(in.name, metric.WithDescription(in.description))
		if err != nil {
			return err
		}
		*in.target = counter
		all = append(all, counter)
	}
	age, err := meter.Float64ObservableGauge("pomelosill_entry_confirmation_age_seconds",
		metric.WithDescription("Age of the last confirmation that nothing newer exists, in seconds."))
	if err != nil {
		return err
	}
	obs.confirmationAge = age
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		obs.observe(e, o)
		return nil
	}, append(all, age)...)
	return err
}

// instrument is an instrument to create, and the field to keep it in.
type instrument[T any] struct {
	name, description string
	target            *T
}

func (obs *observables) int64Gauges() []instrument[metric.Int64ObservableGauge] {
	return []instrument[metric.Int64ObservableGauge]{
		{"pomelosill_entry_control_revision", "Revision of the control document that the entry has applied.", &obs.revision},
		{"pomelosill_entry_roster", "Entries on the roster.", &obs.roster},
		{"pomelosill_entry_agents", "Agents attached to this entry.", &obs.agents},
		{"pomelosill_entry_submissions", "Submissions in progress that this entry received.", &obs.inProgress},
		{"pomelosill_entry_cells", "Cells owned, by phase.", &obs.cells},
		{"pomelosill_entry_tasks", "Tasks of the cells owned, by team and state.", &obs.tasks},
	}
}

func (obs *observables) int64Counters() []instrument[metric.Int64ObservableCounter] {
	return []instrument[metric.Int64ObservableCounter]{
		{"pomelosill_entry_messages", "Messages and events, by kind.", &obs.messages},
		{"pomelosill_entry_store_calls", "Calls to the platform's store, by kind.", &obs.storeCalls},
	}
}

// observe reports the value of every observable instrument.
func (obs *observables) observe(e *Entry, o metric.Observer) {
	now := time.Now()
	o.ObserveFloat64(obs.confirmationAge, now.Sub(e.control.ConfirmedAt(now)).Seconds())
	if d := e.control.Document(); d != nil {
		o.ObserveInt64(obs.revision, int64(d.Revision))
		o.ObserveInt64(obs.roster, int64(len(d.Roster)))
	}
	o.ObserveInt64(obs.agents, int64(len(e.agents.Endpoints())))
	o.ObserveInt64(obs.inProgress, int64(e.relay.InProgress()))
	state := e.State()
	obs.observeCells(e, state, o)
	for kind, n := range state.Counters {
		o.ObserveInt64(obs.messages, n, label("kind", kind))
	}
	calls := state.StoreCalls
	for kind, n := range map[string]uint64{
		"get": calls.Get, "compare_and_swap": calls.CompareAndSwap, "delete": calls.Delete,
		"grant": calls.Grant, "keep_alive": calls.KeepAlive, "revoke": calls.Revoke, "watch": calls.Watch,
	} {
		o.ObserveInt64(obs.storeCalls, int64(n), label("kind", kind))
	}
}

// observeCells reports the number of owned cells by phase, and of their tasks by
// team and state.
func (obs *observables) observeCells(e *Entry, state State, o metric.Observer) {
	phases := map[string]int64{}
	for _, c := range state.Cells {
		phases[c.Phase]++
	}
	for phase, n := range phases {
		o.ObserveInt64(obs.cells, n, label("phase", phase))
	}
	running, waiting := map[string]int64{}, map[string]int64{}
	if state.Document != nil {
		for _, team := range state.Document.Config.Teams {
			running[team.Name] = 0
		}
	}
	for _, c := range e.ownership.Cells() {
		for _, load := range c.TeamLoads() {
			running[load.Team] += int64(load.Running)
			waiting[load.Team] += int64(load.Waiting)
		}
	}
	for team, n := range running {
		o.ObserveInt64(obs.tasks, n, label("team", team), label("state", "running"))
		o.ObserveInt64(obs.tasks, waiting[team], label("team", team), label("state", "waiting"))
	}
}

// recordAnswer records an answer to a caller and the time it took.
func (m *metrics) recordAnswer(ctx context.Context, code result.Code, took time.Duration) {
	m.jobSeconds.Record(ctx, took.Seconds(), label("code", result.Describe(code).Name))
}

func label(key, value string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String(key, value))
}
