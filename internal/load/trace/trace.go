// Package trace generates open-loop traces of jobs from a seed: when each job
// is submitted, by which team, and how long each of its tasks runs.
package trace

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Ranges of the run times of short and of long tasks.
const (
	ShortMin = 50 * time.Millisecond
	ShortMax = time.Second
	LongMin  = 2 * time.Second
	LongMax  = 5 * time.Second
	// LongFraction is the fraction of tasks that are long.
	LongFraction = 0.02
)

// MaxTasksPerJob is the default of Options.MaxTasksPerJob.
const MaxTasksPerJob = 120

// Frequency and size of bursts, in which several jobs are submitted at once.
const (
	// BurstFraction is the fraction of arrivals that are bursts.
	BurstFraction = 0.05
	BurstMinJobs  = 2
	BurstMaxJobs  = 4
)

// Job is one job of a trace.
type Job struct {
	// Arrival is the time of submission, counted from the start of the trace.
	Arrival time.Duration
	Team    string
	// RunTimes holds the actual run time of each task.
	RunTimes []time.Duration
	// Timeout is the time from submission to the job's deadline.
	Timeout time.Duration
	// CancelAt is the time at which the caller cancels the job, counted from
	// the start of the trace; zero means never.
	CancelAt time.Duration
	// Background marks a job that only adds load: its response time is left
	// out of the percentiles.
	Background bool
}

// TotalRunTime returns the sum of the run times of the job's tasks.
func (j Job) TotalRunTime() time.Duration {
	var sum time.Duration
	for _, runTime := range j.RunTimes {
		sum += runTime
	}
	return sum
}

// Trace is a list of jobs in the order of submission.
type Trace struct {
	Jobs []Job
	// Duration is the time over which jobs are submitted.
	Duration time.Duration
}

// TaskCount returns the number of tasks in all jobs.
func (t Trace) TaskCount() int {
	n := 0
	for _, j := range t.Jobs {
		n += len(j.RunTimes)
	}
	return n
}

// TotalRunTime returns the sum of the run times of all tasks.
func (t Trace) TotalRunTime() time.Duration {
	var sum time.Duration
	for _, j := range t.Jobs {
		sum += j.TotalRunTime()
	}
	return sum
}

// WithJobs returns a trace that also holds the given jobs, in the order of
// submission.
func (t Trace) WithJobs(jobs ...Job) Trace {
	all := slices.Concat(t.Jobs, jobs)
	slices.SortStableFunc(all, func(a, b Job) int { return int(a.Arrival - b.Arrival) })
	return Trace{Jobs: all, Duration: t.Duration}
}

// Options configures the trace that New generates.
type Options struct {
	Seed uint64
	// Slots is the number of slots of the fleet.
	Slots int
	// Load is the offered work as a fraction of what the slots can run in
	// Duration.
	Load float64
	// Duration is the time over which jobs are submitted.
	Duration time.Duration
	Teams    []string
	Timeout  time.Duration
	// ShortOnly is set if all tasks are to be short, from ShortMin to ShortMax.
	ShortOnly bool
	// MaxTasksPerJob is the largest number of tasks in a job; zero means the
	// constant MaxTasksPerJob.
	MaxTasksPerJob int
}

// New generates a trace. The gaps between arrivals are exponentially
// distributed, then scaled so that the work offered over Duration is exactly
// Load.
func New(o Options) Trace {
	if o.MaxTasksPerJob == 0 {
		o.MaxTasksPerJob = MaxTasksPerJob
	}
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	target := time.Duration(o.Load * float64(o.Slots) * float64(o.Duration))
	var jobs []Job
	var work time.Duration
	var at float64
	for work < target {
		at += rng.ExpFloat64()
		for range randomBurstSize(rng) {
			j := randomJob(rng, o)
			j.Arrival = time.Duration(at * float64(time.Second))
			work += j.TotalRunTime()
			jobs = append(jobs, j)
		}
	}
	span := (at + 1) * float64(time.Second)
	scale := float64(o.Duration) / span * float64(work) / float64(target)
	for i := range jobs {
		jobs[i].Arrival = time.Duration(float64(jobs[i].Arrival) * scale)
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
	runTimes := make([]time.Duration, randomTaskCount(rng, o.MaxTasksPerJob))
	for i := range runTimes {
		runTimes[i] = randomRunTime(rng, o.ShortOnly)
	}
	return Job{
		Team:     o.Teams[rng.IntN(len(o.Teams))],
		RunTimes: runTimes,
		Timeout:  o.Timeout,
	}
}

// randomTaskCount draws a log-uniform number of tasks, so that most jobs are
// small.
func randomTaskCount(rng *rand.Rand, maxTasks int) int {
	return int(math.Pow(float64(maxTasks+1), rng.Float64()))
}

// randomRunTime draws a run time in whole milliseconds, the unit in which the
// endpoints receive it.
func randomRunTime(rng *rand.Rand, shortOnly bool) time.Duration {
	low, high := ShortMin, ShortMax
	if rng.Float64() < LongFraction && !shortOnly {
		low, high = LongMin, LongMax
	}
	d := low + time.Duration(rng.Int64N(int64(high-low)))
	return d.Truncate(time.Millisecond)
}

// Batch returns equal background jobs of one team, submitted at even intervals
// over a span that begins at the given time.
func Batch(team string, jobs, tasks int, runTime time.Duration, at, span, timeout time.Duration) []Job {
	batch := make([]Job, jobs)
	for i := range batch {
		batch[i] = Job{
			Arrival:    at + span*time.Duration(i)/time.Duration(jobs),
			Team:       team,
			RunTimes:   slices.Repeat([]time.Duration{runTime}, tasks),
			Timeout:    timeout,
			Background: true,
		}
	}
	return batch
}
