package room

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/work"
)

const (
	// speedMemory is the work time after which an older sample counts half.
	speedMemory = 600 * time.Millisecond
	// minInterval is the least time between two samples of one run.
	minInterval = 40 * time.Millisecond
	// startAllowance is the time after a start order in which no progress is
	// expected.
	startAllowance = 60 * time.Millisecond
	// slowSpeed is the speed below which runs are moved if they would be
	// done earlier elsewhere.
	slowSpeed = 0.4
	// moveCost is the time that a move takes beside the work itself.
	moveCost = 30 * time.Millisecond
	// stallAfter is the time between looks without any progress after which a
	// run is held to stand still.
	stallAfter = 180 * time.Millisecond
)

// speed estimates how fast an endpoint works against the estimates: the work
// that its runs got done over the time they took.
type speed struct {
	// done and took are decaying sums of work at speed 1 and of time.
	done, took float64
}

// priorSpeed is the weight of speed 1 before the first samples.
const priorSpeed = 0.3

func newSpeed() speed {
	return speed{done: priorSpeed, took: priorSpeed}
}

// add takes a sample over.
func (s *speed) add(work, took time.Duration) {
	s.done += work.Seconds()
	s.took += took.Seconds()
	if limit := speedMemory.Seconds() * 2; s.took > limit {
		s.done *= limit / s.took
		s.took = limit
	}
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
	s.add(max(done, 0), interval)
	e.percent, e.percentAt = percent, now
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
	s.add(left, now-e.percentAt)
}

// Speed is the endpoint's speed against the estimates.
func (a *Account) Speed() float64 { return a.speed.value() }

// Decay lets old evidence fade while nothing runs, so that an endpoint that
// was slow or failing is tried again.
func (a *Account) Decay() { a.speed = newSpeed() }

// Stalled returns the runs that stand still, or would be done earlier if they
// began again elsewhere, each once.
func (a *Account) Stalled(now time.Duration) []work.Run {
	var all []work.Run
	for r, e := range a.runs {
		if e.Stalled || e.State != Running || now-e.SentAt < startAllowance {
			continue
		}
		if e.stillTo-e.stillFrom > stallAfter || a.betterElsewhere(e) {
			e.Stalled = true
			all = append(all, r)
		}
	}
	return all
}

// betterElsewhere tells whether a run at a slow endpoint would be done earlier
// if it began again at a sound one.
func (a *Account) betterElsewhere(e *Entry) bool {
	speed := a.Speed()
	if speed >= slowSpeed {
		return false
	}
	left := (1 - e.percent/100) * e.Estimate.Seconds() / max(speed, 0.01)
	return left > (e.Estimate + moveCost).Seconds()
}
