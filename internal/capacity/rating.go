package capacity

import (
	"math"
	"time"

	"github.com/pomelosill/pomelosill/internal/workload"
)

const (
	// ratingWeight is the least weight of the first counted run of a job in the mean.
	// With it, a change of the speed is followed within some 60 runs.
	ratingWeight = 1.0 / 32
	// priorRuns is the weight of the assumed speed 1, in runs. It has a third of the
	// weight when the rating is first used, after minRatedRuns. With more, slow endpoints
	// would be rated too fast, and jobs placed there would miss their objective.
	priorRuns = 8
	// maxRatingDeviation is the factor around the mean so far within which one
	// run counts: a few jobs take many times as long as estimated.
	maxRatingDeviation = 2.0
	// minRatedRuns is the number of completed runs from which the rating is
	// known.
	minRatedRuns = 16
	// minRating and maxRating bound the rating.
	minRating, maxRating = 0.05, 20.0
	// ratedJobs is how many of the last jobs are remembered.
	ratedJobs = 8
)

// Rating is an endpoint's usual speed relative to the estimates of run times. It
// addresses endpoints of unequal speed: the speed of the last 150 ms varies by 20
// to 30 %, which is too much to choose between endpoints. The estimate of a job is
// wrong for all of its tasks alike, so the k-th run of the same job has 1/k of the
// weight of the first.
type Rating struct {
	logMean float64
	runs    int
	// weight is the sum of the runs' weights within their jobs.
	weight  float64
	jobs    [ratedJobs]ratedJob
	nextJob int
}

// ratedJob counts the runs of one job.
type ratedJob struct {
	id   string
	runs int
}

// Observe adds a completed run of a job. Runs without an estimate don't count.
func (r *Rating) Observe(job string, estimate, runTime time.Duration) {
	if estimate <= 0 || runTime <= 0 {
		return
	}
	limit := math.Log(maxRatingDeviation)
	deviation := math.Log(estimate.Seconds()/runTime.Seconds()) - r.logMean
	weight := 1 / float64(r.countRun(job))
	r.weight += weight
	r.logMean += weight * max(ratingWeight, 1/(priorRuns+r.weight)) * max(-limit, min(deviation, limit))
	r.logMean = max(math.Log(minRating), min(r.logMean, math.Log(maxRating)))
	r.runs++
}

// countRun returns which of the job's counted runs this one is.
func (r *Rating) countRun(job string) int {
	for i := range r.jobs {
		if r.jobs[i].id == job && r.jobs[i].runs > 0 {
			r.jobs[i].runs++
			return r.jobs[i].runs
		}
	}
	r.jobs[r.nextJob] = ratedJob{id: job, runs: 1}
	r.nextJob = (r.nextJob + 1) % ratedJobs
	return 1
}

// Value returns the usual speed, and whether enough runs are known.
func (r *Rating) Value() (float64, bool) {
	return math.Exp(r.logMean), r.runs >= minRatedRuns
}

// rateRun adds a run that has succeeded to the rating of the endpoint. Overflow runs
// don't count: they run only while the endpoint is slower than usual.
func (t *Tracker) rateRun(res *Reservation, now time.Duration) {
	if res.Overflow {
		return
	}
	task, _ := workload.ParseTaskID(res.Run.Task)
	t.rating.Observe(task.Job, res.Estimate, now-res.StartSentAt)
}

// Rating returns the endpoint's usual speed, and whether it is known.
func (t *Tracker) Rating() (float64, bool) { return t.rating.Value() }
