package capacity

import (
	"math"
	"time"

	"github.com/pomelosill/pomelosill/internal/workload"
)

const (
	// speedTimeConstant is the time in which the weight of a sample falls to 1/e.
	speedTimeConstant = 150 * time.Millisecond
	// minSampleInterval is the least time between two samples of one run.
	minSampleInterval = 40 * time.Millisecond
	// startupGrace is the time after a start order in which no progress is
	// expected.
	startupGrace = 60 * time.Millisecond
	// moveOverhead is the time that a move takes beside the work itself.
	moveOverhead = 30 * time.Millisecond
	// stallTimeout is the time between looks without any progress after which a
	// run is held to stand still.
	stallTimeout = 180 * time.Millisecond
)

// speedEstimator estimates how fast an endpoint works against the estimates: the work
// that its runs got done over the time they took, both fading with time.
type speedEstimator struct {
	workDone, elapsed float64
	// updatedAt is when the sums were last brought up to date.
	updatedAt time.Duration
}

// priorWeightSeconds is the weight of speed 1 before the first samples, in seconds.
const priorWeightSeconds = 0.05

func newSpeedEstimator() speedEstimator {
	return speedEstimator{workDone: priorWeightSeconds, elapsed: priorWeightSeconds}
}

// addSample takes a sample over.
func (s *speedEstimator) addSample(work, took, now time.Duration) {
	if now > s.updatedAt {
		fade := math.Exp(-float64(now-s.updatedAt) / float64(speedTimeConstant))
		s.workDone *= fade
		s.elapsed *= fade
		s.updatedAt = now
	}
	s.workDone += work.Seconds()
	s.elapsed += took.Seconds()
}

// value is the endpoint's speed; 1 is that of the estimates.
func (s *speedEstimator) value() float64 {
	if s.elapsed <= 0 {
		return 1
	}
	return s.workDone / s.elapsed
}

// observeProgress notes what share of a run is done.
func (s *speedEstimator) observeProgress(e *Reservation, percent float64, now time.Duration) {
	e.trackProgress(percent <= e.lastPercent, now)
	interval := now - e.lastPercentAt
	if interval < minSampleInterval || now-e.StartSentAt < startupGrace {
		return
	}
	done := time.Duration((percent - e.lastPercent) / 100 * float64(e.Estimate))
	s.addSample(max(done, 0), interval, now)
	e.updateRate(max(done, 0).Seconds() / interval.Seconds())
	e.lastPercent, e.lastPercentAt = percent, now
}

// rateWeight is the weight of the newest sample in a run's own rate.
const rateWeight = 0.5

// updateRate notes how fast the run got on since the look before.
func (e *Reservation) updateRate(rate float64) {
	if !e.hasRate {
		e.rate, e.hasRate = rate, true
		return
	}
	e.rate += rateWeight * (rate - e.rate)
}

// trackProgress notes whether a look showed progress. A time without any look says
// nothing about the run.
func (e *Reservation) trackProgress(is bool, now time.Duration) {
	switch {
	case !is:
		e.noProgressFrom, e.noProgressUntil = 0, 0
	case e.noProgressFrom == 0:
		e.noProgressFrom, e.noProgressUntil = now, now
	default:
		e.noProgressUntil = now
	}
}

// observeDone notes that a run is done.
func (s *speedEstimator) observeDone(e *Reservation, now time.Duration) {
	left := time.Duration((100 - e.lastPercent) / 100 * float64(e.Estimate))
	s.addSample(left, now-e.lastPercentAt, now)
}

// Speed is the endpoint's speed against the estimates.
func (a *Tracker) Speed() float64 { return a.speed.value() }

const (
	// minSlowJobs is how many jobs must be slow at an endpoint for it to be held
	// to be slow: a single one may take longer by itself.
	minSlowJobs = 2
	// minSlowFraction is the least share of the jobs there that must be slow.
	minSlowFraction = 0.7
)

// Slow tells whether the endpoint works far slower than the estimates say, by
// the jobs that run there one by one.
func (a *Tracker) Slow() bool {
	if a.Speed() >= slowThreshold {
		return false
	}
	slow := map[string]bool{}
	for r, e := range a.reservations {
		if !e.hasRate {
			continue
		}
		task, _ := workload.ParseTaskID(r.Task)
		before, known := slow[task.Job]
		slow[task.Job] = e.rate < slowThreshold && (before || !known)
	}
	n := 0
	for _, is := range slow {
		if is {
			n++
		}
	}
	return n >= minSlowJobs && float64(n) >= minSlowFraction*float64(len(slow))
}

// ResetSpeed begins to measure anew, so that an endpoint that was slow or
// failing is tried again.
func (a *Tracker) ResetSpeed() { a.speed = newSpeedEstimator() }

// NewlyStalled returns the runs that stand still, or would be done earlier if they
// began again elsewhere, each once.
func (a *Tracker) NewlyStalled(now time.Duration) []workload.RunID {
	var all []workload.RunID
	slow := a.Slow()
	for r, e := range a.reservations {
		if e.Stalled || e.State != Running || now-e.StartSentAt < startupGrace {
			continue
		}
		if e.noProgressUntil-e.noProgressFrom > stallTimeout || (slow && a.fasterElsewhere(e)) {
			e.Stalled = true
			all = append(all, r)
		}
	}
	return all
}

// minSpeed bounds the time that is foreseen for a run.
const minSpeed = 0.01

// fasterElsewhere tells whether a run at a slow endpoint would be done earlier
// if it began again at a sound one.
func (a *Tracker) fasterElsewhere(e *Reservation) bool {
	left := (1 - e.lastPercent/100) * e.Estimate.Seconds() / max(a.Speed(), minSpeed)
	return left > (e.Estimate + moveOverhead).Seconds()
}
