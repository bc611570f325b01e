// Package trace makes seeded open-loop traces of jobs: when each job is
// submitted, by which team, and how long each of its tasks runs.
package trace

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Bounds of the run time of one task.
const (
	ShortMin = 50 * time.Millisecond
	ShortMax = time.Second
	LongMin  = 2 * time.Second
	LongMax  = 5 * time.Second
	// LongFraction is the share of tasks between LongMin and LongMax.
	LongFraction = 0.02
)

// MaxTasksPerJob is the largest number of tasks in a job.
const MaxTasksPerJob = 120

// Bounds of a burst: several jobs submitted at the same instant.
const (
	// BurstFraction is the share of arrivals that are bursts.
	BurstFraction = 0.05
	BurstMinJobs  = 2
	BurstMaxJobs  = 4
)

// Job is one job of a trace.
type Job struct {
	// Arrival is the instant of submission from the start of the trace.
	Arrival time.Duration
	Team    string
	// RunTimes holds the true run time of each task.
	RunTimes []time.Duration
	// Timeout is the time until the job's deadline.
	Timeout time.Duration
	// CancelAt is the instant at which the caller cancels, zero for never.
	CancelAt time.Duration
	// Background jobs are load only: no percentile counts them.
	Background bool
}

// TotalRunTime is the sum of the run times.
func (j Job) TotalRunTime() time.Duration {
	var sum time.Duration
	for _, run := range j.RunTimes {
		sum += run
	}
	return sum
}

// Trace is a list of jobs in the order of submission.
type Trace struct {
	Jobs []Job
	// Duration is the time over which jobs are submitted.
	Duration time.Duration
}

// TaskCount is the number of tasks.
func (t Trace) TaskCount() int {
	n := 0
	for _, j := range t.Jobs {
		n += len(j.RunTimes)
	}
	return n
}

// TotalRunTime is the sum of all run times.
func (t Trace) TotalRunTime() time.Duration {
	var sum time.Duration
	for _, j := range t.Jobs {
		sum += j.TotalRunTime()
	}
	return sum
}

// WithJobs returns the trace with more jobs, in the order of submission.
func (t Trace) WithJobs(jobs ...Job) Trace {
	all := slices.Concat(t.Jobs, jobs)
	slices.SortStableFunc(all, func(a, b Job) int { return int(a.Arrival - b.Arrival) })
	return Trace{Jobs: all, Duration: t.Duration}
}

// Options say which trace to make.
type Options struct {
	Seed uint64
	// Slots is the number of slots of the fleet.
	Slots int
	// Load is the work offered as a share of the slots.
	Load float64
	// Duration is the time over which jobs are submitted.
	Duration time.Duration
	Teams    []string
	Timeout  time.Duration
	// ShortOnly leaves out the tasks between LongMin and LongMax.
	ShortOnly bool
	// MaxTasksPerJob is the largest number of tasks in a job; zero stands for
	// MaxTasks.
	MaxTasksPerJob int
}

// New makes a trace. Gaps between arrivals are exponential and stretched so
// that the work offered over Length is exactly Load.
func New(o Options) Trace {
	if o.MaxTasksPerJob == 0 {
		o.MaxTasksPerJob = MaxTasksPerJob
	}
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	wanted := time.Duration(o.Load * float64(o.Slots) * float64(o.Duration))
	var jobs []Job
	var work time.Duration
	var at float64
	for work < wanted {
		at += rng.ExpFloat64()
		for range randomBurstSize(rng) {
			j := randomJob(rng, o)
			j.Arrival = time.Duration(at * float64(time.Second))
			work += j.TotalRunTime()
			jobs = append(jobs, j)
		}
	}
	end := (at + 1) * float64(time.Second)
	stretch := float64(o.Duration) / end * float64(work) / float64(wanted)
	for i := range jobs {
		jobs[i].Arrival = time.Duration(float64(jobs[i].Arrival) * stretch)
	}
	return Trace{Jobs: jobs, Duration: o.Duration}
}

func randomBurstSize(rng *rand.Rand) int {
	if rng.Float64() >= BurstFraction {
		return 1
	}
	return BurstMinJobs + rng.IntN(BurstMaxJobs-BurstMinJobs+1)
}

func randomJob(rng *rand.Rand, o Options) Job {
	runs := make([]time.Duration, randomTaskCount(rng, o.MaxTasksPerJob))
	for i := range runs {
		runs[i] = randomRunTime(rng, o.ShortOnly)
	}
	return Job{
		Team:     o.Teams[rng.IntN(len(o.Teams))],
		RunTimes: runs,
		Timeout:  o.Timeout,
	}
}

// randomTaskCount has a logarithm spread evenly: small jobs are many, large ones few.
func randomTaskCount(rng *rand.Rand, largest int) int {
	return int(math.Pow(float64(largest+1), rng.Float64()))
}

// randomRunTime is a whole number of milliseconds, as the endpoints take it.
func randomRunTime(rng *rand.Rand, shortOnly bool) time.Duration {
	low, high := ShortMin, ShortMax
	if rng.Float64() < LongFraction && !shortOnly {
		low, high = LongMin, LongMax
	}
	d := low + time.Duration(rng.Int64N(int64(high-low)))
	return d.Truncate(time.Millisecond)
}

// Batch returns equal jobs of one team, submitted evenly over a span.
func Batch(team string, jobs, tasks int, run time.Duration, at, span, timeout time.Duration) []Job {
	batch := make([]Job, jobs)
	for i := range batch {
		batch[i] = Job{
			Arrival:    at + span*time.Duration(i)/time.Duration(jobs),
			Team:       team,
			RunTimes:   slices.Repeat([]time.Duration{run}, tasks),
			Timeout:    timeout,
			Background: true,
		}
	}
	return batch
}
