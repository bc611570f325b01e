package admission

import (
	"math"
	"time"

	"github.com/pomelosill/pomelosill/internal/policy"
)

// demandTimeConstant is the time in which the weight of past work decays to 1/e. It is
// a few times the duration of a job, so that the rate is that of many jobs, and short
// enough to follow a change of the load within seconds.
const demandTimeConstant = 2 * time.Second

// Work is the work of a job's tasks.
type Work struct {
	// MilliCPU is the CPU that the tasks need, and MilliCPUSeconds the same times
	// their durations, in thousandths of a core.
	MilliCPU, MilliCPUSeconds float64
}

// Demand measures recent work by level as exponentially decaying sums.
type Demand struct {
	milliCPU, work ByLevel
	updatedAt      time.Duration
}

// Add counts work of a level.
func (d *Demand) Add(level int, w Work, now time.Duration) {
	d.milliCPU, d.work = d.milliCPU.Times(decay(now-d.updatedAt)), d.Work(now)
	d.milliCPU.Add(level, Bounded(w.MilliCPU))
	d.work.Add(level, Bounded(w.MilliCPUSeconds))
	d.updatedAt = max(d.updatedAt, now)
}

// Work returns the recent work, in thousandths of a core times seconds.
func (d *Demand) Work(now time.Duration) ByLevel { return d.work.Times(decay(now - d.updatedAt)) }

// Rate returns the recent work by time: the CPU, in thousandths of a core, that is
// busy if work keeps arriving as it recently did.
func (d *Demand) Rate(now time.Duration) ByLevel {
	return d.Work(now).Times(1 / demandTimeConstant.Seconds())
}

// TaskDurations returns for each level the mean duration of the recent tasks of this
// level and those after it, or the given one where there are none.
func (d *Demand) TaskDurations(fallback time.Duration) [policy.MaxLevels]time.Duration {
	var durations [policy.MaxLevels]time.Duration
	milliCPU, work := 0.0, 0.0
	for level := policy.MaxLevels - 1; level >= 0; level-- {
		milliCPU, work = milliCPU+d.milliCPU[level], work+d.work[level]
		durations[level] = fallback
		if milliCPU > 0 {
			seconds := min(work/milliCPU, maxWait.Seconds())
			durations[level] = time.Duration(seconds * float64(time.Second))
		}
	}
	return durations
}

// decay returns the weight of work of the given age.
func decay(age time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(demandTimeConstant))
}
