package scenario

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/load/audit"
	"github.com/pomelosill/pomelosill/internal/load/drive"
	"github.com/pomelosill/pomelosill/internal/load/ideal"
	"github.com/pomelosill/pomelosill/internal/load/report"
	"github.com/pomelosill/pomelosill/internal/load/trace"
	"github.com/pomelosill/pomelosill/internal/result"
)

// The policies. All but the product serve comparison only.
const (
	PolicyProduct    = "product"
	PolicyFCFS       = "fcfs"
	PolicyTwoChoices = "two-choices"
)

const (
	// dispatchers is the number of dispatchers of PolicyTwoChoices.
	dispatchers = 3
	// startDelay leaves time to get ready before the first submission.
	startDelay = 200 * time.Millisecond
	// The closed loop of the throughput scenario.
	parallelCallers = 64
)

// Runner runs scenarios.
type Runner struct {
	Fleet  *Fleet
	Log    *zap.Logger
	client *http.Client
}

// Run runs one scenario and returns its line.
func (r *Runner) Run(ctx context.Context, o Options) (report.Line, error) {
	r.client = drive.NewClient()
	defer r.client.CloseIdleConnections()
	info, err := find(o.Scenario)
	if err != nil {
		return report.Line{}, err
	}
	submitter, closeAll, err := r.submitter(o)
	if err != nil {
		return report.Line{}, err
	}
	defer closeAll()
	if o.Scenario == "throughput" {
		return r.throughput(ctx, submitter, o)
	}
	b := &builder{o: o, load: o.Load, fleet: r.Fleet}
	if b.load == 0 {
		b.load = info.Load
	}
	return r.runPlan(ctx, submitter, b, info.build(b))
}

func (r *Runner) submitter(o Options) (drive.Submitter, func(), error) {
	urls := r.Fleet.endpointURLs()
	switch o.Policy {
	case PolicyProduct:
		return drive.NewProduct(r.client, r.Fleet.Entries, r.Fleet.CallerToken), func() {}, nil
	case PolicyFCFS:
		f := drive.NewFCFS(r.client, urls, r.Fleet.Slots)
		return f, f.Close, nil
	case PolicyTwoChoices:
		t := drive.NewTwoChoices(r.client, urls, r.Fleet.Slots, dispatchers, o.Seed)
		return t, t.Close, nil
	}
	return nil, nil, errors.Errorf("unknown policy %q", o.Policy)
}

// measurement is one run of a trace with what was read beside it.
type measurement struct {
	trace    trace.Trace
	records  []drive.Record
	findings audit.Findings
	wasted   *report.Wasted
	// storeCalls is nil when there is no store.
	storeCalls *float64
	network    time.Duration
}

func (r *Runner) runPlan(ctx context.Context, s drive.Submitter, b *builder, p plan) (report.Line, error) {
	var without *measurement
	if len(p.without.Jobs) > 0 {
		m, err := r.measure(ctx, s, b.o, p.without, nil)
		if err != nil {
			return report.Line{}, err
		}
		without = &m
	}
	m, err := r.measure(ctx, s, b.o, p.trace, p.actions)
	if err != nil {
		return report.Line{}, err
	}
	return newLine(b, p, m, without), nil
}

func (r *Runner) measure(ctx context.Context, s drive.Submitter, o Options, t trace.Trace, actions []action) (measurement, error) {
	m := measurement{trace: t}
	var err error
	if m.network, err = r.Fleet.leastNetwork(ctx, r.client); err != nil {
		return m, err
	}
	before, beforeErr := r.readCounts(ctx, o)
	start := time.Now().Add(startDelay)
	r.Log.Info("trace begins", zap.String("scenario", o.Scenario), zap.Int("jobs", len(t.Jobs)), zap.Int("tasks", t.Tasks()))
	acted := make(chan struct{})
	go func() {
		defer close(acted)
		r.act(ctx, actions, start)
	}()
	m.records = drive.Run(ctx, s, t, start)
	<-acted
	seconds := time.Since(start).Seconds()
	r.Log.Info("trace ended", zap.Float64("seconds", seconds))
	starts, err := audit.ReadStarts(ctx, r.client, r.Fleet.endpointURLs())
	if err != nil {
		return m, err
	}
	m.findings = audit.Compare(m.records, starts, start)
	after, afterErr := r.readCounts(ctx, o)
	if o.Policy == PolicyProduct {
		m.addCounts(before, after, seconds, beforeErr == nil && afterErr == nil)
	} else {
		m.wasted, m.storeCalls = &report.Wasted{}, report.Number(0)
	}
	return m, nil
}

// act performs the actions at their instants; a failed one is logged.
func (r *Runner) act(ctx context.Context, actions []action, start time.Time) {
	for _, a := range actions {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(a.at))):
		}
		err := a.do(ctx, r.client, r.Fleet)
		r.Log.Info("action taken", zap.String("action", a.name), zap.Error(err))
	}
}

// counts are cumulative counts at one instant.
type counts struct {
	messages audit.Counters
	store    int64
	storeErr error
}

func (r *Runner) readCounts(ctx context.Context, o Options) (counts, error) {
	var c counts
	if o.Policy != PolicyProduct {
		return c, nil
	}
	c.store, c.storeErr = r.Fleet.storeCalls(ctx, r.client)
	var err error
	c.messages, err = audit.ReadCounters(ctx, r.client, r.Fleet.Debug)
	return c, err
}

// addCounts leaves the messages out when an entry could not be read at both
// ends.
func (m *measurement) addCounts(before, after counts, seconds float64, readable bool) {
	if readable {
		w := after.messages.Since(before.messages).Wasted(m.findings.Started)
		m.wasted = &w
	}
	if before.storeErr == nil && after.storeErr == nil {
		m.storeCalls = report.Number(float64(after.store-before.store) / seconds)
	}
}

// throughput keeps jobs of empty tasks in progress.
func (r *Runner) throughput(ctx context.Context, s drive.Submitter, o Options) (report.Line, error) {
	job := trace.Job{Team: teamAlerts, Runs: make([]time.Duration, trace.MaxTasks), Timeout: jobTimeout}
	start := time.Now()
	r.Log.Info("trace begins", zap.String("scenario", o.Scenario))
	m := measurement{trace: trace.Trace{Length: o.Length}}
	m.records = drive.Saturate(ctx, s, job, parallelCallers, o.Length)
	seconds := time.Since(start).Seconds()
	r.Log.Info("trace ended", zap.Float64("seconds", seconds))
	starts, err := audit.ReadStarts(ctx, r.client, r.Fleet.endpointURLs())
	if err != nil {
		return report.Line{}, err
	}
	m.findings = audit.Compare(m.records, starts, start)
	line := report.Line{Scenario: o.Scenario, Policy: o.Policy, Size: o.Size, Seed: o.Seed, Seconds: seconds}
	line.StartsPerSec = report.Number(float64(m.findings.Started) / seconds)
	addAnswers(&line, m)
	times := report.NewTimes()
	for _, rec := range m.records {
		times.Add(rec.Response())
	}
	line.ResponseP50MS = times.PercentileMS(50)
	line.ResponseP99MS = times.PercentileMS(99)
	return line, nil
}

func newLine(b *builder, p plan, m measurement, without *measurement) report.Line {
	o := b.o
	line := report.Line{
		Scenario: o.Scenario, Policy: o.Policy, Size: o.Size,
		Load: b.load, Seed: o.Seed, Seconds: o.Length.Seconds(),
		NetworkMS:  float64(m.network.Microseconds()) / 1000,
		StoreCalls: m.storeCalls,
	}
	addAnswers(&line, m)
	addResponses(&line, p, m)
	addWork(&line, b, p, m)
	addWasted(&line, m)
	if without != nil {
		p99 := observedTimes(*without).PercentileMS(99)
		line.WithoutRatioP99 = report.Divide(line.ResponseP99MS, p99)
	}
	if p.gap {
		gap := audit.LongestGap(m.findings.Begins, p.window)
		line.TakeoverGap = report.Number(float64(gap.Milliseconds()))
	}
	return line
}

func addAnswers(line *report.Line, m measurement) {
	line.Jobs = len(m.records)
	line.Tasks = m.trace.Tasks()
	codes := map[result.Code]int{}
	late := report.NewTimes()
	for _, r := range m.records {
		line.Resubmitted += r.Resubmitted
		late.Add(r.Sent - r.Job.At)
		if !r.Answered {
			line.NoAnswer++
			continue
		}
		codes[r.Code]++
		if r.Partial {
			line.PartialAnswers++
		}
		if r.Foreign {
			line.ForeignAnswers++
		}
	}
	line.PartialAnswers += m.findings.Missing
	line.OK = codes[result.OK]
	for code, n := range codes {
		line.Answers = append(line.Answers, report.CodeSum{Code: code, Name: result.Describe(code).Name, Count: n})
	}
	slices.SortFunc(line.Answers, func(a, b report.CodeSum) int { return int(a.Code) - int(b.Code) })
	line.DoubleStarts = m.findings.DoubleStarts
	line.FalseNotRun = m.findings.FalseNotRun
	if p99 := late.PercentileMS(99); p99 != nil {
		line.LateSendP99 = *p99
	}
}

// observed tells whether a job's response counts.
func observed(r drive.Record) bool {
	return !r.Job.Background && r.Answered && r.Code == result.OK
}

func observedTimes(m measurement) *report.Times {
	times := report.NewTimes()
	for _, r := range m.records {
		if observed(r) {
			times.Add(r.Response())
		}
	}
	return times
}

func addResponses(line *report.Line, p plan, m measurement) {
	times := observedTimes(m)
	line.ResponseP50MS = times.PercentileMS(50)
	line.ResponseP99MS = times.PercentileMS(99)
	kept, records := withoutCancelled(m)
	schedule := ideal.Queue(kept, p.capacities)
	measured, best := report.NewRatios(), report.NewRatios()
	for i, r := range records {
		if !observed(r) {
			continue
		}
		noWait := ideal.NoWait(r.Job, m.network)
		measured.Add(r.Response(), noWait)
		best.Add(schedule.Responses[i]+m.network, noWait)
	}
	line.ResponseRatioP50, line.ResponseRatioP99 = measured.Percentile(50), measured.Percentile(99)
	line.IdealRatioP50, line.IdealRatioP99 = best.Percentile(50), best.Percentile(99)
	line.QueueRatioP50 = report.Divide(line.ResponseRatioP50, line.IdealRatioP50)
	line.QueueRatioP99 = report.Divide(line.ResponseRatioP99, line.IdealRatioP99)
}

// withoutCancelled leaves out the jobs that are cancelled, which the ideal
// queue does not know.
func withoutCancelled(m measurement) (trace.Trace, []drive.Record) {
	t := trace.Trace{Length: m.trace.Length}
	var records []drive.Record
	for _, r := range m.records {
		if r.Job.CancelAt == 0 {
			t.Jobs = append(t.Jobs, r.Job)
			records = append(records, r)
		}
	}
	return t, records
}

func addWork(line *report.Line, b *builder, p plan, m measurement) {
	if p.slowed {
		return
	}
	kept, _ := withoutCancelled(m)
	best := ideal.Overlap(ideal.Queue(kept, p.capacities).Spans, p.window)
	done := ideal.Overlap(m.findings.GoodSpans, p.window)
	window := p.window.End - p.window.Start
	line.WorkKept = report.Number(float64(done) / float64(best))
	line.Goodput = report.Number(float64(done) / float64(window) / float64(b.fleet.allSlots()))
}

func addWasted(line *report.Line, m measurement) {
	if m.wasted == nil || m.findings.Started == 0 {
		return
	}
	line.Wasted = m.wasted
	line.WastedPerTask = report.Number(float64(m.wasted.Work()) / float64(m.findings.Started))
	line.ControlPerTask = report.Number(float64(m.wasted.Control()) / float64(m.findings.Started))
}
