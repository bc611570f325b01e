package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// This file replays several dispatchers that place tasks at the same endpoints,
// each with a view of their free capacity that is up to viewAge old.

const (
	staleDispatchers = 6
	staleEndpoints   = 18
	staleSlots       = 4
	viewAge          = 60 * ms
	// hop is the latency between a dispatcher and a runner.
	hop = 2 * ms
	// othersShare is the part of the load that a dispatcher doesn't place itself.
	othersShare = 1 - 1.0/staleDispatchers
)

// staleTask is a task on its way to, or at, an endpoint's runner.
type staleTask struct {
	job        *staleJob
	dispatcher int
	endpoint   int
	// arrivesAt is when the order reaches the runner, giveUpAt when it is
	// refused there.
	arrivesAt, giveUpAt time.Duration
	refusals            int
}

// stalePending are tasks of a job for which a dispatcher knows no place.
type stalePending struct {
	job                         *staleJob
	dispatcher, count, refusals int
}

type staleJob struct {
	kind      int
	arrivedAt time.Duration
	duration  time.Duration
	open      int
	endpoints map[int]bool
}

func (j *staleJob) objective() time.Duration { return j.duration*8/5 + 60*ms }

// slack returns how long a task of the job can still wait.
func (j *staleJob) slack(now time.Duration) time.Duration {
	return j.arrivedAt + j.objective() - now - j.duration
}

// assignFunc and waitFunc are the types of Assign and RunnerWait.
type (
	assignFunc func(r *Request, endpoints []Endpoint, randIntN func(n int) int) []Assignment
	waitFunc   func(queued bool, refusals int) time.Duration
)

// staleReplay is the state of the replay. views holds each dispatcher's view of
// the endpoints.
type staleReplay struct {
	rng         *rand.Rand
	views       [staleDispatchers][]Endpoint
	used        []int
	pending     []stalePending
	travelling  []*staleTask
	waiting     []*staleTask
	completions []completion
	ends        []*staleJob
	inTime      []int
	submitted   []int
	wait        waitFunc
	assign      assignFunc
	// slots and speeds are those of the endpoints. Views have speeds that differ from
	// those by speedNoise (standard deviation).
	slots            []int
	speeds           []float64
	speedNoise       float64
	starts, refusals int
	// levels are the priority levels by kind. If they are set, dispatchers and
	// runners order tasks by rank, and late tasks are dropped. oneQueue lets the
	// space at runners ignore the levels.
	levels   []int
	oneQueue bool
	// rates are the factors of the arrival rate by kind.
	rates []float64
	// viewedAt is when a dispatcher's view of an endpoint was last updated. othersShare
	// and meanDuration are the inputs of SetTakenByOthers.
	viewedAt     [staleDispatchers][]time.Duration
	othersShare  float64
	meanDuration time.Duration
	// jobEndpoints counts the endpoints used by each of endedJobs.
	jobEndpoints, endedJobs int
}

// rank returns the rank of a job's task.
func (r *staleReplay) rank(j *staleJob, now time.Duration) Rank {
	return NewRank(r.levels[j.kind], j.slack(now), false, false)
}

// level returns the job's priority level, 0 if no levels are set.
func (r *staleReplay) level(j *staleJob) int {
	if r.levels == nil {
		return 0
	}
	return r.levels[j.kind]
}

// orderPending sorts the tasks that dispatchers hold, and drops late ones.
func (r *staleReplay) orderPending(now time.Duration) {
	r.pending = slices.DeleteFunc(r.pending, func(p stalePending) bool { return r.rank(p.job, now).class == classLate })
	slices.SortStableFunc(r.pending, func(a, b stalePending) int { return r.rank(a.job, now).Compare(r.rank(b.job, now)) })
}

// newStaleReplay returns a replay with equal endpoints of the given number of slots.
func newStaleReplay(seed uint64, endpoints, slots int, wait waitFunc) *staleReplay {
	r := &staleReplay{
		rng: rand.New(rand.NewPCG(seed, 1)), wait: wait, rates: []float64{1, 1, 1},
		used: make([]int, endpoints), slots: make([]int, endpoints), speeds: make([]float64, endpoints),
		inTime: make([]int, len(jobKinds)), submitted: make([]int, len(jobKinds)), assign: Assign,
		othersShare: othersShare, meanDuration: meanTaskDuration(),
	}
	r.setEndpoints(slots, []float64{1}, []float64{1}, 0)
	return r
}

// setEndpoints gives the endpoints all combinations of these speeds and sizes, which
// are factors of slots.
func (r *staleReplay) setEndpoints(slots int, speeds, sizes []float64, speedNoise float64) {
	r.speedNoise = speedNoise
	for d := range r.views {
		r.views[d], r.viewedAt[d] = nil, make([]time.Duration, len(r.used))
		for i := range r.used {
			r.speeds[i] = speeds[i%len(speeds)]
			r.slots[i] = int(float64(slots) * sizes[i/len(speeds)%len(sizes)])
			e := newEndpoint("e", int64(r.slots[i]*replayTaskMilliCPU))
			e.Capacity.MilliCPU = e.Free.MilliCPU
			e.Speed = r.speeds[i]
			r.views[d] = append(r.views[d], e)
		}
		SetMedianSpeeds(r.views[d])
	}
}

// capacity returns the slots of all endpoints, each times its speed.
func (r *staleReplay) capacity() float64 {
	sum := 0.0
	for e, slots := range r.slots {
		sum += float64(slots) * r.speeds[e]
	}
	return sum
}

// run returns the fraction of jobs answered in time by kind.
func (r *staleReplay) run(load float64) []float64 {
	factor := load * r.capacity() / meanRunningTasks()
	for now := time.Duration(0); now < replayDuration; now += ms {
		r.complete(now)
		r.refreshViews(now)
		for k := range jobKinds {
			for expected := jobKinds[k].arrivalsPerSecond * r.rates[k] * factor * ms.Seconds(); expected > 0; expected-- {
				if r.rng.Float64() < expected {
					r.submit(k, now)
				}
			}
		}
		r.placePending(now)
		r.deliver(now)
		r.startWaiting(now)
	}
	return fractions(r.inTime, r.submitted)
}

func (r *staleReplay) submit(k int, now time.Duration) {
	if now < countedDuration {
		r.submitted[k]++
	}
	j := &staleJob{kind: k, arrivedAt: now, duration: jobKinds[k].taskDuration, open: jobKinds[k].tasks, endpoints: map[int]bool{}}
	r.pending = append(r.pending, stalePending{job: j, dispatcher: r.rng.IntN(staleDispatchers), count: j.open})
}

// placePending assigns tasks by their dispatchers' views.
func (r *staleReplay) placePending(now time.Duration) {
	if r.levels != nil {
		r.orderPending(now)
	}
	pending := r.pending
	r.pending = nil
	for _, p := range pending {
		p.count -= r.place(p, now)
		if p.count > 0 {
			r.pending = append(r.pending, p)
		}
	}
}

// place sends tasks to the endpoints that Assign chooses, and returns how many.
func (r *staleReplay) place(p stalePending, now time.Duration) int {
	req := &Request{
		Service: "s", Resources: workload.Resources{MilliCPU: replayTaskMilliCPU}, Count: p.count,
		Estimate: p.job.duration, Slack: p.job.slack(now), Level: r.level(p.job),
	}
	if r.oneQueue {
		req.Level = policy.MaxLevels - 1
	}
	placed := 0
	views := r.views[p.dispatcher]
	for e := range views {
		views[e].ViewAge = now - r.viewedAt[p.dispatcher][e]
	}
	SetMedianSpeeds(views)
	SetTakenByOthers(views, r.othersShare, r.meanDuration)
	for _, a := range r.assign(req, views, r.rng.IntN) {
		placed += a.Count
		for range a.Count {
			r.travelling = append(r.travelling, &staleTask{
				job: p.job, dispatcher: p.dispatcher, endpoint: a.EndpointIndex, refusals: p.refusals,
				arrivesAt: now + hop, giveUpAt: now + hop + r.wait(a.Queued, p.refusals),
			})
		}
	}
	return placed
}

// deliver moves the orders that have reached their runner to its queue.
func (r *staleReplay) deliver(now time.Duration) {
	r.travelling = slices.DeleteFunc(r.travelling, func(t *staleTask) bool {
		if t.arrivesAt <= now {
			r.waiting = append(r.waiting, t)
		}
		return t.arrivesAt <= now
	})
}

// startWaiting starts queued tasks where there is capacity, and returns those
// that may wait no longer to their dispatcher, which learns the endpoint's
// state.
func (r *staleReplay) startWaiting(now time.Duration) {
	if r.levels != nil {
		slices.SortStableFunc(r.waiting, func(a, b *staleTask) int { return r.rank(a.job, now).Compare(r.rank(b.job, now)) })
	}
	queued := r.waiting
	r.waiting = nil
	for _, t := range queued {
		switch {
		case r.used[t.endpoint] < r.slots[t.endpoint]:
			r.used[t.endpoint]++
			r.starts++
			t.job.endpoints[t.endpoint] = true
			runTime := time.Duration(float64(t.job.duration) / r.speeds[t.endpoint])
			r.completions = append(r.completions, completion{at: now + runTime, endpoint: t.endpoint})
			r.ends = append(r.ends, t.job)
		case now < t.giveUpAt:
			r.waiting = append(r.waiting, t)
		default:
			r.refusals++
			r.view(t.dispatcher, t.endpoint, now)
			r.pending = append(r.pending, stalePending{job: t.job, dispatcher: t.dispatcher, count: 1, refusals: t.refusals + 1})
		}
	}
}

// complete ends the tasks that are done.
func (r *staleReplay) complete(now time.Duration) {
	var completions []completion
	var ends []*staleJob
	for i, c := range r.completions {
		if c.at > now {
			completions, ends = append(completions, c), append(ends, r.ends[i])
			continue
		}
		r.used[c.endpoint]--
		j := r.ends[i]
		j.open--
		if j.open == 0 {
			r.endedJobs++
			r.jobEndpoints += len(j.endpoints)
		}
		if j.open == 0 && j.arrivedAt < countedDuration && now+hop <= j.arrivedAt+j.objective() {
			r.inTime[j.kind]++
		}
	}
	r.completions, r.ends = completions, ends
}

// refreshViews updates one part of the views at each step, so that each is
// updated once in viewAge.
func (r *staleReplay) refreshViews(now time.Duration) {
	for d := range r.views {
		for e := range r.used {
			if (int(now/ms)+7*d+3*e)%int(viewAge/ms) == 0 {
				r.view(d, e, now)
			}
		}
	}
}

// view updates a dispatcher's view of one endpoint.
func (r *staleReplay) view(dispatcher, endpoint int, now time.Duration) {
	r.viewedAt[dispatcher][endpoint] = now
	free := r.slots[endpoint] - r.used[endpoint]
	var byLevel [policy.MaxLevels]int64
	for _, t := range append(slices.Clone(r.waiting), r.travelling...) {
		if t.endpoint == endpoint {
			free--
			byLevel[r.level(t.job)] += replayTaskMilliCPU
		}
	}
	r.views[dispatcher][endpoint].QueuedByLevel = byLevel
	r.views[dispatcher][endpoint].Free.MilliCPU = int64(free * replayTaskMilliCPU)
	r.views[dispatcher][endpoint].Speed = r.noisySpeed(endpoint)
}

// At a load of 55%, with views of the free capacity up to 60 ms old, jobs of
// many short tasks must be answered in time. If tasks waited wherever they were
// sent, many jobs would wait for one task beside free capacity.
func TestTasksSentByOldViewsAreRedirected(t *testing.T) {
	const (
		load  = 0.55
		seeds = 16
		// inTime is the fraction of jobs that must be answered in time.
		inTime = 0.95
	)
	waitAnywhere := func(bool, int) time.Duration { return maxRunnerWait }
	var redirected, waiting []float64
	for seed := range uint64(seeds) {
		redirected = append(redirected, newStaleReplay(seed, staleEndpoints, staleSlots, RunnerWait).run(load)[0])
		waiting = append(waiting, newStaleReplay(seed, staleEndpoints, staleSlots, waitAnywhere).run(load)[0])
	}
	t.Logf("in time: %.3f if redirected, %.3f if they wait anywhere", mean(redirected), mean(waiting))
	must.Greater(t, inTime, mean(redirected))
	must.Less(t, inTime, mean(waiting))
}

// noisySpeed returns an endpoint's speed as learned from runs.
func (r *staleReplay) noisySpeed(endpoint int) float64 {
	if r.speedNoise == 0 {
		return r.speeds[endpoint]
	}
	return r.speeds[endpoint] * math.Exp(r.speedNoise*r.rng.NormFloat64())
}

// assignAtAnySpeed assigns as if all endpoints had the same speed.
func assignAtAnySpeed(r *Request, endpoints []Endpoint, randIntN func(n int) int) []Assignment {
	for i := range endpoints {
		endpoints[i].Speed = 1
	}
	SetMedianSpeeds(endpoints)
	return Assign(r, endpoints, randIntN)
}

// redirectAtOnce has tasks refused at once where there is no capacity for them.
func redirectAtOnce(queued bool, refusals int) time.Duration {
	if wait := RunnerWait(queued, refusals); wait > redirectDelay {
		return wait
	}
	return 0
}

// With endpoints of speed 0.6, 1.0 and 1.6 and two sizes, and old views of them, fewer
// jobs must be late than without a choice by speed. The dispatchers must not all choose
// the same fast endpoints: no more starts may be refused.
func TestChoiceBySpeedMakesFewerJobsLate(t *testing.T) {
	const (
		seeds = 4
		// maxLateFraction is the bound on late jobs relative to those without the
		// choice.
		maxLateFraction = 0.9
	)
	for _, load := range []float64{0.6, 0.75, 0.9} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			t.Parallel()
			run := func(assign assignFunc, wait waitFunc, othersShare float64) (late, refused float64) {
				for seed := range uint64(seeds) {
					r := newStaleReplay(seed, staleEndpoints, staleSlots, wait)
					r.setEndpoints(staleSlots, []float64{0.6, 1, 1.6}, []float64{1, 1.5}, 0.07)
					r.assign, r.othersShare = assign, othersShare
					late += 1 - r.inTimeOfAll(load)
					refused += float64(r.refusals) / float64(r.starts)
				}
				return late / seeds, refused / seeds
			}
			late, refused := run(Assign, RunnerWait, 0)
			lateAtAny, refusedAtAny := run(assignAtAnySpeed, RunnerWait, 0)
			lateAtOnce, refusedAtOnce := run(assignAtAnySpeed, redirectAtOnce, 0)
			lateByAge, refusedByAge := run(Assign, RunnerWait, othersShare)
			t.Logf("late %.4f, refused %.3f for each start; without the choice %.4f, %.3f, and if redirected at once %.4f, %.3f",
				late, refused, lateAtAny, refusedAtAny, lateAtOnce, refusedAtOnce)
			must.Less(t, maxLateFraction*min(lateAtAny, lateAtOnce), late)
			must.Less(t, refusedAtOnce, refused)
			t.Logf("with views corrected by their age: late %.4f, refused %.3f", lateByAge, refusedByAge)
			must.Less(t, maxLateFraction*min(lateAtAny, lateAtOnce), lateByAge)
			must.Less(t, refusedAtOnce, refusedByAge)
		})
	}
}

// inTimeOfAll replays the load and returns the fraction of all jobs answered in time.
func (r *staleReplay) inTimeOfAll(load float64) float64 {
	r.run(load)
	inTime, submitted := 0, 0
	for k := range jobKinds {
		inTime += r.inTime[k]
		submitted += r.submitted[k]
	}
	return float64(inTime) / float64(submitted)
}

// Guards against a flood of the last level that fills the queues of runners, so that
// tasks of the first level wait at their dispatchers. The load is that of
// TestFloodOfLastLevelMakesNoOtherLate, with views up to 60 ms old.
func TestFloodLeavesSpaceAtRunners(t *testing.T) {
	const endpoints, slots = 10, 14
	flood := func(oneQueue bool) []float64 {
		r := newStaleReplay(7, endpoints, slots, RunnerWait)
		r.levels, r.oneQueue, r.rates = overloadLevels, oneQueue, []float64{1, 2.5, 1}
		return r.run(0.99)
	}
	byLevel, oneQueue := flood(false), flood(true)
	t.Logf("in time: %.3f with space by level, %.3f with one space for all", byLevel, oneQueue)
	must.Greater(t, 0.7, byLevel[0])
	must.Less(t, 0.5, oneQueue[0])
}
