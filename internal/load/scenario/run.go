package scenario

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/load/audit"
	"github.com/pomelosill/pomelosill/internal/load/ideal"
	"github.com/pomelosill/pomelosill/internal/load/loadgen"
	"github.com/pomelosill/pomelosill/internal/load/report"
	"github.com/pomelosill/pomelosill/internal/load/trace"
	"github.com/pomelosill/pomelosill/internal/result"
)

// Names of policies. PolicyProduct is pomelosill itself; the others are baselines
// for comparison.
const (
	PolicyProduct    = "product"
	PolicyFCFS       = "fcfs"
	PolicyTwoChoices = "two-choices"
)

const (
	// dispatcherCount is the number of dispatchers in PolicyTwoChoices.
	dispatcherCount = 3
	// startDelay is the time between the preparation of a run and the start of
	// its trace, so that the first submissions are not late.
	startDelay = 200 * time.Millisecond
	// closedLoopCallers is the number of callers in the throughput scenario.
	closedLoopCallers = 64
)

// Runner runs scenarios against a fleet.
type Runner struct {
	Fleet  *Fleet
	Log    *zap.Logger
	client *http.Client
}

// Run runs one scenario and returns its line of the report.
func (r *Runner) Run(ctx context.Context, o Options) (report.Line, error) {
	r.client = loadgen.NewHTTPClient()
	defer r.client.CloseIdleConnections()
	info, err := find(o.Scenario)
	if err != nil {
		return report.Line{}, err
	}
	submitter, closeAll, err := r.newSubmitter(o)
	if err != nil {
		return report.Line{}, err
	}
	defer closeAll()
	if o.Scenario == "throughput" {
		return r.runThroughput(ctx, submitter, o)
	}
	b := &planBuilder{opts: o, load: o.Load, fleet: r.Fleet}
	if b.load == 0 {
		b.load = info.DefaultLoad
	}
	return r.runPlan(ctx, submitter, b, info.build(b))
}

func (r *Runner) newSubmitter(o Options) (loadgen.Submitter, func(), error) {
	urls := r.Fleet.endpointURLs()
	switch o.Policy {
	case PolicyProduct:
		return loadgen.NewEntryClient(r.client, r.Fleet.Entries, r.Fleet.CallerToken), func() {}, nil
	case PolicyFCFS:
		f := loadgen.NewFCFS(r.client, urls, r.Fleet.Slots)
		return f, f.Close, nil
	case PolicyTwoChoices:
		t := loadgen.NewPowerOfTwoChoices(r.client, urls, r.Fleet.Slots, dispatcherCount, o.Seed)
		return t, t.Close, nil
	}
	return nil, nil, errors.Errorf("unknown policy %q", o.Policy)
}

// measurement holds what was measured in one run of a trace.
type measurement struct {
	trace    trace.Trace
	records  []loadgen.Record
	findings audit.Findings
	wasted   *report.WastedMessages
	// storeCalls is the number of store calls per second, nil if the store did
	// not report them.
	storeCalls *float64
	roundTrip  time.Duration
}

func (r *Runner) runPlan(ctx context.Context, s loadgen.Submitter, b *planBuilder, p plan) (report.Line, error) {
	var undisturbed *measurement
	if len(p.undisturbed.Jobs) > 0 {
		m, err := r.runTrace(ctx, s, b.opts, p.undisturbed, nil)
		if err != nil {
			return report.Line{}, err
		}
		undisturbed = &m
	}
	m, err := r.runTrace(ctx, s, b.opts, p.trace, p.actions)
	if err != nil {
		return report.Line{}, err
	}
	return newLine(b, p, m, undisturbed), nil
}

func (r *Runner) runTrace(ctx context.Context, s loadgen.Submitter, o Options, t trace.Trace, actions []action) (measurement, error) {
	m := measurement{trace: t}
	var err error
	if m.roundTrip, err = r.Fleet.minRoundTrip(ctx, r.client); err != nil {
		return m, err
	}
	before, beforeErr := r.readCounters(ctx, o)
	start := time.Now().Add(startDelay)
	r.Log.Info("trace started", zap.String("scenario", o.Scenario), zap.Int("jobs", len(t.Jobs)), zap.Int("tasks", t.TaskCount()))
	actionsDone := make(chan struct{})
	go func() {
		defer close(actionsDone)
		r.runActions(ctx, actions, start)
	}()
	m.records = loadgen.Run(ctx, s, t, start)
	<-actionsDone
	seconds := time.Since(start).Seconds()
	r.Log.Info("trace ended", zap.Float64("seconds", seconds))
	starts, err := audit.ReadStarts(ctx, r.client, r.Fleet.endpointURLs())
	if err != nil {
		return m, err
	}
	m.findings = audit.Compare(m.records, starts, start)
	after, afterErr := r.readCounters(ctx, o)
	if o.Policy == PolicyProduct {
		m.addCounterDeltas(before, after, seconds, beforeErr == nil && afterErr == nil)
	} else {
		m.wasted, m.storeCalls = &report.WastedMessages{}, report.Ptr(0)
	}
	return m, nil
}

// runActions performs the actions at their times and logs their errors.
func (r *Runner) runActions(ctx context.Context, actions []action, start time.Time) {
	for _, a := range actions {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(a.at))):
		}
		err := a.run(ctx, r.client, r.Fleet)
		r.Log.Info("scenario action finished", zap.String("action", a.name), zap.Error(err))
	}
}

// counterSnapshot holds the cumulative counters at one point in time.
type counterSnapshot struct {
	messages   audit.Counters
	storeCalls int64
	storeErr   error
}

func (r *Runner) readCounters(ctx context.Context, o Options) (counterSnapshot, error) {
	var c counterSnapshot
	if o.Policy != PolicyProduct {
		return c, nil
	}
	c.storeCalls, c.storeErr = r.Fleet.countStoreCalls(ctx, r.client)
	var err error
	c.messages, err = audit.ReadCounters(ctx, r.client, r.Fleet.Debug)
	return c, err
}

// addCounterDeltas adds what was counted between two snapshots. The messages are
// left out unless all entries could be read both times.
func (m *measurement) addCounterDeltas(before, after counterSnapshot, seconds float64, readable bool) {
	if readable {
		w := after.messages.Since(before.messages).Wasted(m.findings.StartedTasks)
		m.wasted = &w
	}
	if before.storeErr == nil && after.storeErr == nil {
		m.storeCalls = report.Ptr(float64(after.storeCalls-before.storeCalls) / seconds)
	}
}

// runThroughput measures a closed loop of jobs whose tasks have a run time of zero.
func (r *Runner) runThroughput(ctx context.Context, s loadgen.Submitter, o Options) (report.Line, error) {
	job := trace.Job{Team: teamAlerts, RunTimes: make([]time.Duration, trace.MaxTasksPerJob), Timeout: jobTimeout}
	start := time.Now()
	r.Log.Info("trace started", zap.String("scenario", o.Scenario))
	m := measurement{trace: trace.Trace{Duration: o.Duration}}
	m.records = loadgen.RunClosedLoop(ctx, s, job, closedLoopCallers, o.Duration)
	seconds := time.Since(start).Seconds()
	r.Log.Info("trace ended", zap.Float64("seconds", seconds))
	starts, err := audit.ReadStarts(ctx, r.client, r.Fleet.endpointURLs())
	if err != nil {
		return report.Line{}, err
	}
	m.findings = audit.Compare(m.records, starts, start)
	line := report.Line{Scenario: o.Scenario, Policy: o.Policy, Size: o.Size, Seed: o.Seed, Seconds: seconds}
	line.StartsPerSec = report.Ptr(float64(m.findings.StartedTasks) / seconds)
	addAnswers(&line, m)
	times := report.NewDurations()
	for _, rec := range m.records {
		times.Add(rec.ResponseTime())
	}
	line.ResponseP50MS = times.PercentileMS(50)
	line.ResponseP99MS = times.PercentileMS(99)
	return line, nil
}

func newLine(b *planBuilder, p plan, m measurement, undisturbed *measurement) report.Line {
	o := b.opts
	line := report.Line{
		Scenario: o.Scenario, Policy: o.Policy, Size: o.Size,
		Load: b.load, Seed: o.Seed, Seconds: o.Duration.Seconds(),
		NetworkMS:        float64(m.roundTrip.Microseconds()) / 1000,
		StoreCallsPerSec: m.storeCalls,
	}
	addAnswers(&line, m)
	addResponseTimes(&line, p, m)
	addWork(&line, b, p, m)
	addWasted(&line, m)
	if undisturbed != nil {
		p99 := observedResponseTimes(*undisturbed).PercentileMS(99)
		line.DisturbanceRatioP99 = report.Divide(line.ResponseP99MS, p99)
	}
	if p.reportsGap {
		gap := audit.LongestStartGap(m.findings.TaskStarts, p.window)
		line.TakeoverGapMS = report.Ptr(float64(gap.Milliseconds()))
	}
	return line
}

func addAnswers(line *report.Line, m measurement) {
	line.Jobs = len(m.records)
	line.Tasks = m.trace.TaskCount()
	codes := map[result.Code]int{}
	sendDelays := report.NewDurations()
	for _, r := range m.records {
		line.Resubmitted += r.Resubmissions
		sendDelays.Add(r.SentAt - r.Job.Arrival)
		if !r.Answered {
			line.NoAnswer++
			continue
		}
		codes[r.Code]++
		if r.Partial {
			line.PartialAnswers++
		}
		if r.Mismatched {
			line.ForeignAnswers++
		}
	}
	line.PartialAnswers += m.findings.UnrecordedTasks
	line.OK = codes[result.OK]
	for code, n := range codes {
		line.AnswersByCode = append(line.AnswersByCode, report.CodeCount{Code: code, Name: result.Describe(code).Name, Count: n})
	}
	slices.SortFunc(line.AnswersByCode, func(a, b report.CodeCount) int { return int(a.Code) - int(b.Code) })
	line.DoubleStarts = m.findings.DoubleStarts
	line.FalseNotRun = m.findings.FalseNotRun
	if p99 := sendDelays.PercentileMS(99); p99 != nil {
		line.LateSendP99MS = *p99
	}
}

// isObserved reports whether the response time of a job is included in the
// percentiles.
func isObserved(r loadgen.Record) bool {
	return !r.Job.Background && r.Answered && r.Code == result.OK
}

func observedResponseTimes(m measurement) *report.Durations {
	times := report.NewDurations()
	for _, r := range m.records {
		if isObserved(r) {
			times.Add(r.ResponseTime())
		}
	}
	return times
}

func addResponseTimes(line *report.Line, p plan, m measurement) {
	times := observedResponseTimes(m)
	line.ResponseP50MS = times.PercentileMS(50)
	line.ResponseP99MS = times.PercentileMS(99)
	uncancelled, records := withoutCancelled(m)
	schedule := ideal.Simulate(uncancelled, p.capacities)
	measuredRatios, idealRatios := report.NewRatios(), report.NewRatios()
	for i, r := range records {
		if !isObserved(r) {
			continue
		}
		noWait := ideal.NoWaitResponseTime(r.Job, m.roundTrip)
		measuredRatios.Add(r.ResponseTime(), noWait)
		idealRatios.Add(schedule.ResponseTimes[i]+m.roundTrip, noWait)
	}
	line.ResponseRatioP50, line.ResponseRatioP99 = measuredRatios.Percentile(50), measuredRatios.Percentile(99)
	line.IdealRatioP50, line.IdealRatioP99 = idealRatios.Percentile(50), idealRatios.Percentile(99)
	line.QueueRatioP50 = report.Divide(line.ResponseRatioP50, line.IdealRatioP50)
	line.QueueRatioP99 = report.Divide(line.ResponseRatioP99, line.IdealRatioP99)
}

// withoutCancelled leaves out the jobs that the trace cancels, because the ideal
// queue does not simulate cancellation.
func withoutCancelled(m measurement) (trace.Trace, []loadgen.Record) {
	t := trace.Trace{Duration: m.trace.Duration}
	var records []loadgen.Record
	for _, r := range m.records {
		if r.Job.CancelAt == 0 {
			t.Jobs = append(t.Jobs, r.Job)
			records = append(records, r)
		}
	}
	return t, records
}

func addWork(line *report.Line, b *planBuilder, p plan, m measurement) {
	if p.slowsEndpoint {
		return
	}
	uncancelled, _ := withoutCancelled(m)
	idealWork := ideal.Overlap(ideal.Simulate(uncancelled, p.capacities).TaskRuns, p.window)
	doneWork := ideal.Overlap(m.findings.SuccessfulRuns, p.window)
	window := p.window.End - p.window.Start
	line.WorkKept = report.Ptr(float64(doneWork) / float64(idealWork))
	line.Goodput = report.Ptr(float64(doneWork) / float64(window) / float64(b.fleet.totalSlots()))
}

func addWasted(line *report.Line, m measurement) {
	if m.wasted == nil || m.findings.StartedTasks == 0 {
		return
	}
	line.Wasted = m.wasted
	line.WastedPerTask = report.Ptr(float64(m.wasted.WorkCount()) / float64(m.findings.StartedTasks))
	line.ControlPerTask = report.Ptr(float64(m.wasted.ControlCount()) / float64(m.findings.StartedTasks))
}
