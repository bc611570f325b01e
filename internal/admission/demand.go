package admission

import (
	"math"
	"time"
)

// demandTimeConstant is the time in which the weight of past work decays to 1/e. It is
// a few times the duration of a job, so that the rate is that of many jobs, and short
// enough to follow a change of the load within seconds.
const demandTimeConstant = 2 * time.Second

// Demand measures recent work by level as exponentially decaying sums, in thousandths
// of a core times seconds.
type Demand struct {
	work      ByLevel
	updatedAt time.Duration
}

// Add counts work of a level.
func (d *Demand) Add(level int, work float64, now time.Duration) {
	d.work = d.Work(now)
	d.work.Add(level, Bounded(work))
	d.updatedAt = max(d.updatedAt, now)
}

// Work returns the recent work.
func (d *Demand) Work(now time.Duration) ByLevel { return d.work.Times(decay(now - d.updatedAt)) }

// Rate returns the recent work by time: the CPU, in thousandths of a core, that is
// busy if work keeps arriving as it recently did.
func (d *Demand) Rate(now time.Duration) ByLevel {
	return d.Work(now).Times(1 / demandTimeConstant.Seconds())
}

// decay returns the weight of work of the given age.
func decay(age time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(demandTimeConstant))
}
