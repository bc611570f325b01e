package runner

import (
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/capacity"
	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/crash"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// recordCrash records that a process of the endpoint has ended without notice
// while the runs were there, and reports it to all dispatchers: a job may come
// again through another one. The caller holds r.mu, and reports the ends of the
// runs after it.
func (r *Runner) recordCrash(s *session, incarnation string, runs []capacity.ReleasedRun, now time.Duration) {
	if len(runs) == 0 {
		return
	}
	report := crash.Report{Runner: r.settings.Name, Incarnation: incarnation, At: s.crashTime(now)}
	for _, run := range runs {
		res := &run.Reservation
		age := max(report.At-res.StartSentAt, 0)
		r.log.Warn("run: lost in a crash of the endpoint", zap.String("task", res.Run.Task), zap.Uint64("attempt", res.Run.Attempt),
			zap.String("life", incarnation), zap.Duration("age", age), zap.Bool("contained", res.Contained), zap.Int("runs", len(runs)))
		report.Runs = append(report.Runs, crash.Run{Task: res.Run.Task, Route: res.Route, Age: age, Contained: res.Contained})
	}
	r.crashes.Add(report, now)
	f := &pb.RunnerFrame{Crashes: crash.Encode([]crash.Report{report}, now)}
	for _, d := range r.dispatchers {
		// A dispatcher without a connection gets all reports with its next one.
		if d.outbox != nil {
			d.outbox.Put(f)
		}
	}
}

// encodeCrashes returns all crashes that are known.
func (r *Runner) encodeCrashes() []*pb.CrashReport {
	reports, _ := r.crashes.ChangedSince(0)
	return crash.Encode(reports, clock.SinceBoot())
}

// crashTime returns when the endpoint stopped responding: its process ended then
// at the latest.
func (s *session) crashTime(now time.Duration) time.Duration {
	if s.failingSince > 0 {
		return s.failingSince
	}
	return now
}

// crashedRuns returns the runs that were lost in a crash.
func crashedRuns(released []capacity.ReleasedRun) []capacity.ReleasedRun {
	var crashed []capacity.ReleasedRun
	for _, run := range released {
		if run.Outcome == workload.OutcomeCrashed {
			crashed = append(crashed, run)
		}
	}
	return crashed
}

// processEnded handles that the endpoint's process has ended: its runs are lost
// at the latest now. Those that were given up before, because the process was
// unreachable until its lease had expired, were lost in the crash as well.
func (r *Runner) processEnded(s *session, now time.Duration) {
	released := s.tracker.ReleaseAll(now)
	s.tracker.RequireSync()
	if s.endpoint.Draining {
		r.reportEnds(released, result.EndpointGone)
		return
	}
	for i := range released {
		if released[i].Reservation.Begun() {
			released[i].Outcome = workload.OutcomeCrashed
		}
	}
	r.recordCrash(s, s.endpoint.Incarnation(), append(s.unreachableRuns, crashedRuns(released)...), now)
	s.unreachableRuns = nil
	r.reportEnds(released, result.EndpointGone)
}

// processUnreachable handles that the endpoint's lease has expired while it did
// not respond. Whether its process has ended is not known.
func (r *Runner) processUnreachable(s *session, now time.Duration) {
	released := s.tracker.ReleaseAll(now)
	s.tracker.RequireSync()
	for _, run := range released {
		if run.Reservation.Begun() {
			s.unreachableRuns = append(s.unreachableRuns, run)
		}
	}
	r.reportEnds(released, result.EndpointUnreachable)
}

func (r *Runner) reportEnds(released []capacity.ReleasedRun, code result.Code) {
	for _, run := range released {
		r.reportEnd(run, code)
	}
}
