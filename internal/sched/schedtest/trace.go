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
	// At is when the owner of the cell gets the job.
	At   time.Duration
	Team string
	// Runs are the run times of its tasks on an endpoint of usual speed.
	Runs []time.Duration
	// Declared are the caller's guesses of Runs; nil is none.
	Declared []time.Duration
	// Timeout is the time from At to the deadline.
	Timeout time.Duration
	// Fails makes every task of the job fail.
	Fails bool
}

// longest returns the run time of the longest task.
func (j *Job) longest() time.Duration {
	var most time.Duration
	for _, r := range j.Runs {
		most = max(most, r)
	}
	return most
}

// work returns the sum of the run times.
func (j *Job) work() time.Duration {
	var sum time.Duration
	for _, r := range j.Runs {
		sum += r
	}
	return sum
}

// Stream is a team's load: jobs come at random (as a Poisson process).
type Stream struct {
	Team string
	// Load is the mean work a second in slots.
	Load     float64
	From, To time.Duration
	// Tasks draws the number of tasks of a job, MeanTasks is its mean.
	Tasks     func(*rand.Rand) int
	MeanTasks float64
	// Run draws the run time of a task, MeanRun is its mean.
	Run     func(*rand.Rand) time.Duration
	MeanRun time.Duration
	Timeout time.Duration
}

// maxTasks is the largest number of tasks of a job.
const maxTasks = 120

// MostlySmallMean is the mean of MostlySmall.
const MostlySmallMean = 24.86

// MostlySmall draws 1 to 120 tasks, as many jobs between 1 and 11 as between
// 11 and 120.
func MostlySmall(rnd *rand.Rand) int {
	return min(maxTasks, int(math.Exp(rnd.Float64()*math.Log(maxTasks))+0.5))
}

// UpTo returns a draw of 1 to n tasks, each number alike.
func UpTo(n int) func(*rand.Rand) int {
	return func(rnd *rand.Rand) int { return 1 + rnd.IntN(n) }
}

// Burst returns equal jobs that come at the same time.
func Burst(team string, at time.Duration, jobs, tasks int, run, timeout time.Duration) []*Job {
	burst := make([]*Job, jobs)
	for i := range burst {
		burst[i] = &Job{At: at, Team: team, Runs: slices.Repeat([]time.Duration{run}, tasks), Timeout: timeout}
	}
	return burst
}

// Merge returns the jobs of several streams in rising order of At.
func Merge(streams ...[]*Job) []*Job {
	all := slices.Concat(streams...)
	slices.SortStableFunc(all, func(a, b *Job) int { return cmp.Compare(a.At, b.At) })
	return all
}

// MixedMean is the mean of MixedRun.
const MixedMean = 584500 * time.Microsecond

// MixedRun draws 50 ms to 1 s, and 2 to 5 s for one task in fifty.
func MixedRun(rnd *rand.Rand) time.Duration {
	if rnd.IntN(50) == 0 {
		return Uniform(2*time.Second, 5*time.Second)(rnd)
	}
	return Uniform(50*time.Millisecond, time.Second)(rnd)
}

// Uniform returns a draw between two run times.
func Uniform(from, to time.Duration) func(*rand.Rand) time.Duration {
	return func(rnd *rand.Rand) time.Duration {
		return from + time.Duration(rnd.Int64N(int64(to-from)))
	}
}

// Jobs draws the stream's jobs in rising order of At.
func (s Stream) Jobs(seed uint64) []*Job {
	rnd := rand.New(rand.NewPCG(seed, 1))
	rate := s.Load / (s.MeanTasks * s.MeanRun.Seconds())
	var jobs []*Job
	at := s.From
	for {
		at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
		if at >= s.To {
			return jobs
		}
		j := &Job{At: at, Team: s.Team, Timeout: s.Timeout}
		for range s.Tasks(rnd) {
			j.Runs = append(j.Runs, s.Run(rnd))
		}
		jobs = append(jobs, j)
	}
}

// Declare gives jobs guesses that are off by up to the factor, either way.
func Declare(jobs []*Job, factor float64, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	for _, j := range jobs {
		j.Declared = make([]time.Duration, len(j.Runs))
		for i, run := range j.Runs {
			off := math.Pow(factor, 2*rnd.Float64()-1)
			j.Declared[i] = time.Duration(off * float64(run))
		}
	}
}
