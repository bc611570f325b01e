package admission

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/placement"
)

// This file replays a sustained overload by routes of different priority against the
// decisions of this package, without I/O: Poisson arrivals at several dispatchers with
// a queue each, and tasks of one core that share the slots of all endpoints.

const (
	ms             = time.Millisecond
	replayDuration = 24 * time.Second
	// The first seconds, in which the measures fill, and the last ones, whose jobs are
	// still running at the end, aren't counted.
	countedFrom  = 4 * time.Second
	countedUntil = 18 * time.Second
	// reportInterval is the age of a dispatcher's view of the others' demand.
	reportInterval = 50 * ms
	taskMilliCPU   = 1000
	longFactor     = 7
)

// replayRoute is a route, whose level is its index.
type replayRoute struct {
	tasks             int
	duration          time.Duration
	arrivalsPerSecond float64
}

// The routes of the measurements in docs/design/0012; the last one floods.
var replayRoutes = []replayRoute{{8, 60 * ms, 206}, {2, 200 * ms, 600}, {4, 900 * ms, 94}}

func (r *replayRoute) slots() float64 {
	return float64(r.tasks) * r.duration.Seconds() * r.arrivalsPerSecond
}

type replayJob struct {
	level, caller, queued int
	arrivedAt, duration   time.Duration
	running               int
	large                 bool
	dispatcher            *replayDispatcher
}

func (j *replayJob) objective() time.Duration { return j.duration*8/5 + 60*ms }

func (j *replayJob) slack(now time.Duration) time.Duration {
	return j.arrivedAt + j.objective() - now - j.duration
}

type replayDispatcher struct {
	demand, refused Demand
	slacks          Slacks
	callers         *Callers
	queued          ByLevel
	// others is the last report of the other dispatchers.
	others ByLevel
}

type replay struct {
	rng         *rand.Rand
	routes      []replayRoute
	slots       int
	running     int
	dispatchers []*replayDispatcher
	waiting     []*replayJob
	ends        map[time.Duration][]*replayJob
	started     Demand
	// next is the time of the next arrival by level.
	next [3]time.Duration
	// callerNames has the callers of all routes; chooseCaller returns the index of one.
	callerNames  []string
	chooseCaller func() int
	admit        func(j *replayJob, s *State, now time.Duration) bool
	// longFraction of the jobs take longFactor times as long as the others.
	longFraction float64
	// The counters hold jobs by level; large ones are the tenth with the highest
	// duration of a level, or the long jobs if there are any.
	submitted, inTime, large, largeInTime [3]float64
	callerSubmitted, callerAdmitted       map[int]float64
	admittedWork                          float64
	startedWork                           ByLevel
}

func newReplay(dispatchers int, load float64, routes []replayRoute) *replay {
	r := &replay{
		rng: rand.New(rand.NewPCG(7, 1)), routes: routes, ends: map[time.Duration][]*replayJob{},
		callerSubmitted: map[int]float64{}, callerAdmitted: map[int]float64{},
		callerNames: []string{"only"}, chooseCaller: func() int { return 0 },
	}
	sum := 0.0
	for i := range routes {
		sum += routes[i].slots()
	}
	r.slots = int(sum / load)
	for range dispatchers {
		r.dispatchers = append(r.dispatchers, &replayDispatcher{callers: NewCallers()})
	}
	r.admit = r.decide
	return r
}

func (r *replay) decide(j *replayJob, s *State, now time.Duration) bool {
	d := j.dispatcher
	p := Population{MilliCPU: s.Demand.Total(), Callers: float64(len(r.callerNames) * len(r.dispatchers))}
	excess := d.callers.Excess(r.callerNames[j.caller], p, now)
	return Decide(&Job{Level: j.level, Slack: j.slack(now), CallerExcess: excess}, s).Admitted
}

// admitAsBefore is the bound that applies where all routes have one priority.
func admitAsBefore(j *replayJob, s *State, now time.Duration) bool {
	u := &placement.Urgency{ArrivedAt: j.arrivedAt, Objective: j.objective(), RemainingWork: j.duration}
	b := placement.Backlog{QueuedMilliCPU: int64(s.Backlog.Total()), CapacityMilliCPU: s.CapacityMilliCPU, MeanTaskDuration: j.dispatcher.demand.TaskDurations(200 * ms)[0]}
	return placement.Admit(u, b, now)
}

func (r *replay) run() {
	for now := time.Duration(0); now < replayDuration; now += ms {
		for _, j := range r.ends[now] {
			r.endTask(j, now)
		}
		delete(r.ends, now)
		if now%reportInterval == 0 {
			r.report(now)
		}
		for level := range r.routes {
			for ; r.next[level] <= now; r.next[level] += r.gap(level) {
				r.arrive(level, now)
			}
		}
		r.start(now)
	}
}

// gap returns the random time between two arrivals.
func (r *replay) gap(level int) time.Duration {
	return time.Duration(r.rng.ExpFloat64() / r.routes[level].arrivalsPerSecond * float64(time.Second))
}

func (r *replay) report(now time.Duration) {
	for _, d := range r.dispatchers {
		d.others = ByLevel{}
		for _, other := range r.dispatchers {
			if other != d {
				d.others = d.others.Plus(other.demand.Rate(now))
			}
		}
	}
}

func counted(at time.Duration) bool { return at >= countedFrom && at < countedUntil }

func (r *replay) arrive(level int, now time.Duration) {
	route, size := &r.routes[level], r.rng.Float64()
	d := r.dispatchers[r.rng.IntN(len(r.dispatchers))]
	j := &replayJob{level: level, large: size > 0.9, caller: r.chooseCaller(), queued: route.tasks, arrivedAt: now, dispatcher: d}
	j.duration = time.Duration(float64(route.duration) * (0.6 + 0.8*size)).Round(ms)
	if r.longFraction > 0 {
		if j.large = r.rng.Float64() < r.longFraction; j.large {
			j.duration *= longFactor
		}
	}
	d.slacks.Add(level, j.slack(now))
	if counted(now) {
		r.submitted[level]++
		r.callerSubmitted[j.caller]++
		if j.large {
			r.large[level]++
		}
	}
	work := Work{MilliCPU: float64(route.tasks) * taskMilliCPU, MilliCPUSeconds: float64(route.tasks) * taskMilliCPU * j.duration.Seconds()}
	n := float64(len(r.dispatchers))
	s := &State{
		CapacityMilliCPU: int64(r.slots) * taskMilliCPU, TaskDurations: d.demand.TaskDurations(r.meanDuration()), Backlog: d.queued.Times(n),
		Demand: d.demand.Rate(now).Plus(d.others), RefusedWork: d.refused.Work(now).Times(n), LowSlack: d.slacks.Low(),
	}
	d.callers.Seen(r.callerNames[j.caller], now)
	if !r.admit(j, s, now) {
		d.refused.Add(level, work, now)
		return
	}
	d.demand.Add(level, work, now)
	d.callers.Add(r.callerNames[j.caller], work, now)
	d.queued.Add(level, float64(j.queued*taskMilliCPU))
	r.waiting = append(r.waiting, j)
	if counted(now) {
		r.callerAdmitted[j.caller]++
		r.admittedWork += work.MilliCPUSeconds
	}
}

func (r *replay) meanDuration() time.Duration {
	tasks, slots := 0.0, 0.0
	for i := range r.routes {
		tasks += float64(r.routes[i].tasks) * r.routes[i].arrivalsPerSecond
		slots += r.routes[i].slots()
	}
	return time.Duration(slots / tasks * float64(time.Second))
}

func (r *replay) endTask(j *replayJob, now time.Duration) {
	r.running--
	j.running--
	if j.queued+j.running > 0 || !counted(j.arrivedAt) || now > j.arrivedAt+j.objective() {
		return
	}
	r.inTime[j.level]++
	if j.large {
		r.largeInTime[j.level]++
	}
}

// start starts queued tasks in the order of docs/design/0012: in time before late, a
// level below its minimum share first, then by level, then by slack.
func (r *replay) start(now time.Duration) {
	shares := r.started.Work(now)
	rank := func(j *replayJob) int {
		if shares[j.level] < minShare*shares.Total() {
			return -1
		}
		return j.level
	}
	slices.SortStableFunc(r.waiting, func(a, b *replayJob) int {
		return cmp.Or(compareLate(a, b, now), cmp.Compare(rank(a), rank(b)), cmp.Compare(a.slack(now), b.slack(now)))
	})
	r.waiting = slices.DeleteFunc(r.waiting, func(j *replayJob) bool {
		n := min(j.queued, r.slots-r.running)
		if j.slack(now) < 0 && j.running == 0 {
			// It is given up.
			j.dispatcher.queued.Add(j.level, -float64(j.queued*taskMilliCPU))
			return true
		}
		j.queued -= n
		j.running += n
		r.running += n
		j.dispatcher.queued.Add(j.level, -float64(n*taskMilliCPU))
		work := float64(n) * taskMilliCPU * j.duration.Seconds()
		r.started.Add(j.level, Work{MilliCPUSeconds: work}, now)
		if counted(now) {
			r.startedWork.Add(j.level, work)
		}
		for range n {
			r.ends[now+j.duration] = append(r.ends[now+j.duration], j)
		}
		return j.queued == 0
	})
}

func compareLate(a, b *replayJob, now time.Duration) int {
	late := func(j *replayJob) int {
		if j.slack(now) < 0 {
			return 1
		}
		return 0
	}
	return late(a) - late(b)
}

func (r *replay) fractionInTime(level int) float64 { return r.inTime[level] / r.submitted[level] }

// share returns the part of the capacity that the work is.
func (r *replay) share(work float64) float64 {
	return work / (float64(r.slots) * taskMilliCPU * (countedUntil - countedFrom).Seconds())
}

// While a flood of the last level makes the load 1.4 times the capacity, the jobs of
// the first levels must be answered in time. The bound that doesn't know priorities
// refuses them as often as the others.
func TestFloodOfLastLevelDoesNotRefuseFirstLevels(t *testing.T) {
	r := newReplay(4, 1.4, replayRoutes)
	r.run()
	before := newReplay(4, 1.4, replayRoutes)
	before.admit = admitAsBefore
	before.run()
	for level := range replayRoutes {
		t.Logf("level %d: %.3f in time (largest tenth %.3f), with the bound for one priority %.3f; share of the capacity %.3f",
			level, r.fractionInTime(level), r.largeInTime[level]/r.large[level], before.fractionInTime(level), r.share(r.startedWork[level]))
		must.GreaterEq(t, r.fractionInTime(level)/2, r.largeInTime[level]/r.large[level], must.Sprint("large jobs are refused more often"))
	}
	must.GreaterEq(t, 0.97, r.fractionInTime(0))
	must.GreaterEq(t, 0.9, r.fractionInTime(1))
	must.GreaterEq(t, minShare, r.share(r.startedWork[2]))
	must.Less(t, 0.9, before.fractionInTime(0), must.Sprint("the replay doesn't show the fault"))
}

// Jobs that take several times as long as others of their route have several times the
// slack. They must not be admitted behind a backlog that refuses the others, nor be
// refused instead of them.
func TestLongJobsAreServedAsOthers(t *testing.T) {
	r := newReplay(4, 1.4, replayRoutes)
	r.longFraction = 0.03
	r.run()
	for level := range replayRoutes {
		long, others := r.largeInTime[level]/r.large[level], (r.inTime[level]-r.largeInTime[level])/(r.submitted[level]-r.large[level])
		t.Logf("level %d: %.3f of the long jobs in time, %.3f of the others", level, long, others)
		must.Between(t, others/2, long, 2*others)
	}
	must.GreaterEq(t, 0.97, r.fractionInTime(0))
}

// Levels whose demand exceeds the capacity must leave the later ones their minimum
// share, which the order of queued work reserves for them.
func TestFloodOfFirstLevelsLeavesMinimumShare(t *testing.T) {
	routes := slices.Clone(replayRoutes)
	routes[1].arrivalsPerSecond = 1500
	r := newReplay(4, 2, routes)
	r.run()
	for level := range routes {
		t.Logf("level %d: %.3f in time, share of the capacity %.3f", level, r.fractionInTime(level), r.share(r.startedWork[level]))
	}
	must.GreaterEq(t, 0.97, r.fractionInTime(0))
	must.GreaterEq(t, 0.9*minShare, r.share(r.startedWork[2]))
}

// Dispatchers that judge by reports of each other that are up to 50 ms old must
// together admit no more than the capacity, and not much less.
func TestDispatchersTogetherAdmitTheCapacity(t *testing.T) {
	for _, n := range []int{1, 4, 12} {
		r := newReplay(n, 1.4, replayRoutes)
		r.run()
		t.Logf("%d dispatchers admit %.3f of the capacity; in time by level: %.3f %.3f %.3f",
			n, r.share(r.admittedWork), r.fractionInTime(0), r.fractionInTime(1), r.fractionInTime(2))
		must.Between(t, 0.9, r.share(r.admittedWork), 1.05)
		must.GreaterEq(t, 0.97, r.fractionInTime(0))
	}
}

// One of ten callers sends half of all jobs. Of the excess its own must be refused
// first: the others must hardly notice it.
func TestFloodingCallerIsRefusedFirst(t *testing.T) {
	const flooding = 0
	r := newReplay(4, 1.4, replayRoutes[1:2])
	r.callerNames = []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	r.chooseCaller = func() int { return max(r.rng.IntN(2*len(r.callerNames)-2)-len(r.callerNames)+2, flooding) }
	r.run()
	admitted := func(caller int) float64 { return r.callerAdmitted[caller] / r.callerSubmitted[caller] }
	least := 1.0
	for caller := range r.callerNames {
		if caller != flooding {
			least = min(least, admitted(caller))
		}
	}
	t.Logf("admitted: flooding caller %.3f, others at least %.3f", admitted(flooding), least)
	must.GreaterEq(t, 0.95, least)
	must.Between(t, 0.2, admitted(flooding), 0.6, must.Sprint("it keeps its fair part"))
}
