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
	// LongShare is the share of tasks between LongMin and LongMax.
	LongShare = 0.02
)

// MaxTasks is the largest number of tasks in a job.
const MaxTasks = 120

// Bounds of a burst: several jobs submitted at the same instant.
const (
	// BurstShare is the share of arrivals that are bursts.
	BurstShare   = 0.05
	BurstMinJobs = 2
	BurstMaxJobs = 4
)

// Job is one job of a trace.
type Job struct {
	// At is the instant of submission from the start of the trace.
	At   time.Duration
	Team string
	// Runs holds the true run time of each task.
	Runs []time.Duration
	// Timeout is the time until the job's deadline.
	Timeout time.Duration
	// CancelAt is the instant at which the caller cancels, zero for never.
	CancelAt time.Duration
	// Background jobs are load only: no percentile counts them.
	Background bool
}

// Work is the sum of the run times.
func (j Job) Work() time.Duration {
	var sum time.Duration
	for _, run := range j.Runs {
		sum += run
	}
	return sum
}

// Trace is a list of jobs in the order of submission.
type Trace struct {
	Jobs []Job
	// Length is the time over which jobs are submitted.
	Length time.Duration
}

// Tasks is the number of tasks.
func (t Trace) Tasks() int {
	n := 0
	for _, j := range t.Jobs {
		n += len(j.Runs)
	}
	return n
}

// Work is the sum of all run times.
func (t Trace) Work() time.Duration {
	var sum time.Duration
	for _, j := range t.Jobs {
		sum += j.Work()
	}
	return sum
}

// Add returns the trace with more jobs, in the order of submission.
func (t Trace) Add(jobs ...Job) Trace {
	all := slices.Concat(t.Jobs, jobs)
	slices.SortStableFunc(all, func(a, b Job) int { return int(a.At - b.At) })
	return Trace{Jobs: all, Length: t.Length}
}

// Options say which trace to make.
type Options struct {
	Seed uint64
	// Slots is the number of slots of the fleet.
	Slots int
	// Load is the work offered as a share of the slots.
	Load float64
	// Length is the time over which jobs are submitted.
	Length  time.Duration
	Teams   []string
	Timeout time.Duration
	// ShortOnly leaves out the tasks between LongMin and LongMax.
	ShortOnly bool
	// LargestJob is the largest number of tasks in a job; zero stands for
	// MaxTasks.
	LargestJob int
}

// New makes a trace. Gaps between arrivals are exponential and stretched so
// that the work offered over Length is exactly Load.
func New(o Options) Trace {
	if o.LargestJob == 0 {
		o.LargestJob = MaxTasks
	}
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	wanted := time.Duration(o.Load * float64(o.Slots) * float64(o.Length))
	var jobs []Job
	var work time.Duration
	var at float64
	for work < wanted {
		at += rng.ExpFloat64()
		for range arrivals(rng) {
			j := newJob(rng, o)
			j.At = time.Duration(at * float64(time.Second))
			work += j.Work()
			jobs = append(jobs, j)
		}
	}
	end := (at + 1) * float64(time.Second)
	stretch := float64(o.Length) / end * float64(work) / float64(wanted)
	for i := range jobs {
		jobs[i].At = time.Duration(float64(jobs[i].At) * stretch)
	}
	return Trace{Jobs: jobs, Length: o.Length}
}

func arrivals(rng *rand.Rand) int {
	if rng.Float64() >= BurstShare {
		return 1
	}
	return BurstMinJobs + rng.IntN(BurstMaxJobs-BurstMinJobs+1)
}

func newJob(rng *rand.Rand, o Options) Job {
	runs := make([]time.Duration, jobSize(rng, o.LargestJob))
	for i := range runs {
		runs[i] = runTime(rng, o.ShortOnly)
	}
	return Job{
		Team:    o.Teams[rng.IntN(len(o.Teams))],
		Runs:    runs,
		Timeout: o.Timeout,
	}
}

// jobSize has a logarithm spread evenly: small jobs are many, large ones few.
func jobSize(rng *rand.Rand, largest int) int {
	return int(math.Pow(float64(largest+1), rng.Float64()))
}

// runTime is a whole number of milliseconds, as the endpoints take it.
func runTime(rng *rand.Rand, shortOnly bool) time.Duration {
	low, high := ShortMin, ShortMax
	if rng.Float64() < LongShare && !shortOnly {
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
			At:         at + span*time.Duration(i)/time.Duration(jobs),
			Team:       team,
			Runs:       slices.Repeat([]time.Duration{run}, tasks),
			Timeout:    timeout,
			Background: true,
		}
	}
	return batch
}
