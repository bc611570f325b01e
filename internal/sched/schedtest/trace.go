// Package schedtest replays traces of jobs against a placement policy in
// simulated time. It serves the tests and trials of package sched.
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
	// Arrival is when the owner of the cell gets the job.
	Arrival time.Duration
	Team    string
	// RunTimes are the run times of its tasks on an endpoint of usual speed.
	RunTimes []time.Duration
	// DeclaredRunTimes are the caller's guesses of Runs; nil is none.
	DeclaredRunTimes []time.Duration
	// Timeout is the time from At to the deadline.
	Timeout time.Duration
	// Fails makes every task of the job fail.
	Fails bool
}

// longestRunTime returns the run time of the longest task.
func (j *Job) longestRunTime() time.Duration {
	var most time.Duration
	for _, r := range j.RunTimes {
		most = max(most, r)
	}
	return most
}

// work returns the sum of the run times.
func (j *Job) work() time.Duration {
	var sum time.Duration
	for _, r := range j.RunTimes {
		sum += r
	}
	return sum
}

// Workload is a team's load: jobs come at random (as a Poisson process).
type Workload struct {
	Team string
	// Load is the mean work a second in slots.
	Load     float64
	From, To time.Duration
	// Tasks draws the number of tasks of a job, MeanTasks is its mean.
	Tasks     func(*rand.Rand) int
	MeanTasks float64
	// RunTime draws the run time of a task, MeanRun is its mean.
	RunTime     func(*rand.Rand) time.Duration
	MeanRunTime time.Duration
	Timeout     time.Duration
}

// maxTasksPerJob is the largest number of tasks of a job.
const maxTasksPerJob = 120

// LogUniformTasksMean is the mean of MostlySmall.
const LogUniformTasksMean = 24.86

// LogUniformTasks draws 1 to 120 tasks, as many jobs between 1 and 11 as between
// 11 and 120.
func LogUniformTasks(rnd *rand.Rand) int {
	return min(maxTasksPerJob, int(math.Exp(rnd.Float64()*math.Log(maxTasksPerJob))+0.5))
}

// UniformTasks returns a draw of 1 to n tasks, each number alike.
func UniformTasks(n int) func(*rand.Rand) int {
	return func(rnd *rand.Rand) int { return 1 + rnd.IntN(n) }
}

// Burst returns equal jobs that come at the same time.
func Burst(team string, at time.Duration, jobs, tasks int, run, timeout time.Duration) []*Job {
	burst := make([]*Job, jobs)
	for i := range burst {
		burst[i] = &Job{Arrival: at, Team: team, RunTimes: slices.Repeat([]time.Duration{run}, tasks), Timeout: timeout}
	}
	return burst
}

// Merge returns the jobs of several streams in rising order of At.
func Merge(streams ...[]*Job) []*Job {
	all := slices.Concat(streams...)
	slices.SortStableFunc(all, func(a, b *Job) int { return cmp.Compare(a.Arrival, b.Arrival) })
	return all
}

// MixedRunTimeMean is the mean of MixedRun.
const MixedRunTimeMean = 584500 * time.Microsecond

// MixedRunTime draws 50 ms to 1 s, and 2 to 5 s for one task in fifty.
func MixedRunTime(rnd *rand.Rand) time.Duration {
	if rnd.IntN(50) == 0 {
		return UniformRunTime(2*time.Second, 5*time.Second)(rnd)
	}
	return UniformRunTime(50*time.Millisecond, time.Second)(rnd)
}

// UniformRunTime returns a draw between two run times.
func UniformRunTime(from, to time.Duration) func(*rand.Rand) time.Duration {
	return func(rnd *rand.Rand) time.Duration {
		return from + time.Duration(rnd.Int64N(int64(to-from)))
	}
}

// Jobs draws the stream's jobs in rising order of At.
func (s Workload) Jobs(seed uint64) []*Job {
	rnd := rand.New(rand.NewPCG(seed, 1))
	rate := s.Load / (s.MeanTasks * s.MeanRunTime.Seconds())
	var jobs []*Job
	at := s.From
	for {
		at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
		if at >= s.To {
			return jobs
		}
		j := &Job{Arrival: at, Team: s.Team, Timeout: s.Timeout}
		for range s.Tasks(rnd) {
			j.RunTimes = append(j.RunTimes, s.RunTime(rnd))
		}
		jobs = append(jobs, j)
	}
}

// DeclareRunTimes gives jobs guesses that are off by up to the factor, either way.
func DeclareRunTimes(jobs []*Job, factor float64, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	for _, j := range jobs {
		j.DeclaredRunTimes = make([]time.Duration, len(j.RunTimes))
		for i, run := range j.RunTimes {
			off := math.Pow(factor, 2*rnd.Float64()-1)
			j.DeclaredRunTimes[i] = time.Duration(off * float64(run))
		}
	}
}
