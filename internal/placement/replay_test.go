package placement

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/workload"
)

// This replays the load of a lasting overload against the decisions of this
// package, without input or output: Poisson arrivals of three kinds of jobs
// (wide and short, few and long, narrow), endpoints with room for ten tasks
// each, one queue.

const (
	replayEndpoints    = 8
	replaySlots        = 10
	replayTaskMilliCPU = 1000 // thousandths of a core of each task
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

// meanRunningTasks is the number of tasks that run at a time at load 1.
func meanRunningTasks() float64 {
	sum := 0.0
	for _, k := range jobKinds {
		sum += float64(k.tasks) * k.taskDuration.Seconds() * k.arrivalsPerSecond
	}
	return sum
}

// meanTaskDuration is the mean duration of a task.
func meanTaskDuration() time.Duration {
	tasks := 0.0
	for _, k := range jobKinds {
		tasks += float64(k.tasks) * k.arrivalsPerSecond
	}
	return time.Duration(meanRunningTasks() / tasks * float64(time.Second))
}

type replayJob struct {
	kind         int
	arrivedAt    time.Duration
	taskDuration time.Duration
	queued       int
	running      int
}

func (j *replayJob) urgency() *Urgency {
	left := time.Duration(0)
	if j.queued > 0 {
		left = j.taskDuration
	}
	return &Urgency{
		ArrivedAt: j.arrivedAt, Objective: j.taskDuration*8/5 + 60*ms, RemainingWork: left,
		Started: j.running > 0 || j.queued < jobKinds[j.kind].tasks,
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
	order       func(a, b *Urgency, now time.Duration) int
	admit       func(u *Urgency, b Backlog, now time.Duration) bool
}

func newReplay(seed uint64) *replay {
	r := &replay{
		rng: rand.New(rand.NewPCG(seed, 1)), inTime: make([]int, len(jobKinds)), submitted: make([]int, len(jobKinds)),
		order: Compare, admit: Admit,
	}
	for range replayEndpoints {
		r.endpoints = append(r.endpoints, newEndpoint("e", replaySlots*replayTaskMilliCPU))
	}
	return r
}

// run plays the load and returns the share in time by kind.
func (r *replay) run(load float64) []float64 {
	factor := load * replayEndpoints * replaySlots / meanRunningTasks()
	for now := time.Duration(0); now < replayDuration; now += ms {
		r.completeTasks(now)
		for k := range jobKinds {
			if r.rng.Float64() < jobKinds[k].arrivalsPerSecond*factor*ms.Seconds() {
				r.arrive(k, now)
			}
		}
		r.schedule(now)
	}
	shares := make([]float64, len(jobKinds))
	for k := range jobKinds {
		shares[k] = float64(r.inTime[k]) / float64(r.submitted[k])
	}
	return shares
}

func (r *replay) arrive(k int, now time.Duration) {
	if now < countedDuration {
		r.submitted[k]++
	}
	j := &replayJob{kind: k, arrivedAt: now, taskDuration: time.Duration(float64(jobKinds[k].taskDuration) * (0.6 + 0.8*r.rng.Float64())), queued: jobKinds[k].tasks}
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
	r.completions = slices.DeleteFunc(r.completions, func(e completion) bool {
		if e.at > now {
			return false
		}
		e.job.running--
		r.endpoints[e.endpoint].Free.MilliCPU += replayTaskMilliCPU
		if e.job.running+e.job.queued == 0 && e.job.arrivedAt < countedDuration && now <= e.job.arrivedAt+e.job.urgency().Objective {
			r.inTime[e.job.kind]++
		}
		return true
	})
	r.jobs = slices.DeleteFunc(r.jobs, func(j *replayJob) bool {
		return j.queued == 0 || j.urgency().Expired(now)
	})
}

func (r *replay) schedule(now time.Duration) {
	slices.SortStableFunc(r.jobs, func(a, b *replayJob) int { return r.order(a.urgency(), b.urgency(), now) })
	for _, j := range r.jobs {
		w := &Request{Service: "s", Resources: workload.Resources{MilliCPU: replayTaskMilliCPU}, Count: j.queued}
		for _, p := range assignToFree(w, r.endpoints, r.rng.IntN) {
			r.endpoints[p.EndpointIndex].Reserve(w.Resources.Times(p.Count))
			j.queued -= p.Count
			j.running += p.Count
			for range p.Count {
				r.completions = append(r.completions, completion{at: now + j.taskDuration, job: j, endpoint: p.EndpointIndex})
			}
		}
	}
}

func mean(of []float64) float64 {
	sum := 0.0
	for _, v := range of {
		sum += v
	}
	return sum / float64(len(of))
}

func compareArrival(a, b *Urgency, _ time.Duration) int { return int(a.ArrivedAt - b.ArrivedAt) }

func admitAll(*Urgency, Backlog, time.Duration) bool { return true }

// Under a lasting overload of a quarter, what is let in is answered in time,
// and no kind of job bears it alone. First come, first served, without a
// refusal, answers nearly nothing in time.
func TestOverloadReplay(t *testing.T) {
	const load = 1.25
	shares := newReplay(1).run(load)
	t.Logf("with refusals, least slack first: %.2f", shares)
	must.Greater(t, 0.6, slices.Min(shares), must.Sprint("a kind of job starves"))
	must.Greater(t, 0.7, mean(shares))

	plain := newReplay(1)
	plain.order, plain.admit = compareArrival, admitAll
	without := plain.run(load)
	t.Logf("first come, first served, no refusals: %.2f", without)
	must.Less(t, 0.4, mean(without))
}

// Without overload nobody is turned away.
func TestCalmReplay(t *testing.T) {
	shares := newReplay(2).run(0.7)
	t.Logf("load 0.7: %.3f", shares)
	must.Greater(t, 0.97, slices.Min(shares))
}
