// Package schedtest replays traces of jobs against a scheduling policy in
// simulated time. It is used by the tests and experiments of package sched.
package schedtest

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Job is one job of a trace.
type Job struct {
	// Arrival is when the owner of the cell receives the job.
	Arrival time.Duration
	Team    string
	// RunTimes are the run times of the tasks on an endpoint of normal speed.
	RunTimes []time.Duration
	// DeclaredRunTimes are the caller's estimates of RunTimes; nil if there
	// are none.
	DeclaredRunTimes []time.Duration
	// Timeout is the time from Arrival to the deadline.
	Timeout time.Duration
	// Fails makes every task of the job fail.
	Fails bool
}

// longestRunTime returns the run time of the longest task.
func (j *Job) longestRunTime() time.Duration {
	var longest time.Duration
	for _, r := range j.RunTimes {
		longest = max(longest, r)
	}
	return longest
}

// work returns the sum of the run times.
func (j *Job) work() time.Duration {
	var sum time.Duration
	for _, r := range j.RunTimes {
		sum += r
	}
	return sum
}

// Workload describes a team's load. Jobs arrive as a Poisson process.
type Workload struct {
	Team string
	// Load is the mean work per second, in slots.
	Load     float64
	From, To time.Duration
	// Tasks draws the number of tasks of a job; MeanTasks is its mean.
	Tasks     func(*rand.Rand) int
	MeanTasks float64
	// RunTime draws the run time of a task; MeanRunTime is its mean.
	RunTime     func(*rand.Rand) time.Duration
	MeanRunTime time.Duration
	Timeout     time.Duration
}

// maxTasksPerJob is the largest number of tasks that LogUniformTasks draws.
const maxTasksPerJob = 120

// LogUniformTasksMean is the mean of LogUniformTasks.
const LogUniformTasksMean = 24.86

// LogUniformTasks draws 1 to 120 tasks, log-uniformly: as many jobs have 1 to
// 11 tasks as have 11 to 120.
func LogUniformTasks(rnd *rand.Rand) int {
	return min(maxTasksPerJob, int(math.Exp(rnd.Float64()*math.Log(maxTasksPerJob))+0.5))
}

// UniformTasks returns a function that draws 1 to n tasks uniformly.
func UniformTasks(n int) func(*rand.Rand) int {
	return func(rnd *rand.Rand) int { return 1 + rnd.IntN(n) }
}

// Burst returns equal jobs that arrive at the same time.
func Burst(team string, at time.Duration, jobs, tasks int, runTime, timeout time.Duration) []*Job {
	burst := make([]*Job, jobs)
	for i := range burst {
		burst[i] = &Job{Arrival: at, Team: team, RunTimes: slices.Repeat([]time.Duration{runTime}, tasks), Timeout: timeout}
	}
	return burst
}

// Merge returns the jobs of several workloads in order of arrival.
func Merge(workloads ...[]*Job) []*Job {
	all := slices.Concat(workloads...)
	slices.SortStableFunc(all, func(a, b *Job) int { return cmp.Compare(a.Arrival, b.Arrival) })
	return all
}

// MixedRunTimeMean is the mean of MixedRunTime.
const MixedRunTimeMean = 584500 * time.Microsecond

// MixedRunTime draws 50 ms to 1 s, but 2 s to 5 s for one task in fifty.
func MixedRunTime(rnd *rand.Rand) time.Duration {
	if rnd.IntN(50) == 0 {
		return UniformRunTime(2*time.Second, 5*time.Second)(rnd)
	}
	return UniformRunTime(50*time.Millisecond, time.Second)(rnd)
}

// UniformRunTime returns a function that draws run times uniformly.
func UniformRunTime(from, to time.Duration) func(*rand.Rand) time.Duration {
	return func(rnd *rand.Rand) time.Duration {
		return from + time.Duration(rnd.Int64N(int64(to-from)))
	}
}

// Jobs draws the jobs of the workload in order of arrival.
func (w Workload) Jobs(seed uint64) []*Job {
	rnd := rand.New(rand.NewPCG(seed, 1))
	rate := w.Load / (w.MeanTasks * w.MeanRunTime.Seconds())
	var jobs []*Job
	at := w.From
	for {
		at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
		if at >= w.To {
			return jobs
		}
		j := &Job{Arrival: at, Team: w.Team, Timeout: w.Timeout}
		for range w.Tasks(rnd) {
			j.RunTimes = append(j.RunTimes, w.RunTime(rnd))
		}
		jobs = append(jobs, j)
	}
}

// DeclareRunTimes gives the jobs estimates that are wrong by up to the factor,
// in either direction.
func DeclareRunTimes(jobs []*Job, factor float64, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	for _, j := range jobs {
		j.DeclaredRunTimes = make([]time.Duration, len(j.RunTimes))
		for i, runTime := range j.RunTimes {
			deviation := math.Pow(factor, 2*rnd.Float64()-1)
			j.DeclaredRunTimes[i] = time.Duration(deviation * float64(runTime))
		}
	}
}
