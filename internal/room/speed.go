package room

import (
	"math"
	"time"

	"github.com/pomelosill/pomelosill/internal/work"
)

const (
	// speedMemory is the time in which the weight of a sample falls to 1/e.
	speedMemory = 150 * time.Millisecond
	// minInterval is the least time between two samples of one run.
	minInterval = 40 * time.Millisecond
	// startAllowance is the time after a start order in which no progress is
	// expected.
	startAllowance = 60 * time.Millisecond
	// moveCost is the time that a move takes beside the work itself.
	moveCost = 30 * time.Millisecond
	// stallAfter is the time between looks without any progress after which a
	// run is held to stand still.
	stallAfter = 180 * time.Millisecond
)

// speed estimates how fast an endpoint works against the estimates: the work
// that its runs got done over the time they took, both fading with time.
type speed struct {
	done, took float64
	// at is when the sums were last brought up to date.
	at time.Duration
}

// priorSpeed is the weight of speed 1 before the first samples, in seconds.
const priorSpeed = 0.05

func newSpeed() speed {
	return speed{done: priorSpeed, took: priorSpeed}
}

// add takes a sample over.
func (s *speed) add(work, took, now time.Duration) {
	if now > s.at {
		fade := math.Exp(-float64(now-s.at) / float64(speedMemory))
		s.done *= fade
		s.took *= fade
		s.at = now
	}
	s.done += work.Seconds()
	s.took += took.Seconds()
}

// value is the endpoint's speed; 1 is that of the estimates.
func (s *speed) value() float64 {
	if s.took <= 0 {
		return 1
	}
	return s.done / s.took
}

// progress notes what share of a run is done.
func (s *speed) progress(e *Entry, percent float64, now time.Duration) {
	e.still(percent <= e.percent, now)
	interval := now - e.percentAt
	if interval < minInterval || now-e.SentAt < startAllowance {
		return
	}
	done := time.Duration((percent - e.percent) / 100 * float64(e.Estimate))
	s.add(max(done, 0), interval, now)
	e.sample(max(done, 0).Seconds() / interval.Seconds())
	e.percent, e.percentAt = percent, now
}

// rateWeight is the weight of the newest sample in a run's own rate.
const rateWeight = 0.5

// sample notes how fast the run got on since the look before.
func (e *Entry) sample(rate float64) {
	if !e.sampled {
		e.rate, e.sampled = rate, true
		return
	}
	e.rate += rateWeight * (rate - e.rate)
}

// still notes whether a look showed progress. A time without any look says
// nothing about the run.
func (e *Entry) still(is bool, now time.Duration) {
	switch {
	case !is:
		e.stillFrom, e.stillTo = 0, 0
	case e.stillFrom == 0:
		e.stillFrom, e.stillTo = now, now
	default:
		e.stillTo = now
	}
}

// ended notes that a run is done.
func (s *speed) ended(e *Entry, now time.Duration) {
	left := time.Duration((100 - e.percent) / 100 * float64(e.Estimate))
	s.add(left, now-e.percentAt, now)
}

// Speed is the endpoint's speed against the estimates.
func (a *Account) Speed() float64 { return a.speed.value() }

const (
	// slowJobs is how many jobs must be slow at an endpoint for it to be held
	// to be slow: a single one may take longer by itself.
	slowJobs = 2
	// slowShare is the least share of the jobs there that must be slow.
	slowShare = 0.7
)

// Slow tells whether the endpoint works far slower than the estimates say, by
// the jobs that run there one by one.
func (a *Account) Slow() bool {
	if a.Speed() >= suspectSpeed {
		return false
	}
	slow := map[string]bool{}
	for r, e := range a.runs {
		if !e.sampled {
			continue
		}
		task, _ := work.ParseTask(r.Task)
		before, known := slow[task.Job]
		slow[task.Job] = e.rate < suspectSpeed && (before || !known)
	}
	n := 0
	for _, is := range slow {
		if is {
			n++
		}
	}
	return n >= slowJobs && float64(n) >= slowShare*float64(len(slow))
}

// ForgetSpeed begins to measure anew, so that an endpoint that was slow or
// failing is tried again.
func (a *Account) ForgetSpeed() { a.speed = newSpeed() }

// Stalled returns the runs that stand still, or would be done earlier if they
// began again elsewhere, each once.
func (a *Account) Stalled(now time.Duration) []work.Run {
	var all []work.Run
	slow := a.Slow()
	for r, e := range a.runs {
		if e.Stalled || e.State != Running || now-e.SentAt < startAllowance {
			continue
		}
		if e.stillTo-e.stillFrom > stallAfter || (slow && a.betterElsewhere(e)) {
			e.Stalled = true
			all = append(all, r)
		}
	}
	return all
}

// leastSpeed bounds the time that is foreseen for a run.
const leastSpeed = 0.01

// betterElsewhere tells whether a run at a slow endpoint would be done earlier
// if it began again at a sound one.
func (a *Account) betterElsewhere(e *Entry) bool {
	left := (1 - e.percent/100) * e.Estimate.Seconds() / max(a.Speed(), leastSpeed)
	return left > (e.Estimate + moveCost).Seconds()
}
