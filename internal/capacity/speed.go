package capacity

import (
	"math"
	"time"

	"github.com/pomelosill/pomelosill/internal/workload"
)

const (
	// speedTimeConstant is the time in which the weight of a sample decays to
	// 1/e.
	speedTimeConstant = 150 * time.Millisecond
	// minSampleInterval is the least time between two samples of one run.
	minSampleInterval = 40 * time.Millisecond
	// startupGrace is the time after a start request in which no progress is
	// expected.
	startupGrace = 60 * time.Millisecond
	// moveOverhead is the time that moving a run costs in addition to repeating
	// its work.
	moveOverhead = 30 * time.Millisecond
	// stallTimeout is the time between responses without any progress after
	// which a run counts as stalled.
	stallTimeout = 180 * time.Millisecond
)

// speedEstimator estimates an endpoint's speed relative to the task estimates:
// the work done by its runs divided by the elapsed time, both decaying
// exponentially, in seconds.
type speedEstimator struct {
	workDone, elapsed float64
	// updatedAt is when the sums were last decayed.
	updatedAt time.Duration
}

// priorWeightSeconds is the weight of the assumed speed 1 before the first
// samples.
const priorWeightSeconds = 0.05

func newSpeedEstimator() speedEstimator {
	return speedEstimator{workDone: priorWeightSeconds, elapsed: priorWeightSeconds}
}

// addSample adds the work done by a run within an interval.
func (s *speedEstimator) addSample(work, interval, now time.Duration) {
	if now > s.updatedAt {
		decay := math.Exp(-float64(now-s.updatedAt) / float64(speedTimeConstant))
		s.workDone *= decay
		s.elapsed *= decay
		s.updatedAt = now
	}
	s.workDone += work.Seconds()
	s.elapsed += interval.Seconds()
}

// value returns the endpoint's speed, where 1 means that tasks take as long as
// estimated.
func (s *speedEstimator) value() float64 {
	if s.elapsed <= 0 {
		return 1
	}
	return s.workDone / s.elapsed
}

// observeProgress records the progress that the endpoint listed for a run. A run
// without an estimate shows progress, but no speed.
func (s *speedEstimator) observeProgress(res *Reservation, percent float64, now time.Duration) {
	percent = min(max(percent, 0), 100)
	res.trackProgress(percent <= res.lastPercent, now)
	interval := now - res.lastPercentAt
	if res.Estimate <= 0 {
		res.lastPercent = percent
		return
	}
	if interval < minSampleInterval || now-res.StartSentAt < startupGrace {
		return
	}
	done := time.Duration((percent - res.lastPercent) / 100 * float64(res.Estimate))
	s.addSample(max(done, 0), interval, now)
	res.updateRate(max(done, 0).Seconds() / interval.Seconds())
	res.lastPercent, res.lastPercentAt = percent, now
}

// skipProgress records progress that the endpoint listed at an unknown time: neither a
// stall nor a speed follows from it.
func (res *Reservation) skipProgress(percent float64, now time.Duration) {
	res.lastPercent, res.lastPercentAt = min(max(percent, 0), 100), now
	res.noProgressFrom, res.noProgressUntil = 0, 0
}

// rateWeight is the weight of the newest sample in a run's rate.
const rateWeight = 0.5

// updateRate records the run's rate since the previous sample.
func (res *Reservation) updateRate(rate float64) {
	if !res.hasRate {
		res.rate, res.hasRate = rate, true
		return
	}
	res.rate += rateWeight * (rate - res.rate)
}

// trackProgress records whether a response showed progress. A time without
// responses says nothing about the run.
func (res *Reservation) trackProgress(unchanged bool, now time.Duration) {
	switch {
	case !unchanged:
		res.noProgressFrom, res.noProgressUntil = 0, 0
	case res.noProgressFrom == 0:
		res.noProgressFrom, res.noProgressUntil = now, now
	default:
		res.noProgressUntil = now
	}
}

// observeDone adds the rest of the run's work, which has succeeded.
func (s *speedEstimator) observeDone(res *Reservation, now time.Duration) {
	if res.Estimate <= 0 {
		return
	}
	remaining := time.Duration((100 - res.lastPercent) / 100 * float64(res.Estimate))
	s.addSample(remaining, now-res.lastPercentAt, now)
}

// Speed returns the endpoint's speed relative to the task estimates.
func (t *Tracker) Speed() float64 { return t.speed.value() }

const (
	// minSlowJobs is how many jobs must be slow before the endpoint counts as
	// slow: a single job may take longer than estimated by itself.
	minSlowJobs = 2
	// minSlowFraction is the least fraction of the endpoint's jobs that must be
	// slow.
	minSlowFraction = 0.7
)

// Slow reports whether the endpoint works far slower than estimated, judged by
// the rates of the single jobs that run there. Overflow runs don't count: they
// would prolong the suspension that admitted them.
func (t *Tracker) Slow() bool {
	if t.Speed() >= slowThreshold {
		return false
	}
	slow := map[string]bool{}
	for run, res := range t.reservations {
		if !res.hasRate || res.Overflow {
			continue
		}
		task, _ := workload.ParseTaskID(run.Task)
		before, known := slow[task.Job]
		slow[task.Job] = res.rate < slowThreshold && (before || !known)
	}
	n := 0
	for _, isSlow := range slow {
		if isSlow {
			n++
		}
	}
	return n >= minSlowJobs && float64(n) >= minSlowFraction*float64(len(slow))
}

// DiscardFormerSpeed replaces the measured speed by the mean rate of the current
// runs. When an endpoint counts as slow, most of the measurement still stems from
// the time before, and overflow runs would be predicted to end too early.
func (t *Tracker) DiscardFormerSpeed() {
	n, sum := 0, 0.0
	for _, res := range t.reservations {
		if res.hasRate {
			n++
			sum += res.rate
		}
	}
	if n == 0 {
		return
	}
	t.speed.elapsed = priorWeightSeconds
	t.speed.workDone = priorWeightSeconds * sum / float64(n)
}

// ResetSpeed discards all samples, so that an endpoint that was slow or failing
// is tried again.
func (t *Tracker) ResetSpeed() { t.speed = newSpeedEstimator() }

// NewlyStalled returns the runs that have stalled, or that would be done
// earlier if restarted elsewhere. Each run is returned once. Overflow runs are
// returned only if they have stalled: elsewhere there is no capacity for them.
func (t *Tracker) NewlyStalled(now time.Duration) []workload.RunID {
	var stalled []workload.RunID
	slow := t.Slow()
	for run, res := range t.reservations {
		if res.Stalled || res.State != Running || now-res.StartSentAt < startupGrace {
			continue
		}
		if res.noProgressUntil-res.noProgressFrom > stallTimeoutOf(res) || (slow && !res.Overflow && t.fasterElsewhere(res)) {
			res.Stalled = true
			stalled = append(stalled, run)
		}
	}
	return stalled
}

// overflowStallFraction times the estimate is the least time without progress after
// which an overflow run counts as stalled. Endpoints list the progress in whole
// percent, and two of them take this long at a tenth of the normal speed.
const overflowStallFraction = 0.2

// stallTimeoutOf returns the time without progress after which a run counts as
// stalled.
func stallTimeoutOf(res *Reservation) time.Duration {
	if !res.Overflow {
		return stallTimeout
	}
	return max(stallTimeout, time.Duration(overflowStallFraction*float64(res.Estimate)))
}

// minSpeed is the least speed that is assumed when a run's remaining time is
// predicted, so that the prediction is bounded.
const minSpeed = 0.01

// fasterElsewhere reports whether a run at a slow endpoint would be done
// earlier if restarted at an endpoint of normal speed.
func (t *Tracker) fasterElsewhere(res *Reservation) bool {
	remaining := (1 - res.lastPercent/100) * res.Estimate.Seconds() / max(t.Speed(), minSpeed)
	return remaining > (res.Estimate + moveOverhead).Seconds()
}
