package placement

import (
	"iter"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/workload"
)

// This file replays a sustained overload against the decisions of this package,
// without I/O: Poisson arrivals of three kinds of jobs (many short tasks, few
// long tasks, two medium tasks), endpoints with capacity for ten tasks each,
// and one queue.

const (
	replayEndpoints    = 8
	replaySlots        = 10
	replayTaskMilliCPU = 1000 // CPU of each task
	replayDuration     = 20 * time.Second
	// countedDuration leaves out the jobs that are still running at the end.
	countedDuration = 15 * time.Second
)

type jobKind struct {
	tasks             int
	taskDuration      time.Duration
	arrivalsPerSecond float64
}

var jobKinds = []jobKind{
	{8, 60 * ms, 34.4},
	{4, 900 * ms, 6.25},
	{2, 200 * ms, 100},
}

// meanRunningTasks returns the mean number of running tasks at the arrival
// rates of jobKinds, before scaling.
func meanRunningTasks() float64 {
	sum := 0.0
	for _, k := range jobKinds {
		sum += float64(k.tasks) * k.taskDuration.Seconds() * k.arrivalsPerSecond
	}
	return sum
}

// meanTaskDuration returns the mean duration of a task.
func meanTaskDuration() time.Duration {
	tasks := 0.0
	for _, k := range jobKinds {
		tasks += float64(k.tasks) * k.arrivalsPerSecond
	}
	return time.Duration(meanRunningTasks() / tasks * float64(time.Second))
}

type replayJob struct {
	kind         int
	level        int
	arrivedAt    time.Duration
	taskDuration time.Duration
	queued       int
	running      int
}

func (j *replayJob) urgency() *Urgency {
	remaining := time.Duration(0)
	if j.queued > 0 {
		remaining = j.taskDuration
	}
	return &Urgency{
		ArrivedAt: j.arrivedAt, Objective: j.taskDuration*8/5 + 60*ms, RemainingWork: remaining,
		Started: j.running > 0 || j.queued < jobKinds[j.kind].tasks, Level: j.level,
	}
}

type completion struct {
	at       time.Duration
	job      *replayJob
	endpoint int
}

type replay struct {
	rng         *rand.Rand
	endpoints   []Endpoint
	jobs        []*replayJob
	completions []completion
	inTime      []int
	submitted   []int
	// order replaces the order of the package, unless it is nil.
	order func(a, b *Urgency, now time.Duration) int
	// levels are the priority levels, and rates the factors of the arrival rate, by
	// kind.
	levels []int
	rates  []float64
	// startedWork is the core time that was started by kind, and started the same by
	// level, unless sharesOff is set.
	startedWork []float64
	started     StartedWork
	sharesOff   bool
	admit       func(u *Urgency, b Backlog, now time.Duration) bool
}

func newReplay(seed uint64) *replay {
	r := &replay{
		rng: rand.New(rand.NewPCG(seed, 1)), inTime: make([]int, len(jobKinds)), submitted: make([]int, len(jobKinds)),
		levels: []int{0, 0, 0}, rates: []float64{1, 1, 1}, startedWork: make([]float64, len(jobKinds)), admit: Admit,
	}
	for range replayEndpoints {
		r.endpoints = append(r.endpoints, newEndpoint("e", replaySlots*replayTaskMilliCPU))
	}
	return r
}

// run replays the load, as a fraction of the capacity, and returns the fraction
// of jobs answered in time by kind.
func (r *replay) run(load float64) []float64 {
	factor := load * replayEndpoints * replaySlots / meanRunningTasks()
	for now := time.Duration(0); now < replayDuration; now += ms {
		r.completeTasks(now)
		for k := range jobKinds {
			if r.rng.Float64() < jobKinds[k].arrivalsPerSecond*r.rates[k]*factor*ms.Seconds() {
				r.arrive(k, now)
			}
		}
		r.schedule(now)
	}
	return fractions(r.inTime, r.submitted)
}

func (r *replay) arrive(k int, now time.Duration) {
	if now < countedDuration {
		r.submitted[k]++
	}
	j := &replayJob{kind: k, level: r.levels[k], arrivedAt: now, taskDuration: time.Duration(float64(jobKinds[k].taskDuration) * (0.6 + 0.8*r.rng.Float64())), queued: jobKinds[k].tasks}
	b := Backlog{CapacityMilliCPU: replayEndpoints * replaySlots * replayTaskMilliCPU, MeanTaskDuration: meanTaskDuration()}
	for _, other := range r.jobs {
		if !other.urgency().LateUnstarted(now) {
			b.QueuedMilliCPU += replayTaskMilliCPU * int64(other.queued)
		}
	}
	if r.admit(j.urgency(), b, now) {
		r.jobs = append(r.jobs, j)
	}
}

func (r *replay) completeTasks(now time.Duration) {
	r.completions = slices.DeleteFunc(r.completions, func(c completion) bool {
		if c.at > now {
			return false
		}
		c.job.running--
		r.endpoints[c.endpoint].Free.MilliCPU += replayTaskMilliCPU
		if c.job.running+c.job.queued == 0 && c.job.arrivedAt < countedDuration && now <= c.job.arrivedAt+c.job.urgency().Objective {
			r.inTime[c.job.kind]++
		}
		return true
	})
	r.jobs = slices.DeleteFunc(r.jobs, func(j *replayJob) bool {
		return j.queued == 0 || j.urgency().Expired(now)
	})
}

// sequence returns the waiting jobs in the order in which they are to be started.
func (r *replay) sequence(now time.Duration) iter.Seq[*replayJob] {
	if r.order != nil {
		slices.SortStableFunc(r.jobs, func(a, b *replayJob) int { return r.order(a.urgency(), b.urgency(), now) })
		return slices.Values(r.jobs)
	}
	var waiting []Waiting[*replayJob]
	for _, j := range r.jobs {
		waiting = append(waiting, Waiting[*replayJob]{Item: j, Rank: j.urgency().Rank(now)})
	}
	return InOrder(waiting, &r.started)
}

func (r *replay) countStarted(j *replayJob, count int, resources workload.Resources, now time.Duration) {
	work := float64(count) * TaskWork(resources, j.taskDuration)
	r.startedWork[j.kind] += work
	if !r.sharesOff {
		r.started.Add(j.level, work, now)
	}
}

func (r *replay) schedule(now time.Duration) {
	for j := range r.sequence(now) {
		req := &Request{Service: "s", Resources: workload.Resources{MilliCPU: replayTaskMilliCPU}, Count: j.queued}
		for _, a := range assignToFree(req, r.endpoints, r.rng.IntN) {
			r.endpoints[a.EndpointIndex].Reserve(req.Resources.Times(a.Count))
			j.queued -= a.Count
			j.running += a.Count
			r.countStarted(j, a.Count, req.Resources, now)
			for range a.Count {
				r.completions = append(r.completions, completion{at: now + j.taskDuration, job: j, endpoint: a.EndpointIndex})
			}
		}
	}
}

// fractions returns the fraction of the submitted jobs that were answered in time,
// by kind.
func fractions(inTime, submitted []int) []float64 {
	all := make([]float64, len(jobKinds))
	for k := range jobKinds {
		all[k] = float64(inTime[k]) / float64(submitted[k])
	}
	return all
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

func compareArrival(a, b *Urgency, _ time.Duration) int { return int(a.ArrivedAt - b.ArrivedAt) }

func admitAll(*Urgency, Backlog, time.Duration) bool { return true }

// Under a sustained load of 125%, admitted jobs must be answered in time, and
// no kind of job may bear the overload alone. First come, first served without
// refusals answers almost no job in time.
func TestOverloadIsSharedByAllKinds(t *testing.T) {
	const load = 1.25
	leastSlack := newReplay(1).run(load)
	t.Logf("with refusals, least slack first: %.2f", leastSlack)
	must.Greater(t, 0.6, slices.Min(leastSlack), must.Sprint("one kind of job is answered late"))
	must.Greater(t, 0.7, mean(leastSlack))

	fcfs := newReplay(1)
	fcfs.order, fcfs.admit = compareArrival, admitAll
	fcfsFractions := fcfs.run(load)
	t.Logf("first come, first served, no refusals: %.2f", fcfsFractions)
	must.Less(t, 0.4, mean(fcfsFractions))
}

// At a load of 70% almost every job must be admitted and answered in time.
func TestLowLoadIsAnsweredInTime(t *testing.T) {
	inTime := newReplay(2).run(0.7)
	t.Logf("load 0.7: %.3f", inTime)
	must.Greater(t, 0.97, slices.Min(inTime))
}
