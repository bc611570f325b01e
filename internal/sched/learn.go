package sched

import (
	"math"
	"math/bits"
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// declaredClasses is the number of classes of declared run times; each class
// is twice as long as the one before, from a millisecond on.
const declaredClasses = 16

// ejectionResetCompletions is how many tasks must end on an endpoint that was let back
// until its next ejection counts as a first one.
const ejectionResetCompletions = 64

// Limits of the tests of an endpoint's speed.
const (
	// slowDeviations is how many standard deviations above the usual speed
	// an endpoint must be before it is ejected.
	slowDeviations = 5
	// minLogVariance stands in for the variance of very even run times.
	minLogVariance = 0.05
	// slowThreshold and usualAccepted are the log likelihood ratios at which
	// the probes of an endpoint end.
	slowThreshold   = 2
	normalThreshold = -1
)

// runTimeStats is a moving mean of run times.
type runTimeStats struct {
	samples int
	// mean is in seconds.
	mean float64
	// logMean and logVariance are of the natural logarithms of the seconds.
	logMean     float64
	logVariance float64
}

// add takes in one run time with at least the given weight; the first
// samples count alike.
func (m *runTimeStats) add(run time.Duration, weight float64) {
	m.samples++
	w := max(weight, 1/float64(m.samples))
	seconds := run.Seconds()
	m.mean += w * (seconds - m.mean)
	off := math.Log(seconds) - m.logMean
	m.logMean += w * off
	m.logVariance += w * ((1-w)*off*off - m.logVariance)
}

// movingRate is a moving mean of yes and no.
type movingRate float64

func (r *movingRate) add(v, weight float64) { *r += movingRate(weight * (v - float64(*r))) }

// runTimes learns run times by declared run time.
type runTimes struct {
	all     runTimeStats
	classes [declaredClasses]runTimeStats
}

func (r *runTimes) add(declared, run time.Duration, weight float64) {
	r.all.add(run, weight)
	r.classes[declaredClass(declared)].add(run, weight)
}

// lookup returns the mean of the declared class if it has enough samples, or of
// all classes, or nil.
func (r *runTimes) lookup(declared time.Duration, minSamples int) *runTimeStats {
	if m := &r.classes[declaredClass(declared)]; m.samples >= minSamples {
		return m
	}
	if r.all.samples >= minSamples {
		return &r.all
	}
	return nil
}

// declaredClass returns 0 for no declaration, else 1 plus the binary
// logarithm of the milliseconds, bounded.
func declaredClass(d time.Duration) int {
	if d <= 0 {
		return 0
	}
	return min(1+bits.Len64(uint64(d.Milliseconds())), declaredClasses-1)
}

// expectedRunTime returns the expected run time of a task.
func (s *Scheduler) expectedRunTime(t *team, declared time.Duration) time.Duration {
	m := s.runTimeStatsFor(t, declared)
	if m == nil {
		return s.cfg.Learning.InitialRunTime
	}
	return time.Duration(m.mean * float64(time.Second))
}

// runTimeStatsFor returns the learned run time of a team's tasks, or of all teams'
// while the team's is unknown, or nil.
func (s *Scheduler) runTimeStatsFor(t *team, declared time.Duration) *runTimeStats {
	if m := t.runTimes.lookup(declared, s.cfg.Learning.MinSamples); m != nil {
		return m
	}
	return s.runTimes.lookup(declared, s.cfg.Learning.MinSamples)
}

// recordCompletion takes in how a task ended.
func (s *Scheduler) recordCompletion(j *job, e *endpoint, end Completion) {
	switch end.Code {
	case result.OK:
		e.done++
		s.totals.Done++
		s.retryBudget = min(s.retryBudget+s.cfg.Retry.BudgetPerSuccess, s.cfg.Retry.MaxBudget)
		s.recordRunTime(j, e, end.RunTime)
		s.updateFailureRates(j.team, e, false)
	case result.TaskFailed, result.OutcomeUnknown, result.EndpointUnreachable:
		e.failed++
		s.totals.Failed++
		s.updateFailureRates(j.team, e, true)
	case result.DeadlineAfterStart:
		s.totals.Interrupted++
		s.recordDeadlineEnd(j, e, end.RunTime)
	default:
		s.totals.Interrupted++
	}
}

// recordDeadlineEnd takes in a task that its deadline ended and that would have run for
// longer still. One that ran for much longer than usual counts as a failure
// of its endpoint, which may be frozen.
func (s *Scheduler) recordDeadlineEnd(j *job, e *endpoint, run time.Duration) {
	usual := s.expectedRunTime(j.team, j.declaredRunTime)
	if run <= usual {
		return
	}
	limit := time.Duration(s.cfg.Learning.StragglerThreshold * float64(usual))
	if run > limit {
		s.updateFailureRates(j.team, e, true)
	}
	s.recordRunTime(j, e, min(run, limit))
}

// recordRunTime takes in a run time.
func (s *Scheduler) recordRunTime(j *job, e *endpoint, run time.Duration) {
	if run <= 0 {
		return
	}
	cfg := &s.cfg.Learning
	if m := s.runTimeStatsFor(j.team, j.declaredRunTime); m != nil {
		s.updateSlowness(e, math.Log(run.Seconds())-m.logMean, m.logVariance)
	}
	e.runTimes.add(run, cfg.RunTimeWeight)
	j.team.runTimes.add(j.declaredRunTime, run, cfg.RunTimeWeight)
	s.runTimes.add(j.declaredRunTime, run, cfg.RunTimeWeight)
	s.classifyTeam(j.team)
}

// updateFailureRates takes in whether a task failed on an endpoint. A failure counts
// against the endpoint as far as it is unusual for the team.
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
		// The task was started before the ejection.
	}
}

// updateSlowness takes in the logarithm of a run time over the usual one, and
// how much such logarithms vary.
func (s *Scheduler) updateSlowness(e *endpoint, slow, variance float64) {
	cfg := &s.cfg.Learning
	limit := math.Log(cfg.StragglerThreshold)
	// A few very long tasks among short ones are usual.
	slow = min(max(slow, -2*limit), 2*limit)
	e.logSlowness += cfg.SpeedWeight * (slow - e.logSlowness)
	e.logVariance += cfg.SpeedWeight * (variance - e.logVariance)
	switch e.health {
	case healthy:
		if e.logSlowness > max(limit, slowDeviations*e.slownessDeviation(cfg.SpeedWeight)) {
			s.eject(e)
		}
	case probing:
		// A sequential likelihood ratio test of the limit against the usual
		// speed.
		e.slowLogLikelihood += limit / max(variance, minLogVariance) * (slow - limit/2)
		if e.slowLogLikelihood > slowThreshold {
			s.eject(e)
		}
	case ejected:
	}
}

// slownessDeviation returns the standard deviation of the moving logSlowness of
// an endpoint of usual speed.
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
