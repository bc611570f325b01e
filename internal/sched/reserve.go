package sched

import (
	"math"
	"time"
)

// decayingPeak is the largest recent value; it decays exponentially.
type decayingPeak struct {
	value     float64
	updatedAt time.Time
}

// valueAt returns the peak as decayed by the time now.
func (p *decayingPeak) valueAt(now time.Time, decayTime time.Duration) float64 {
	return p.value * math.Exp(-float64(now.Sub(p.updatedAt))/float64(decayTime))
}

// add raises the peak to v if its decayed value is lower.
func (p *decayingPeak) add(now time.Time, v float64, decayTime time.Duration) {
	p.value = max(v, p.valueAt(now, decayTime))
	p.updatedAt = now
}

// countTeamRunning adds n to the running tasks of a team and the totals.
func (s *Scheduler) countTeamRunning(t *team, n int) {
	s.running += n
	t.running += n
	t.updateRunningPerWeight()
	if t.hasLongTasks {
		s.longRunning += n
		s.longDemand += n
	}
}

// countWaiting adds n waiting tasks of j to its team and the totals.
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

// classifyTeam updates whether a team counts as having long tasks.
func (s *Scheduler) classifyTeam(t *team) {
	stats := &t.runTimes.all
	long := stats.samples < s.cfg.Learning.MinSamples || stats.mean > s.cfg.Reserve.LongTaskThreshold.Seconds()
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

// longMayStart reports whether a team with long tasks may take another slot.
// Slots that teams with short tasks have recently needed are reserved for them.
func (s *Scheduler) longMayStart() bool {
	cfg := &s.cfg.Reserve
	reserved := int(min(s.shortDemand.valueAt(s.now, cfg.DecayTime), cfg.MaxFraction*float64(s.usableSlots)))
	unused := reserved - (s.running - s.longRunning)
	return unused <= 0 || s.usableSlots-s.usableRunning > unused
}
