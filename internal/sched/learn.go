package sched

import (
	"math"
	"math/bits"
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// declaredClasses is the number of classes of declared run times. Class 0 is
// for tasks without one, class 1 for less than a millisecond; each class after
// that covers twice the range of the one before, starting at a millisecond.
const declaredClasses = 16

// ejectionResetCompletions is how many tasks must complete on an endpoint
// without an ejection until its next ejection counts as the first again.
const ejectionResetCompletions = 64

// Thresholds for deciding whether an endpoint is slow.
const (
	// slowDeviations is how many standard deviations above normal an
	// endpoint's slowness must be before it is ejected.
	slowDeviations = 5
	// minLogVariance is the lower limit of the variance in the test of probes,
	// for tasks of nearly equal run times.
	minLogVariance = 0.05
	// slowThreshold and normalThreshold are the log likelihood ratios at which
	// the probes of an endpoint show that it is slow or normal.
	slowThreshold   = 2
	normalThreshold = -1
)

// runTimeStats holds moving means of run times.
type runTimeStats struct {
	samples int
	// mean is in seconds.
	mean float64
	// logMean and logVariance are of the natural logarithms of the run times
	// in seconds.
	logMean     float64
	logVariance float64
}

// add adds one run time with at least the given weight. Until there are
// 1/weight samples, all of them count equally.
func (s *runTimeStats) add(runTime time.Duration, weight float64) {
	s.samples++
	w := max(weight, 1/float64(s.samples))
	seconds := runTime.Seconds()
	s.mean += w * (seconds - s.mean)
	deviation := math.Log(seconds) - s.logMean
	s.logMean += w * deviation
	s.logVariance += w * ((1-w)*deviation*deviation - s.logVariance)
}

// movingRate is an exponentially weighted moving mean in which a failed task
// counts as 1 and a successful one as 0.
type movingRate float64

func (r *movingRate) add(v, weight float64) { *r += movingRate(weight * (v - float64(*r))) }

// runTimes holds run time statistics by class of declared run time.
type runTimes struct {
	all     runTimeStats
	classes [declaredClasses]runTimeStats
}

func (r *runTimes) add(declared, runTime time.Duration, weight float64) {
	r.all.add(runTime, weight)
	r.classes[declaredClass(declared)].add(runTime, weight)
}

// lookup returns the statistics of the declared class if it has enough samples,
// else those of all classes together if they have, else nil.
func (r *runTimes) lookup(declared time.Duration, minSamples int) *runTimeStats {
	if stats := &r.classes[declaredClass(declared)]; stats.samples >= minSamples {
		return stats
	}
	if r.all.samples >= minSamples {
		return &r.all
	}
	return nil
}

// declaredClass returns 0 for no declared run time, else 1 plus the number of
// bits in its milliseconds, up to the last class.
func declaredClass(d time.Duration) int {
	if d <= 0 {
		return 0
	}
	return min(1+bits.Len64(uint64(d.Milliseconds())), declaredClasses-1)
}

// expectedRunTime returns the expected run time of a task.
func (s *Scheduler) expectedRunTime(t *team, declared time.Duration) time.Duration {
	stats := s.runTimeStatsFor(t, declared)
	if stats == nil {
		return s.cfg.Learning.InitialRunTime
	}
	return time.Duration(stats.mean * float64(time.Second))
}

// runTimeStatsFor returns the statistics of the team's run times, or of all
// teams' while the team has too few samples, or nil.
func (s *Scheduler) runTimeStatsFor(t *team, declared time.Duration) *runTimeStats {
	if stats := t.runTimes.lookup(declared, s.cfg.Learning.MinSamples); stats != nil {
		return stats
	}
	return s.runTimes.lookup(declared, s.cfg.Learning.MinSamples)
}

// recordCompletion updates the statistics with the result of a task.
func (s *Scheduler) recordCompletion(j *job, e *endpoint, c Completion) {
	switch c.Code {
	case result.OK:
		e.done++
		s.totals.Done++
		s.retryBudget = min(s.retryBudget+s.cfg.Retry.BudgetPerSuccess, s.cfg.Retry.MaxBudget)
		s.recordRunTime(j, e, c.RunTime)
		s.updateFailureRates(j.team, e, false)
	case result.TaskFailed, result.OutcomeUnknown, result.EndpointUnreachable:
		e.failed++
		s.totals.Failed++
		s.updateFailureRates(j.team, e, true)
	case result.DeadlineAfterStart:
		s.totals.Interrupted++
		s.recordDeadlineEnd(j, e, c.RunTime)
	default:
		s.totals.Interrupted++
	}
}

// recordDeadlineEnd records a task that was ended by its deadline and would
// have run for longer. If it had run for much longer than expected, it counts
// as a failure of the endpoint, which may be frozen.
func (s *Scheduler) recordDeadlineEnd(j *job, e *endpoint, runTime time.Duration) {
	expected := s.expectedRunTime(j.team, j.declaredRunTime)
	if runTime <= expected {
		return
	}
	limit := time.Duration(s.cfg.Learning.StragglerThreshold * float64(expected))
	if runTime > limit {
		s.updateFailureRates(j.team, e, true)
	}
	s.recordRunTime(j, e, min(runTime, limit))
}

// recordRunTime updates the statistics with a run time.
func (s *Scheduler) recordRunTime(j *job, e *endpoint, runTime time.Duration) {
	if runTime <= 0 {
		return
	}
	cfg := &s.cfg.Learning
	if stats := s.runTimeStatsFor(j.team, j.declaredRunTime); stats != nil {
		s.updateSlowness(e, math.Log(runTime.Seconds())-stats.logMean, stats.logVariance)
	}
	e.runTimes.add(runTime, cfg.RunTimeWeight)
	j.team.runTimes.add(j.declaredRunTime, runTime, cfg.RunTimeWeight)
	s.runTimes.add(j.declaredRunTime, runTime, cfg.RunTimeWeight)
	s.classifyTeam(j.team)
}

// updateFailureRates records whether a task failed on an endpoint. A failure
// counts against the endpoint only as far as it exceeds the team's failure
// rate.
func (s *Scheduler) updateFailureRates(t *team, e *endpoint, failed bool) {
	v := 0.0
	if failed {
		v = 1
	}
	cfg := &s.cfg.Learning
	e.excessFailureRate.add(v-float64(t.failureRate), cfg.EndpointFailureWeight)
	t.failureRate.add(v, cfg.TeamFailureWeight)
	e.completions++
	switch e.health {
	case healthy:
		s.ejectIfFailing(e)
	case probing:
		s.recordProbe(t, e, failed)
	case ejected:
		// The task started before the ejection.
	}
}

// updateSlowness records the logarithm of a run time over the normal run time;
// variance is that of the logarithms of normal run times.
func (s *Scheduler) updateSlowness(e *endpoint, logRatio, variance float64) {
	cfg := &s.cfg.Learning
	limit := math.Log(cfg.StragglerThreshold)
	// A few very long tasks among short ones are normal.
	logRatio = min(max(logRatio, -2*limit), 2*limit)
	e.logSlowness += cfg.SpeedWeight * (logRatio - e.logSlowness)
	e.logVariance += cfg.SpeedWeight * (variance - e.logVariance)
	switch e.health {
	case healthy:
		if e.logSlowness > max(limit, slowDeviations*e.slownessDeviation(cfg.SpeedWeight)) {
			s.eject(e)
		}
	case probing:
		// This is a sequential likelihood ratio test of the straggler
		// threshold against normal speed.
		e.slowLogLikelihood += limit / max(variance, minLogVariance) * (logRatio - limit/2)
		if e.slowLogLikelihood > slowThreshold {
			s.eject(e)
		}
	case ejected:
	}
}

// slownessDeviation returns the standard deviation of logSlowness for an
// endpoint of normal speed.
func (e *endpoint) slownessDeviation(weight float64) float64 {
	return math.Sqrt(e.logVariance * weight / (2 - weight))
}

func (s *Scheduler) ejectIfFailing(e *endpoint) {
	cfg := &s.cfg.Ejection
	if e.completions >= cfg.MinCompletions && float64(e.excessFailureRate) > cfg.Threshold {
		s.eject(e)
		return
	}
	if e.completions >= ejectionResetCompletions {
		e.ejections = 0
	}
}

func (s *Scheduler) recordProbe(t *team, e *endpoint, failed bool) {
	if failed {
		if float64(t.failureRate) < s.cfg.Ejection.Threshold {
			s.eject(e)
		}
		return
	}
	e.probeSuccesses++
	if e.probeSuccesses >= s.cfg.Ejection.ProbeSuccesses && e.slowLogLikelihood <= normalThreshold {
		s.reinstate(e)
	}
}
