package place

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/work"
)

// This replays the load of a lasting overload against the decisions of this
// package, without input or output: Poisson arrivals of three kinds of jobs
// (wide and short, few and long, narrow), endpoints with room for ten tasks
// each, one queue.

const (
	replayEndpoints = 8
	replayRoom      = 10
	replayTasks     = 1000 // thousandths of a core of each task
	replayTime      = 20 * time.Second
	// countedTime leaves out the jobs that are still running at the end.
	countedTime = 15 * time.Second
)

type kind struct {
	tasks  int
	each   time.Duration
	second float64
}

var kinds = []kind{
	{8, 60 * ms, 34.4},
	{4, 900 * ms, 6.25},
	{2, 200 * ms, 100},
}

// demand is the number of tasks that run at a time at load 1.
func demand() float64 {
	sum := 0.0
	for _, k := range kinds {
		sum += float64(k.tasks) * k.each.Seconds() * k.second
	}
	return sum
}

// meanTask is the mean duration of a task.
func meanTask() time.Duration {
	tasks := 0.0
	for _, k := range kinds {
		tasks += float64(k.tasks) * k.second
	}
	return time.Duration(demand() / tasks * float64(time.Second))
}

type replayJob struct {
	kind    int
	arrived time.Duration
	each    time.Duration
	queued  int
	running int
}

func (j *replayJob) urgency() *Urgency {
	left := time.Duration(0)
	if j.queued > 0 {
		left = j.each
	}
	return &Urgency{
		Arrived: j.arrived, Objective: j.each*8/5 + 60*ms, Left: left,
		Begun: j.running > 0 || j.queued < kinds[j.kind].tasks,
	}
}

type ending struct {
	at   time.Duration
	job  *replayJob
	slot int
}

type replay struct {
	rng       *rand.Rand
	endpoints []Endpoint
	jobs      []*replayJob
	endings   []ending
	inTime    []int
	asked     []int
	order     func(a, b *Urgency, now time.Duration) int
	admit     func(u *Urgency, b Backlog, now time.Duration) bool
}

func newReplay(seed uint64) *replay {
	r := &replay{
		rng: rand.New(rand.NewPCG(seed, 1)), inTime: make([]int, len(kinds)), asked: make([]int, len(kinds)),
		order: Compare, admit: Admit,
	}
	for range replayEndpoints {
		r.endpoints = append(r.endpoints, endpoint("e", replayRoom*replayTasks))
	}
	return r
}

// run plays the load and returns the share in time by kind.
func (r *replay) run(load float64) []float64 {
	factor := load * replayEndpoints * replayRoom / demand()
	for now := time.Duration(0); now < replayTime; now += ms {
		r.end(now)
		for k := range kinds {
			if r.rng.Float64() < kinds[k].second*factor*ms.Seconds() {
				r.arrive(k, now)
			}
		}
		r.schedule(now)
	}
	shares := make([]float64, len(kinds))
	for k := range kinds {
		shares[k] = float64(r.inTime[k]) / float64(r.asked[k])
	}
	return shares
}

func (r *replay) arrive(k int, now time.Duration) {
	if now < countedTime {
		r.asked[k]++
	}
	j := &replayJob{kind: k, arrived: now, each: time.Duration(float64(kinds[k].each) * (0.6 + 0.8*r.rng.Float64())), queued: kinds[k].tasks}
	b := Backlog{Capacity: replayEndpoints * replayRoom * replayTasks, Mean: meanTask()}
	for _, other := range r.jobs {
		if !other.urgency().Late(now) {
			b.CPU += replayTasks * int64(other.queued)
		}
	}
	if r.admit(j.urgency(), b, now) {
		r.jobs = append(r.jobs, j)
	}
}

func (r *replay) end(now time.Duration) {
	r.endings = slices.DeleteFunc(r.endings, func(e ending) bool {
		if e.at > now {
			return false
		}
		e.job.running--
		r.endpoints[e.slot].Free.CPU += replayTasks
		if e.job.running+e.job.queued == 0 && e.job.arrived < countedTime && now <= e.job.arrived+e.job.urgency().Objective {
			r.inTime[e.job.kind]++
		}
		return true
	})
	r.jobs = slices.DeleteFunc(r.jobs, func(j *replayJob) bool {
		return j.queued == 0 || j.urgency().Hopeless(now)
	})
}

func (r *replay) schedule(now time.Duration) {
	slices.SortStableFunc(r.jobs, func(a, b *replayJob) int { return r.order(a.urgency(), b.urgency(), now) })
	for _, j := range r.jobs {
		w := &Wish{Service: "s", Need: work.Resources{CPU: replayTasks}, Count: j.queued}
		for _, p := range choose(w, r.endpoints, r.rng.IntN) {
			r.endpoints[p.At].Take(w.Need.Times(p.Count))
			j.queued -= p.Count
			j.running += p.Count
			for range p.Count {
				r.endings = append(r.endings, ending{at: now + j.each, job: j, slot: p.At})
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

func firstCome(a, b *Urgency, _ time.Duration) int { return int(a.Arrived - b.Arrived) }

func everyone(*Urgency, Backlog, time.Duration) bool { return true }

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
	plain.order, plain.admit = firstCome, everyone
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
