package sched

import (
	"math"
	"time"
)

// peak is the largest of recent values; it fades with time.
type peak struct {
	value float64
	at    time.Time
}

// now returns the peak as it has faded.
func (p *peak) now(now time.Time, fade time.Duration) float64 {
	return p.value * math.Exp(-float64(now.Sub(p.at))/float64(fade))
}

// add takes in a value.
func (p *peak) add(now time.Time, v float64, fade time.Duration) {
	p.value = max(v, p.now(now, fade))
	p.at = now
}

// countRunning adds n to a team's running tasks.
func (s *Scheduler) countRunning(t *team, n int) {
	s.running += n
	t.running += n
	t.setLevel()
	if t.long {
		s.long += n
		s.longDemand += n
	}
}

// countWaiting adds n tasks of j to the counts of waiting tasks.
func (s *Scheduler) countWaiting(j *job, n int) {
	t := j.team
	s.waiting += n
	t.waiting += n
	t.work += time.Duration(n) * j.expected
	if t.long {
		s.longDemand += n
		return
	}
	if n > 0 {
		s.short.add(s.now, float64(s.running+s.waiting-s.longDemand), s.cfg.Reserve.Fade)
	}
}

// classify tells a team with long tasks from one with short tasks.
func (s *Scheduler) classify(t *team) {
	runs := &t.runs.all
	long := runs.samples < s.cfg.Learning.MinSamples || runs.mean > s.cfg.Reserve.LongRun.Seconds()
	if long == t.long {
		return
	}
	t.long = long
	sign := 1
	if !long {
		sign = -1
	}
	s.long += sign * t.running
	s.longDemand += sign * (t.running + t.waiting)
}

// longMayStart tells whether a team with long tasks may take another slot.
// It may not take those for which teams with short tasks have lately had
// tasks.
func (s *Scheduler) longMayStart() bool {
	cfg := &s.cfg.Reserve
	kept := int(min(s.short.now(s.now, cfg.Fade), cfg.MaxShare*float64(s.usable)))
	unused := kept - (s.running - s.long)
	return unused <= 0 || s.usable-s.usableBusy > unused
}
