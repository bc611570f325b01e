package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pomelosill/pomelosill/internal/estimate"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// withPredictions returns a copy of a caller's job with predicted run times instead of
// the caller's estimates.
func withPredictions(m *estimate.Model, route string, callerSpec *workload.Job) *workload.Job {
	spec := *callerSpec
	spec.Steps = slices.Clone(callerSpec.Steps)
	for s := range spec.Steps {
		spec.Steps[s].Estimate = m.Predict(route, spec.Steps[s].Estimate)
	}
	return &spec
}

// runTimeSample is the run time of a job's tasks as the model learns it.
type runTimeSample struct {
	// callerEstimate and prediction are those of the step whose tasks give the
	// sample.
	callerEstimate time.Duration
	prediction     time.Duration
	// runTime is at the usual speed of the service's endpoints.
	runTime time.Duration
}

// sample returns the sample of a job that is done: the median task by the ratio of run
// time to the caller's estimate, so that steps with different estimates are
// comparable. Tasks without an estimate only count if no task has one. It returns
// false if no run could be measured.
func (j *job) sample() (runTimeSample, bool) {
	var all, withoutEstimate []runTimeSample
	for s, tasks := range j.tasks {
		for _, t := range tasks {
			v := runTimeSample{j.callerSpec.Steps[s].Estimate, j.spec.Steps[s].Estimate, t.runTime}
			switch {
			case t.runTime <= 0:
			case v.callerEstimate <= 0:
				withoutEstimate = append(withoutEstimate, v)
			default:
				all = append(all, v)
			}
		}
	}
	if len(all) == 0 {
		all = withoutEstimate
	}
	if len(all) == 0 {
		return runTimeSample{}, false
	}
	slices.SortFunc(all, func(a, b runTimeSample) int { return cmp.Compare(a.ratio(), b.ratio()) })
	low, high := all[(len(all)-1)/2], all[len(all)/2]
	low.runTime = time.Duration(float64(low.runTime) * math.Sqrt(high.ratio()/low.ratio()))
	return low, true
}

// ratio returns the run time over the caller's estimate, or the run time in
// nanoseconds if there is none.
func (s runTimeSample) ratio() float64 {
	return float64(s.runTime) / float64(max(s.callerEstimate, 1))
}

// maxRunMicroseconds bounds the run time in a message, so that it doesn't overflow.
const maxRunMicroseconds = int64(24 * time.Hour / time.Microsecond)

// recordRunTime records the run time of a task's run that has succeeded. Runs that
// were contained, overflow or reported as stalled say nothing about the usual run time. A run
// can't have taken longer than the time since it was requested.
func (d *Dispatcher) recordRunTime(r *runner, t *task, runMicroseconds int64) {
	if t.contained || t.overflow || t.moving {
		return
	}
	took := time.Duration(min(max(runMicroseconds, 0), maxRunMicroseconds)) * time.Microsecond
	took = max(min(took, r.lastFrameAt-t.placedAt), 0)
	t.runTime = time.Duration(float64(took) * d.usualSpeeds.relativeSpeed(r, d.runners))
}

// learnRunTime adds the sample of a job that is done to the model.
func (d *Dispatcher) learnRunTime(j *job) {
	s, known := j.sample()
	if !known {
		return
	}
	d.estimates.Observe(j.route.Name, s.callerEstimate, s.runTime)
	d.metrics.recordRunTime(d.runCtx, j.route.Name, s)
}

const (
	// usualSpeedInterval is the time between two computations of the usual speeds,
	// which change with the endpoints' ratings, over many runs.
	usualSpeedInterval = time.Second
	// maxRelativeSpeed bounds the speed of an endpoint relative to the usual one, times
	// and divided by it.
	maxRelativeSpeed = 4
)

// usualSpeeds holds the median rated speed of the endpoints by service.
type usualSpeeds struct {
	byService  map[string]float64
	computedAt time.Duration
}

// relativeSpeed returns the rated speed of the runner's endpoint relative to the usual
// one of its service, 1 while it is unknown.
//
// It is relative because runners rate speeds by the predictions that they get with
// their orders. A run time times such a speed is the prediction itself, and an error
// that is common to all endpoints would never be learned. The measured speed doesn't
// count, for the same reason: it is that of the last moments, in which most tasks at
// the endpoint may be of the job itself.
func (u *usualSpeeds) relativeSpeed(r *runner, runners map[string]*runner) float64 {
	if r.lastFrameAt-u.computedAt >= usualSpeedInterval || u.byService == nil {
		u.compute(runners)
		u.computedAt = r.lastFrameAt
	}
	rated, usual := r.ratedSpeed(), u.byService[r.state.GetService()]
	if rated <= 0 || usual <= 0 {
		return 1
	}
	return min(max(rated/usual, 1.0/maxRelativeSpeed), maxRelativeSpeed)
}

func (u *usualSpeeds) compute(runners map[string]*runner) {
	rated := map[string][]float64{}
	for _, r := range runners {
		if speed := r.ratedSpeed(); speed > 0 {
			rated[r.state.GetService()] = append(rated[r.state.GetService()], speed)
		}
	}
	u.byService = make(map[string]float64, len(rated))
	for service, speeds := range rated {
		slices.Sort(speeds)
		u.byService[service] = speeds[len(speeds)/2]
	}
}
