package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/crash"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/placement"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform"
)

// applyCrashes records reports of crashes of endpoints, and judges the open jobs
// whose runs were there. It is called with the lock held, before the ends of these
// runs are handled: a task that crashes endpoints must not be queued again.
func (d *Dispatcher) applyCrashes(reports []*pb.CrashReport, now time.Duration) {
	for _, m := range reports {
		r := crash.Decode(m, now)
		added := d.crashes.Add(r, now)
		if len(added) == 0 {
			continue
		}
		d.metrics.crashes.Add(d.runCtx, 1)
		d.log.Warn("crash: endpoint crashed", zap.String("runner", r.Runner), zap.String("life", r.Incarnation),
			zap.Int("runs", len(added)), zap.Duration("ago", now-r.At))
		for i := range added {
			d.handleCrashedRun(&added[i], now)
		}
	}
}

// handleCrashedRun judges the job of a run that was lost in a crash, if it is open here.
func (d *Dispatcher) handleCrashedRun(run *crash.Run, now time.Duration) {
	id, ok := workload.ParseTaskID(run.Task)
	if !ok {
		return
	}
	if j := d.jobs[id.Job]; j != nil && !j.answered {
		d.applyCrashHistory(j, now)
	}
}

// applyCrashHistory judges a job by the crashes under its tasks, and reports whether it was
// given up. Others may run contained from now on. A job that comes again, after its
// tasks were in a crash elsewhere, has run.
func (d *Dispatcher) applyCrashHistory(j *job, now time.Duration) bool {
	worst, crashes, verdict := "", 0, crash.Unsuspected
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			v, n := d.crashes.Judge(t.name)
			j.mayHaveRun = j.mayHaveRun || n > 0
			if t.state != taskDone && v > verdict {
				worst, crashes, verdict = t.name, n, v
			}
		}
	}
	if verdict == crash.Unsuspected {
		return false
	}
	answer, givenUp := d.answerFor(j, verdict, now)
	if !j.suspect || givenUp {
		d.log.Info("job: may crash endpoints", zap.String("job", j.spec.ID), zap.String("route", j.route.Name), zap.String("task", worst),
			zap.Stringer("verdict", verdict), zap.Int("crashes", crashes), zap.Bool("given up", givenUp))
	}
	j.suspect = true
	if givenUp {
		d.metrics.givenUp.Add(d.runCtx, 1)
		d.finish(j, answer)
	}
	return givenUp
}

// answerFor returns the answer to a job that is given up because of the verdict on
// one of its tasks, and whether it is. It has failed only if that is certain. While
// other jobs of the route crash endpoints, too, none is spent on confirming that a
// probable cause is one: the outcome of the job remains unknown to its caller.
func (d *Dispatcher) answerFor(j *job, v crash.Verdict, now time.Duration) (platform.Answer, bool) {
	switch {
	case v == crash.GivenUp:
		return platform.Answer{Code: result.OK, Failed: true}, true
	case v == crash.Exhausted, v == crash.Probable && d.crashes.RouteContained(j.route.Name, now):
		return platform.Answer{Code: result.StillRunning}, true
	}
	return platform.Answer{}, false
}

// areaOf returns where the tasks of a job may be placed.
func (d *Dispatcher) areaOf(j *job, now time.Duration) placement.Area {
	switch {
	case j.suspect || d.crashes.RouteContained(j.route.Name, now):
		return placement.Inside
	case d.crashes.AnyRouteContained(now):
		return placement.Outside
	}
	return placement.Anywhere
}

// anyContained reports whether any of the waiting jobs may be placed in a part of the
// endpoints only.
func (d *Dispatcher) anyContained(now time.Duration) bool {
	for _, j := range d.waiting {
		if d.areaOf(j, now) != placement.Anywhere {
			return true
		}
	}
	return false
}

// refuseUnplaceable refuses the contained jobs that wait without having run while no
// endpoint for them is usable: these come back after seconds, too late for them.
func (d *Dispatcher) refuseUnplaceable(now time.Duration) {
	if !d.crashes.AnyRouteContained(now) {
		return
	}
	usable, _ := d.usableEndpoints(true, now)
	if len(usable) == 0 || len(endpointsIn(usable, placement.Inside)) > 0 {
		return
	}
	for _, j := range d.waiting {
		if !j.started() && d.areaOf(j, now) == placement.Inside {
			d.finish(j, platform.Answer{Code: result.NoEndpoint, RetryAfter: randomRetryAfter()})
		}
	}
}

// openContainedJobs counts the open jobs that run contained, without those that
// have crashed an endpoint: these come last.
func (d *Dispatcher) openContainedJobs(now time.Duration) int {
	n := 0
	for _, j := range d.jobs {
		if !j.suspect && d.areaOf(j, now) == placement.Inside {
			n++
		}
	}
	return n
}

// endpointsIn returns the endpoints that are in the area.
func endpointsIn(endpoints []placement.Endpoint, area placement.Area) []placement.Endpoint {
	if area == placement.Anywhere {
		return endpoints
	}
	var in []placement.Endpoint
	for i := range endpoints {
		if area.Includes(&endpoints[i]) {
			in = append(in, endpoints[i])
		}
	}
	return in
}

// encodeCrashes returns the crashes that were recorded after a version of the
// log, and the newest version.
func (d *Dispatcher) encodeCrashes(version uint64) ([]*pb.CrashReport, uint64) {
	reports, version := d.crashes.ChangedSince(version)
	return crash.Encode(reports, clock.SinceBoot()), version
}
