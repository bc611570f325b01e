package sched

import (
	"math"
	"time"
)

// decayingPeak is the largest of recent values; it fades with time.
type decayingPeak struct {
	value     float64
	updatedAt time.Time
}

// valueAt returns the peak as it has faded.
func (p *decayingPeak) valueAt(valueAt time.Time, fade time.Duration) float64 {
	return p.value * math.Exp(-float64(valueAt.Sub(p.updatedAt))/float64(fade))
}

// add takes in a value.
func (p *decayingPeak) add(now time.Time, v float64, fade time.Duration) {
	p.value = max(v, p.valueAt(now, fade))
	p.updatedAt = now
}

// countTeamRunning adds n to a team's running tasks.
func (s *Scheduler) countTeamRunning(t *team, n int) {
	s.running += n
	t.running += n
	t.updateRunningPerWeight()
	if t.hasLongTasks {
		s.longRunning += n
		s.longDemand += n
	}
}

// countWaiting adds n tasks of j to the counts of waiting tasks.
func (s *Scheduler) countWaiting(j *job, n int) {
	t := j.team
	s.waiting += n
	t.waiting += n
	t.queuedWork += time.Duration(n) * j.expectedRunTime
	if t.hasLongTasks {
		s.longDemand += n
		return
	}
	if n > 0 {
		s.shortDemand.add(s.now, float64(s.running+s.waiting-s.longDemand), s.cfg.Reserve.DecayTime)
	}
}

// classifyTeam tells a team with long tasks from one with short tasks.
func (s *Scheduler) classifyTeam(t *team) {
	runs := &t.runTimes.all
	long := runs.samples < s.cfg.Learning.MinSamples || runs.mean > s.cfg.Reserve.LongTaskThreshold.Seconds()
	if long == t.hasLongTasks {
		return
	}
	t.hasLongTasks = long
	sign := 1
	if !long {
		sign = -1
	}
	s.longRunning += sign * t.running
	s.longDemand += sign * (t.running + t.waiting)
}

// longMayStart tells whether a team with long tasks may take another slot.
// It may not take those for which teams with short tasks have lately had
// tasks.
func (s *Scheduler) longMayStart() bool {
	cfg := &s.cfg.Reserve
	kept := int(min(s.shortDemand.valueAt(s.now, cfg.DecayTime), cfg.MaxFraction*float64(s.usableSlots)))
	unused := kept - (s.running - s.longRunning)
	return unused <= 0 || s.usableSlots-s.usableRunning > unused
}
