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

// forgiveAfter is how many tasks must end on an endpoint that was let back
// until its next ejection counts as a first one.
const forgiveAfter = 64

// Limits of the tests of an endpoint's speed.
const (
	// slowDeviations is how many standard deviations above the usual speed
	// an endpoint must be before it is ejected.
	slowDeviations = 5
	// minLogVariance stands in for the variance of very even run times.
	minLogVariance = 0.05
	// slowAccepted and usualAccepted are the log likelihood ratios at which
	// the probes of an endpoint end.
	slowAccepted  = 2
	usualAccepted = -1
)

// runMean is a moving mean of run times.
type runMean struct {
	samples int
	// mean is in seconds.
	mean float64
	// logMean and logVariance are of the natural logarithms of the seconds.
	logMean     float64
	logVariance float64
}

// add takes in one run time with at least the given weight; the first
// samples count alike.
func (m *runMean) add(run time.Duration, weight float64) {
	m.samples++
	w := max(weight, 1/float64(m.samples))
	seconds := run.Seconds()
	m.mean += w * (seconds - m.mean)
	off := math.Log(seconds) - m.logMean
	m.logMean += w * off
	m.logVariance += w * ((1-w)*off*off - m.logVariance)
}

// rate is a moving mean of yes and no.
type rate float64

func (r *rate) add(v, weight float64) { *r += rate(weight * (v - float64(*r))) }

// runTimes learns run times by declared run time.
type runTimes struct {
	all     runMean
	classes [declaredClasses]runMean
}

func (r *runTimes) add(declared, run time.Duration, weight float64) {
	r.all.add(run, weight)
	r.classes[declaredClass(declared)].add(run, weight)
}

// best returns the mean of the declared class if it has enough samples, or of
// all classes, or nil.
func (r *runTimes) best(declared time.Duration, minSamples int) *runMean {
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

// expect returns the expected run time of a task.
func (s *Scheduler) expect(t *team, declared time.Duration) time.Duration {
	m := s.usual(t, declared)
	if m == nil {
		return s.cfg.Learning.InitialRun
	}
	return time.Duration(m.mean * float64(time.Second))
}

// usual returns the learned run time of a team's tasks, or of all teams'
// while the team's is unknown, or nil.
func (s *Scheduler) usual(t *team, declared time.Duration) *runMean {
	if m := t.runs.best(declared, s.cfg.Learning.MinSamples); m != nil {
		return m
	}
	return s.runs.best(declared, s.cfg.Learning.MinSamples)
}

// learn takes in how a task ended.
func (s *Scheduler) learn(j *job, e *endpoint, end Ending) {
	switch end.Code {
	case result.OK:
		e.done++
		s.counts.Done++
		s.budget = min(s.budget+s.cfg.Retry.Share, s.cfg.Retry.Burst)
		s.learnRun(j, e, end.Run)
		s.observe(j.team, e, false)
	case result.TaskFailed, result.OutcomeUnknown, result.EndpointUnreachable:
		e.failed++
		s.counts.Failed++
		s.observe(j.team, e, true)
	case result.DeadlineAfterStart:
		s.counts.Cut++
		s.learnCut(j, e, end.Run)
	default:
		s.counts.Cut++
	}
}

// learnCut takes in a task that its deadline ended and that would have run for
// longer still. One that ran for much longer than usual counts as a failure
// of its endpoint, which may be frozen.
func (s *Scheduler) learnCut(j *job, e *endpoint, run time.Duration) {
	usual := s.expect(j.team, j.declared)
	if run <= usual {
		return
	}
	limit := time.Duration(s.cfg.Learning.StragglerSlowness * float64(usual))
	if run > limit {
		s.observe(j.team, e, true)
	}
	s.learnRun(j, e, min(run, limit))
}

// learnRun takes in a run time.
func (s *Scheduler) learnRun(j *job, e *endpoint, run time.Duration) {
	if run <= 0 {
		return
	}
	cfg := &s.cfg.Learning
	if m := s.usual(j.team, j.declared); m != nil {
		s.observeSpeed(e, math.Log(run.Seconds())-m.logMean, m.logVariance)
	}
	e.runs.add(run, cfg.RunWeight)
	j.team.runs.add(j.declared, run, cfg.RunWeight)
	s.runs.add(j.declared, run, cfg.RunWeight)
	s.classify(j.team)
}

// observe takes in whether a task failed on an endpoint. A failure counts
// against the endpoint as far as it is unusual for the team.
func (s *Scheduler) observe(t *team, e *endpoint, failed bool) {
	v := 0.0
	if failed {
		v = 1
	}
	cfg := &s.cfg.Learning
	e.excess.add(v-float64(t.failures), cfg.EndpointFailureWeight)
	t.failures.add(v, cfg.TeamFailureWeight)
	e.endings++
	switch e.health {
	case healthy:
		s.observeHealthy(e)
	case probing:
		s.observeProbe(t, e, failed)
	case ejected:
		// The task was started before the ejection.
	}
}

// observeSpeed takes in the logarithm of a run time over the usual one, and
// how much such logarithms vary.
func (s *Scheduler) observeSpeed(e *endpoint, slow, variance float64) {
	cfg := &s.cfg.Learning
	limit := math.Log(cfg.StragglerSlowness)
	// A few very long tasks among short ones are usual.
	slow = min(max(slow, -2*limit), 2*limit)
	e.logSlowness += cfg.SpeedWeight * (slow - e.logSlowness)
	e.logVariance += cfg.SpeedWeight * (variance - e.logVariance)
	switch e.health {
	case healthy:
		if e.logSlowness > max(limit, slowDeviations*e.speedDeviation(cfg.SpeedWeight)) {
			s.eject(e)
		}
	case probing:
		// A sequential likelihood ratio test of the limit against the usual
		// speed.
		e.slowEvidence += limit / max(variance, minLogVariance) * (slow - limit/2)
		if e.slowEvidence > slowAccepted {
			s.eject(e)
		}
	case ejected:
	}
}

// speedDeviation returns the standard deviation of the moving logSlowness of
// an endpoint of usual speed.
func (e *endpoint) speedDeviation(weight float64) float64 {
	return math.Sqrt(e.logVariance * weight / (2 - weight))
}

func (s *Scheduler) observeHealthy(e *endpoint) {
	cfg := &s.cfg.Ejection
	if e.endings >= cfg.MinEndings && float64(e.excess) > cfg.Threshold {
		s.eject(e)
		return
	}
	if e.endings >= forgiveAfter {
		e.ejections = 0
	}
}

func (s *Scheduler) observeProbe(t *team, e *endpoint, failed bool) {
	if failed {
		if float64(t.failures) < s.cfg.Ejection.Threshold {
			s.eject(e)
		}
		return
	}
	e.probes++
	if e.probes >= s.cfg.Ejection.Probes && e.slowEvidence <= usualAccepted {
		s.letBack(e)
	}
}
